#include "core/placement/scheduler.h"

#include "core/placement/internal/schedulingpass.h"

#include <utility>

namespace geraniumpaddle {

scheduler::scheduler(objective Objective) : Strategy(makeStrategy(Objective)) {}
scheduler::scheduler(std::unique_ptr<const scheduling_strategy> Strategy)
    : Strategy(std::move(Strategy)) {}
scheduler::~scheduler() = default;

schedule scheduler::decide(const schedule_view &View, time_point Now) {
  Proposals.clear();
  Explanations.clear();
  if (View.Waiting.empty())
    return {};
  Feasibility.refresh(View.Account.workers().version(), View.Waiting);
  scheduling_pass Pass(View, Now, *Strategy, Estimator, Feasibility, Proposals,
                       Explanations);
  Pass.run();
  return {Proposals, Explanations};
}

void scheduler::observe(const run_observation &Observation) {
  Estimator.observe(Observation);
}

} // namespace geraniumpaddle
