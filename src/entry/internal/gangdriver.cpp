#include "entry/gangdriver.h"

#include "codec/protoconvert.h"
#include "core/base/membertable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration AssignTimeout = std::chrono::seconds(2);
constexpr duration ReportTimeout = std::chrono::seconds(8);

std::vector<worker_id> workersOf(std::span<const task_assignment> Assignments) {
  std::vector<worker_id> Workers;
  for (const task_assignment &Task : Assignments)
    if (std::find(Workers.begin(), Workers.end(), Task.Worker) == Workers.end())
      Workers.push_back(Task.Worker);
  return Workers;
}

} // namespace

gang_driver::gang_driver(ievent_loop &Loop, ipeer_client &Peers, iproposer &Log,
                         const iattempt_owner &Owner, const peer_identity &Self,
                         const supervision_settings &Settings)
    : Loop(Loop), Peers(Peers), Log(Log), Self(Self),
      Supervisor(Settings, Owner), SupervisorTimer(Loop) {}

void gang_driver::start() {
  Started = true;
  onStateReplaced();
}

void gang_driver::onStateReplaced() {
  if (!Started)
    return;
  for (const job_entry *Job : Log.state().runningAttempts())
    observePlaced(*Job);
  for (const worker_entry &Worker : Log.state().workers())
    if (Worker.State == worker_state::Lost)
      push(worker_lost{Worker.Info.Id});
}

void gang_driver::observePlaced(const job_entry &Job) {
  push(attempt_placed{Job.Spec.Id, Job.Token, workersOf(Job.Assignments)});
  if (Job.EverStarted)
    push(attempt_started{Job.Token});
  if (Job.State == job_state::Cancelling)
    push(attempt_stop_requested{Job.Token, job_outcome::Cancelled});
}

void gang_driver::onRecordApplied(log_offset Offset, const record &Record,
                                  const verdict &Verdict) {
  if (!Started || !Verdict.accepted())
    return;
  if (const auto *Placement = std::get_if<job_placed>(&Record.Body))
    observe(*Placement, Offset);
  else if (const auto *Start = std::get_if<job_started>(&Record.Body))
    push(attempt_started{Start->Token});
  else if (const auto *End = std::get_if<job_ended>(&Record.Body))
    observe(*End);
  else if (const auto *Cancel = std::get_if<job_cancelled>(&Record.Body)) {
    const job_entry *Job = Log.state().job(Cancel->Job);
    if (Job && Job->holdsCapacity())
      push(attempt_stop_requested{Job->Token, job_outcome::Cancelled});
  } else if (const auto *Worker = std::get_if<worker_registered>(&Record.Body))
    push(worker_returned{Worker->Worker.Id});
  else if (const auto *Change = std::get_if<worker_state_changed>(&Record.Body))
    observe(*Change);
}

void gang_driver::observe(const job_placed &Placement, log_offset Offset) {
  for (fencing_token Victim : Placement.Victims)
    push(attempt_ended{Victim, job_outcome::Preempted});
  Victims[Offset] = Placement.Victims;
  push(attempt_placed{Placement.Job, Offset, workersOf(Placement.Assignments)});
}

void gang_driver::observe(const job_ended &End) {
  Victims.erase(End.Token);
  push(attempt_ended{End.Token, End.Outcome});
}

void gang_driver::observe(const worker_state_changed &Change) {
  if (Change.State == worker_state::Lost)
    push(worker_lost{Change.Worker});
  else
    push(worker_returned{Change.Worker});
}

void gang_driver::push(supervision_event Event) {
  using table =
      member_table<&gang_driver::onSendAssignment, &gang_driver::onSendStop,
                   &gang_driver::onProposeLeaseExpired,
                   &gang_driver::onSetTimer>;
  Events.push(std::move(Event), [this](const supervision_event &Next) {
    for (const supervision_command &Command :
         Supervisor.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

assign_gang gang_driver::makeAssignment(const job_entry &Job) const {
  assign_gang Gang;
  Gang.Job = Job.Spec.Id;
  Gang.Token = Job.Token;
  Gang.Attempt = Job.Attempt;
  Gang.Idempotent = Job.Spec.Idempotent;
  Gang.Started = Job.State == job_state::Running;
  Gang.Command = Job.Spec.Command;
  for (const task_assignment &Task : Job.Assignments)
    Gang.Tasks.push_back({Task, Job.Spec.Tasks[Task.Task].Need});
  for (const worker_id &Id : workersOf(Job.Assignments))
    if (const worker_entry *Worker = Log.state().worker(Id))
      Gang.Members.push_back(
          {Id, Worker->PeerAddress, Worker->AgentIncarnation});
  auto Found = Victims.find(Job.Token);
  if (Found != Victims.end())
    Gang.Victims = Found->second;
  return Gang;
}

void gang_driver::onSendAssignment(const send_assignment &Command) {
  const job_entry *Job = Log.state().attempt(Command.Token);
  const worker_entry *Lead = Log.state().worker(Command.Lead);
  if (!Job || !Lead)
    return push(assignment_answered{Command.Token, false});
  proto::PeerRequest Request = makeRequest(Self);
  *Request.mutable_assign_gang() = toProto(makeAssignment(*Job));
  Peers.call(Lead->PeerAddress, Request, AssignTimeout,
             [this, Token = Command.Token, Address = Lead->PeerAddress,
              Alive = Alive](const peer_result &Result) {
               if (!*Alive)
                 return;
               if (Result.Status != call_status::Completed)
                 Peers.reconnect(Address);
               bool Accepted = Result.Status == call_status::Completed &&
                               Result.Response.refusal() == proto::REFUSAL_NONE;
               push(assignment_answered{Token, Accepted});
             });
}

void gang_driver::onSendStop(const send_stop &Command) {
  const worker_entry *Worker = Log.state().worker(Command.Worker);
  if (!Worker)
    return push(stop_answered{Command.Token, Command.Worker, true});
  proto::PeerRequest Request = makeRequest(Self);
  if (Command.ToLead) {
    Request.mutable_stop_gang()->set_token(raw(Command.Token));
    Request.mutable_stop_gang()->set_reason(toProto(Command.Reason));
  } else {
    encodeMemberMessage(stop_tasks{Command.Token, Command.Reason,
                                   Command.Reason == job_outcome::Preempted},
                        Request);
  }
  Peers.call(Worker->PeerAddress, Request, AssignTimeout,
             [this, Command, Alive = Alive](const peer_result &Result) {
               if (!*Alive)
                 return;
               bool Handled =
                   Result.Status == call_status::Completed &&
                   Result.Response.refusal() != proto::REFUSAL_NOT_READY;
               push(stop_answered{Command.Token, Command.Worker, Handled});
             });
}

void gang_driver::onProposeLeaseExpired(const propose_lease_expired &Command) {
  Logger.warning("gang lease expired: lead lost",
                 {.Job = Command.Job.view(), .Offset = raw(Command.Token)});
  Log.propose(actor_id(Self.Node.view()),
              job_ended{Command.Job, Command.Token, job_outcome::LeaseExpired,
                        Command.Lead, "lead lost"},
              ReportTimeout,
              [this, Token = Command.Token,
               Alive = Alive](const proposal_answered &Answer) {
                if (*Alive && Answer.Outcome != proposal_outcome::Decided)
                  push(lease_expiry_undetermined{Token});
              });
}

void gang_driver::onSetTimer(const set_supervision_timer &Command) {
  SupervisorTimer.startAt(Command.At,
                          [this] { push(supervision_timer_expired{}); });
}

/// A lead retries a report whose answer was lost.
bool gang_driver::alreadyRecorded(const proto::JobReport &Report) const {
  if (!Report.has_started())
    return false;
  const job_entry *Job =
      Log.state().attempt(fencing_token{Report.started().token()});
  return Job && Job->State == job_state::Running;
}

void gang_driver::respond(const peer_responder &Respond,
                          const proto::RecordVerdict &Verdict) const {
  proto::PeerResponse Response;
  Response.set_incarnation(raw(Self.Incarnation));
  *Response.mutable_verdict() = Verdict;
  Respond(std::move(Response));
}

void gang_driver::onReport(const node_id &Agent, const proto::JobReport &Report,
                           const peer_responder &Respond) {
  if (!Log.ready())
    return respond(Respond, proto::RecordVerdict());
  if (alreadyRecorded(Report))
    return respond(Respond,
                   encodeVerdict(verdict{}, Log.state().lastApplied()));
  record_body Body = Report.has_started()
                         ? record_body(fromProto(Report.started()))
                         : record_body(fromProto(Report.ended()));
  Log.propose(actor_id(Agent.view()), std::move(Body), ReportTimeout,
              [this, Respond, Alive = Alive](const proposal_answered &Answer) {
                if (!*Alive)
                  return;
                bool Decided = Answer.Outcome == proposal_outcome::Decided;
                respond(Respond,
                        Decided ? encodeVerdict(Answer.Verdict, Answer.Offset)
                                : proto::RecordVerdict());
              });
}

} // namespace geraniumpaddle
