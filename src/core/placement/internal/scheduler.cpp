#include "core/placement/scheduler.h"

namespace geraniumpaddle {

scheduler::scheduler(objective Objective) : Objective(Objective) {}
scheduler::~scheduler() = default;

schedule scheduler::decide(const schedule_view &View, time_point) {
  Proposals.clear();
  Explanations.clear();
  for (const waiting_job &Job : View.Waiting)
    Explanations.push_back({Job.Job,
                            wait_reason::NoFreeCapacity,
                            Job.Adjacency,
                            unmet_constraint::None,
                            {}});
  return {Proposals, Explanations};
}

void scheduler::observe(const run_observation &) {}

} // namespace geraniumpaddle
