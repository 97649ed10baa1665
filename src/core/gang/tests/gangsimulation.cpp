#include "core/gang/tests/gangsimulation.h"

#include <algorithm>

namespace geraniumpaddle::testing {

namespace {

constexpr duration WorkerCallTimeout = std::chrono::seconds(1);
constexpr duration AssignInterval = std::chrono::milliseconds(500);

worker_id workerName(int Index) {
  return worker_id("w" + std::to_string(Index));
}

bool lives(const fake_worker::task &Task) {
  return Task.State == task_state::Running ||
         Task.State == task_state::Checkpointing;
}

} // namespace

gang_world::gang_world(const network_faults &Faults)
    : Faults(Faults), Random(Faults.Seed) {
  for (int Agent = 0; Agent < Agents; ++Agent)
    restart(Agent);
  runFor(std::chrono::seconds(1));
}

void gang_world::at(time_point When, std::function<void()> Do) {
  Queue.emplace(std::max(When, Now), std::move(Do));
}

bool gang_world::chance(int Percent) {
  Random = Random * 6364136223846793005U + 1442695040888963407U;
  return static_cast<int>((Random >> 33) % 100) < Percent;
}

duration gang_world::delay() {
  Random = Random * 6364136223846793005U + 1442695040888963407U;
  return duration((Random >> 33) % (Faults.MaxDelay.count() + 1));
}

time_point gang_world::localTime(int Agent) const {
  const duration Since = Now.time_since_epoch();
  return Now + Since * Clocks[Agent].Drift / 1000;
}

duration gang_world::toGlobal(int Agent, duration Local) const {
  return Local * 1000 / (1000 + Clocks[Agent].Drift);
}

int gang_world::agentOf(const worker_id &Worker) const {
  return std::stoi(Worker.str().substr(1));
}

void gang_world::runFor(duration Time) {
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

bool gang_world::runUntil(const std::function<bool()> &Condition,
                          duration Limit) {
  const time_point End = Now + Limit;
  while (!Condition() && Now < End)
    runFor(std::chrono::milliseconds(10));
  return Condition();
}

void gang_world::restart(int Agent) {
  agent &Target = Running[Agent];
  ++Target.Generation;
  Target.Calls.clear();
  Target.WakeupAt = time_point::max();
  Target.Registry = std::make_unique<gang_registry>(workerName(Agent), Timing);
  post(Agent, agent_started{});
}

void gang_world::replaceWorker(int Agent) {
  for (auto &[Id, Task] : Workers[Agent].Tasks) {
    if (lives(Task))
      endTask(Agent, Task, task_state::Stopped);
  }
  Workers[Agent].Tasks.clear();
  ++Workers[Agent].Generation;
  restart(Agent);
}

void gang_world::pause(int Agent, duration For) {
  Running[Agent].PausedUntil = std::max(Running[Agent].PausedUntil, Now + For);
}

void gang_world::silence(int Agent, duration For) {
  Running[Agent].SilentUntil = std::max(Running[Agent].SilentUntil, Now + For);
}

void gang_world::silenceWorker(int Agent, duration For) {
  Workers[Agent].Silent = true;
  at(Now + For, [this, Agent] { Workers[Agent].Silent = false; });
}

void gang_world::loseWorkerAnswers(int Agent, int Count) {
  Workers[Agent].AnswersToLose += Count;
}

void gang_world::logOutage(duration For) {
  LogDownUntil = std::max(LogDownUntil, Now + For);
}

fencing_token gang_world::place(std::string_view Job, std::vector<int> Where,
                                accelerator_mask Mask, std::string_view Command,
                                bool Idempotent) {
  placed_gang Gang;
  assign_gang &Assignment = Gang.Assignment;
  Assignment.Job = job_id(Job);
  Assignment.Token = fencing_token{LastToken += 10};
  Assignment.Idempotent = Idempotent;
  Assignment.Command = Command;
  for (const int Worker : Where) {
    const auto Task = static_cast<std::uint32_t>(Assignment.Tasks.size());
    const worker_id Name = workerName(Worker);
    Assignment.Tasks.push_back({{Task, Name, Mask, false}, {}});
    Assignment.Members.push_back({Name, Name.str(), {}});
  }
  for (auto &[Token, Other] : Placed) {
    const bool Overlaps =
        std::ranges::any_of(Other.Assignment.Tasks, [&](const gang_task &Task) {
          return (Task.Assignment.Accelerators & Mask) != 0 &&
                 std::ranges::count(Where, agentOf(Task.Assignment.Worker));
        });
    if (Other.Displaced || Other.Ended || !Overlaps)
      continue;
    Other.Displaced = true;
    Assignment.Victims.push_back(Token);
    stop(Token, job_outcome::Preempted);
  }
  Gang.Lead = Where.front();
  const fencing_token Token = Assignment.Token;
  Placed.emplace(Token, std::move(Gang));
  assignAgain(Token);
  return Token;
}

void gang_world::stop(fencing_token Token, job_outcome Reason) {
  placed_gang &Gang = Placed.at(Token);
  Gang.Displaced = true;
  Gang.Stop = Reason;
  assignAgain(Token);
}

/// An entry repeats itself until the attempt has ended.
void gang_world::assignAgain(fencing_token Token) {
  placed_gang &Gang = Placed.at(Token);
  if (Gang.Ended)
    return;
  Gang.Assignment.Started = Gang.Started;
  const reply_handle Nobody{call_origin::Peer, 0};
  if (!chance(Faults.LossPercent)) {
    at(Now + delay(), [=, this, Assignment = Gang.Assignment] {
      post(Placed.at(Token).Lead,
           peer_request<assign_gang>{Nobody, Assignment});
    });
  }
  if (Gang.Stop) {
    const stop_gang Message{Token, *Gang.Stop};
    at(Now + delay(), [=, this] {
      post(Placed.at(Token).Lead, peer_request<stop_gang>{Nobody, Message});
    });
  }
  at(Now + AssignInterval, [this, Token] { assignAgain(Token); });
}

void gang_world::post(int Agent, const gang_event &Event) {
  agent &Target = Running[Agent];
  if (Now < Target.PausedUntil) {
    const int Generation = Target.Generation;
    at(Target.PausedUntil, [=, this] {
      if (Running[Agent].Generation == Generation)
        post(Agent, Event);
    });
    return;
  }
  execute(Agent, Target.Registry->handle(Event, localTime(Agent)));
}

void gang_world::execute(int Agent, std::span<const gang_command> Commands) {
  const std::vector<gang_command> Copies(Commands.begin(), Commands.end());
  for (const gang_command &Command : Copies)
    std::visit([&](const auto &Body) { onCommand(Agent, Body); }, Command);
}

void gang_world::onCommand(int Agent, const gang_reply &Command) {
  auto Call = Running[Agent].Calls.extract(Command.Reply.Id);
  if (Call)
    Call.mapped()(Command.Report);
}

void gang_world::onCommand(int Agent, const set_gang_timer &Command) {
  agent &Target = Running[Agent];
  Target.WakeupAt = Command.At;
  if (Command.At == time_point::max())
    return;
  const duration Left = toGlobal(Agent, Command.At - localTime(Agent));
  const int Generation = Target.Generation;
  at(Now + Left + duration(1), [this, Agent, Generation, Asked = Command.At] {
    wakeUp(Agent, Generation, Asked);
  });
}

void gang_world::wakeUp(int Agent, int Generation, time_point Asked) {
  agent &Target = Running[Agent];
  if (Target.Generation == Generation && Target.WakeupAt == Asked)
    post(Agent, gang_timer_expired{});
}

void gang_world::onCommand(int Agent, const send_to_member &Command) {
  const int Generation = Running[Agent].Generation;
  const int To = agentOf(Command.Worker);
  const auto GaveUp = [=, this] {
    if (Running[Agent].Generation == Generation)
      post(Agent, member_answered{
                      Command.Token, Command.Worker, Command.Call, false, {}});
  };
  at(Now + toGlobal(Agent, Command.Timeout), GaveUp);
  const int Copies = chance(Faults.DuplicatePercent) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (!chance(Faults.LossPercent))
      at(Now + delay(), [=, this] { deliver(Agent, To, Generation, Command); });
  }
}

void gang_world::deliver(int From, int To, int FromGeneration,
                         const send_to_member &Command) {
  if (Now < Running[To].SilentUntil || Now < Running[From].SilentUntil)
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
      if (Running[From].Generation == FromGeneration)
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

void gang_world::onCommand(int Agent, const report_started &Command) {
  const int Generation = Running[Agent].Generation;
  report_answered Answer{Command.Token, false, false, false, {}};
  if (Now >= LogDownUntil) {
    placed_gang &Gang = Placed.at(Command.Token);
    Answer.Determined = !chance(Faults.LossPercent);
    Answer.Accepted = !Gang.Displaced && !Gang.Ended;
    Gang.Started = Gang.Started || Answer.Accepted;
  }
  at(Now + delay(), [=, this] {
    if (Running[Agent].Generation == Generation)
      post(Agent, Answer);
  });
}

void gang_world::onCommand(int Agent, const report_ended &Command) {
  const int Generation = Running[Agent].Generation;
  report_answered Answer{Command.Token, true, false, false, {}};
  if (Now >= LogDownUntil) {
    Answer.Determined = !chance(Faults.LossPercent);
    Answer.Accepted = true;
    if (!noneRun(Command.Token))
      Broken = "the end was reported while a task ran";
    if (!Placed.at(Command.Token).Ended)
      Placed.at(Command.Token).Ended = Command;
  }
  at(Now + delay(), [=, this] {
    if (Running[Agent].Generation == Generation)
      post(Agent, Answer);
  });
}

template <typename Command>
void gang_world::onCommand(int Agent, const Command &Call) {
  const int Generation = Running[Agent].Generation;
  const auto Answer = [=, this](const worker_answered &Result, duration After) {
    at(Now + After, [=, this] {
      if (Running[Agent].Generation == Generation)
        post(Agent, Result);
    });
  };
  const int Machine = Workers[Agent].Generation;
  at(Now + delay() / 4, [=, this] {
    fake_worker &Worker = Workers[Agent];
    if (Worker.Generation != Machine)
      return;
    worker_answered Result;
    Result.Call = Call.Call;
    if (Worker.Silent)
      return Answer(Result, WorkerCallTimeout);
    act(Agent, Call);
    if (Worker.AnswersToLose > 0) {
      --Worker.AnswersToLose;
      return Answer(Result, WorkerCallTimeout);
    }
    Result.Outcome = worker_answer::Answered;
    Result.Complete = std::is_same_v<Command, worker_describe>;
    Result.Tasks = statuses(Agent);
    Answer(Result, delay() / 4);
  });
}

member_state gang_world::memberState(int Agent, fencing_token Token) const {
  return Running[Agent].Registry->memberState(Token);
}

} // namespace geraniumpaddle::testing
