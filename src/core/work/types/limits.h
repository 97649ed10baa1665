#pragma once

#include "core/base/types/time.h"

namespace geraniumpaddle::work {

/// Time limits and options of the scheduler. Unless a comment gives another
/// reason, they are limits of the platform and come from the settings.
struct scheduler_limits {
  /// Length of a worker's lease, measured on the worker's clock from the
  /// listing for which it was granted.
  duration Lease = std::chrono::seconds(6);
  /// A scheduler acts as leader while its last answer from the store is younger
  /// than this. After an election, the scheduler of the previous term may
  /// therefore grant leases to workers for this long.
  duration LeaderLease = std::chrono::seconds(5);
  /// Time for all members of a gang to start before the run is stopped. Shorter
  /// than the platform's own limit, so that the members are stopped before they
  /// end by themselves.
  duration GangStartLimit = std::chrono::milliseconds(1500);
  /// Time within which all tasks of the first step of a guaranteed job have to
  /// be started.
  duration Reclaim = std::chrono::milliseconds(2700);
  /// A worker needs up to this long to stop a task.
  duration Stop = std::chrono::milliseconds(900);
  /// Added to the stop time when tasks are moved off a draining worker: time
  /// for orders, listings and reports.
  duration DrainMargin = std::chrono::milliseconds(300);
  /// Workers whose speeds differ by less than this count as equally fast; 0:
  /// speeds are not learned. From the settings.
  double SpeedStep = 0;
  /// Minimum time between two placement rounds.
  duration RoundInterval = std::chrono::milliseconds(20);
};

/// Deadline of a job as a multiple of its objective; the platform pays nothing
/// for a job that takes longer.
constexpr int DeadlineFactor = 3;

/// A longer lease would only delay the restart of a lost worker's tasks;
/// entries are rarely unreachable for longer.
constexpr duration MaxLease = std::chrono::seconds(6);

/// The platform allows a worker's clock to run slow by this fraction.
constexpr double MaxWorkerClockDrift = 0.02;
/// Added to the lease, since the worker may list an end with a delay.
constexpr duration LeaseMargin = std::chrono::milliseconds(300);

} // namespace geraniumpaddle::work
