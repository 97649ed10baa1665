#include "core/placement/scheduler.h"

#include "core/placement/internal/decision.h"

#include <utility>

namespace geraniumpaddle {

scheduler::scheduler(objective Objective) : Strategy(makeStrategy(Objective)) {}
scheduler::scheduler(std::unique_ptr<const scheduling_strategy> Strategy)
    : Strategy(std::move(Strategy)) {}
scheduler::~scheduler() = default;

schedule scheduler::decide(const schedule_view &View, time_point Now) {
  Proposals.clear();
  Explanations.clear();
  decision Decision(View, Now, *Strategy, Estimator, Proposals, Explanations);
  Decision.run();
  return {Proposals, Explanations};
}

void scheduler::observe(const run_observation &Observation) {
  Estimator.observe(Observation);
}

} // namespace geraniumpaddle
