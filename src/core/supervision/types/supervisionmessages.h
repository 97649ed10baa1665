#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/ledger/types/record.h"

#include <chrono>
#include <variant>
#include <vector>

namespace geraniumpaddle {

struct supervision_settings {
  /// Between repeats of a call that was not acknowledged.
  duration RetryInterval = std::chrono::seconds(1);
  duration MaxRetryInterval = std::chrono::seconds(30);
  /// When a gang whose lead is gone has certainly stopped.
  duration LeaseExpiryBound = std::chrono::seconds(20);
  /// Attempts that are over and still have to be told so, at the most.
  std::size_t MaxSuperseded = 4096;
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

/// The attempt has to stop: it was cancelled, or another one preempted it.
struct attempt_stop_requested {
  fencing_token Token{};
  job_outcome Reason = job_outcome::Cancelled;
};

/// The log says that the attempt is over.
struct attempt_ended {
  fencing_token Token{};
  job_outcome Outcome = job_outcome::Succeeded;
};

/// A worker's agent registered a new run, or its worker came back.
struct worker_returned {
  worker_id Worker;
};

/// The log says that the worker is lost.
struct worker_lost {
  worker_id Worker;
};

/// The agent answered a send_assignment or send_stop; \p Settled is false if
/// it has to be repeated.
struct assignment_answered {
  fencing_token Token{};
  bool Settled = false;
};
struct stop_answered {
  fencing_token Token{};
  worker_id Worker;
  bool Settled = false;
};

/// The log has not judged a propose_lease_expired; it is to be repeated.
struct lease_expiry_undetermined {
  fencing_token Token{};
};

/// The entries that are alive have changed.
struct ownership_changed {};

struct supervision_timer_expired {};

using supervision_event =
    std::variant<attempt_placed, attempt_started, attempt_stop_requested,
                 attempt_ended, worker_returned, worker_lost,
                 assignment_answered, stop_answered, lease_expiry_undetermined,
                 ownership_changed, supervision_timer_expired>;

/// Tell the lead's agent its gang; answered by assignment_answered.
struct send_assignment {
  job_id Job;
  fencing_token Token{};
  worker_id Lead;
};

/// Tell an agent that an attempt has to stop; answered by stop_answered.
struct send_stop {
  fencing_token Token{};
  worker_id Worker;
  job_outcome Reason = job_outcome::Cancelled;
  bool ToLead = false; ///< as the leader of the gang, not as a member
};

/// Propose that the attempt ended because its leases lapsed.
struct propose_lease_expired {
  job_id Job;
  fencing_token Token{};
  worker_id Lead;
};

/// Send supervision_timer_expired at this time; replaces the earlier one.
struct set_supervision_timer {
  time_point At{};
};

using supervision_command =
    std::variant<send_assignment, send_stop, propose_lease_expired,
                 set_supervision_timer>;

} // namespace geraniumpaddle
