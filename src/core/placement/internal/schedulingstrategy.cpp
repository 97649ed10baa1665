#include "core/placement/schedulingstrategy.h"

#include <algorithm>
#include <cmath>

namespace geraniumpaddle {

namespace {

/// A job counts as starved after the longer of these two waits: a number of
/// hours, or of its own expected run times.
constexpr double StarvedAfterHours = 4;
constexpr double StarvedAfterRunTimes = 4;
constexpr double SecondsPerHour = 3600;

/// Expected run time, weighted by the gang size, divided by the shortest time
/// from submission to end that is still possible.
double sizeWeightedRank(const job_profile &Job, double SizeExponent) {
  double Size = std::pow(std::max(1.0, Job.Accelerators), SizeExponent);
  return Job.EstimatedSeconds * Size /
         (Job.WaitedSeconds + Job.EstimatedSeconds);
}

/// Minimizes the mean completion time: shortest jobs first, with aging.
class completion_time_strategy final : public scheduling_strategy {
public:
  double rank(const job_profile &Job) const override {
    return sizeWeightedRank(Job, 0.3);
  }

  double fitCost(const worker_fit &Fit) const override {
    bool SplitsWholeWorker =
        Fit.FreeBefore == Fit.WorkerSize && Fit.Accelerators < Fit.WorkerSize;
    return (SplitsWholeWorker ? 8.0 : 0.0) + Fit.SplitLevels +
           0.25 * (Fit.FreeBefore - Fit.Accelerators) +
           (Fit.Scattered ? 2.0 : 0.0);
  }

  std::chrono::seconds
  starvationThreshold(const job_profile &Job) const override {
    double Wait = std::max(StarvedAfterHours * SecondsPerHour,
                           StarvedAfterRunTimes * Job.EstimatedSeconds);
    return std::chrono::seconds{static_cast<std::int64_t>(Wait)};
  }

  bool relocationPaysOff(const job_profile &Job, double LostSeconds,
                         double SavedSeconds) const override {
    return 4 * LostSeconds < SavedSeconds * std::max(1.0, Job.Accelerators);
  }
};

/// Minimizes fragmentation: large gangs first, and workers that are entirely
/// free are kept so.
class fragmentation_strategy final : public scheduling_strategy {
public:
  double rank(const job_profile &Job) const override {
    return sizeWeightedRank(Job, -0.4);
  }

  double fitCost(const worker_fit &Fit) const override {
    bool SplitsWholeWorker =
        Fit.FreeBefore == Fit.WorkerSize && Fit.Accelerators < Fit.WorkerSize;
    double Gap = std::log2(1.0 + Fit.LifetimeGapSeconds / 600.0);
    return (SplitsWholeWorker ? 20.0 : 0.0) + Fit.SplitLevels +
           0.5 * (Fit.FreeBefore - Fit.Accelerators) +
           (Fit.Scattered ? 2.0 : 0.0) + 0.25 * Gap;
  }

  std::chrono::seconds starvationThreshold(const job_profile &) const override {
    return std::chrono::hours{2};
  }

  bool relocationPaysOff(const job_profile &Job, double LostSeconds,
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
