#pragma once

#include "core/base/types/time.h"

namespace geraniumpaddle::work {

/// What the scheduler has to keep to. Figures without another source are the
/// platform's bounds, from the settings.
struct scheduler_limits {
  /// Lease of a worker, on its own clock, from the listing it was granted on.
  duration Lease = std::chrono::seconds(6);
  /// An earlier scheduler may have granted leases this long after another took
  /// office: it does so while its last answer from the store is younger.
  duration EarlierTerm = std::chrono::seconds(5);
  /// Time for a gang's members to start before the run is given up. Shorter
  /// than the platform's own limit, so that members are stopped, not left.
  duration GangStartLimit = std::chrono::milliseconds(1500);
  /// A guaranteed job has all tasks of its first step started by then.
  duration Reclaim = std::chrono::milliseconds(2700);
  /// A worker needs up to this long to stop a task.
  duration Stop = std::chrono::milliseconds(900);
  /// Before a draining worker leaves: orders, listings and reports take this
  /// long beside the stop itself.
  duration LeaveMargin = std::chrono::milliseconds(300);
  /// Time between two rounds of placement while events keep coming.
  duration RoundInterval = std::chrono::milliseconds(20);
};

/// The platform pays nothing for a job that takes longer than this many times
/// its objective.
constexpr int WorthlessAfter = 3;

/// Longer leases only make it longer until the tasks of a lost worker may run
/// elsewhere; entries are rarely out of reach for longer.
constexpr duration MaxLease = std::chrono::seconds(6);

/// The platform allows a worker's clock to run this much slow.
constexpr double WorkerClockError = 0.02;
/// Beyond the lease itself: the worker may list an end a little late.
constexpr duration LeaseMargin = std::chrono::milliseconds(300);

} // namespace geraniumpaddle::work
