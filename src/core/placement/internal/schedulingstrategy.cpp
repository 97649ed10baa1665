#include "core/placement/schedulingstrategy.h"

#include <algorithm>
#include <cmath>

namespace geraniumpaddle {

namespace {

/// Waits, in hours or expected run times, before a gang counts as starved.
constexpr double StarvedAfterHours = 4;
constexpr double StarvedAfterRunTimes = 4;
constexpr double SecondsPerHour = 3600;

/// Expected run time, weighed by the gang's size, over the time since arrival
/// that the job would have needed at best.
double rankBySize(const job_facts &Job, double SizeExponent) {
  double Size = std::pow(std::max(1.0, Job.Accelerators), SizeExponent);
  return Job.EstimatedSeconds * Size /
         (Job.WaitedSeconds + Job.EstimatedSeconds);
}

/// Small work first, raised by its age: mean completion time.
class completion_time_strategy final : public scheduling_strategy {
public:
  double rank(const job_facts &Job) const override {
    return rankBySize(Job, 0.3);
  }

  double fitCost(const worker_fit &Fit) const override {
    bool Breaks =
        Fit.FreeBefore == Fit.WorkerSize && Fit.Accelerators < Fit.WorkerSize;
    return (Breaks ? 8.0 : 0.0) + Fit.SplitLevels +
           0.25 * (Fit.FreeBefore - Fit.Accelerators) +
           (Fit.Scattered ? 2.0 : 0.0);
  }

  std::chrono::seconds starvationWait(const job_facts &Job) const override {
    double Wait = std::max(StarvedAfterHours * SecondsPerHour,
                           StarvedAfterRunTimes * Job.EstimatedSeconds);
    return std::chrono::seconds{static_cast<std::int64_t>(Wait)};
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
    return rankBySize(Job, -0.4);
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
    return std::chrono::hours{2};
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
