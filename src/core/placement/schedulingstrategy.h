#pragma once

#include "core/placement/types/schedule.h"

#include <chrono>
#include <memory>

namespace geraniumpaddle {

/// Properties of a waiting job that a strategy may use.
struct job_profile {
  double Accelerators = 0;
  double EstimatedSeconds = 0;
  double WaitedSeconds = 0;
};

/// Properties of a candidate placement of one task on one worker.
struct worker_fit {
  int Accelerators = 0;          ///< allocated to the task
  int FreeBefore = 0;            ///< available on the worker before
  int WorkerSize = 0;            ///< accelerators of the worker
  int SplitLevels = 0;           ///< times a free buddy is halved for the task
  bool Scattered = false;        ///< not within one aligned buddy
  double LifetimeGapSeconds = 0; ///< between the task's expected end and the
                                 ///< latest expected end on the worker
};

/// Scheduling policy of a deployment, as values that the scheduler compares.
/// Stateless.
class scheduling_strategy {
public:
  virtual ~scheduling_strategy() = default;

  /// Sort key of a waiting job; the smallest is scheduled first.
  virtual double rank(const job_profile &Job) const = 0;
  /// Cost of a candidate placement; the smallest is chosen.
  virtual double fitCost(const worker_fit &Fit) const = 0;
  /// Waiting time after which a job counts as starved and capacity is reserved
  /// for it.
  virtual std::chrono::seconds
  starvationThreshold(const job_profile &Job) const = 0;
  /// True if relocating borrowing gangs, which loses \p LostSeconds accelerator
  /// seconds of work, is worth \p SavedSeconds less wait of \p Job.
  virtual bool relocationPaysOff(const job_profile &Job, double LostSeconds,
                                 double SavedSeconds) const = 0;
};

/// Creates the strategy for the configured objective.
std::unique_ptr<const scheduling_strategy> makeStrategy(objective Objective);

} // namespace geraniumpaddle
