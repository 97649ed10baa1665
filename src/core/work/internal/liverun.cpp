#include "core/work/types/liverun.h"

#include <algorithm>

namespace geraniumpaddle::work {

time_point expectedEnd(const live_run &Run, time_point Now) {
  constexpr int FullPercent = 100;
  // Lower progress values are too coarse to extrapolate.
  constexpr int MinPercent = 10;
  if (Run.LongRunning)
    return time_point::max();
  if (!Run.Started)
    return Now + Run.ExpectedDuration;
  if (Run.Percent < MinPercent)
    return std::max(Run.StartedAt + Run.ExpectedDuration, Now);
  const duration Total = (Run.PercentAt - Run.StartedAt) * FullPercent /
                         std::min(Run.Percent, FullPercent);
  return std::max(Run.StartedAt + Total, Now);
}

double coreEquivalents(const resources &Need) {
  constexpr double AcceleratorCores = 8;
  constexpr double MilliCoresPerCore = 1000;
  return static_cast<double>(Need.MilliCores) / MilliCoresPerCore +
         AcceleratorCores * Need.Accelerators;
}

double unsavedCoreSeconds(const live_run &Run, time_point Now) {
  // The platform saves a checkpoint after each second or two of work.
  constexpr double MaxCheckpointAge = 1;
  const double Seconds =
      std::chrono::duration<double>(Now - Run.PlacedAt).count();
  return coreEquivalents(Run.Need) *
         (Run.Checkpointing ? std::min(Seconds, MaxCheckpointAge) : Seconds);
}

} // namespace geraniumpaddle::work
