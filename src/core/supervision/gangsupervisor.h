#pragma once

#include "core/supervision/iattemptowner.h"
#include "core/supervision/types/supervisionmessages.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// An entry's side of running gangs: makes sure that each accepted placement
/// reaches its lead, that attempts which are over are stopped wherever they
/// may still run, and that a gang whose lead is lost is ended in the log once
/// its leases have lapsed. Every call is idempotent, so that two entries which
/// both believe to own an attempt do no harm.
class gang_supervisor {
public:
  gang_supervisor(const supervision_settings &Settings,
                  const iattempt_owner &Owner);

  /// Decides on one event. The commands are valid until the next call.
  std::span<const supervision_command> handle(const supervision_event &Event,
                                              time_point Now);

  std::size_t attempts() const { return Attempts.size(); }
  std::size_t superseded() const { return Stops.size(); }

private:
  struct attempt {
    job_id Job;
    std::vector<worker_id> Workers;
    bool Started = false;
    bool Assigned = false; ///< acknowledged by the present run of the lead
    bool InFlight = false;
    std::optional<time_point> LeadLostAt;
    bool LapseProposed = false;
    time_point NextAt{};
    duration Retry{};

    const worker_id &lead() const { return Workers.front(); }
  };

  struct pending_stop {
    job_outcome Reason = job_outcome::Cancelled;
    worker_id Lead;
    std::set<worker_id> Waiting;  ///< not yet acknowledged
    std::set<worker_id> InFlight; ///< asked, not yet answered
    time_point NextAt{};
    duration Retry{};
  };

  void onPlaced(const attempt_placed &Event, time_point Now);
  void onStarted(const attempt_started &Event, time_point Now);
  void onStopWanted(const attempt_stop_requested &Event, time_point Now);
  void onOver(const attempt_ended &Event, time_point Now);
  void onWorkerReturned(const worker_returned &Event, time_point Now);
  void onWorkerLost(const worker_lost &Event, time_point Now);
  void onAssignmentAnswered(const assignment_answered &Event, time_point Now);
  void onStopAnswered(const stop_answered &Event, time_point Now);
  void onLapseUndecided(const lease_expiry_undetermined &Event, time_point Now);
  void onOwnershipChanged(const ownership_changed &Event, time_point Now);
  void onTimer(const supervision_timer_expired &Event, time_point Now);

  void stopWorkers(fencing_token Token, const attempt &Attempt,
                   job_outcome Reason, std::span<const worker_id> Workers,
                   time_point Now);
  void act(time_point Now);
  void actOnAttempt(fencing_token Token, attempt &Attempt, time_point Now);
  void actOnStop(fencing_token Token, pending_stop &Stop, time_point Now);
  void requestWakeup(time_point Now);
  bool lapseDue(const attempt &Attempt, time_point Now) const;
  duration nextRetry(duration Retry) const;

  const supervision_settings Settings;
  const iattempt_owner &Owner;
  std::map<fencing_token, attempt> Attempts;
  std::map<fencing_token, pending_stop> Stops;
  std::vector<supervision_command> Commands;
};

} // namespace geraniumpaddle
