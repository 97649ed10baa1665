#include "core/gang/tests/gangsimulation.h"

#include <algorithm>

namespace geraniumpaddle::testing {

namespace {

constexpr duration WorkerCallTimeout = std::chrono::seconds(1);
constexpr duration AssignInterval = std::chrono::milliseconds(500);

worker_id workerName(int Index) {
  return worker_id("w" + std::to_string(Index));
}

bool isLive(const fake_worker::task &Task) {
  return Task.State == task_state::Running ||
         Task.State == task_state::Checkpointing;
}

} // namespace

gang_simulation::gang_simulation(const network_faults &Faults)
    : Faults(Faults), Random(Faults.Seed) {
  for (int Agent = 0; Agent < Agents; ++Agent)
    restart(Agent);
  runFor(std::chrono::seconds(1));
}

void gang_simulation::at(time_point When, std::function<void()> Action) {
  Queue.emplace(std::max(When, Now), std::move(Action));
}

bool gang_simulation::chance(int Percent) {
  Random = Random * 6364136223846793005U + 1442695040888963407U;
  return static_cast<int>((Random >> 33) % 100) < Percent;
}

duration gang_simulation::delay() {
  Random = Random * 6364136223846793005U + 1442695040888963407U;
  return duration((Random >> 33) % (Faults.MaxDelay.count() + 1));
}

time_point gang_simulation::localTime(int Agent) const {
  const duration Since = Now.time_since_epoch();
  return Now + Since * Clocks[Agent].Drift / 1000;
}

duration gang_simulation::toSimulationTime(int Agent, duration Local) const {
  return Local * 1000 / (1000 + Clocks[Agent].Drift);
}

int gang_simulation::agentOf(const worker_id &Worker) const {
  return std::stoi(Worker.str().substr(1));
}

void gang_simulation::runFor(duration Time) {
  const time_point End = Now + Time;
  while (!Queue.empty() && Queue.begin()->first <= End) {
    auto Next = Queue.extract(Queue.begin());
    Now = std::max(Now, Next.key());
    for (int Worker = 0; Worker < Agents; ++Worker)
      expireTasks(Worker);
    Next.mapped()();
  }
  Now = End;
}

bool gang_simulation::runUntil(const std::function<bool()> &Condition,
                               duration Limit) {
  const time_point End = Now + Limit;
  while (!Condition() && Now < End)
    runFor(std::chrono::milliseconds(10));
  return Condition();
}

void gang_simulation::restart(int Agent) {
  agent &Target = Running[Agent];
  ++Target.Incarnation;
  Target.Calls.clear();
  Target.TimerAt = time_point::max();
  Target.Registry = std::make_unique<gang_registry>(workerName(Agent), Timing);
  post(Agent, agent_started{});
}

void gang_simulation::replaceWorker(int Agent) {
  for (auto &[Id, Task] : Workers[Agent].Tasks) {
    if (isLive(Task))
      endTask(Agent, Task, task_state::Stopped);
  }
  Workers[Agent].Tasks.clear();
  ++Workers[Agent].Incarnation;
  restart(Agent);
}

void gang_simulation::pause(int Agent, duration Length) {
  Running[Agent].PausedUntil =
      std::max(Running[Agent].PausedUntil, Now + Length);
}

void gang_simulation::disconnect(int Agent, duration Length) {
  Running[Agent].DisconnectedUntil =
      std::max(Running[Agent].DisconnectedUntil, Now + Length);
}

void gang_simulation::disconnectWorker(int Agent, duration Length) {
  Workers[Agent].Unresponsive = true;
  at(Now + Length, [this, Agent] { Workers[Agent].Unresponsive = false; });
}

void gang_simulation::dropWorkerAnswers(int Agent, int Count) {
  Workers[Agent].AnswersToDrop += Count;
}

void gang_simulation::startLogOutage(duration Length) {
  LogDownUntil = std::max(LogDownUntil, Now + Length);
}

fencing_token gang_simulation::place(std::string_view Job,
                                     std::vector<int> OnWorkers,
                                     accelerator_mask Mask,
                                     std::string_view Command,
                                     bool Idempotent) {
  placed_gang Gang;
  assign_gang &Assignment = Gang.Assignment;
  Assignment.Job = job_id(Job);
  Assignment.Token = fencing_token{LastToken += 10};
  Assignment.Idempotent = Idempotent;
  Assignment.Command = Command;
  for (const int Worker : OnWorkers) {
    const auto Task = static_cast<std::uint32_t>(Assignment.Tasks.size());
    const worker_id Name = workerName(Worker);
    Assignment.Tasks.push_back({{Task, Name, Mask, false}, {}});
    Assignment.Members.push_back({Name, Name.str(), {}});
  }
  for (auto &[Token, Other] : Placed) {
    const bool Overlaps =
        std::ranges::any_of(Other.Assignment.Tasks, [&](const gang_task &Task) {
          return (Task.Assignment.Accelerators & Mask) != 0 &&
                 std::ranges::count(OnWorkers, agentOf(Task.Assignment.Worker));
        });
    if (Other.Superseded || Other.Ended || !Overlaps)
      continue;
    Other.Superseded = true;
    Assignment.Victims.push_back(Token);
    stop(Token, job_outcome::Preempted);
  }
  Gang.Lead = OnWorkers.front();
  const fencing_token Token = Assignment.Token;
  Placed.emplace(Token, std::move(Gang));
  resendAssignment(Token);
  return Token;
}

void gang_simulation::stop(fencing_token Token, job_outcome Reason) {
  placed_gang &Gang = Placed.at(Token);
  Gang.Superseded = true;
  Gang.Stop = Reason;
  resendAssignment(Token);
}

/// An entry repeats the assignment until the attempt has ended.
void gang_simulation::resendAssignment(fencing_token Token) {
  placed_gang &Gang = Placed.at(Token);
  if (Gang.Ended)
    return;
  Gang.Assignment.Started = Gang.Started;
  const reply_handle NoReply{call_origin::Peer, 0};
  if (!chance(Faults.LossPercent)) {
    at(Now + delay(), [=, this, Assignment = Gang.Assignment] {
      post(Placed.at(Token).Lead,
           peer_request<assign_gang>{NoReply, Assignment});
    });
  }
  if (Gang.Stop) {
    const stop_gang Message{Token, *Gang.Stop};
    at(Now + delay(), [=, this] {
      post(Placed.at(Token).Lead, peer_request<stop_gang>{NoReply, Message});
    });
  }
  at(Now + AssignInterval, [this, Token] { resendAssignment(Token); });
}

void gang_simulation::post(int Agent, const gang_event &Event) {
  agent &Target = Running[Agent];
  if (Now < Target.PausedUntil) {
    const int Incarnation = Target.Incarnation;
    at(Target.PausedUntil, [=, this] {
      if (Running[Agent].Incarnation == Incarnation)
        post(Agent, Event);
    });
    return;
  }
  execute(Agent, Target.Registry->handle(Event, localTime(Agent)));
}

void gang_simulation::execute(int Agent,
                              std::span<const gang_command> Commands) {
  const std::vector<gang_command> Copies(Commands.begin(), Commands.end());
  for (const gang_command &Command : Copies)
    std::visit([&](const auto &Body) { onCommand(Agent, Body); }, Command);
}

void gang_simulation::onCommand(int Agent, const gang_reply &Command) {
  auto Call = Running[Agent].Calls.extract(Command.Reply.Id);
  if (Call)
    Call.mapped()(Command.Report);
}

void gang_simulation::onCommand(int Agent, const set_gang_timer &Command) {
  agent &Target = Running[Agent];
  Target.TimerAt = Command.At;
  if (Command.At == time_point::max())
    return;
  const duration Left = toSimulationTime(Agent, Command.At - localTime(Agent));
  const int Incarnation = Target.Incarnation;
  at(Now + Left + duration(1), [this, Agent, Incarnation, DueAt = Command.At] {
    expireTimer(Agent, Incarnation, DueAt);
  });
}

void gang_simulation::expireTimer(int Agent, int Incarnation,
                                  time_point DueAt) {
  agent &Target = Running[Agent];
  if (Target.Incarnation == Incarnation && Target.TimerAt == DueAt)
    post(Agent, gang_timer_expired{});
}

void gang_simulation::onCommand(int Agent, const send_to_member &Command) {
  const int Incarnation = Running[Agent].Incarnation;
  const int To = agentOf(Command.Worker);
  const auto TimeOut = [=, this] {
    if (Running[Agent].Incarnation == Incarnation)
      post(Agent, member_answered{
                      Command.Token, Command.Worker, Command.Call, false, {}});
  };
  at(Now + toSimulationTime(Agent, Command.Timeout), TimeOut);
  const int Copies = chance(Faults.DuplicatePercent) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (!chance(Faults.LossPercent))
      at(Now + delay(),
         [=, this] { deliver(Agent, To, Incarnation, Command); });
  }
}

void gang_simulation::deliver(int From, int To, int SenderIncarnation,
                              const send_to_member &Command) {
  if (Now < Running[To].DisconnectedUntil ||
      Now < Running[From].DisconnectedUntil)
    return;
  const std::uint64_t Id = ++LastCall;
  const auto Answer = [=, this](const member_report &Report) {
    if (Report.State == member_state::Prepared) {
      WasPrepared.emplace(Command.Token, To);
      checkPrepared(To, Command.Token);
    }
    if (chance(Faults.LossPercent))
      return;
    at(Now + delay(), [=, this] {
      if (Running[From].Incarnation == SenderIncarnation)
        post(From, member_answered{Command.Token, Command.Worker, Command.Call,
                                   true, Report});
    });
  };
  Running[To].Calls.emplace(Id, Answer);
  const reply_handle Reply{call_origin::Peer, Id};
  std::visit(
      [&](const auto &Message) {
        using message_type = std::decay_t<decltype(Message)>;
        post(To, peer_request<message_type>{Reply, Message});
      },
      Command.Message);
}

void gang_simulation::onCommand(int Agent, const report_started &Command) {
  const int Incarnation = Running[Agent].Incarnation;
  report_answered Answer{Command.Token, false, false, false, {}};
  if (Now >= LogDownUntil) {
    placed_gang &Gang = Placed.at(Command.Token);
    Answer.Determined = !chance(Faults.LossPercent);
    Answer.Accepted = !Gang.Superseded && !Gang.Ended;
    Gang.Started = Gang.Started || Answer.Accepted;
  }
  at(Now + delay(), [=, this] {
    if (Running[Agent].Incarnation == Incarnation)
      post(Agent, Answer);
  });
}

void gang_simulation::onCommand(int Agent, const report_ended &Command) {
  const int Incarnation = Running[Agent].Incarnation;
  report_answered Answer{Command.Token, true, false, false, {}};
  if (Now >= LogDownUntil) {
    Answer.Determined = !chance(Faults.LossPercent);
    Answer.Accepted = true;
    if (!noTaskRuns(Command.Token))
      FirstViolation = "the end was reported while a task ran";
    if (!Placed.at(Command.Token).Ended)
      Placed.at(Command.Token).Ended = Command;
  }
  at(Now + delay(), [=, this] {
    if (Running[Agent].Incarnation == Incarnation)
      post(Agent, Answer);
  });
}

template <typename Command>
void gang_simulation::onCommand(int Agent, const Command &Call) {
  const int Incarnation = Running[Agent].Incarnation;
  const auto Answer = [=, this](const worker_answered &Result, duration After) {
    at(Now + After, [=, this] {
      if (Running[Agent].Incarnation == Incarnation)
        post(Agent, Result);
    });
  };
  const int WorkerIncarnation = Workers[Agent].Incarnation;
  at(Now + delay() / 4, [=, this] {
    fake_worker &Worker = Workers[Agent];
    if (Worker.Incarnation != WorkerIncarnation)
      return;
    worker_answered Result;
    Result.Call = Call.Call;
    if (Worker.Unresponsive)
      return Answer(Result, WorkerCallTimeout);
    executeOnWorker(Agent, Call);
    if (Worker.AnswersToDrop > 0) {
      --Worker.AnswersToDrop;
      return Answer(Result, WorkerCallTimeout);
    }
    Result.Outcome = worker_answer::Answered;
    Result.Complete = std::is_same_v<Command, worker_describe>;
    Result.Tasks = statuses(Agent);
    Answer(Result, delay() / 4);
  });
}

member_state gang_simulation::memberState(int Agent,
                                          fencing_token Token) const {
  return Running[Agent].Registry->memberState(Token);
}

} // namespace geraniumpaddle::testing
