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

std::vector<task_status> taskStatuses(const worker_result &Result) {
  std::vector<task_status> Tasks;
  for (const worker_task &Task : Result.Tasks)
    if (auto Id = parseTaskId(Task.Task))
      Tasks.push_back({*Id, taskState(Task.State), Task.Accelerators,
                       Task.LeaseLeft, Task.Detail});
  return Tasks;
}

} // namespace

agent_gang_driver::agent_gang_driver(ievent_loop &Loop, ipeer_client &Peers,
                                     iworker &Worker, entry_connector &Entries,
                                     const peer_identity &Self,
                                     const worker_id &OwnWorker,
                                     const gang_timing &Timing)
    : Loop(Loop), Peers(Peers), Worker(Worker), Entries(Entries), Self(Self),
      Registry(OwnWorker, Timing), RegistryTimer(Loop) {}

void agent_gang_driver::start() { push(agent_started{}); }

bool agent_gang_driver::handle(const proto::PeerRequest &Request,
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

void agent_gang_driver::push(gang_event Event) {
  using table = member_table<
      &agent_gang_driver::onReply, &agent_gang_driver::onSend,
      &agent_gang_driver::onReportStarted, &agent_gang_driver::onReportEnded,
      &agent_gang_driver::onDescribe, &agent_gang_driver::onStartTask,
      &agent_gang_driver::onRenewTasks, &agent_gang_driver::onCheckpointTask,
      &agent_gang_driver::onStopTask, &agent_gang_driver::onSetTimer>;
  Events.push(std::move(Event), [this](const gang_event &Next) {
    for (const gang_command &Command : Registry.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

void agent_gang_driver::onReply(const gang_reply &Command) {
  auto Call = OpenCalls.extract(Command.Reply.Id);
  if (Call.empty())
    return;
  proto::PeerResponse Response;
  Response.set_incarnation(raw(Self.Incarnation));
  encodeGangReply(Command.Report, Response);
  Call.mapped()(std::move(Response));
}

void agent_gang_driver::onSend(const send_to_member &Command) {
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

void agent_gang_driver::onReportStarted(const report_started &Command) {
  proto::JobReport Report;
  *Report.mutable_started() = toProto(job_started{Command.Job, Command.Token});
  sendReport(Command.Token, false, Report);
}

void agent_gang_driver::onReportEnded(const report_ended &Command) {
  proto::JobReport Report;
  *Report.mutable_ended() =
      toProto(job_ended{Command.Job, Command.Token, Command.Outcome,
                        Command.BlamedWorker, Command.Detail});
  sendReport(Command.Token, true, Report);
}

void agent_gang_driver::sendReport(fencing_token Token, bool Ended,
                                   const proto::JobReport &Report) {
  Entries.report(Report, [this, Token, Ended,
                          Alive = Alive](const proto::RecordVerdict &Verdict) {
    if (*Alive)
      push(report_answered{Token, Ended, Verdict.determined(),
                           Verdict.accepted(),
                           static_cast<rejection>(Verdict.rejection())});
  });
}

void agent_gang_driver::onDescribe(const worker_describe &Command) {
  Worker.describe(makeWorkerCallback(Command.Call, true));
}

void agent_gang_driver::onStartTask(const worker_start_task &Command) {
  Worker.start({formatTaskId(Command.Id), Command.Accelerators, Command.Need,
                Command.Command, Command.Lease},
               makeWorkerCallback(Command.Call, false));
}

void agent_gang_driver::onRenewTasks(const worker_renew_tasks &Command) {
  std::vector<std::string> TaskIds;
  for (const gang_task_id &Id : Command.Ids)
    TaskIds.push_back(formatTaskId(Id));
  Worker.renew(TaskIds, Command.Lease, makeWorkerCallback(Command.Call, false));
}

void agent_gang_driver::onCheckpointTask(
    const worker_checkpoint_task &Command) {
  Worker.checkpoint(formatTaskId(Command.Id),
                    makeWorkerCallback(Command.Call, false));
}

void agent_gang_driver::onStopTask(const worker_stop_task &Command) {
  Worker.stop(formatTaskId(Command.Id),
              makeWorkerCallback(Command.Call, false));
}

void agent_gang_driver::onSetTimer(const set_gang_timer &Command) {
  if (Command.At == time_point::max())
    return RegistryTimer.cancel();
  RegistryTimer.startAt(Command.At, [this] { push(gang_timer_expired{}); });
}

worker_callback agent_gang_driver::makeWorkerCallback(worker_call_id Call,
                                                      bool ListsAllTasks) {
  return [this, Call, ListsAllTasks,
          Alive = Alive](const worker_result &Result) {
    if (!*Alive)
      return;
    worker_answer Outcome = outcomeOf(Result);
    push(worker_answered{Call, Outcome,
                         ListsAllTasks && Outcome == worker_answer::Answered,
                         taskStatuses(Result)});
  };
}

} // namespace geraniumpaddle
