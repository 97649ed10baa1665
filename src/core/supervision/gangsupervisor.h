#pragma once

#include "core/supervision/iattemptowner.h"
#include "core/supervision/types/supervisionmessages.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Supervises running gangs from an entry: makes sure that each accepted
/// placement reaches its lead, that ended attempts are stopped wherever they
/// may still run, and that a gang whose lead is lost is ended in the log once
/// its leases have expired. Every call is idempotent, so two entries may safely
/// both assume that they own an attempt.
class gang_supervisor {
public:
  gang_supervisor(const supervision_settings &Settings,
                  const iattempt_owner &Owner);

  /// Handles one event. The commands are valid until the next call.
  std::span<const supervision_command> handle(const supervision_event &Event,
                                              time_point Now);

  std::size_t attempts() const { return Attempts.size(); }
  std::size_t pendingStops() const { return PendingStops.size(); }

private:
  struct attempt {
    job_id Job;
    std::vector<worker_id> Workers;
    bool Started = false;
    bool Assigned = false; ///< acknowledged by the lead's current incarnation
    bool InFlight = false;
    std::optional<time_point> LeadLostAt;
    bool ExpiryProposed = false;
    time_point NextSendAt{};
    duration RetryDelay{};

    const worker_id &lead() const { return Workers.front(); }
  };

  struct pending_stop {
    job_outcome Reason = job_outcome::Cancelled;
    worker_id Lead;
    std::set<worker_id> Unacknowledged; ///< by these workers
    std::set<worker_id> InFlight;       ///< workers with a call in flight
    time_point NextSendAt{};
    duration RetryDelay{};
  };

  void onPlaced(const attempt_placed &Event, time_point Now);
  void onStarted(const attempt_started &Event, time_point Now);
  void onStopRequested(const attempt_stop_requested &Event, time_point Now);
  void onEnded(const attempt_ended &Event, time_point Now);
  void onWorkerReturned(const worker_returned &Event, time_point Now);
  void onWorkerLost(const worker_lost &Event, time_point Now);
  void onAssignmentAnswered(const assignment_answered &Event, time_point Now);
  void onStopAnswered(const stop_answered &Event, time_point Now);
  void onExpiryUndetermined(const lease_expiry_undetermined &Event,
                            time_point Now);
  void onOwnershipChanged(const ownership_changed &Event, time_point Now);
  void onTimerExpired(const supervision_timer_expired &Event, time_point Now);

  void requestStop(fencing_token Token, const attempt &Attempt,
                   job_outcome Reason, std::span<const worker_id> Workers,
                   time_point Now);
  void sendDue(time_point Now);
  void advanceAttempt(fencing_token Token, attempt &Attempt, time_point Now);
  void advanceStop(fencing_token Token, pending_stop &Stop, time_point Now);
  void requestTimer(time_point Now);
  bool expiryDue(const attempt &Attempt, time_point Now) const;
  duration nextRetryDelay(duration RetryDelay) const;

  const supervision_settings Settings;
  const iattempt_owner &Owner;
  std::map<fencing_token, attempt> Attempts;
  std::map<fencing_token, pending_stop> PendingStops;
  std::vector<supervision_command> Commands;
};

} // namespace geraniumpaddle
