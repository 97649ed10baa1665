#include "core/work/workscheduler.h"

#include "core/base/membertable.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle::work {

work_scheduler::work_scheduler(std::uint64_t Term,
                               const scheduler_limits &Limits,
                               const job_registry &Registry,
                               const queue_directory &Queues,
                               const evacuated_zones &Evacuated,
                               present_time Present)
    : Term(Term), Limits(Limits), Registry(Registry), Queues(Queues),
      Pool(Limits, Evacuated) {
  recoverJobs(Present);
}

std::span<const scheduler_command>
work_scheduler::handle(const scheduler_event &Event, present_time Present) {
  Commands.clear();
  using table = member_table<
      &work_scheduler::onJobArrived, &work_scheduler::onCancelRequested,
      &work_scheduler::onWorkerReported, &work_scheduler::onPreviousTermEnded,
      &work_scheduler::onProgressStored, &work_scheduler::onEvacuationsChanged,
      &work_scheduler::onTimerExpired>;
  table::dispatch(*this, Event, Present);
  decide(Present);
  emitCommands();
  return Commands;
}

// Recovery from the log.

void work_scheduler::recoverJobs(const present_time &Present) {
  for (const auto &[Id, Entry] : Registry.jobs()) {
    if (!Entry.Spec || ended(Entry.Progress.State))
      continue;
    const auto [Added, IsNew] =
        Jobs.try_emplace(Id, Entry.Spec, Entry.Progress, Present.Now);
    recoverRuns(Added->second, Present);
    Waiting.insert(Id);
  }
  for (const auto &[Id, Entry] : Registry.jobs())
    if (Entry.Cancelled && Jobs.contains(Id))
      endJob(Id, job_state::Cancelled, Present);
}

void work_scheduler::recoverRuns(const live_job &Job,
                                 const present_time &Present) {
  const auto &Tasks = Job.progress().Tasks;
  const time_point LeaseEnd = Pool.leaseEnd(Present.Now) + Limits.LeaderLease;
  for (std::size_t I = 0; I < Tasks.size(); ++I) {
    if (Tasks[I].State != task_state::Running)
      continue;
    const task_position Position = Job.layout().position(I);
    Pool.addFromLog(Tasks[I].LastWorker, LeaseEnd);
    live_run Run = makeRun(Job, Job.spec().Policy, Position, Present.Now);
    Run.Ordered = true;
    addRun(Run);
  }
}

/// Builds the run that the progress of a task records.
live_run work_scheduler::makeRun(const live_job &Job,
                                 const queue_policy &Policy,
                                 const task_position &Position,
                                 time_point Now) const {
  const step_spec &Step = Job.step(Position.Step);
  const task_progress &Task = Job.task(Position);
  return {.Run = {{Job.spec().Id, Position}, Task.Run},
          .Worker = Task.LastWorker,
          .Need = reservedResources(Step),
          .Priority = Policy.Priority,
          .ExpectedDuration = Forecast.expectedDuration(Policy, Step),
          .PlacedAt = Now,
          .Checkpointing = Step.Checkpointing,
          .GangSize = Step.Gang ? Step.Count : 1,
          .LongRunning = Step.LongRunning,
          .PercentAt = Now};
}

void work_scheduler::onPreviousTermEnded(const previous_term_ended &Event,
                                         const present_time &Present) {
  for (auto &[Id, Worker] : Pool.all()) {
    if (Worker.HasReported)
      continue; // it has reported in this term
    // Also the lease of a later instance: the previous term may have known that
    // a run recorded for the earlier one is on the later.
    const auto Found =
        std::find_if(Event.Leases.begin(), Event.Leases.end(),
                     [&Name = Id](const outstanding_lease &Each) {
                       return Each.Instance.Worker == Name;
                     });
    const time_point End =
        Found == Event.Leases.end() ? Present.Now : Found->End;
    Worker.LeaseEnd = std::min(Worker.LeaseEnd, End);
  }
  NextExpiry = Present.Now;
}

std::vector<outstanding_lease> work_scheduler::leases() const {
  std::vector<outstanding_lease> Leases;
  for (const auto &[Id, Worker] : Pool.all())
    Leases.push_back({Worker.Description.Instance, Worker.LeaseEnd});
  return Leases;
}

// Bookkeeping.

live_job *work_scheduler::findJob(const job_id &Job) {
  const auto Found = Jobs.find(Job);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const live_job *work_scheduler::findJob(const job_id &Job) const {
  const auto Found = Jobs.find(Job);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const queue_policy &work_scheduler::policyOf(const live_job &Job) const {
  const queue_policy *Current = Queues.policy(Job.spec().Policy.Queue);
  return Current ? *Current : Job.spec().Policy;
}

void work_scheduler::addRun(const live_run &Run) {
  if (live_run *Added = Runs.add(Run))
    Pool.allocate(*Added);
}

void work_scheduler::eraseRun(const run_ref &Run) {
  const live_run &Live = *Runs.find(Run);
  pool_worker &Worker = Pool.workerOf(Live);
  Pool.release(Live);
  Runs.erase(Live);
  ordersChanged(Worker);
  RoundNeeded = true;
}

void work_scheduler::markChanged(const job_id &Job) {
  if (const live_job *Found = findJob(Job))
    Changed[Job] = Found->progress();
}

void work_scheduler::ordersChanged(pool_worker &Worker) {
  Pool.numberOrders(Worker);
  Commands.emplace_back(send_orders{Worker.Description.Instance.Worker});
}

void work_scheduler::logDecision(decision_kind Kind, const run_ref &Run,
                                 const worker_instance &Worker,
                                 std::string_view Detail) {
  Commands.emplace_back(logged_decision{Kind, Run, Worker, Detail});
}

void work_scheduler::requestTimer(time_point At) {
  if (!TimerAt || At < *TimerAt)
    TimerAt = At;
}

// Jobs.

void work_scheduler::onJobArrived(const job_arrived &Event,
                                  const present_time &Present) {
  const job_id &Id = Event.Spec->Id;
  const registered_job *Recorded = Registry.find(Id);
  const job_progress Progress = Recorded ? Recorded->Progress : job_progress{};
  // The record that ended a job may not have been read back yet.
  if (EndedJobs.contains(Id) || ended(Progress.State))
    return;
  const auto [Added, IsNew] =
      Jobs.try_emplace(Id, Event.Spec, Progress, Present.Now);
  if (!IsNew)
    return;
  recoverRuns(Added->second, Present);
  Waiting.insert(Id);
  RoundNeeded = true;
  if (policyOf(Added->second).Priority == 0)
    Urgent.recordArrival(*Event.Spec, Present.Now);
  logDecision(decision_kind::JobArrived, {{Id, {}}, 0}, {},
              Event.Spec->Policy.Queue);
  // Its cancellation was stored before its submission.
  if (Recorded && Recorded->Cancelled)
    endJob(Id, job_state::Cancelled, Present);
}

void work_scheduler::onCancelRequested(const job_cancel_requested &Event,
                                       const present_time &Present) {
  if (findJob(Event.Job))
    endJob(Event.Job, job_state::Cancelled, Present);
}

void work_scheduler::endJob(const job_id &Job, job_state State,
                            const present_time &Present) {
  const auto Found = Jobs.find(Job);
  Found->second.end(State, Present.Wall);
  markChanged(Job);
  logDecision(decision_kind::JobEnded, {{Job, {}}, 0}, {}, name(State));
  Jobs.erase(Found);
  EndedJobs.insert(Job);
  Waiting.erase(Job);
  FailedOn.erase(Job);
  Speeds.forget(Job);
  for (const live_run *Run : Runs.ofJob(Job))
    stopRun(Run->Run, name(State));
  RoundNeeded = true; // capacity may have been reserved for it
}

void work_scheduler::stopRun(const run_ref &Run, std::string_view Reason) {
  live_run &Live = *Runs.find(Run);
  if (Live.Stopping)
    return;
  Live.Stopping = true;
  logDecision(decision_kind::RunStopped, Run, Live.Worker, Reason);
  Pool.markFreeing(Live);
  pool_worker &Worker = Pool.workerOf(Live);
  ordersChanged(Worker);
  Live.StopOrdersNumber = Worker.OrdersNumber;
}

void work_scheduler::stopGang(const run_ref &Member, std::string_view Reason) {
  if (Runs.find(Member)->GangSize <= 1) {
    stopRun(Member, Reason);
    return;
  }
  for (const live_run *Run : Runs.ofJob(Member.Task.Job))
    if (sameGangRun(Run->Run, Member))
      stopRun(Run->Run, Reason);
}

// The log.

void work_scheduler::onProgressStored(const progress_stored &Event,
                                      const present_time &Present) {
  Appending = false;
  StoredBatch = Event.Batch;
  while (!UnstoredRuns.empty() && UnstoredRuns.front().first <= StoredBatch) {
    const run_ref Key = UnstoredRuns.front().second;
    UnstoredRuns.pop_front();
    live_run *Run = Runs.find(Key);
    if (!Run || Run->Ordered)
      continue;
    Run->Ordered = true;
    Run->PlacedAt = Present.Now;
    ordersChanged(Pool.workerOf(*Run));
    if (Run->GangSize > 1)
      StartingGangs.try_emplace(stepOf(Key),
                                Present.Now + Limits.GangStartLimit);
  }
  acknowledge();
  NextExpiry = Present.Now;
}

void work_scheduler::acknowledge() {
  // With nothing left to record, ends that changed no record can be
  // acknowledged.
  const bool AllStored = !Appending && Changed.empty();
  while (!UnstoredEnds.empty() &&
         (AllStored || UnstoredEnds.front().Batch <= StoredBatch)) {
    const unstored_end &End = UnstoredEnds.front();
    if (pool_worker *Worker = Pool.find(End.Worker)) {
      Worker->AcknowledgedEnd = std::max(Worker->AcknowledgedEnd, End.Number);
      ordersChanged(*Worker);
    }
    UnstoredEnds.pop_front();
  }
}

void work_scheduler::emitCommands() {
  acknowledge();
  if (!Appending && !Changed.empty()) {
    append_progress Append{.Batch = NextBatch++};
    for (auto &[Job, Progress] : Changed)
      Append.Records.push_back({Job, std::move(Progress)});
    Changed.clear();
    Appending = true;
    Commands.emplace_back(std::move(Append));
  }
  if (TimerAt)
    Commands.emplace_back(set_scheduler_timer{*TimerAt});
  TimerAt.reset();
}

std::optional<worker_orders>
work_scheduler::orders(const worker_instance &Instance) const {
  const auto Found = Pool.all().find(Instance.Worker);
  if (Found == Pool.all().end())
    return std::nullopt;
  const pool_worker *Worker = &Found->second;
  const worker_instance &Known = Worker->Description.Instance;
  if (Instance.StartTimeMs < Known.StartTimeMs)
    return std::nullopt;
  worker_orders Orders{.Version = {Term, Worker->OrdersNumber},
                       .Instance = Instance};
  if (Instance != Known)
    return Orders; // it has not been listed yet
  Orders.AcknowledgedEnds = Worker->AcknowledgedEnd;
  for (const live_run *Run : Worker->Runs) {
    if (Run->Stopping || !Run->Ordered || Run->Worker != Known)
      continue;
    desired_run Desired{.Run = Run->Run};
    const live_job *Job = findJob(Run->Run.Task.Job);
    if (!Run->Listed && Job) {
      Desired.HasBody = true;
      Desired.Payload = Job->spec().Payload;
      Desired.Checkpoint = Job->task(Run->Run.Task.Position).Checkpoint;
    }
    Orders.Runs.push_back(std::move(Desired));
  }
  return Orders;
}

} // namespace geraniumpaddle::work
