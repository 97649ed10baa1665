#include "core/workhost/tests/standstillmonitor.h"

#include <algorithm>

namespace geraniumpaddle::work::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration ObservationInterval = 50ms;
constexpr duration StandstillBound = 3s;

} // namespace

void standstill_monitor::runFor(duration Time) {
  for (duration Passed{}; Passed < Time; Passed += ObservationInterval) {
    Simulation.runFor(ObservationInterval);
    observe();
  }
}

void standstill_monitor::observe() {
  Free.clear();
  Total = {};
  Running.clear();
  RunningJobs.clear();
  Observed.clear();
  std::set<std::pair<worker_id, task_ref>> Occupied = recordedRuns();
  for (int Worker = 0; Worker < Simulation.workerCount(); ++Worker) {
    const worker_description &Description = Simulation.description(Worker);
    Total += Description.Capacity;
    for (const run_ref &Run : Simulation.runsOf(Worker)) {
      Occupied.emplace(Description.Instance.Worker, Run.Task);
      Running.insert(Run.Task);
      RunningJobs.insert(Run.Task.Job);
    }
    Free.push_back(Description.Capacity);
    for (const auto &[Id, Task] : Occupied)
      if (Id == Description.Instance.Worker)
        Free.back() -= needOf(Task);
  }
  for (const auto &[Job, Entry] : Simulation.registry().jobs())
    if (!Entry.Cancelled && !ended(Entry.state()))
      observeJob(Job, Entry);
  std::erase_if(Since, [this](const auto &Each) {
    return !Observed.contains(Each.first);
  });
}

resources standstill_monitor::needOf(const task_ref &Task) const {
  const job_spec &Spec = *Simulation.registry().find(Task.Job)->Spec;
  return reservedResources(Spec.Steps[Task.Position.Step]);
}

/// Tasks that are recorded as running: while one of their runs has just ended,
/// or has not started yet, their capacity is not idle.
std::set<std::pair<worker_id, task_ref>>
standstill_monitor::recordedRuns() const {
  std::set<std::pair<worker_id, task_ref>> Recorded;
  for (const auto &[Job, Entry] : Simulation.registry().jobs()) {
    const task_layout Layout(*Entry.Spec);
    const auto &Tasks = Entry.Progress.Tasks;
    for (std::size_t I = 0; I < Tasks.size(); ++I)
      if (Tasks[I].State == task_state::Running && !ended(Entry.state()))
        Recorded.emplace(Tasks[I].LastWorker.Worker,
                         task_ref{Job, Layout.position(I)});
  }
  return Recorded;
}

void standstill_monitor::observeJob(const job_id &Job,
                                    const registered_job &Entry) {
  const auto &Steps = Entry.Spec->Steps;
  for (std::uint32_t Step = 0; Step < Steps.size(); ++Step) {
    if (!ready(Entry, Step))
      continue;
    const task_layout Layout(*Entry.Spec);
    for (std::uint32_t Index = 0; Index < Steps[Step].Count; ++Index) {
      const task_ref Task{Job, {0, Step, Index}};
      const std::size_t Ordinal = Layout.ordinal(Task.Position);
      const auto &Tasks = Entry.Progress.Tasks;
      const bool Done =
          Ordinal < Tasks.size() && Tasks[Ordinal].State == task_state::Done;
      const bool Runs = Steps[Step].LongRunning ? Running.contains(Task)
                                                : RunningJobs.contains(Job);
      const bool Idle = Steps[Step].LongRunning || halfIdle();
      if (!Done && !Runs && Idle && fitsTwice(Steps[Step]))
        note(Task);
    }
  }
}

bool standstill_monitor::ready(const registered_job &Entry,
                               std::uint32_t Step) {
  const task_layout Layout(*Entry.Spec);
  const auto &Tasks = Entry.Progress.Tasks;
  for (const std::uint32_t Before : Entry.Spec->Steps[Step].After)
    for (std::uint32_t I = 0; I < Entry.Spec->Steps[Before].Count; ++I) {
      const std::size_t Ordinal = Layout.ordinal({0, Before, I});
      if (Ordinal >= Tasks.size() || Tasks[Ordinal].State != task_state::Done)
        return false;
    }
  return true;
}

void standstill_monitor::note(const task_ref &Waiting) {
  Observed.insert(Waiting);
  const time_point From =
      Since.try_emplace(Waiting, Simulation.now()).first->second;
  if (Simulation.now() - From <= StandstillBound)
    return;
  const task_position &At = Waiting.Position;
  Violations.push_back(Waiting.Job.str() + " step " + std::to_string(At.Step) +
                       " task " + std::to_string(At.Index) + " stands still");
}

bool standstill_monitor::fitsTwice(const step_spec &Step) const {
  const std::size_t Once = Step.Gang ? Step.Count : 1;
  return countFitting(Step) >= 2 * Once;
}

std::size_t standstill_monitor::countFitting(const step_spec &Step) const {
  const resources Need = reservedResources(Step);
  std::size_t Count = 0;
  for (int Worker = 0; Worker < Simulation.workerCount(); ++Worker) {
    const bool Suitable =
        Step.RequiredLabel.empty() ||
        Simulation.description(Worker).hasLabel(Step.RequiredLabel);
    resources Left = Free[static_cast<std::size_t>(Worker)];
    for (; Suitable && Left.covers(Need); Left -= Need)
      ++Count;
  }
  return Count;
}

bool standstill_monitor::halfIdle() const {
  resources Sum;
  for (const resources &Each : Free)
    Sum += Each;
  return 2 * Sum.MilliCores > Total.MilliCores &&
         2 * Sum.Accelerators > Total.Accelerators;
}

} // namespace geraniumpaddle::work::testing
