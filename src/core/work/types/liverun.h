#pragma once

#include "core/work/types/worker.h"

namespace geraniumpaddle::work {

/// A run that has not ended for certain; it holds its worker's capacity.
struct live_run {
  run_ref Run;
  worker_instance Worker;
  resources Need;             ///< held on the worker
  std::uint32_t Priority = 0; ///< of its queue
  duration Expected{};        ///< time that it takes, as forecast
  time_point PlacedAt{};
  std::uint64_t StopIn = 0; ///< number of the orders that first lacked it
  bool Ordered = false;     ///< its worker's orders have it
  bool Started = false;     ///< a listing had it
  bool Listed = false;      ///< the last listing had it
  bool Stopping = false;    ///< not wanted any more
  bool Checkpointing = false;
  std::uint32_t GangSize = 1; ///< members that end with it; 1: no gang
  bool LongRunning = false;
  std::int32_t Percent = 0;
  time_point StartedAt{}; ///< when a listing first had it
  time_point PercentAt{}; ///< when its progress last rose
};

/// When \p Run should end: from its progress once there is some, before that
/// from the forecast.
time_point expectedEnd(const live_run &Run, time_point Now);

/// An accelerator counts as 8 cores, as the platform does.
double coreEquivalents(const resources &Need);

/// Core-seconds of \p Run since its last checkpoint, which a stop throws away.
double unsavedWork(const live_run &Run, time_point Now);

} // namespace geraniumpaddle::work
