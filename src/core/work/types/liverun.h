#pragma once

#include "core/work/types/worker.h"

#include <span>

namespace geraniumpaddle::work {

/// Progress of a run, or of the slowest member of a gang, which the others wait
/// for at the end of their work.
struct run_pace {
  std::int32_t Percent = 0;
  time_point Since{};     ///< when Percent was reached
  bool AllStarted = true; ///< no member is still to start
};

/// A run that is not known to have ended; it occupies capacity of its worker.
struct live_run {
  run_ref Run;
  worker_instance Worker;
  resources Need;              ///< occupied on the worker
  std::uint32_t Priority = 0;  ///< of its queue
  duration ExpectedDuration{}; ///< as forecast
  time_point PlacedAt{};
  std::uint64_t StopOrdersNumber = 0; ///< first orders without it
  bool Ordered = false;               ///< listed in its worker's orders
  bool Started = false;               ///< seen in a listing
  bool Listed = false;                ///< seen in the last listing
  bool Stopping = false;              ///< its worker has to stop it
  bool Checkpointing = false;
  std::uint32_t GangSize = 1; ///< members, which end together; 1: no gang
  bool LongRunning = false;
  std::int32_t Percent = 0;
  std::int32_t StartPercent = 0;   ///< when it was first listed
  time_point StartedAt{};          ///< when it was first listed
  time_point PercentAt{};          ///< when Percent last increased
  run_pace Pace{};                 ///< decides when it ends
  std::int32_t SampledPercent = 0; ///< at the last sample of its speed
  std::int64_t SampledClockMs = 0; ///< the worker's clock at that sample
};

/// The pace of the gang with \p Members, or of a single run. With several
/// members at the same least progress, that of the one which came there last.
run_pace paceOf(std::span<const live_run *const> Members);

/// Estimates when \p Run ends: from its progress if that is meaningful,
/// otherwise from the forecast.
time_point expectedEnd(const live_run &Run, time_point Now);

/// Weighs resources in cores; the platform counts an accelerator as 8 cores.
double coreEquivalents(const resources &Need);

/// Core-seconds of \p Run since its last checkpoint, which a stop discards.
double unsavedCoreSeconds(const live_run &Run, time_point Now);

} // namespace geraniumpaddle::work
