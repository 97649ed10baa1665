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
  /// counts as stopped only this long after its lease expired.
  duration DeliveryMargin = std::chrono::milliseconds(500);
  /// Between retries of an unanswered call.
  duration RetryInterval = std::chrono::milliseconds(250);
  /// Between two polls of the worker's task list while any task runs.
  duration PollInterval = std::chrono::seconds(1);
  /// A checkpoint that takes longer is aborted.
  duration CheckpointLimit = std::chrono::seconds(1);
  /// Between retries of a report to an entry.
  duration ReportInterval = std::chrono::seconds(1);
  /// How long an ended attempt is remembered to answer late messages.
  duration Retention = std::chrono::minutes(10);

  /// Between two rounds of renewal.
  duration renewInterval() const { return Lease / 3; }
  /// Lease of a task at its start and at each renewal. A member may fail right
  /// after it answered a round, so a round and a task lease add up to Lease.
  duration taskLease() const { return Lease - renewInterval(); }
  /// Time limit of a call to a member: two attempts fit into a round.
  duration callTimeout() const { return renewInterval() / 2; }
  /// Time after which a lease of \p Granted has certainly expired on another
  /// machine.
  duration leaseExpiryBound(duration Granted) const {
    return Granted + Granted * MaxClockDriftPerMille / 1000 + DeliveryMargin;
  }
  /// An attempt whose members are not all prepared by then is aborted: within
  /// two leases every previous holder has stopped or its lease has expired.
  duration prepareTimeout() const { return 2 * Lease + CheckpointLimit; }
};

} // namespace geraniumpaddle
