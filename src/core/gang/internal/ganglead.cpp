#include "core/gang/ganglead.h"

#include "core/base/membertable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace geraniumpaddle {

namespace {

bool hasStarted(member_state State) {
  return State == member_state::Running || State == member_state::Finished;
}

/// Victims on other workers are stopped by the members there.
prepare_tasks makePrepare(const assign_gang &Assignment,
                          const worker_id &Worker) {
  prepare_tasks Message{Assignment.Job,
                        Assignment.Token,
                        Assignment.Command,
                        {},
                        Assignment.Victims};
  for (const gang_task &Task : Assignment.Tasks) {
    if (Task.Assignment.Worker == Worker)
      Message.Tasks.push_back(Task);
  }
  return Message;
}

} // namespace

gang_lead::gang_lead(assign_gang Assigned, const gang_timing &Timing,
                     time_point Now)
    : Assignment(std::move(Assigned)), Timing(Timing), PhaseStartedAt(Now) {
  for (const gang_member_info &Info : Assignment.Members) {
    member &Member = Members.emplace_back();
    Member.Info = Info;
    // A previous incarnation of this agent may have granted leases until now.
    Member.LeasedAt = Now;
  }
}

std::span<const gang_command> gang_lead::handle(const lead_event &Event,
                                                time_point Now) {
  using table =
      member_table<&gang_lead::onStop, &gang_lead::onMemberAnswered,
                   &gang_lead::onReportAnswered, &gang_lead::onTimerExpired>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  advance(Now);
  return Commands;
}

void gang_lead::onTimerExpired(const gang_timer_expired & /*Event*/,
                               time_point /*Now*/) {}

void gang_lead::onStop(const stop_gang &Event, time_point Now) {
  if (!OutcomeFinal)
    beginStop(Event.Reason, {}, {}, Now);
}

void gang_lead::onMemberAnswered(const member_answered &Event, time_point Now) {
  using handler =
      void (gang_lead::*)(member &, const member_report &, time_point);
  static constexpr std::array<handler, 8> Handlers = {
      &gang_lead::handlePreparing, &gang_lead::handlePreparing,
      &gang_lead::handlePreparing, &gang_lead::handleRunning,
      &gang_lead::handleRunning,   &gang_lead::handleStopping,
      &gang_lead::ignoreReport,    &gang_lead::ignoreReport};
  member *Sender = find(Event.Worker);
  if (!Sender)
    return;
  if (Event.Call == Sender->Call)
    Sender->CallPending = false;
  const bool Outdated = Event.Call < FirstCallOfRound;
  const bool Indeterminate = Event.Report.Refusal == gang_refusal::NotReady ||
                             Event.Report.Refusal == gang_refusal::Invalid;
  if (!Event.Answered || Outdated || Indeterminate)
    return;
  (this->*Handlers[static_cast<std::size_t>(Phase)])(*Sender, Event.Report,
                                                     Now);
}

void gang_lead::ignoreReport(member & /*Sender*/,
                             const member_report & /*Report*/,
                             time_point /*Now*/) {}

void gang_lead::handlePreparing(member &Sender, const member_report &Report,
                                time_point Now) {
  Sender.State = Report.State;
  if (Report.State == member_state::Failed)
    return beginStop(job_outcome::Failed, Sender.Info.Worker, Report.Detail,
                     Now);
  if (Report.Refusal == gang_refusal::StaleToken)
    return beginStop(job_outcome::Aborted, {}, Report.Detail, Now);
  if (Report.State == member_state::Prepared)
    Sender.PreparedAt = Now;
}

void gang_lead::handleRunning(member &Sender, const member_report &Report,
                              time_point Now) {
  Sender.State = Report.State;
  if (Report.State == member_state::Failed)
    return beginStop(job_outcome::Failed, Sender.Info.Worker, Report.Detail,
                     Now);
  const bool StillStarting = Phase == lead_phase::Starting &&
                             Report.State == member_state::Prepared &&
                             Report.Refusal == gang_refusal::None;
  if (StillStarting)
    return;
  if (Report.Refusal == gang_refusal::None && hasStarted(Report.State))
    Sender.Answered = true;
  else
    beginStop(job_outcome::LeaseExpired, {}, Report.Detail, Now);
}

void gang_lead::handleStopping(member &Sender, const member_report &Report,
                               time_point Now) {
  Sender.State = Report.State;
  // A member that does not know the attempt runs none of its tasks.
  if (Report.State == member_state::Unknown)
    Sender.State = member_state::Stopped;
  if (Report.State == member_state::Failed && !OutcomeFinal)
    beginStop(job_outcome::Failed, Sender.Info.Worker, Report.Detail, Now);
}

void gang_lead::onReportAnswered(const report_answered &Event, time_point Now) {
  const bool Expected =
      Phase == (Event.Ended ? lead_phase::Reporting : lead_phase::Recording);
  if (!Expected)
    return;
  ReportPending = false;
  if (!Event.Determined)
    return;
  if (Event.Ended)
    enter(lead_phase::Done, Now);
  else if (Event.Accepted)
    enter(lead_phase::Confirming, Now);
  else
    beginStop(job_outcome::Aborted, {}, "start rejected", Now);
}

void gang_lead::advance(time_point Now) {
  using step = void (gang_lead::*)(time_point);
  static constexpr std::array<step, 8> Steps = {
      &gang_lead::advancePreparing,  &gang_lead::advanceRecording,
      &gang_lead::advanceConfirming, &gang_lead::advanceRunning,
      &gang_lead::advanceRunning,    &gang_lead::advanceStopping,
      &gang_lead::advanceReporting,  &gang_lead::advanceDone};
  lead_phase Before = Phase;
  do {
    Before = Phase;
    TimerAt = time_point::max();
    (this->*Steps[static_cast<std::size_t>(Phase)])(Now);
  } while (Phase != Before);
}

void gang_lead::advancePreparing(time_point Now) {
  const bool AllKnown = std::ranges::none_of(Members, [](const member &Member) {
    return Member.State == member_state::Unknown;
  });
  const auto Started =
      std::ranges::count_if(Members, hasStarted, &member::State);
  // A previous incarnation of this agent opened the barrier.
  if (std::cmp_equal(Started, Members.size()))
    return enter(lead_phase::Running, Now);
  // Some members run and others do not, or the attempt must not start twice.
  const bool WouldRestart = Assignment.Started && !Assignment.Idempotent;
  if (AllKnown && (Started > 0 || WouldRestart))
    return beginStop(job_outcome::LeaseExpired, {}, "half open barrier", Now);
  if (allMembersIn(member_state::Prepared))
    return enter(lead_phase::Recording, Now);
  if (isDue(PhaseStartedAt + Timing.prepareTimeout(), Now))
    return beginStop(job_outcome::Aborted, {}, "not prepared in time", Now);
  prepareAll(Timing.RetryInterval, Now);
}

void gang_lead::advanceRecording(time_point Now) {
  // Repeated so that a member that lost its reservation makes it again.
  prepareAll(Timing.renewInterval(), Now);
  if (ReportPending || !isDue(ReportedAt + Timing.ReportInterval, Now))
    return;
  sendReport(report_started{Assignment.Job, Assignment.Token}, Now);
}

void gang_lead::advanceConfirming(time_point Now) {
  if (allPreparedSince(Now - Timing.renewInterval()))
    return enter(lead_phase::Starting, Now);
  if (isDue(PhaseStartedAt + Timing.Lease, Now))
    return beginStop(job_outcome::Aborted, {}, "a hold was lost", Now);
  prepareAll(Timing.RetryInterval, Now);
}

void gang_lead::advanceRunning(time_point Now) {
  if (allMembersIn(member_state::Finished)) {
    Outcome = job_outcome::Succeeded;
    return enter(lead_phase::Reporting, Now);
  }
  // Also after this process was paused: the leases have expired meanwhile.
  if (isDue(RoundStartedAt + Timing.taskLease(), Now))
    return beginStop(job_outcome::LeaseExpired, {}, "a member was silent", Now);
  if (Phase == lead_phase::Starting && roundAnswered())
    Phase = lead_phase::Running;
  if (roundAnswered() && isDue(RoundStartedAt + Timing.renewInterval(), Now))
    beginRound(RoundStartedAt, Now);
  // A member that answered the previous round may have failed right at its
  // start; the others must not run for longer than one lease from then.
  const duration Granted = PreviousRoundAt + Timing.Lease - Now;
  const fencing_token Token = Assignment.Token;
  if (Phase == lead_phase::Starting)
    sendToUnanswered(start_tasks{Token, Granted}, Now);
  else
    sendToUnanswered(renew_tasks{Token, Granted}, Now);
}

void gang_lead::advanceStopping(time_point Now) {
  const bool Checkpoint =
      Outcome == job_outcome::Preempted || Outcome == job_outcome::Cancelled;
  bool AllStopped = true;
  for (member &Member : Members) {
    const duration ExpiresAfter =
        Timing.leaseExpiryBound(Timing.callTimeout() + Timing.taskLease());
    if (isTerminal(Member.State) || isDue(Member.LeasedAt + ExpiresAfter, Now))
      continue;
    AllStopped = false;
    const bool Due = isDue(Member.SentAt + Timing.RetryInterval, Now);
    if (!Member.Sent || (!Member.CallPending && Due))
      send(Member, stop_tasks{Assignment.Token, Outcome, Checkpoint}, Now);
  }
  if (AllStopped)
    enter(lead_phase::Reporting, Now);
}

void gang_lead::advanceReporting(time_point Now) {
  if (ReportPending || !isDue(ReportedAt + Timing.ReportInterval, Now))
    return;
  sendReport(report_ended{Assignment.Job, Assignment.Token, Outcome,
                          BlamedWorker, Detail},
             Now);
}

void gang_lead::advanceDone(time_point /*Now*/) {}

void gang_lead::enter(lead_phase Next, time_point Now) {
  Phase = Next;
  PhaseStartedAt = Now;
  ReportPending = false;
  ReportedAt = Now - Timing.ReportInterval;
  const bool NewRound = Next == lead_phase::Starting ||
                        Next == lead_phase::Running ||
                        Next == lead_phase::Stopping;
  if (NewRound)
    beginRound(Now - Timing.renewInterval(), Now);
}

void gang_lead::beginRound(time_point Previous, time_point Now) {
  PreviousRoundAt = Previous;
  RoundStartedAt = Now;
  FirstCallOfRound = member_call_id{LastCall + 1};
  for (member &Member : Members) {
    Member.Answered = Member.State == member_state::Finished;
    Member.Sent = false;
    Member.CallPending = false;
  }
}

void gang_lead::beginStop(job_outcome Reason, const worker_id &Blamed,
                          std::string_view Cause, time_point Now) {
  if (Phase >= lead_phase::Reporting)
    return;
  OutcomeFinal =
      Reason != job_outcome::LeaseExpired && Reason != job_outcome::Aborted;
  Outcome = Reason;
  BlamedWorker = Blamed;
  Detail = Cause;
  if (Phase != lead_phase::Stopping)
    enter(lead_phase::Stopping, Now);
}

void gang_lead::send(member &To, member_message Message, time_point Now) {
  To.Call = member_call_id{++LastCall};
  To.CallPending = true;
  To.Sent = true;
  To.SentAt = Now;
  Commands.emplace_back(
      send_to_member{Assignment.Token, To.Info.Worker, To.Info.PeerAddress,
                     To.Call, Timing.callTimeout(), std::move(Message)});
}

void gang_lead::sendPrepare(member &To, time_point Now) {
  send(To, makePrepare(Assignment, To.Info.Worker), Now);
}

void gang_lead::prepareAll(duration Interval, time_point Now) {
  for (member &Member : Members) {
    const bool IsPrepared = Member.State == member_state::Prepared;
    const duration Wait = IsPrepared ? Interval : Timing.RetryInterval;
    if (!Member.Sent ||
        (!Member.CallPending && isDue(Member.SentAt + Wait, Now)))
      sendPrepare(Member, Now);
  }
}

void gang_lead::sendToUnanswered(const member_message &Message,
                                 time_point Now) {
  // Only within the window: a later lease would outlast those of the others.
  const bool InWindow = Now < RoundStartedAt + Timing.renewInterval();
  for (member &Member : Members) {
    if (Member.Answered || !InWindow)
      continue;
    const bool Due = isDue(Member.SentAt + Timing.RetryInterval, Now);
    if (Member.Sent && (Member.CallPending || !Due))
      continue;
    Member.LeasedAt = Now;
    send(Member, Message, Now);
  }
}

void gang_lead::sendReport(gang_command Report, time_point Now) {
  ReportPending = true;
  ReportedAt = Now;
  Commands.push_back(std::move(Report));
}

/// True if \p At has been reached; otherwise requests a timer for it.
bool gang_lead::isDue(time_point At, time_point Now) {
  if (Now >= At)
    return true;
  TimerAt = std::min(TimerAt, At);
  return false;
}

bool gang_lead::allMembersIn(member_state State) const {
  return std::ranges::all_of(
      Members, [&](const member &Member) { return Member.State == State; });
}

bool gang_lead::allPreparedSince(time_point Since) const {
  return std::ranges::all_of(Members, [&](const member &Member) {
    return Member.State == member_state::Prepared && Member.PreparedAt >= Since;
  });
}

bool gang_lead::roundAnswered() const {
  return std::ranges::all_of(Members, &member::Answered);
}

gang_lead::member *gang_lead::find(const worker_id &Worker) {
  const auto Found = std::ranges::find_if(Members, [&](const member &Member) {
    return Member.Info.Worker == Worker;
  });
  return Found == Members.end() ? nullptr : &*Found;
}

} // namespace geraniumpaddle
