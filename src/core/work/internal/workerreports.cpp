#include "core/work/workscheduler.h"

#include <algorithm>

namespace geraniumpaddle::work {

namespace {

/// A worker on which this many runs failed one after the other is suspected.
constexpr int FailuresToSuspect = 3;
/// It gets no tasks for this long; each time in a row twice as long.
constexpr duration FirstSuspicion = std::chrono::seconds(4);
constexpr int MaxSuspicions = 3;
/// A run whose progress stands still this long, or for this part of its
/// expected time, hangs.
constexpr duration StallLimit = std::chrono::milliseconds(2500);
constexpr int StallPart = 10;

} // namespace

void work_scheduler::onReported(const worker_reported &Event,
                                const present_time &Present) {
  const worker_report &Report = Event.Report;
  const worker_instance &Life = Report.Description.Life;
  pool_worker *Earlier = Pool.find(Life.Worker);
  if (Earlier && Earlier->Description.Life.StartTimeMs > Life.StartTimeMs)
    return; // a late report of a life that is over
  if (Earlier && Earlier->Description.Life.StartTimeMs < Life.StartTimeMs) {
    loseAll(*Earlier, "new_life", Present);
    Pool.erase(Life.Worker);
    Earlier = nullptr;
  }
  if (Report.Left) {
    if (Earlier)
      workerLeft(*Earlier, Report, Present);
    return;
  }
  if (!Earlier || !Earlier->Described)
    note(decision_kind::WorkerKnown, {}, Life, Report.Description.Rack);
  const bool UsableBefore = Earlier && Earlier->usable(Present.Now);
  pool_worker &Worker = Pool.heard(Report, Present.Now);
  if (Report.Listing)
    takeListing(Worker, Report, Present);
  if (Worker.usable(Present.Now) != UsableBefore) {
    RoundWanted = true;
    NextExpiry = Present.Now;
  }
}

/// Takes its last ends; what else it had is over.
void work_scheduler::workerLeft(pool_worker &Worker,
                                const worker_report &Report,
                                const present_time &Present) {
  if (Report.Listing)
    takeListing(Worker, Report, Present);
  loseAll(Worker, "left", Present);
  Pool.erase(Report.Description.Life.Worker);
  RoundWanted = true;
}

void work_scheduler::takeListing(pool_worker &Worker,
                                 const worker_report &Report,
                                 const present_time &Present) {
  Worker.HasListing = true;
  for (live_run *Run : Worker.Runs)
    Run->Listed = false;
  for (const running_run &Row : Report.Listing->Running)
    takeRunning(Worker, Row, Present);
  const std::uint64_t ListedBefore = Worker.Listed;
  for (const finished_run &Row : Report.Listing->Finished) {
    if (Row.Number <= ListedBefore)
      continue;
    takeFinished(Worker, Row, Present);
    Worker.Listed = std::max(Worker.Listed, Row.Number);
  }
  if (Worker.Listed > ListedBefore)
    WaitingEnds.push_back({NextBatch, Worker.Description.Life, Worker.Listed});
  for (const refused_start &Row : Report.Refused) {
    const live_run *Run = Runs.find(Row.Run);
    if (Run && Run->Worker == Worker.Description.Life)
      runLost(Row.Run, decision_kind::RunRefused, name(Row.Reason), Present);
  }
  dropUnlisted(Worker, Report, Present);
}

void work_scheduler::takeRunning(pool_worker &Worker, const running_run &Row,
                                 const present_time &Present) {
  live_run *Run = Runs.find(Row.Run);
  if (!Run || Run->Worker != Worker.Description.Life) {
    takeForeign(Worker, Row, Present);
    return;
  }
  if (!Run->Started)
    Run->StartedAt = Present.Now;
  if (!Run->Started || Row.Percent > Run->Percent)
    Run->PercentAt = Present.Now;
  Run->Started = true;
  Run->Listed = true;
  Run->Percent = std::max(Run->Percent, Row.Percent);
  live_job *Job = findJob(Row.Run.Task.Job);
  if (!Job)
    return;
  const task_position &Position = Row.Run.Task.Position;
  const task_progress &Task = Job->task(Position);
  const bool Current =
      Task.State == task_state::Running && Task.Run == Row.Run.Run;
  if (Current && !Row.Checkpoint.empty() && Row.Checkpoint != Task.Checkpoint)
    Job->setCheckpoint(Position, Row.Checkpoint);
  const duration Stall = std::max(StallLimit, Run->Expected / StallPart);
  const bool Hangs = !Run->LongRunning && !Run->Stopping && Current &&
                     Present.Now - Run->PercentAt > Stall;
  if (Hangs) {
    suspect(Worker, "task_stalled", Present);
    stopGang(Row.Run, "stalled");
  }
}

/// A run that is not wanted: its agent stops it, but it holds capacity.
void work_scheduler::takeForeign(pool_worker &Worker, const running_run &Row,
                                 const present_time &Present) {
  if (Runs.find(Row.Run))
    return; // recorded on another worker; the agent here stops its own
  const registered_job *Job = Book.find(Row.Run.Task.Job);
  resources Need;
  if (Job && task_layout(*Job->Spec).contains(Row.Run.Task.Position))
    Need = reservedResources(Job->Spec->Steps[Row.Run.Task.Position.Step]);
  addRun({.Run = Row.Run,
          .Worker = Worker.Description.Life,
          .Need = Need,
          .PlacedAt = Present.Now,
          .StopIn = Worker.OrderNumber,
          .Ordered = true,
          .Started = true,
          .Listed = true,
          .Stopping = true});
  ordersChanged(Worker);
}

void work_scheduler::takeFinished(pool_worker &Worker, const finished_run &Row,
                                  const present_time &Present) {
  const live_run *Found = Runs.find(Row.Run);
  if (!Found || Found->Worker != Worker.Description.Life)
    return;
  const live_run Run = *Found;
  note(decision_kind::RunEnded, Row.Run, Run.Worker, name(Row.EndReason));
  learnFrom(Worker, Run, Row.EndReason, Present);
  runOver(Run, Row.EndReason, Row.Checkpoint, Present);
}

void work_scheduler::learnFrom(pool_worker &Worker, const live_run &Run,
                               run_end_reason EndReason,
                               const present_time &Present) {
  const job_id &Id = Run.Run.Task.Job;
  const live_job *Job = findJob(Id);
  if (EndReason == run_end_reason::Done) {
    Worker.FailuresInRow = 0;
    Worker.Suspicions = 0;
    Worker.OnProbation = false;
    if (Job && Run.Started)
      Forecast.updateForecast(termsOf(*Job),
                              Job->step(Run.Run.Task.Position.Step),
                              Present.Now - Run.StartedAt);
    return;
  }
  if (EndReason != run_end_reason::Failed)
    return;
  FailedOn[Id].insert(Worker.Description.Life.Worker);
  ++Worker.FailuresInRow;
  if (Worker.OnProbation || Worker.FailuresInRow >= FailuresToSuspect)
    suspect(Worker, "runs_failed", Present);
}

void work_scheduler::suspect(pool_worker &Worker, std::string_view Why,
                             const present_time &Present) {
  if (Worker.SuspectUntil > Present.Now)
    return;
  Worker.SuspectUntil = Present.Now + FirstSuspicion * (1 << Worker.Suspicions);
  Worker.Suspicions = std::min(Worker.Suspicions + 1, MaxSuspicions);
  Worker.FailuresInRow = 0;
  Worker.OnProbation = true;
  NextExpiry = Present.Now;
  note(decision_kind::WorkerSuspected, {}, Worker.Description.Life, Why);
}

/// A run that was to stop and that the worker neither runs nor remembers never
/// started there, and its agent has barred it.
void work_scheduler::dropUnlisted(pool_worker &Worker,
                                  const worker_report &Report,
                                  const present_time &Present) {
  if (Report.Applied.Term != Term)
    return;
  std::vector<run_ref> Over;
  for (const live_run *Run : Worker.Runs)
    if (Run->Stopping && !Run->Listed && Report.Applied.Number >= Run->StopIn)
      Over.push_back(Run->Run);
  for (const run_ref &Key : Over) {
    const live_run Run = *Runs.find(Key);
    note(decision_kind::RunEnded, Key, Run.Worker, "never_started");
    runOver(Run, run_end_reason::Stopped, "", Present);
  }
}

void work_scheduler::runOver(const live_run &Run, run_end_reason EndReason,
                             const std::string &Checkpoint,
                             const present_time &Present) {
  live_job *Job = findJob(Run.Run.Task.Job);
  if (!Job) {
    eraseRun(Run.Run);
    return;
  }
  const task_progress &Task = Job->task(Run.Run.Task.Position);
  const bool Current =
      Task.State == task_state::Running && Task.Run == Run.Run.Run;
  if (Current && EndReason != run_end_reason::Done && Run.GangSize > 1)
    stopGang(Run.Run, "member_ended");
  eraseRun(Run.Run);
  if (!Current)
    return;
  if (EndReason == run_end_reason::Done) {
    taskDone(*Job, Run.Run, Present);
    return;
  }
  releaseTask(*Job, Run.Run, Checkpoint);
  if (EndReason == run_end_reason::Failed)
    taskFailed(*Job, Run.Run, Present);
}

void work_scheduler::releaseTask(live_job &Job, const run_ref &Run,
                                 const std::string &Checkpoint) {
  Job.setWaiting(Run.Task.Position);
  if (!Checkpoint.empty())
    Job.setCheckpoint(Run.Task.Position, Checkpoint);
  Waiting.insert(Run.Task.Job);
  markChanged(Run.Task.Job);
}

void work_scheduler::taskDone(live_job &Job, const run_ref &Run,
                              const present_time &Present) {
  const step_spec &Step = Job.step(Run.Task.Position.Step);
  task_position Position = Run.Task.Position;
  Job.setDone(Position);
  // One member's end stands for its whole gang.
  for (Position.Index = 0; Step.Gang && Position.Index < Step.Count;
       ++Position.Index)
    Job.setDone(Position);
  markChanged(Run.Task.Job);
  if (Job.allDone())
    endJob(Run.Task.Job, job_state::Completed, Present);
}

void work_scheduler::taskFailed(live_job &Job, const run_ref &Run,
                                const present_time &Present) {
  const std::uint32_t Failures = Job.countFailure(Run.Task.Position, Run.Run);
  markChanged(Run.Task.Job);
  const bool Lasting = Job.step(Run.Task.Position.Step).LongRunning;
  if (!Lasting && Failures >= termsOf(Job).Attempts)
    endJob(Run.Task.Job, job_state::Failed, Present);
}

void work_scheduler::runLost(const run_ref &Run, decision_kind Kind,
                             std::string_view Why,
                             const present_time &Present) {
  const live_run Live = *Runs.find(Run);
  note(Kind, Run, Live.Worker, Why);
  runOver(Live, run_end_reason::LeaseExpired, "", Present);
}

void work_scheduler::loseAll(pool_worker &Worker, std::string_view Why,
                             const present_time &Present) {
  note(decision_kind::WorkerGone, {}, Worker.Description.Life, Why);
  std::vector<run_ref> Lost;
  for (const live_run *Run : Worker.Runs)
    Lost.push_back(Run->Run);
  for (const run_ref &Run : Lost)
    if (Runs.find(Run))
      runLost(Run, decision_kind::RunLost, Why, Present);
}

} // namespace geraniumpaddle::work
