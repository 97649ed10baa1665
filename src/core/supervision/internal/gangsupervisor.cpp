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
      &gang_supervisor::onStopRequested, &gang_supervisor::onEnded,
      &gang_supervisor::onWorkerReturned, &gang_supervisor::onWorkerLost,
      &gang_supervisor::onAssignmentAnswered, &gang_supervisor::onStopAnswered,
      &gang_supervisor::onExpiryUndetermined,
      &gang_supervisor::onOwnershipChanged, &gang_supervisor::onTimerExpired>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  sendDue(Now);
  requestTimer(Now);
  return Commands;
}

void gang_supervisor::onPlaced(const attempt_placed &Event, time_point Now) {
  if (Event.Workers.empty())
    return;
  attempt &Attempt = Attempts[Event.Token];
  Attempt.Job = Event.Job;
  Attempt.Workers = Event.Workers;
  Attempt.NextSendAt = Now;
  Attempt.RetryDelay = Settings.RetryInterval;
}

void gang_supervisor::onStarted(const attempt_started &Event, time_point) {
  auto Found = Attempts.find(Event.Token);
  if (Found != Attempts.end())
    Found->second.Started = true;
}

void gang_supervisor::onStopRequested(const attempt_stop_requested &Event,
                                      time_point Now) {
  auto Found = Attempts.find(Event.Token);
  if (Found == Attempts.end())
    return;
  const worker_id &Lead = Found->second.lead();
  requestStop(Event.Token, Found->second, Event.Reason, {&Lead, 1}, Now);
}

/// A lead that reported the end itself has stopped every member before. After
/// any other end the workers may not know about it.
void gang_supervisor::onEnded(const attempt_ended &Event, time_point Now) {
  auto Found = Attempts.find(Event.Token);
  if (Found == Attempts.end())
    return;
  if (Event.Outcome == job_outcome::LeaseExpired ||
      Event.Outcome == job_outcome::Preempted)
    requestStop(Event.Token, Found->second, Event.Outcome,
                Found->second.Workers, Now);
  Attempts.erase(Found);
}

void gang_supervisor::requestStop(fencing_token Token, const attempt &Attempt,
                                  job_outcome Reason,
                                  std::span<const worker_id> Workers,
                                  time_point Now) {
  pending_stop &Stop = PendingStops[Token];
  Stop.Reason = Reason;
  Stop.Lead = Attempt.lead();
  Stop.Unacknowledged.insert(Workers.begin(), Workers.end());
  Stop.NextSendAt = Now;
  Stop.RetryDelay = Settings.RetryInterval;
  if (PendingStops.size() > Settings.MaxPendingStops)
    PendingStops.erase(PendingStops.begin());
}

void gang_supervisor::onWorkerReturned(const worker_returned &Event,
                                       time_point Now) {
  for (auto &[Token, Attempt] : Attempts) {
    if (Attempt.lead() != Event.Worker)
      continue;
    Attempt.LeadLostAt.reset();
    Attempt.ExpiryProposed = false;
    Attempt.Assigned = false;
    Attempt.InFlight = false;
    Attempt.NextSendAt = Now;
    Attempt.RetryDelay = Settings.RetryInterval;
  }
  for (auto &[Token, Stop] : PendingStops) {
    if (!Stop.Unacknowledged.contains(Event.Worker))
      continue;
    Stop.InFlight.erase(Event.Worker);
    Stop.NextSendAt = Now;
    Stop.RetryDelay = Settings.RetryInterval;
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
  Attempt.Assigned = Event.Acknowledged;
  Attempt.NextSendAt = Now + Attempt.RetryDelay;
  Attempt.RetryDelay = nextRetryDelay(Attempt.RetryDelay);
}

void gang_supervisor::onStopAnswered(const stop_answered &Event,
                                     time_point Now) {
  auto Found = PendingStops.find(Event.Token);
  if (Found == PendingStops.end())
    return;
  pending_stop &Stop = Found->second;
  Stop.InFlight.erase(Event.Worker);
  if (Event.Acknowledged)
    Stop.Unacknowledged.erase(Event.Worker);
  if (Stop.Unacknowledged.empty()) {
    PendingStops.erase(Found);
    return;
  }
  if (Stop.InFlight.empty()) {
    Stop.NextSendAt = Now + Stop.RetryDelay;
    Stop.RetryDelay = nextRetryDelay(Stop.RetryDelay);
  }
}

void gang_supervisor::onExpiryUndetermined(
    const lease_expiry_undetermined &Event, time_point) {
  auto Found = Attempts.find(Event.Token);
  if (Found != Attempts.end())
    Found->second.ExpiryProposed = false;
}

/// The previous owner may have failed before it sent an assignment or proposal.
void gang_supervisor::onOwnershipChanged(const ownership_changed &,
                                         time_point Now) {
  for (auto &[Token, Attempt] : Attempts) {
    Attempt.Assigned = false;
    Attempt.ExpiryProposed = false;
    Attempt.NextSendAt = Now;
  }
}

void gang_supervisor::onTimerExpired(const supervision_timer_expired &,
                                     time_point) {}

void gang_supervisor::sendDue(time_point Now) {
  for (auto &[Token, Attempt] : Attempts)
    if (Owner.owns(Token))
      advanceAttempt(Token, Attempt, Now);
  for (auto &[Token, Stop] : PendingStops)
    if (Owner.owns(Token))
      advanceStop(Token, Stop, Now);
}

/// A gang that has not started cannot start any more once its end is in the
/// log, so there are no leases to wait for.
bool gang_supervisor::expiryDue(const attempt &Attempt, time_point Now) const {
  if (!Attempt.LeadLostAt || Attempt.ExpiryProposed)
    return false;
  return !Attempt.Started ||
         Now >= *Attempt.LeadLostAt + Settings.LeaseExpiryBound;
}

void gang_supervisor::advanceAttempt(fencing_token Token, attempt &Attempt,
                                     time_point Now) {
  if (expiryDue(Attempt, Now)) {
    Attempt.ExpiryProposed = true;
    Commands.emplace_back(
        propose_lease_expired{Attempt.Job, Token, Attempt.lead()});
  }
  bool MustSend = !Attempt.Assigned && !Attempt.InFlight && !Attempt.LeadLostAt;
  if (!MustSend || Attempt.NextSendAt > Now)
    return;
  Attempt.InFlight = true;
  Commands.emplace_back(send_assignment{Attempt.Job, Token, Attempt.lead()});
}

void gang_supervisor::advanceStop(fencing_token Token, pending_stop &Stop,
                                  time_point Now) {
  if (!Stop.InFlight.empty() || Stop.NextSendAt > Now)
    return;
  Stop.InFlight = Stop.Unacknowledged;
  for (const worker_id &Worker : Stop.Unacknowledged)
    Commands.emplace_back(
        send_stop{Token, Worker, Stop.Reason, Worker == Stop.Lead});
}

void gang_supervisor::requestTimer(time_point Now) {
  time_point At = time_point::max();
  for (const auto &[Token, Attempt] : Attempts) {
    if (!Owner.owns(Token))
      continue;
    if (Attempt.LeadLostAt && !Attempt.ExpiryProposed)
      At = std::min(At, *Attempt.LeadLostAt + Settings.LeaseExpiryBound);
    if (!Attempt.Assigned && !Attempt.InFlight && !Attempt.LeadLostAt)
      At = std::min(At, Attempt.NextSendAt);
  }
  for (const auto &[Token, Stop] : PendingStops)
    if (Owner.owns(Token) && Stop.InFlight.empty())
      At = std::min(At, Stop.NextSendAt);
  if (At != time_point::max())
    Commands.emplace_back(set_supervision_timer{std::max(At, Now)});
}

duration gang_supervisor::nextRetryDelay(duration RetryDelay) const {
  return std::min(2 * RetryDelay, Settings.MaxRetryInterval);
}

} // namespace geraniumpaddle
