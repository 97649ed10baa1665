#pragma once

#include "core/base/types/time.h"

namespace geraniumpaddle {

/// Largest difference in rate between two machines' clocks, in thousandths.
/// Crystal oscillators stay below 0.2; the rest allows for clock slewing.
constexpr int MaxClockDriftPerMille = 5;

/// Durations of the gang protocol. All members of a gang use the same values.
struct gang_timing {
  /// Longest time for which a gang may run without one of its members.
  duration Lease = std::chrono::seconds(15);
  /// Longest time between the sending of a message and its handling; a task
  /// is taken to be over only this long after its lease.
  duration DeliveryMargin = std::chrono::milliseconds(500);
  /// Between repeats of a call that has not been answered.
  duration RetryInterval = std::chrono::milliseconds(250);
  /// Between two looks at the worker's tasks while any of them runs.
  duration PollInterval = std::chrono::seconds(1);
  /// A checkpoint that takes longer is cut off.
  duration CheckpointLimit = std::chrono::seconds(1);
  /// Between repeats of a report to an entry.
  duration ReportInterval = std::chrono::seconds(1);
  /// How long answers to late messages about an attempt that is over are kept.
  duration Retention = std::chrono::minutes(10);

  /// Between two rounds of renewal.
  duration renewInterval() const { return Lease / 3; }
  /// Lease of a task at its start and at each renewal. A member may die just
  /// after it answered a round, so one round and one task lease make a Lease.
  duration taskLease() const { return Lease - renewInterval(); }
  /// Time limit of a call to a member: two tries fit into a round.
  duration callTimeout() const { return renewInterval() / 2; }
  /// When a lease of \p Granted is certainly over on another machine.
  duration leaseExpiryBound(duration Granted) const {
    return Granted + Granted * MaxClockDriftPerMille / 1000 + DeliveryMargin;
  }
  /// An attempt whose members are not all prepared by then is given up: two
  /// leases, within which every earlier holder has stopped or lapsed.
  duration prepareTimeout() const { return 2 * Lease + CheckpointLimit; }
};

} // namespace geraniumpaddle
