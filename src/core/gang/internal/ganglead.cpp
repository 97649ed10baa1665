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

/// Victims on other workers stop through their own members.
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
    : Assignment(std::move(Assigned)), Timing(Timing), PhaseSince(Now) {
  for (const gang_member_info &Info : Assignment.Members) {
    member &Member = Members.emplace_back();
    Member.Info = Info;
    // An earlier run of this agent may have granted leases until now.
    Member.LeasedAt = Now;
  }
}

std::span<const gang_command> gang_lead::handle(const lead_event &Event,
                                                time_point Now) {
  using table =
      member_table<&gang_lead::onStop, &gang_lead::onMemberAnswered,
                   &gang_lead::onReportAnswered, &gang_lead::onWakeup>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  advance(Now);
  return Commands;
}

void gang_lead::onWakeup(const gang_timer_expired & /*Event*/,
                         time_point /*Now*/) {}

void gang_lead::onStop(const stop_gang &Event, time_point Now) {
  if (!OutcomeKnown)
    beginStop(Event.Reason, {}, {}, Now);
}

void gang_lead::onMemberAnswered(const member_answered &Event, time_point Now) {
  using judge =
      void (gang_lead::*)(member &, const member_report &, time_point);
  static constexpr std::array<judge, 8> Judges = {
      &gang_lead::judgePreparing, &gang_lead::judgePreparing,
      &gang_lead::judgePreparing, &gang_lead::judgeRunning,
      &gang_lead::judgeRunning,   &gang_lead::judgeStopping,
      &gang_lead::ignoreReport,   &gang_lead::ignoreReport};
  member *From = find(Event.Worker);
  if (!From)
    return;
  if (Event.Call == From->Call)
    From->Open = false;
  const bool Old = Event.Call < RoundStart;
  const bool Undecided = Event.Report.Refusal == gang_refusal::NotReady ||
                         Event.Report.Refusal == gang_refusal::Invalid;
  if (!Event.Answered || Old || Undecided)
    return;
  (this->*Judges[static_cast<std::size_t>(Phase)])(*From, Event.Report, Now);
}

void gang_lead::ignoreReport(member & /*From*/,
                             const member_report & /*Report*/,
                             time_point /*Now*/) {}

void gang_lead::judgePreparing(member &From, const member_report &Report,
                               time_point Now) {
  From.State = Report.State;
  if (Report.State == member_state::Failed)
    return beginStop(job_outcome::Failed, From.Info.Worker, Report.Detail, Now);
  if (Report.Refusal == gang_refusal::StaleToken)
    return beginStop(job_outcome::Aborted, {}, Report.Detail, Now);
  if (Report.State == member_state::Prepared)
    From.PreparedAt = Now;
}

void gang_lead::judgeRunning(member &From, const member_report &Report,
                             time_point Now) {
  From.State = Report.State;
  if (Report.State == member_state::Failed)
    return beginStop(job_outcome::Failed, From.Info.Worker, Report.Detail, Now);
  const bool Slow = Phase == lead_phase::Starting &&
                    Report.State == member_state::Prepared &&
                    Report.Refusal == gang_refusal::None;
  if (Slow)
    return;
  if (Report.Refusal == gang_refusal::None && hasStarted(Report.State))
    From.Answered = true;
  else
    beginStop(job_outcome::LeaseExpired, {}, Report.Detail, Now);
}

void gang_lead::judgeStopping(member &From, const member_report &Report,
                              time_point Now) {
  From.State = Report.State;
  // A member that knows nothing of the attempt runs nothing of it.
  if (Report.State == member_state::Unknown)
    From.State = member_state::Stopped;
  if (Report.State == member_state::Failed && !OutcomeKnown)
    beginStop(job_outcome::Failed, From.Info.Worker, Report.Detail, Now);
}

void gang_lead::onReportAnswered(const report_answered &Event, time_point Now) {
  const bool Expected =
      Phase == (Event.Ended ? lead_phase::Reporting : lead_phase::Recording);
  if (!Expected)
    return;
  ReportOpen = false;
  if (!Event.Determined)
    return;
  if (Event.Ended)
    enter(lead_phase::Done, Now);
  else if (Event.Accepted)
    enter(lead_phase::Opening, Now);
  else
    beginStop(job_outcome::Aborted, {}, "start rejected", Now);
}

void gang_lead::advance(time_point Now) {
  using step = void (gang_lead::*)(time_point);
  static constexpr std::array<step, 8> Steps = {
      &gang_lead::advancePreparing, &gang_lead::advanceRecording,
      &gang_lead::advanceOpening,   &gang_lead::advanceRunning,
      &gang_lead::advanceRunning,   &gang_lead::advanceStopping,
      &gang_lead::advanceReporting, &gang_lead::advanceDone};
  lead_phase Before = Phase;
  do {
    Before = Phase;
    Wakeup = time_point::max();
    (this->*Steps[static_cast<std::size_t>(Phase)])(Now);
  } while (Phase != Before);
}

void gang_lead::advancePreparing(time_point Now) {
  const bool AllKnown = std::ranges::none_of(Members, [](const member &Member) {
    return Member.State == member_state::Unknown;
  });
  const auto Started =
      std::ranges::count_if(Members, hasStarted, &member::State);
  // An earlier run of this agent opened the barrier.
  if (std::cmp_equal(Started, Members.size()))
    return enter(lead_phase::Running, Now);
  // Members that run while others do not, or that must not run once more.
  const bool Reopens = Assignment.Started && !Assignment.Idempotent;
  if (AllKnown && (Started > 0 || Reopens))
    return beginStop(job_outcome::LeaseExpired, {}, "half open barrier", Now);
  if (allAre(member_state::Prepared))
    return enter(lead_phase::Recording, Now);
  if (dueAt(PhaseSince + Timing.prepareTimeout(), Now))
    return beginStop(job_outcome::Aborted, {}, "not prepared in time", Now);
  prepareAll(Timing.RetryInterval, Now);
}

void gang_lead::advanceRecording(time_point Now) {
  // Members are asked again so that one that lost its hold takes it anew.
  prepareAll(Timing.renewInterval(), Now);
  if (ReportOpen || !dueAt(ReportedAt + Timing.ReportInterval, Now))
    return;
  report(report_started{Assignment.Job, Assignment.Token}, Now);
}

void gang_lead::advanceOpening(time_point Now) {
  if (allPreparedSince(Now - Timing.renewInterval()))
    return enter(lead_phase::Starting, Now);
  if (dueAt(PhaseSince + Timing.Lease, Now))
    return beginStop(job_outcome::Aborted, {}, "a hold was lost", Now);
  prepareAll(Timing.RetryInterval, Now);
}

void gang_lead::advanceRunning(time_point Now) {
  if (allAre(member_state::Finished)) {
    Outcome = job_outcome::Succeeded;
    return enter(lead_phase::Reporting, Now);
  }
  // Also after a pause of this process: the leases have lapsed meanwhile.
  if (dueAt(RoundSince + Timing.taskLease(), Now))
    return beginStop(job_outcome::LeaseExpired, {}, "a member was silent", Now);
  if (Phase == lead_phase::Starting && roundAnswered())
    Phase = lead_phase::Running;
  if (roundAnswered() && dueAt(RoundSince + Timing.renewInterval(), Now))
    beginRound(RoundSince, Now);
  // A member that answered the previous round may have died at its beginning;
  // the others must not run for longer than a lease from then.
  const duration Granted = LeasesFrom + Timing.Lease - Now;
  const fencing_token Token = Assignment.Token;
  if (Phase == lead_phase::Starting)
    sendToUnanswered(start_tasks{Token, Granted}, Now);
  else
    sendToUnanswered(renew_tasks{Token, Granted}, Now);
}

void gang_lead::advanceStopping(time_point Now) {
  const bool Checkpoint =
      Outcome == job_outcome::Preempted || Outcome == job_outcome::Cancelled;
  bool Over = true;
  for (member &Member : Members) {
    const duration Lapse =
        Timing.leaseExpiryBound(Timing.callTimeout() + Timing.taskLease());
    if (isOver(Member.State) || dueAt(Member.LeasedAt + Lapse, Now))
      continue;
    Over = false;
    const bool Due = dueAt(Member.SentAt + Timing.RetryInterval, Now);
    if (!Member.Sent || (!Member.Open && Due))
      send(Member, stop_tasks{Assignment.Token, Outcome, Checkpoint}, Now);
  }
  if (Over)
    enter(lead_phase::Reporting, Now);
}

void gang_lead::advanceReporting(time_point Now) {
  if (ReportOpen || !dueAt(ReportedAt + Timing.ReportInterval, Now))
    return;
  report(report_ended{Assignment.Job, Assignment.Token, Outcome, BlamedWorker,
                      Detail},
         Now);
}

void gang_lead::advanceDone(time_point /*Now*/) {}

void gang_lead::enter(lead_phase Next, time_point Now) {
  Phase = Next;
  PhaseSince = Now;
  ReportOpen = false;
  ReportedAt = Now - Timing.ReportInterval;
  const bool NewRound = Next == lead_phase::Starting ||
                        Next == lead_phase::Running ||
                        Next == lead_phase::Stopping;
  if (NewRound)
    beginRound(Now - Timing.renewInterval(), Now);
}

void gang_lead::beginRound(time_point Previous, time_point Now) {
  LeasesFrom = Previous;
  RoundSince = Now;
  RoundStart = member_call_id{LastCall + 1};
  for (member &Member : Members) {
    Member.Answered = Member.State == member_state::Finished;
    Member.Sent = false;
    Member.Open = false;
  }
}

void gang_lead::beginStop(job_outcome Reason, const worker_id &Blamed,
                          std::string_view Why, time_point Now) {
  if (Phase >= lead_phase::Reporting)
    return;
  OutcomeKnown =
      Reason != job_outcome::LeaseExpired && Reason != job_outcome::Aborted;
  Outcome = Reason;
  BlamedWorker = Blamed;
  Detail = Why;
  if (Phase != lead_phase::Stopping)
    enter(lead_phase::Stopping, Now);
}

void gang_lead::send(member &To, member_message Message, time_point Now) {
  To.Call = member_call_id{++LastCall};
  To.Open = true;
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
    const bool Fresh = Member.State == member_state::Prepared;
    const duration Pause = Fresh ? Interval : Timing.RetryInterval;
    if (!Member.Sent || (!Member.Open && dueAt(Member.SentAt + Pause, Now)))
      sendPrepare(Member, Now);
  }
}

void gang_lead::sendToUnanswered(const member_message &Message,
                                 time_point Now) {
  // Within the window only: a later lease would outlast the other members'.
  const bool InWindow = Now < RoundSince + Timing.renewInterval();
  for (member &Member : Members) {
    if (Member.Answered || !InWindow)
      continue;
    const bool Due = dueAt(Member.SentAt + Timing.RetryInterval, Now);
    if (Member.Sent && (Member.Open || !Due))
      continue;
    Member.LeasedAt = Now;
    send(Member, Message, Now);
  }
}

void gang_lead::report(gang_command Report, time_point Now) {
  ReportOpen = true;
  ReportedAt = Now;
  Commands.push_back(std::move(Report));
}

/// True if \p At has come; else makes sure of being woken then.
bool gang_lead::dueAt(time_point At, time_point Now) {
  if (Now >= At)
    return true;
  Wakeup = std::min(Wakeup, At);
  return false;
}

bool gang_lead::allAre(member_state State) const {
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
