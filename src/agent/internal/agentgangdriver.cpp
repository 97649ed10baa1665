#include "agent/agentgangdriver.h"

#include "codec/protoconvert.h"
#include "core/base/error.h"
#include "core/base/membertable.h"
#include "core/gang/gangtaskid.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace geraniumpaddle {

namespace {

task_state taskState(worker_task_state State) {
  switch (State) {
  case worker_task_state::Running:
    return task_state::Running;
  case worker_task_state::Finished:
    return task_state::Finished;
  case worker_task_state::Failed:
    return task_state::Failed;
  case worker_task_state::Stopped:
    return task_state::Stopped;
  case worker_task_state::Checkpointing:
    return task_state::Checkpointing;
  }
  return task_state::Running;
}

worker_answer outcomeOf(const worker_result &Result) {
  if (Result.Refused)
    return worker_answer::Refused;
  if (Result.Status == call_status::Completed)
    return worker_answer::Answered;
  return worker_answer::Unanswered;
}

std::vector<task_status> statusOf(const worker_result &Result) {
  std::vector<task_status> Tasks;
  for (const worker_task &Task : Result.Tasks)
    if (auto Id = parseTaskId(Task.Task))
      Tasks.push_back({*Id, taskState(Task.State), Task.Accelerators,
                       Task.LeaseLeft, Task.Detail});
  return Tasks;
}

} // namespace

gang_host::gang_host(ievent_loop &Loop, ipeer_client &Peers, iworker &Worker,
                     entry_connector &Entries, const peer_identity &Self,
                     const worker_id &OwnWorker, const gang_timing &Timing)
    : Loop(Loop), Peers(Peers), Worker(Worker), Entries(Entries), Self(Self),
      Registry(OwnWorker, Timing), StateMachineTimer(Loop) {}

void gang_host::start() { push(agent_started{}); }

bool gang_host::handle(const proto::PeerRequest &Request,
                       const peer_responder &Respond) {
  std::uint64_t Call = LastCall + 1;
  auto Event = decodeGangRequest(Request, {call_origin::Peer, Call});
  if (!Event)
    return false;
  LastCall = Call;
  OpenCalls.emplace(Call, Respond);
  push(std::move(*Event));
  return true;
}

void gang_host::push(gang_event Event) {
  using table =
      member_table<&gang_host::onReply, &gang_host::onSend,
                   &gang_host::onReportStarted, &gang_host::onReportEnded,
                   &gang_host::onDescribe, &gang_host::onStartTask,
                   &gang_host::onRenewTasks, &gang_host::onCheckpointTask,
                   &gang_host::onStopTask, &gang_host::onSetTimer>;
  Events.push(std::move(Event), [this](const gang_event &Next) {
    for (const gang_command &Command : Registry.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

void gang_host::onReply(const gang_reply &Command) {
  auto Call = OpenCalls.extract(Command.Reply.Id);
  if (Call.empty())
    return;
  proto::PeerResponse Response;
  Response.set_incarnation(raw(Self.Incarnation));
  encodeGangReply(Command.Report, Response);
  Call.mapped()(std::move(Response));
}

void gang_host::onSend(const send_to_member &Command) {
  proto::PeerRequest Request = makeRequest(Self);
  encodeMemberMessage(Command.Message, Request);
  auto Done = [this, Token = Command.Token, Worker = Command.Worker,
               Call = Command.Call, Address = Command.PeerAddress,
               Alive = Alive](const peer_result &Result) {
    if (!*Alive)
      return;
    bool Answered = Result.Status == call_status::Completed;
    if (!Answered)
      Peers.reconnect(Address);
    push(member_answered{Token, Worker, Call, Answered,
                         Answered ? decodeMemberReport(Result.Response)
                                  : member_report{}});
  };
  Peers.call(Command.PeerAddress, Request, Command.Timeout, std::move(Done));
}

void gang_host::onReportStarted(const report_started &Command) {
  proto::JobReport Report;
  *Report.mutable_started() = toProto(job_started{Command.Job, Command.Token});
  sendReport(Command.Token, false, Report);
}

void gang_host::onReportEnded(const report_ended &Command) {
  proto::JobReport Report;
  *Report.mutable_ended() =
      toProto(job_ended{Command.Job, Command.Token, Command.Outcome,
                        Command.BlamedWorker, Command.Detail});
  sendReport(Command.Token, true, Report);
}

void gang_host::sendReport(fencing_token Token, bool Ended,
                           const proto::JobReport &Report) {
  Entries.report(Report, [this, Token, Ended,
                          Alive = Alive](const proto::RecordVerdict &Verdict) {
    if (*Alive)
      push(report_answered{Token, Ended, Verdict.determined(),
                           Verdict.accepted(),
                           static_cast<rejection>(Verdict.rejection())});
  });
}

void gang_host::onDescribe(const worker_describe &Command) {
  Worker.describe(workerAnswer(Command.Call, true));
}

void gang_host::onStartTask(const worker_start_task &Command) {
  Worker.start({formatTaskId(Command.Id), Command.Accelerators, Command.Need,
                Command.Command, Command.Lease},
               workerAnswer(Command.Call, false));
}

void gang_host::onRenewTasks(const worker_renew_tasks &Command) {
  std::vector<std::string> Names;
  for (const gang_task_id &Id : Command.Ids)
    Names.push_back(formatTaskId(Id));
  Worker.renew(Names, Command.Lease, workerAnswer(Command.Call, false));
}

void gang_host::onCheckpointTask(const worker_checkpoint_task &Command) {
  Worker.checkpoint(formatTaskId(Command.Id),
                    workerAnswer(Command.Call, false));
}

void gang_host::onStopTask(const worker_stop_task &Command) {
  Worker.stop(formatTaskId(Command.Id), workerAnswer(Command.Call, false));
}

void gang_host::onSetTimer(const set_gang_timer &Command) {
  if (Command.At == time_point::max())
    return StateMachineTimer.cancel();
  StateMachineTimer.startAt(Command.At, [this] { push(gang_timer_expired{}); });
}

worker_callback gang_host::workerAnswer(worker_call_id Call, bool Complete) {
  return [this, Call, Complete, Alive = Alive](const worker_result &Result) {
    if (!*Alive)
      return;
    worker_answer Outcome = outcomeOf(Result);
    push(worker_answered{Call, Outcome,
                         Complete && Outcome == worker_answer::Answered,
                         statusOf(Result)});
  };
}

} // namespace geraniumpaddle
