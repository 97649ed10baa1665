#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/resources.h"
#include "core/base/types/time.h"
#include "core/placement/capacityaccount.h"
#include "core/placement/feasibilitycache.h"
#include "core/placement/runtimeestimator.h"
#include "core/placement/schedulingstrategy.h"
#include "core/placement/types/schedule.h"

#include <memory>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Proposes placements for waiting jobs. Each decision depends only on the
/// view, the current time and the run times observed so far. The scheduler
/// keeps no state about its proposals, so that several schedulers may propose
/// for the same ledger and any proposal may be rejected.
class scheduler {
public:
  explicit scheduler(objective Objective);
  explicit scheduler(std::unique_ptr<const scheduling_strategy> Strategy);
  ~scheduler();
  scheduler(const scheduler &) = delete;
  scheduler &operator=(const scheduler &) = delete;

  /// Proposes a placement for each waiting job, or explains why it waits. The
  /// spans are valid until the next call.
  schedule decide(const schedule_view &View, time_point Now);

  /// Records the run time of an attempt that ran to its end, which improves
  /// later estimates.
  void observe(const run_observation &Observation);

private:
  std::unique_ptr<const scheduling_strategy> Strategy;
  run_time_estimator Estimator;
  feasibility_cache Feasibility;
  std::vector<placement_proposal> Proposals;
  std::vector<job_explanation> Explanations;
};

} // namespace geraniumpaddle
