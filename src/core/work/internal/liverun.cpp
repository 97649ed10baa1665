#include "core/work/types/liverun.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle::work {

run_pace paceOf(std::span<const live_run *const> Members) {
  const auto IsSlower = [](const live_run *A, const live_run *B) {
    return std::pair(A->Percent, B->PercentAt) <
           std::pair(B->Percent, A->PercentAt);
  };
  const live_run &Slowest =
      **std::min_element(Members.begin(), Members.end(), IsSlower);
  return {.Percent = Slowest.Percent,
          .Since = Slowest.PercentAt,
          .AllStarted =
              std::all_of(Members.begin(), Members.end(),
                          [](const live_run *Each) { return Each->Started; })};
}

time_point expectedEnd(const live_run &Run, time_point Now) {
  constexpr int FullPercent = 100;
  // Less progress is too coarse to extrapolate.
  constexpr int MinPercent = 10;
  if (Run.LongRunning)
    return time_point::max();
  if (!Run.Started)
    return Now + Run.ExpectedDuration;
  // A run that resumes from a checkpoint starts with progress.
  const int ToDo = std::max(FullPercent - Run.StartPercent, 0);
  const int Done = std::min(Run.Pace.Percent, FullPercent) - Run.StartPercent;
  const duration Total = Done < MinPercent
                             ? Run.ExpectedDuration * ToDo / FullPercent
                             : (Run.Pace.Since - Run.StartedAt) * ToDo / Done;
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
