#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/ledger/types/record.h"

#include <chrono>
#include <variant>
#include <vector>

namespace geraniumpaddle {

struct supervision_settings {
  /// Before the first retry of an unacknowledged call; doubles with each retry.
  duration RetryInterval = std::chrono::seconds(1);
  duration MaxRetryInterval = std::chrono::seconds(30);
  /// Time after the loss of the lead until the gang has certainly stopped.
  duration LeaseExpiryBound = std::chrono::seconds(20);
  /// Largest number of stops that workers have not acknowledged; the oldest are
  /// dropped.
  std::size_t MaxPendingStops = 4096;
};

/// The log accepted a placement. The first worker leads the gang.
struct attempt_placed {
  job_id Job;
  fencing_token Token{};
  std::vector<worker_id> Workers;
};

/// The log accepted that the gang is prepared: the barrier may be open.
struct attempt_started {
  fencing_token Token{};
};

/// The attempt has to stop: it was cancelled or preempted.
struct attempt_stop_requested {
  fencing_token Token{};
  job_outcome Reason = job_outcome::Cancelled;
};

/// The log accepted the end of the attempt.
struct attempt_ended {
  fencing_token Token{};
  job_outcome Outcome = job_outcome::Succeeded;
};

/// A new incarnation of a worker's agent registered, or a lost worker returned.
struct worker_returned {
  worker_id Worker;
};

/// The log accepted that the worker is lost.
struct worker_lost {
  worker_id Worker;
};

/// The agent answered a send_assignment or send_stop; \p Acknowledged is false
/// if it has to be repeated.
struct assignment_answered {
  fencing_token Token{};
  bool Acknowledged = false;
};
struct stop_answered {
  fencing_token Token{};
  worker_id Worker;
  bool Acknowledged = false;
};

/// The log did not decide on a propose_lease_expired, which has to be repeated.
struct lease_expiry_undetermined {
  fencing_token Token{};
};

/// The set of live entries has changed.
struct ownership_changed {};

/// The time set by the last set_supervision_timer has been reached.
struct supervision_timer_expired {};

using supervision_event =
    std::variant<attempt_placed, attempt_started, attempt_stop_requested,
                 attempt_ended, worker_returned, worker_lost,
                 assignment_answered, stop_answered, lease_expiry_undetermined,
                 ownership_changed, supervision_timer_expired>;

/// Send the assignment to the lead's agent; answered by assignment_answered.
struct send_assignment {
  job_id Job;
  fencing_token Token{};
  worker_id Lead;
};

/// Send a stop of the attempt to an agent; answered by stop_answered.
struct send_stop {
  fencing_token Token{};
  worker_id Worker;
  job_outcome Reason = job_outcome::Cancelled;
  bool ToLead = false; ///< to the lead of the gang, not to a member
};

/// Propose the end of the attempt because its leases expired.
struct propose_lease_expired {
  job_id Job;
  fencing_token Token{};
  worker_id Lead;
};

/// Send supervision_timer_expired at this time; replaces the previous timer.
struct set_supervision_timer {
  time_point At{};
};

using supervision_command =
    std::variant<send_assignment, send_stop, propose_lease_expired,
                 set_supervision_timer>;

} // namespace geraniumpaddle
