#include "core/work/types/liverun.h"

#include <algorithm>

namespace geraniumpaddle::work {

time_point expectedEnd(const live_run &Run, time_point Now) {
  constexpr int WholeRun = 100;
  // Early figures of progress are too rough to go by.
  constexpr int LeastPercent = 10;
  if (Run.LongRunning)
    return time_point::max();
  if (!Run.Started)
    return Now + Run.Expected;
  if (Run.Percent < LeastPercent)
    return std::max(Run.StartedAt + Run.Expected, Now);
  const duration Whole = (Run.PercentAt - Run.StartedAt) * WholeRun /
                         std::min(Run.Percent, WholeRun);
  return std::max(Run.StartedAt + Whole, Now);
}

double coreEquivalents(const resources &Need) {
  constexpr double AcceleratorCores = 8;
  constexpr double MilliCoresPerCore = 1000;
  return static_cast<double>(Need.MilliCores) / MilliCoresPerCore +
         AcceleratorCores * Need.Accelerators;
}

double unsavedWork(const live_run &Run, time_point Now) {
  // The platform saves after each second or two of work.
  constexpr double CheckpointAge = 1;
  const double Seconds =
      std::chrono::duration<double>(Now - Run.PlacedAt).count();
  return coreEquivalents(Run.Need) *
         (Run.Checkpointing ? std::min(Seconds, CheckpointAge) : Seconds);
}

} // namespace geraniumpaddle::work
