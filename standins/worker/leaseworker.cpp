#include "standins/worker/leaseworker.h"

#include <algorithm>
#include <charconv>

namespace geraniumpaddle::standins {

namespace {

constexpr duration CheckpointDuration = std::chrono::milliseconds(50);

time_point addDuration(time_point Start, duration Time) {
  return Time == duration::max() ? time_point::max() : Start + Time;
}

std::optional<duration> parseMilliseconds(std::string_view Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Count);
  if (Error != std::errc() || Rest != End || Count < 0)
    return std::nullopt;
  return std::chrono::milliseconds(Count);
}

} // namespace

std::optional<task_script> parseScript(std::string_view Command) {
  constexpr std::string_view Sleep = "sleep:";
  constexpr std::string_view Fail = "fail:";
  task_script Script;
  Script.Fails = Command.starts_with(Fail);
  Script.CheckpointCompletes = Command != "checkpoint-never";
  if (Command == "hang" || !Script.CheckpointCompletes)
    return Script;
  if (!Script.Fails && !Command.starts_with(Sleep))
    return std::nullopt;
  const auto Length = Script.Fails ? Fail.size() : Sleep.size();
  const auto Time = parseMilliseconds(Command.substr(Length));
  if (!Time)
    return std::nullopt;
  Script.RunTime = *Time;
  return Script;
}

bool lease_worker::task::isActive() const {
  return State == worker_task_state::Running ||
         State == worker_task_state::Checkpointing;
}

lease_worker::task *lease_worker::findActive(std::string_view Name) {
  const auto Found = Tasks.find(Name);
  return Found == Tasks.end() || !Found->second.isActive() ? nullptr
                                                           : &Found->second;
}

resources lease_worker::usedResources() const {
  resources Sum;
  for (const auto &[Name, Task] : Tasks) {
    if (Task.isActive())
      Sum += Task.Start.Need;
  }
  return Sum;
}

bool lease_worker::fits(const worker_start &Start) const {
  resources Wanted = usedResources();
  Wanted += Start.Need;
  return Capacity.covers(Wanted) &&
         std::ranges::none_of(Tasks, [&](const auto &Entry) {
           const task &Task = Entry.second;
           return Task.isActive() &&
                  (Task.Start.Accelerators & Start.Accelerators) != 0;
         });
}

worker_verdict lease_worker::start(const worker_start &Start, time_point Now) {
  advance(Now);
  if (Tasks.contains(Start.Task))
    return worker_verdict::Done;
  const auto Script = parseScript(Start.Command);
  const std::uint64_t InstalledAccelerators =
      (std::uint64_t{1} << Capacity.Accelerators) - 1;
  if (!Script || Start.Task.empty() ||
      (Start.Accelerators & ~InstalledAccelerators) != 0)
    return worker_verdict::Invalid;
  if (!fits(Start))
    return worker_verdict::Busy;
  task Task;
  Task.Start = Start;
  Task.Script = *Script;
  Task.LeaseEndsAt = Now + Start.Lease;
  Task.EndsAt = addDuration(Now, Script->RunTime);
  Task.LastCheckpointAt = Now;
  Task.Run = History.size();
  History.push_back({Start.Task, Start.Accelerators, Now, std::nullopt});
  if (FailAll) {
    Task.Script.Fails = true;
    Task.EndsAt = Now;
  }
  Tasks.emplace(Start.Task, std::move(Task));
  advance(Now);
  return worker_verdict::Done;
}

worker_verdict lease_worker::renew(std::span<const std::string> Names,
                                   duration Lease, time_point Now) {
  advance(Now);
  for (const std::string &Name : Names) {
    if (task *Task = findActive(Name))
      Task->LeaseEndsAt = Now + Lease;
  }
  return worker_verdict::Done;
}

worker_verdict lease_worker::checkpoint(std::string_view Name, time_point Now) {
  advance(Now);
  task *Task = findActive(Name);
  if (!Task)
    return worker_verdict::NotFound;
  if (Task->State == worker_task_state::Checkpointing)
    return worker_verdict::Done;
  Task->State = worker_task_state::Checkpointing;
  Task->CheckpointEndsAt = Task->Script.CheckpointCompletes
                               ? Now + CheckpointDuration
                               : time_point::max();
  return worker_verdict::Done;
}

worker_verdict lease_worker::throttle(std::string_view Name, int Percent,
                                      time_point Now) {
  advance(Now);
  task *Task = findActive(Name);
  if (!Task)
    return worker_verdict::NotFound;
  Task->Percent = Percent;
  return worker_verdict::Done;
}

worker_verdict lease_worker::stop(std::string_view Name, time_point Now) {
  advance(Now);
  if (task *Task = findActive(Name)) {
    end(*Task, worker_task_state::Stopped, Now);
    return worker_verdict::Done;
  }
  task Barred;
  Barred.Start.Task = Name;
  Barred.State = worker_task_state::Stopped;
  Tasks.emplace(std::string(Name), std::move(Barred));
  return worker_verdict::Done;
}

void lease_worker::advance(time_point Now) {
  for (auto &[Name, Task] : Tasks) {
    if (Task.isActive())
      advanceTask(Task, Now);
  }
}

void lease_worker::advanceTask(task &Task, time_point Now) {
  const bool TakingCheckpoint = Task.State == worker_task_state::Checkpointing;
  if (TakingCheckpoint && Now >= Task.CheckpointEndsAt) {
    Task.LastCheckpointAt = Task.CheckpointEndsAt;
    Task.State = worker_task_state::Running;
  }
  if (Now >= Task.LeaseEndsAt)
    end(Task, worker_task_state::Stopped, Now);
  else if (Now >= Task.EndsAt)
    end(Task,
        Task.Script.Fails ? worker_task_state::Failed
                          : worker_task_state::Finished,
        Now);
}

void lease_worker::end(task &Task, worker_task_state State, time_point At) {
  Task.State = State;
  History[Task.Run].State = State;
  History[Task.Run].Ended = At;
}

worker_task lease_worker::view(const task &Task, time_point Now) const {
  worker_task View;
  View.Task = Task.Start.Task;
  View.State = Task.State;
  View.Accelerators = Task.Start.Accelerators;
  if (Task.isActive())
    View.LeaseLeft = std::max(duration{}, Task.LeaseEndsAt - Now);
  View.CheckpointAge = Now - Task.LastCheckpointAt;
  if (Task.State == worker_task_state::Failed)
    View.Detail = "exit code 1";
  return View;
}

std::vector<worker_task> lease_worker::describe(time_point Now) const {
  std::vector<worker_task> Views;
  for (const auto &[Name, Task] : Tasks)
    Views.push_back(view(Task, Now));
  return Views;
}

std::vector<worker_task>
lease_worker::describe(std::span<const std::string> Names,
                       time_point Now) const {
  std::vector<worker_task> Views;
  for (const std::string &Name : Names) {
    const auto Found = Tasks.find(Name);
    if (Found != Tasks.end())
      Views.push_back(view(Found->second, Now));
  }
  return Views;
}

time_point lease_worker::nextTimerAt() const {
  time_point Next = time_point::max();
  for (const auto &[Name, Task] : Tasks) {
    if (!Task.isActive())
      continue;
    Next = std::min({Next, Task.LeaseEndsAt, Task.EndsAt});
    if (Task.State == worker_task_state::Checkpointing)
      Next = std::min(Next, Task.CheckpointEndsAt);
  }
  return Next;
}

} // namespace geraniumpaddle::standins
