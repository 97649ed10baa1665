#include "core/work/livejobs.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle::work {

live_job::live_job(std::shared_ptr<const job_spec> Spec, job_progress Progress,
                   time_point KnownAt)
    : Spec(std::move(Spec)), Progress(std::move(Progress)), Layout(*this->Spec),
      KnownAt(KnownAt) {
  this->Progress.Tasks.resize(Layout.size());
  const auto StepCount = static_cast<std::uint32_t>(this->Spec->Steps.size());
  OpenByStep.resize(std::size_t{StepCount} * this->Spec->Occurrences);
  WaitingByStep.resize(OpenByStep.size());
  Waits.resize(OpenByStep.size());
  LastFailedRun.resize(OpenByStep.size());
  for (std::uint32_t K = 0; K < this->Spec->Occurrences; ++K)
    for (std::uint32_t Step = 0; Step < StepCount; ++Step)
      Steps.push_back({this->Spec->Id, K, Step});
  for (std::size_t I = 0; I < Layout.size(); ++I) {
    if (this->Progress.Tasks[I].State == task_state::Done)
      continue;
    const task_position Position = Layout.position(I);
    const std::size_t Step = stepIndex(Position.Occurrence, Position.Step);
    ++OpenByStep[Step];
    ++OpenTasks;
    if (this->Progress.Tasks[I].State == task_state::Waiting)
      ++WaitingByStep[Step];
  }
}

std::vector<task_position> live_job::waiting(const step_ref &Step) const {
  std::vector<task_position> Positions;
  task_position Position{Step.Occurrence, Step.Step, 0};
  const std::size_t First = Layout.ordinal(Position);
  for (; Position.Index < step(Step.Step).Count; ++Position.Index)
    if (Progress.Tasks[First + Position.Index].State == task_state::Waiting)
      Positions.push_back(Position);
  return Positions;
}

wall_time live_job::dueAt(std::uint32_t Occurrence) const {
  if (!Spec->Scheduled)
    return {};
  return Spec->FirstStart +
         std::chrono::duration_cast<std::chrono::milliseconds>(Spec->Interval *
                                                               Occurrence);
}

bool live_job::ready(const step_ref &Step, wall_time Wall) const {
  if (dueAt(Step.Occurrence) > Wall)
    return false;
  const auto &After = step(Step.Step).After;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Dependency) {
    return OpenByStep[stepIndex(Step.Occurrence, Dependency)] == 0;
  });
}

time_point live_job::noteWaiting(const step_ref &Step, time_point Now) {
  step_wait &Wait = Waits[stepIndex(Step.Occurrence, Step.Step)];
  if (!Wait.Since)
    Wait.Since = Now;
  return *Wait.Since;
}

bool live_job::noteWaitLogged(const step_ref &Step) {
  step_wait &Wait = Waits[stepIndex(Step.Occurrence, Step.Step)];
  return !std::exchange(Wait.Logged, true);
}

void live_job::removeWaiting(const task_position &Position) {
  const std::size_t Step = stepIndex(Position.Occurrence, Position.Step);
  if (--WaitingByStep[Step] == 0)
    Waits[Step] = {};
}

void live_job::setRunning(const task_position &Position, std::uint32_t Run,
                          const worker_instance &LastWorker) {
  task_progress &Task = mutableTask(Position);
  if (Task.State == task_state::Waiting)
    removeWaiting(Position);
  Task.State = task_state::Running;
  Task.Run = Run;
  Task.LastWorker = LastWorker;
}

void live_job::setWaiting(const task_position &Position) {
  task_progress &Task = mutableTask(Position);
  const std::size_t Step = stepIndex(Position.Occurrence, Position.Step);
  // Of tasks that last each one counts: when another of them ends, the first
  // one that waits goes on doing so.
  if (!step(Position.Step).LongRunning || WaitingByStep[Step] == 0)
    Waits[Step].Since.reset();
  if (Task.State == task_state::Running)
    ++WaitingByStep[Step];
  Task.State = task_state::Waiting;
}

void live_job::setDone(const task_position &Position) {
  task_progress &Task = mutableTask(Position);
  if (Task.State == task_state::Done)
    return;
  if (Task.State == task_state::Waiting)
    removeWaiting(Position);
  Task.State = task_state::Done;
  --OpenByStep[stepIndex(Position.Occurrence, Position.Step)];
  --OpenTasks;
}

std::uint32_t live_job::countFailure(const task_position &Position,
                                     std::uint32_t Run) {
  if (!step(Position.Step).Gang)
    return ++mutableTask(Position).Failures;
  std::uint32_t &Counted =
      LastFailedRun[stepIndex(Position.Occurrence, Position.Step)];
  task_progress &First = mutableTask({Position.Occurrence, Position.Step, 0});
  if (Counted < Run) {
    Counted = Run;
    ++First.Failures;
  }
  return First.Failures;
}

void live_job::end(job_state State, wall_time At) {
  Progress.State = State;
  Progress.EndedAt = At;
}

} // namespace geraniumpaddle::work
