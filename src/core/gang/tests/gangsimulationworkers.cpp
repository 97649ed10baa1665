#include "core/gang/tests/gangsimulation.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle::testing {

namespace {

constexpr duration CheckpointTime = std::chrono::milliseconds(300);

bool isLive(const fake_worker::task &Task) {
  return Task.State == task_state::Running ||
         Task.State == task_state::Checkpointing;
}

bool overlaps(const task_run &One, const task_run &Other) {
  return One.Worker == Other.Worker &&
         (One.Accelerators & Other.Accelerators) != 0 &&
         One.Id.Token != Other.Id.Token;
}

} // namespace

void gang_simulation::executeOnWorker(int /*Worker*/,
                                      const worker_describe & /*Call*/) {}

void gang_simulation::executeOnWorker(int Worker,
                                      const worker_start_task &Call) {
  auto &Tasks = Workers[Worker].Tasks;
  if (Tasks.contains(Call.Id))
    return;
  fake_worker::task Task{task_state::Running,
                         Call.Accelerators,
                         Now + toSimulationTime(Worker, Call.Lease),
                         Now + TaskRunTime,
                         Call.Command,
                         Runs.size()};
  // The worker's clock drifts as much as the agent's, the other way.
  Task.LeaseUntil = Now + Call.Lease * 1000 / (1000 - Clocks[Worker].Drift);
  if (Call.Command == "fail")
    Task.EndsAt = Now + std::chrono::seconds(2);
  const task_run Run{Call.Id, Worker, Call.Accelerators, Now};
  if (!FirstViolation)
    FirstViolation = checkStart(Run);
  Runs.push_back(Run);
  Tasks.emplace(Call.Id, Task);
  at(Task.EndsAt, [] {});
}

void gang_simulation::executeOnWorker(int Worker,
                                      const worker_renew_tasks &Call) {
  for (const gang_task_id &Id : Call.Ids) {
    const auto Found = Workers[Worker].Tasks.find(Id);
    if (Found == Workers[Worker].Tasks.end() || !isLive(Found->second))
      continue;
    Found->second.LeaseUntil =
        Now + Call.Lease * 1000 / (1000 - Clocks[Worker].Drift);
    at(Found->second.LeaseUntil, [] {});
  }
}

void gang_simulation::executeOnWorker(int Worker,
                                      const worker_checkpoint_task &Call) {
  const auto Found = Workers[Worker].Tasks.find(Call.Id);
  if (Found == Workers[Worker].Tasks.end() || !isLive(Found->second))
    return;
  Found->second.State = task_state::Checkpointing;
  if (Found->second.Command == "checkpoint-never")
    return;
  at(Now + CheckpointTime, [this, Worker, Id = Call.Id] {
    const auto Saved = Workers[Worker].Tasks.find(Id);
    if (Saved != Workers[Worker].Tasks.end() && isLive(Saved->second))
      Saved->second.State = task_state::Running;
  });
}

void gang_simulation::executeOnWorker(int Worker,
                                      const worker_stop_task &Call) {
  // A stop prevents a start that arrives later.
  fake_worker::task Barred;
  Barred.State = task_state::Stopped;
  const auto [Found, Fresh] = Workers[Worker].Tasks.emplace(Call.Id, Barred);
  if (!Fresh && isLive(Found->second))
    endTask(Worker, Found->second, task_state::Stopped);
}

void gang_simulation::expireTasks(int Worker) {
  for (auto &[Id, Task] : Workers[Worker].Tasks) {
    if (!isLive(Task))
      continue;
    if (Now >= Task.LeaseUntil)
      endTask(Worker, Task, task_state::Stopped);
    else if (Now >= Task.EndsAt)
      endTask(Worker, Task,
              Task.Command == "fail" ? task_state::Failed
                                     : task_state::Finished);
  }
}

void gang_simulation::endTask(int /*Worker*/, fake_worker::task &Task,
                              task_state State) {
  task_run &Run = Runs[Task.Run];
  Run.Until = std::min(Now, Task.LeaseUntil);
  Run.Finished = State == task_state::Finished;
  Task.State = State;
}

std::vector<task_status> gang_simulation::statuses(int Worker) const {
  std::vector<task_status> Result;
  for (const auto &[Id, Task] : Workers[Worker].Tasks)
    Result.push_back({Id,
                      Task.State,
                      Task.Accelerators,
                      std::max(duration{}, Task.LeaseUntil - Now),
                      {}});
  return Result;
}

void gang_simulation::checkPrepared(int Worker, fencing_token Token) {
  task_run Held{{Token, 0}, Worker, 0, Now};
  for (const gang_task &Task : gang(Token).Assignment.Tasks) {
    if (agentOf(Task.Assignment.Worker) == Worker)
      Held.Accelerators |= Task.Assignment.Accelerators;
  }
  for (const task_run &Other : Runs) {
    if (overlaps(Held, Other) && Other.Until > Now)
      FirstViolation = "prepared while an earlier holder ran";
  }
}

std::optional<std::string>
gang_simulation::checkStart(const task_run &Run) const {
  const placed_gang &Gang = Placed.at(Run.Id.Token);
  for (const task_run &Other : Runs) {
    if (overlaps(Run, Other) && Other.Until > Now)
      return "an accelerator is held by two attempts";
    const bool SameJob =
        Placed.at(Other.Id.Token).Assignment.Job == Gang.Assignment.Job;
    if (SameJob && Other.Id.Task == Run.Id.Task && !Gang.Assignment.Idempotent)
      return "a non-idempotent task started twice";
  }
  if (!Gang.Started)
    return "a task started before the start was recorded";
  for (const gang_task &Task : Gang.Assignment.Tasks) {
    const int Worker = agentOf(Task.Assignment.Worker);
    if (Worker != Gang.Lead && !WasPrepared.contains({Run.Id.Token, Worker}))
      return "a task started while a member was not prepared";
  }
  return std::nullopt;
}

bool gang_simulation::allTasksRun(fencing_token Token) const {
  const auto Live = std::ranges::count_if(Runs, [&](const task_run &Run) {
    return Run.Id.Token == Token && Run.Until > Now;
  });
  return std::cmp_equal(Live, gang(Token).Assignment.Tasks.size());
}

bool gang_simulation::noTaskRuns(fencing_token Token) const {
  return std::ranges::none_of(Runs, [&](const task_run &Run) {
    return Run.Id.Token == Token && Run.Until > Now;
  });
}

std::size_t gang_simulation::startCount(fencing_token Token) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Runs, [&](const task_run &Run) { return Run.Id.Token == Token; }));
}

duration gang_simulation::longestPartial(fencing_token Token) const {
  std::vector<time_point> Boundaries{Now};
  for (const task_run &Run : Runs) {
    if (Run.Id.Token == Token)
      Boundaries.insert(Boundaries.end(), {Run.From, std::min(Run.Until, Now)});
  }
  std::ranges::sort(Boundaries);
  const std::size_t Wanted = gang(Token).Assignment.Tasks.size();
  duration Longest{};
  duration Current{};
  for (std::size_t Index = 0; Index + 1 < Boundaries.size(); ++Index) {
    std::size_t Live = 0;
    std::size_t Finished = 0;
    for (const task_run &Run : Runs) {
      if (Run.Id.Token != Token || Run.From > Boundaries[Index])
        continue;
      Live += Run.Until > Boundaries[Index] ? 1 : 0;
      Finished += Run.Until <= Boundaries[Index] && Run.Finished ? 1 : 0;
    }
    const bool Partial = Live > 0 && Live + Finished < Wanted;
    Current = Partial ? Current + (Boundaries[Index + 1] - Boundaries[Index])
                      : duration{};
    Longest = std::max(Longest, Current);
  }
  return Longest;
}

std::optional<std::string> gang_simulation::violation() const {
  if (FirstViolation)
    return FirstViolation;
  // A pause shorter than a poll interval is not detected and delays a renewal.
  const duration Bound =
      Timing.leaseExpiryBound(Timing.Lease + Timing.PollInterval);
  for (const auto &[Token, Gang] : Placed) {
    if (longestPartial(Token) > Bound)
      return "a partial gang outlasted a lease";
  }
  return std::nullopt;
}

} // namespace geraniumpaddle::testing
