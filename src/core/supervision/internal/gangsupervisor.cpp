#include "core/supervision/gangsupervisor.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

gang_supervisor::gang_supervisor(const supervision_settings &Settings,
                                 const iattempt_owner &Owner)
    : Settings(Settings), Owner(Owner) {}

std::span<const supervision_command>
gang_supervisor::handle(const supervision_event &Event, time_point Now) {
  using table = member_table<
      &gang_supervisor::onPlaced, &gang_supervisor::onStarted,
      &gang_supervisor::onStopWanted, &gang_supervisor::onOver,
      &gang_supervisor::onWorkerReturned, &gang_supervisor::onWorkerLost,
      &gang_supervisor::onAssignmentAnswered, &gang_supervisor::onStopAnswered,
      &gang_supervisor::onLapseUndecided, &gang_supervisor::onOwnershipChanged,
      &gang_supervisor::onTimer>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  act(Now);
  requestWakeup(Now);
  return Commands;
}

void gang_supervisor::onPlaced(const attempt_placed &Event, time_point Now) {
  if (Event.Workers.empty())
    return;
  attempt &Attempt = Attempts[Event.Token];
  Attempt.Job = Event.Job;
  Attempt.Workers = Event.Workers;
  Attempt.NextAt = Now;
  Attempt.Retry = Settings.RetryInterval;
}

void gang_supervisor::onStarted(const attempt_started &Event, time_point) {
  auto Found = Attempts.find(Event.Token);
  if (Found != Attempts.end())
    Found->second.Started = true;
}

void gang_supervisor::onStopWanted(const attempt_stop_requested &Event,
                                   time_point Now) {
  auto Found = Attempts.find(Event.Token);
  if (Found == Attempts.end())
    return;
  const worker_id &Lead = Found->second.lead();
  stopWorkers(Event.Token, Found->second, Event.Reason, {&Lead, 1}, Now);
}

/// A lead that reported the end itself has stopped every member before; of any
/// other end the workers may not know.
void gang_supervisor::onOver(const attempt_ended &Event, time_point Now) {
  auto Found = Attempts.find(Event.Token);
  if (Found == Attempts.end())
    return;
  if (Event.Outcome == job_outcome::LeaseExpired ||
      Event.Outcome == job_outcome::Preempted)
    stopWorkers(Event.Token, Found->second, Event.Outcome,
                Found->second.Workers, Now);
  Attempts.erase(Found);
}

void gang_supervisor::stopWorkers(fencing_token Token, const attempt &Attempt,
                                  job_outcome Reason,
                                  std::span<const worker_id> Workers,
                                  time_point Now) {
  pending_stop &Stop = Stops[Token];
  Stop.Reason = Reason;
  Stop.Lead = Attempt.lead();
  Stop.Waiting.insert(Workers.begin(), Workers.end());
  Stop.NextAt = Now;
  Stop.Retry = Settings.RetryInterval;
  if (Stops.size() > Settings.MaxSuperseded)
    Stops.erase(Stops.begin());
}

void gang_supervisor::onWorkerReturned(const worker_returned &Event,
                                       time_point Now) {
  for (auto &[Token, Attempt] : Attempts) {
    if (Attempt.lead() != Event.Worker)
      continue;
    Attempt.LeadLostAt.reset();
    Attempt.LapseProposed = false;
    Attempt.Assigned = false;
    Attempt.InFlight = false;
    Attempt.NextAt = Now;
    Attempt.Retry = Settings.RetryInterval;
  }
  for (auto &[Token, Stop] : Stops) {
    if (!Stop.Waiting.contains(Event.Worker))
      continue;
    Stop.InFlight.erase(Event.Worker);
    Stop.NextAt = Now;
    Stop.Retry = Settings.RetryInterval;
  }
}

void gang_supervisor::onWorkerLost(const worker_lost &Event, time_point Now) {
  for (auto &[Token, Attempt] : Attempts)
    if (Attempt.lead() == Event.Worker && !Attempt.LeadLostAt)
      Attempt.LeadLostAt = Now;
}

void gang_supervisor::onAssignmentAnswered(const assignment_answered &Event,
                                           time_point Now) {
  auto Found = Attempts.find(Event.Token);
  if (Found == Attempts.end() || !Found->second.InFlight)
    return;
  attempt &Attempt = Found->second;
  Attempt.InFlight = false;
  Attempt.Assigned = Event.Settled;
  Attempt.NextAt = Now + Attempt.Retry;
  Attempt.Retry = nextRetry(Attempt.Retry);
}

void gang_supervisor::onStopAnswered(const stop_answered &Event,
                                     time_point Now) {
  auto Found = Stops.find(Event.Token);
  if (Found == Stops.end())
    return;
  pending_stop &Stop = Found->second;
  Stop.InFlight.erase(Event.Worker);
  if (Event.Settled)
    Stop.Waiting.erase(Event.Worker);
  if (Stop.Waiting.empty()) {
    Stops.erase(Found);
    return;
  }
  if (Stop.InFlight.empty()) {
    Stop.NextAt = Now + Stop.Retry;
    Stop.Retry = nextRetry(Stop.Retry);
  }
}

void gang_supervisor::onLapseUndecided(const lease_expiry_undetermined &Event,
                                       time_point) {
  auto Found = Attempts.find(Event.Token);
  if (Found != Attempts.end())
    Found->second.LapseProposed = false;
}

/// The entry that looked after an attempt may have died before it was told.
void gang_supervisor::onOwnershipChanged(const ownership_changed &,
                                         time_point Now) {
  for (auto &[Token, Attempt] : Attempts) {
    Attempt.Assigned = false;
    Attempt.LapseProposed = false;
    Attempt.NextAt = Now;
  }
}

void gang_supervisor::onTimer(const supervision_timer_expired &, time_point) {}

void gang_supervisor::act(time_point Now) {
  for (auto &[Token, Attempt] : Attempts)
    if (Owner.owns(Token))
      actOnAttempt(Token, Attempt, Now);
  for (auto &[Token, Stop] : Stops)
    if (Owner.owns(Token))
      actOnStop(Token, Stop, Now);
}

/// A gang that has not started cannot start any more once its end is in the
/// log, so nothing has to lapse.
bool gang_supervisor::lapseDue(const attempt &Attempt, time_point Now) const {
  if (!Attempt.LeadLostAt || Attempt.LapseProposed)
    return false;
  return !Attempt.Started ||
         Now >= *Attempt.LeadLostAt + Settings.LeaseExpiryBound;
}

void gang_supervisor::actOnAttempt(fencing_token Token, attempt &Attempt,
                                   time_point Now) {
  if (lapseDue(Attempt, Now)) {
    Attempt.LapseProposed = true;
    Commands.emplace_back(
        propose_lease_expired{Attempt.Job, Token, Attempt.lead()});
  }
  bool Wanted = !Attempt.Assigned && !Attempt.InFlight && !Attempt.LeadLostAt;
  if (!Wanted || Attempt.NextAt > Now)
    return;
  Attempt.InFlight = true;
  Commands.emplace_back(send_assignment{Attempt.Job, Token, Attempt.lead()});
}

void gang_supervisor::actOnStop(fencing_token Token, pending_stop &Stop,
                                time_point Now) {
  if (!Stop.InFlight.empty() || Stop.NextAt > Now)
    return;
  Stop.InFlight = Stop.Waiting;
  for (const worker_id &Worker : Stop.Waiting)
    Commands.emplace_back(
        send_stop{Token, Worker, Stop.Reason, Worker == Stop.Lead});
}

void gang_supervisor::requestWakeup(time_point Now) {
  time_point At = time_point::max();
  for (const auto &[Token, Attempt] : Attempts) {
    if (!Owner.owns(Token))
      continue;
    if (Attempt.LeadLostAt && !Attempt.LapseProposed)
      At = std::min(At, *Attempt.LeadLostAt + Settings.LeaseExpiryBound);
    if (!Attempt.Assigned && !Attempt.InFlight && !Attempt.LeadLostAt)
      At = std::min(At, Attempt.NextAt);
  }
  for (const auto &[Token, Stop] : Stops)
    if (Owner.owns(Token) && Stop.InFlight.empty())
      At = std::min(At, Stop.NextAt);
  if (At != time_point::max())
    Commands.emplace_back(set_supervision_timer{std::max(At, Now)});
}

duration gang_supervisor::nextRetry(duration Retry) const {
  return std::min(2 * Retry, Settings.MaxRetryInterval);
}

} // namespace geraniumpaddle
