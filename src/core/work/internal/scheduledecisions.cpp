#include "core/work/workscheduler.h"

#include <algorithm>
#include <tuple>

namespace geraniumpaddle::work {

void work_scheduler::onTimePassed(const time_passed &, const present_time &) {}

void work_scheduler::decide(const present_time &Present) {
  expireWorkers(Present);
  expireGangs(Present);
  placement_round Round(Pool);
  for (const step_ref &Ready : readySteps(Present)) {
    live_job &Job = *findJob(Ready.Job);
    const std::vector<task_position> Tasks = Job.waiting(Ready);
    const placement_request Request = requestFor(Job, Ready, Tasks);
    const std::vector<assignment> Placed = Round.place(Request);
    startRuns(Job, Ready, Placed, Present);
    if (Placed.size() == Tasks.size() || !mayPreempt(Job))
      continue;
    const std::vector<task_position> Left = Job.waiting(Ready);
    makeRoom(Round, requestFor(Job, Ready, Left), Present);
  }
}

void work_scheduler::expireWorkers(const present_time &Present) {
  std::vector<worker_id> Gone;
  for (auto &[Id, Worker] : Pool.all()) {
    if (Worker.LeaseEnd > Present.Now) {
      askWake(Worker.LeaseEnd);
      continue;
    }
    loseAll(Worker, "lease_over", Present);
    Gone.push_back(Id);
  }
  for (const worker_id &Id : Gone)
    Pool.erase(Id);
}

/// Gives up gangs of which a member did not start in time, before the members
/// that wait would end by themselves.
void work_scheduler::expireGangs(const present_time &Present) {
  std::vector<run_ref> Late;
  for (const auto &[Key, Run] : Runs) {
    if (Run.Started || Run.Stopping || !Run.Ordered)
      continue;
    const live_job *Job = findJob(Key.Task.Job);
    if (!Job || !Job->step(Key.Task.Position.Step).Gang)
      continue;
    const time_point Limit = Run.PlacedAt + Limits.GangStart;
    if (Limit > Present.Now)
      askWake(Limit);
    else
      Late.push_back(Key);
  }
  for (const run_ref &Key : Late)
    stopGang(*findJob(Key.Task.Job), Key, "gang_incomplete");
}

std::vector<step_ref>
work_scheduler::readySteps(const present_time &Present) {
  std::vector<std::tuple<std::uint32_t, time_point, step_ref>> Ready;
  std::vector<job_id> Idle;
  for (const job_id &Id : Waiting) {
    const live_job &Job = *findJob(Id);
    bool AnyWaiting = false;
    for (const step_ref &Step : Job.steps()) {
      if (Job.waiting(Step).empty())
        continue;
      AnyWaiting = true;
      if (Job.ready(Step, Present.Wall))
        Ready.emplace_back(termsOf(Job).Priority, Job.knownAt(), Step);
      else if (Job.dueAt(Step.Occurrence) > Present.Wall)
        askWake(Present.Now + (Job.dueAt(Step.Occurrence) - Present.Wall));
    }
    if (!AnyWaiting)
      Idle.push_back(Id);
  }
  for (const job_id &Id : Idle)
    Waiting.erase(Id);
  std::sort(Ready.begin(), Ready.end());
  std::vector<step_ref> Steps;
  for (const auto &[Priority, KnownAt, Step] : Ready) {
    const live_job &Job = *findJob(Step.Job);
    // Members of a gang start together: none while an earlier run goes on.
    const bool Whole = Job.waiting(Step).size() == Job.step(Step.Step).Count;
    if (!Job.step(Step.Step).Gang || Whole)
      Steps.push_back(Step);
  }
  return Steps;
}

placement_request
work_scheduler::requestFor(const live_job &Job, const step_ref &Step,
                           std::span<const task_position> Tasks) const {
  auto TasksOn = [this, Step](const worker_id &Worker) {
    const auto Found = Pool.all().find(Worker);
    std::uint32_t Count = 0;
    for (const run_ref &Run : Found->second.Runs)
      if (Run.Task.Job == Step.Job &&
          Run.Task.Position.Occurrence == Step.Occurrence &&
          Run.Task.Position.Step == Step.Step)
        ++Count;
    return Count;
  };
  const queue_terms &Terms = termsOf(Job);
  return {.Step = &Job.step(Step.Step),
          .Service = Terms.Service,
          .Priority = Terms.Priority,
          .Tasks = Tasks,
          .TasksOn = TasksOn};
}

void work_scheduler::startRuns(live_job &Job, const step_ref &Step,
                               std::span<const assignment> Assignments,
                               const present_time &Present) {
  const step_spec &Spec = Job.step(Step.Step);
  // The members of a gang share the number of the run and the checkpoint.
  std::uint32_t GangRun = 0;
  std::string GangCheckpoint;
  for (std::uint32_t I = 0; Spec.Gang && I < Spec.Count; ++I) {
    const task_progress &Member = Job.task({Step.Occurrence, Step.Step, I});
    GangRun = std::max(GangRun, Member.Run + 1);
    GangCheckpoint = std::max(GangCheckpoint, Member.Checkpoint);
  }
  for (const assignment &Each : Assignments) {
    task_progress &Task = Job.task(Each.Task);
    Task.State = task_state::Running;
    Task.Run = Spec.Gang ? GangRun : Task.Run + 1;
    Task.Place = Each.Worker;
    if (Spec.Gang)
      Task.Checkpoint = GangCheckpoint;
    const run_ref Run{{Step.Job, Each.Task}, Task.Run};
    note(decision_kind::RunPlaced, Run, Each.Worker);
    addRun({.Run = Run,
            .Worker = Each.Worker,
            .Need = heldBy(Spec),
            .Priority = termsOf(Job).Priority,
            .Customer = Job.spec().Customer,
            .StoredBy = NextBatch,
            .PlacedAt = Present.Now,
            .Checkpointing = Spec.Checkpointing,
            .PercentAt = Present.Now});
  }
  if (Assignments.empty())
    return;
  if (Job.progress().State == job_state::Queued)
    Job.setState(job_state::Running);
  markChanged(Step.Job);
}

bool work_scheduler::mayPreempt(const live_job &Job) const {
  return termsOf(Job).Priority == 0;
}

void work_scheduler::makeRoom(placement_round &Round,
                              const placement_request &Request,
                              const present_time &Present) {
  if (Round.reserve(Request))
    return;
  std::vector<live_run> Lower;
  for (const auto &[Key, Run] : Runs)
    if (Run.Priority > Request.Priority && !Run.Stopping)
      Lower.push_back(Run);
  const auto Victims = Round.preempt(Request, Lower, Present.Now);
  if (!Victims)
    return;
  for (const run_ref &Victim : *Victims) {
    const live_job *Job = findJob(Victim.Task.Job);
    if (Job && Job->step(Victim.Task.Position.Step).Gang)
      stopGang(*Job, Victim, "preempted");
    else
      stopRun(Victim, "preempted");
  }
}

std::string_view name(decision_kind Kind) {
  static constexpr std::array<std::string_view, 9> Names{
      "job_arrived", "job_ended",   "run_placed",   "run_stopped", "run_ended",
      "run_lost",    "run_refused", "worker_known", "worker_gone"};
  return Names.at(static_cast<std::size_t>(Kind));
}

} // namespace geraniumpaddle::work
