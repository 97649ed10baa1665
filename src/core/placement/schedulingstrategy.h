#pragma once

#include "core/placement/types/schedule.h"

#include <chrono>
#include <memory>

namespace geraniumpaddle {

/// What a strategy may know of a waiting job.
struct job_facts {
  double Accelerators = 0;
  double EstimatedSeconds = 0;
  double WaitedSeconds = 0;
};

/// How one task would lie on one worker.
struct worker_fit {
  int Accelerators = 0;   ///< taken by the task
  int FreeBefore = 0;     ///< offered on the worker before
  int WorkerSize = 0;     ///< accelerators of the worker
  int SplitLevels = 0;    ///< halvings of the free buddy that the task takes
  bool Scattered = false; ///< not inside one free aligned buddy
  double LifetimeGapSeconds = 0; ///< between the task's expected end and the
                                 ///< latest expected end on the worker
};

/// What a deployment weighs, as numbers that decisions compare. Stateless.
class scheduling_strategy {
public:
  virtual ~scheduling_strategy() = default;

  /// Order of waiting jobs; smaller goes first.
  virtual double rank(const job_facts &Job) const = 0;
  /// Cost of a fit; smaller is better.
  virtual double fitCost(const worker_fit &Fit) const = 0;
  /// Wait after which a gang gets capacity reserved.
  virtual std::chrono::seconds starvationWait(const job_facts &Job) const = 0;
  /// True if moving borrowed gangs at the price of \p LostSeconds of work on
  /// one accelerator pays for \p SavedSeconds less wait of \p Job.
  virtual bool moveIsWorth(const job_facts &Job, double LostSeconds,
                           double SavedSeconds) const = 0;
};

/// Strategy of a deployment's setting.
std::unique_ptr<const scheduling_strategy> makeStrategy(objective Objective);

} // namespace geraniumpaddle
