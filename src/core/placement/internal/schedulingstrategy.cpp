#include "core/placement/schedulingstrategy.h"

#include <algorithm>
#include <cmath>

namespace geraniumpaddle {

namespace {

/// Small work first, raised by its age: mean completion time.
class completion_time_strategy final : public scheduling_strategy {
public:
  double rank(const job_facts &Job) const override {
    double Work = Job.EstimatedSeconds * std::max(1.0, Job.Accelerators);
    return Work / (Job.WaitedSeconds + Job.EstimatedSeconds);
  }

  double fitCost(const worker_fit &Fit) const override {
    bool Breaks =
        Fit.FreeBefore == Fit.WorkerSize && Fit.Accelerators < Fit.WorkerSize;
    return (Breaks ? 8.0 : 0.0) + Fit.SplitLevels +
           0.25 * (Fit.FreeBefore - Fit.Accelerators) +
           (Fit.Scattered ? 2.0 : 0.0);
  }

  std::chrono::seconds starvationWait(const job_facts &Job) const override {
    return std::chrono::seconds{
        static_cast<std::int64_t>(std::max(3600.0, Job.EstimatedSeconds))};
  }

  bool moveIsWorth(const job_facts &Job, double LostSeconds,
                   double SavedSeconds) const override {
    return 4 * LostSeconds < SavedSeconds * std::max(1.0, Job.Accelerators);
  }
};

/// Wide gangs first and workers kept whole: little scattered capacity.
class fragmentation_strategy final : public scheduling_strategy {
public:
  double rank(const job_facts &Job) const override {
    double Work = Job.EstimatedSeconds * std::max(1.0, Job.Accelerators);
    return Work / (Job.WaitedSeconds + Job.EstimatedSeconds);
  }

  double fitCost(const worker_fit &Fit) const override {
    bool Breaks =
        Fit.FreeBefore == Fit.WorkerSize && Fit.Accelerators < Fit.WorkerSize;
    double Gap = std::log2(1.0 + Fit.LifetimeGapSeconds / 600.0);
    return (Breaks ? 20.0 : 0.0) + Fit.SplitLevels +
           0.5 * (Fit.FreeBefore - Fit.Accelerators) +
           (Fit.Scattered ? 2.0 : 0.0) + 0.25 * Gap;
  }

  std::chrono::seconds starvationWait(const job_facts &) const override {
    return std::chrono::seconds{1800};
  }

  bool moveIsWorth(const job_facts &Job, double LostSeconds,
                   double SavedSeconds) const override {
    return 2 * LostSeconds < SavedSeconds * std::max(1.0, Job.Accelerators);
  }
};

} // namespace

std::unique_ptr<const scheduling_strategy> makeStrategy(objective Objective) {
  if (Objective == objective::CompletionTime)
    return std::make_unique<completion_time_strategy>();
  return std::make_unique<fragmentation_strategy>();
}

} // namespace geraniumpaddle
