#include "core/work/workscheduler.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle::work {

work_scheduler::work_scheduler(std::uint64_t Term,
                               const scheduler_limits &Limits,
                               const work_book &Book,
                               const queue_directory &Queues,
                               present_time Present)
    : Term(Term), Limits(Limits), Book(Book), Queues(Queues), Pool(Limits) {
  adoptBook(Present);
}

std::span<const scheduler_command>
work_scheduler::handle(const scheduler_event &Event, present_time Present) {
  Commands.clear();
  using table =
      member_table<&work_scheduler::onArrived, &work_scheduler::onCancel,
                   &work_scheduler::onReported, &work_scheduler::onStored,
                   &work_scheduler::onTimePassed>;
  table::dispatch(*this, Event, Present);
  decide(Present);
  flush();
  return Commands;
}

// Taking office.

void work_scheduler::adoptBook(const present_time &Present) {
  for (const auto &[Id, Entry] : Book.jobs()) {
    if (!Entry.Spec || ended(Entry.Progress.State))
      continue;
    const auto [Added, IsNew] =
        Jobs.try_emplace(Id, Entry.Spec, Entry.Progress, Present.Now);
    adoptRuns(Added->second, Present);
    Waiting.insert(Id);
  }
  for (const auto &[Id, Entry] : Book.jobs())
    if (Entry.Cancelled && Jobs.contains(Id))
      endJob(Id, job_state::Cancelled, Present);
}

void work_scheduler::adoptRuns(const live_job &Job,
                               const present_time &Present) {
  const auto &Tasks = Job.progress().Tasks;
  const time_point LeaseEnd =
      Pool.leaseEnd(Present.Now) + Limits.EarlierTerm;
  for (std::size_t I = 0; I < Tasks.size(); ++I) {
    if (Tasks[I].State != task_state::Running)
      continue;
    const task_position Position = Job.layout().position(I);
    const step_spec &Step = Job.step(Position.Step);
    if (!Pool.find(Tasks[I].Place.Worker))
      Pool.expect(Tasks[I].Place, LeaseEnd);
    addRun({.Run = {{Job.spec().Id, Position}, Tasks[I].Run},
            .Worker = Tasks[I].Place,
            .Need = heldBy(Step),
            .Priority = Job.spec().Terms.Priority,
            .Customer = Job.spec().Customer,
            .Ordered = true,
            .PlacedAt = Present.Now,
            .Checkpointing = Step.Checkpointing,
            .PercentAt = Present.Now});
  }
}

// Small helpers.

live_job *work_scheduler::findJob(const job_id &Job) {
  const auto Found = Jobs.find(Job);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const queue_terms &work_scheduler::termsOf(const live_job &Job) const {
  const queue_terms *Now = Queues.terms(Job.spec().Terms.Queue);
  return Now ? *Now : Job.spec().Terms;
}

void work_scheduler::addRun(live_run Run) {
  if (pool_worker *Worker = Pool.find(Run.Worker)) {
    Worker->Used += Run.Need;
    if (Run.Stopping)
      Worker->Freed += Run.Need;
    Worker->Runs.insert(Run.Run);
  }
  const run_ref Key = Run.Run;
  Runs.emplace(Key, std::move(Run));
}

void work_scheduler::eraseRun(const run_ref &Run) {
  const auto Found = Runs.find(Run);
  if (pool_worker *Worker = Pool.find(Found->second.Worker)) {
    Worker->Used -= Found->second.Need;
    if (Found->second.Stopping)
      Worker->Freed -= Found->second.Need;
    Worker->Runs.erase(Run);
    ordersChanged(*Worker);
  }
  Runs.erase(Found);
}

void work_scheduler::markChanged(const job_id &Job) {
  if (const live_job *Found = findJob(Job))
    Changed[Job] = Found->progress();
}

void work_scheduler::ordersChanged(pool_worker &Worker) {
  ++Worker.OrderNumber;
  Commands.emplace_back(send_orders{Worker.Description.Life.Worker});
}

void work_scheduler::note(decision_kind Kind, const run_ref &Run,
                          const worker_life &Worker, std::string_view Detail) {
  Commands.emplace_back(decision_note{Kind, Run, Worker, Detail});
}

void work_scheduler::askWake(time_point At) {
  if (!Wake || At < *Wake)
    Wake = At;
}

// Jobs.

void work_scheduler::onArrived(const job_arrived &Event,
                               const present_time &Present) {
  const job_id &Id = Event.Spec->Id;
  const book_entry *Recorded = Book.find(Id);
  const job_progress Progress = Recorded ? Recorded->Progress : job_progress{};
  // The record that ended a job may not have been read back yet.
  if (EndedJobs.contains(Id) || ended(Progress.State))
    return;
  const auto [Added, IsNew] =
      Jobs.try_emplace(Id, Event.Spec, Progress, Present.Now);
  if (!IsNew)
    return;
  adoptRuns(Added->second, Present);
  Waiting.insert(Id);
  note(decision_kind::JobArrived, {{Id, {}}, 0}, {}, Event.Spec->Terms.Queue);
}

void work_scheduler::onCancel(const job_cancel_wanted &Event,
                              const present_time &Present) {
  if (findJob(Event.Job))
    endJob(Event.Job, job_state::Cancelled, Present);
}

void work_scheduler::endJob(const job_id &Job, job_state State,
                            const present_time &Present) {
  const auto Found = Jobs.find(Job);
  Found->second.end(State, Present.Wall);
  markChanged(Job);
  note(decision_kind::JobEnded, {{Job, {}}, 0}, {}, name(State));
  const job_id Id = Job;
  Jobs.erase(Found);
  EndedJobs.insert(Id);
  Waiting.erase(Id);
  const run_ref First{{Id, {}}, 0};
  std::vector<run_ref> Open;
  for (auto It = Runs.lower_bound(First);
       It != Runs.end() && It->first.Task.Job == Id; ++It)
    Open.push_back(It->first);
  for (const run_ref &Run : Open)
    stopRun(Run, name(State));
}

void work_scheduler::stopRun(const run_ref &Run, std::string_view Why) {
  live_run &Live = Runs.at(Run);
  if (Live.Stopping)
    return;
  Live.Stopping = true;
  note(decision_kind::RunStopped, Run, Live.Worker, Why);
  if (pool_worker *Worker = Pool.find(Live.Worker)) {
    Worker->Freed += Live.Need;
    ordersChanged(*Worker);
    Live.StopIn = Worker->OrderNumber;
  }
}

void work_scheduler::stopGang(const live_job &Job, const run_ref &Member,
                              std::string_view Why) {
  task_position Position = Member.Task.Position;
  for (Position.Index = 0; Position.Index < Job.step(Position.Step).Count;
       ++Position.Index) {
    const run_ref Other{{Member.Task.Job, Position}, Member.Run};
    if (Runs.contains(Other))
      stopRun(Other, Why);
  }
}

// Reports.

void work_scheduler::onReported(const worker_reported &Event,
                                const present_time &Present) {
  const worker_report &Report = Event.Report;
  const worker_life &Life = Report.Description.Life;
  pool_worker *Earlier = Pool.find(Life.Worker);
  if (Earlier && Earlier->Description.Life.Born > Life.Born)
    return; // a late report of a life that is over
  if (Earlier && Earlier->Description.Life.Born < Life.Born) {
    loseAll(*Earlier, "new_life", Present);
    Pool.erase(Life.Worker);
    Earlier = nullptr;
  }
  if (!Earlier || !Earlier->Described)
    note(decision_kind::WorkerKnown, {}, Life, Report.Description.Rack);
  pool_worker &Worker = Pool.heard(Report, Present.Now);
  if (Report.Listing)
    takeListing(Worker, Report, Present);
}

void work_scheduler::takeListing(pool_worker &Worker,
                                 const worker_report &Report,
                                 const present_time &Present) {
  Worker.HasListing = true;
  Worker.Known.clear();
  for (const running_run &Row : Report.Listing->Running) {
    Worker.Known.insert(Row.Run);
    takeRunning(Worker, Row, Present);
  }
  const std::uint64_t ListedBefore = Worker.Listed;
  for (const finished_run &Row : Report.Listing->Finished) {
    if (Row.Number <= ListedBefore)
      continue;
    takeFinished(Worker, Row, Present);
    Worker.Listed = std::max(Worker.Listed, Row.Number);
  }
  if (Worker.Listed > ListedBefore)
    Worker.WaitingEnds.emplace_back(NextBatch, Worker.Listed);
  for (const refused_start &Row : Report.Refused) {
    const auto Found = Runs.find(Row.Run);
    if (Found != Runs.end() && Found->second.Worker == Worker.Description.Life)
      runLost(Row.Run, decision_kind::RunRefused, name(Row.Reason), Present);
  }
  dropUnlisted(Worker, Report, Present);
}

void work_scheduler::takeRunning(pool_worker &Worker, const running_run &Row,
                                 const present_time &Present) {
  const auto Found = Runs.find(Row.Run);
  if (Found == Runs.end() || Found->second.Worker != Worker.Description.Life) {
    takeForeign(Worker, Row, Present);
    return;
  }
  live_run &Run = Found->second;
  if (!Run.Started || Row.Percent > Run.Percent)
    Run.PercentAt = Present.Now;
  Run.Started = true;
  Run.Percent = Row.Percent;
  live_job *Job = findJob(Row.Run.Task.Job);
  if (!Job || Row.Checkpoint.empty())
    return;
  task_progress &Task = Job->task(Row.Run.Task.Position);
  if (Task.State == task_state::Running && Task.Run == Row.Run.Run)
    Task.Checkpoint = Row.Checkpoint;
}

/// A run that is not wanted: its agent stops it, but it holds capacity.
void work_scheduler::takeForeign(pool_worker &Worker, const running_run &Row,
                                 const present_time &Present) {
  if (Runs.contains(Row.Run))
    return; // recorded on another worker; the agent here stops its own
  const book_entry *Job = Book.find(Row.Run.Task.Job);
  resources Need;
  if (Job && task_layout(*Job->Spec).contains(Row.Run.Task.Position))
    Need = heldBy(Job->Spec->Steps[Row.Run.Task.Position.Step]);
  addRun({.Run = Row.Run,
          .Worker = Worker.Description.Life,
          .Need = Need,
          .Ordered = true,
          .StopIn = Worker.OrderNumber,
          .PlacedAt = Present.Now,
          .Started = true,
          .Stopping = true});
  ordersChanged(Worker);
}

void work_scheduler::takeFinished(pool_worker &Worker, const finished_run &Row,
                                  const present_time &Present) {
  const auto Found = Runs.find(Row.Run);
  if (Found == Runs.end() || Found->second.Worker != Worker.Description.Life)
    return;
  const live_run Run = Found->second;
  note(decision_kind::RunEnded, Row.Run, Run.Worker, name(Row.How));
  runOver(Run, Row.How, Row.Checkpoint, Present);
}

/// A run that was to stop and that the worker neither runs nor remembers never
/// started there, and its agent has barred it.
void work_scheduler::dropUnlisted(pool_worker &Worker,
                                  const worker_report &Report,
                                  const present_time &Present) {
  if (Report.Applied.Term != Term)
    return;
  std::vector<run_ref> Over;
  for (const run_ref &Key : Worker.Runs) {
    const live_run &Run = Runs.at(Key);
    const bool Applied = Report.Applied.Number >= Run.StopIn;
    if (Run.Stopping && Applied && !Worker.Known.contains(Key))
      Over.push_back(Key);
  }
  for (const run_ref &Key : Over) {
    const live_run Run = Runs.at(Key);
    note(decision_kind::RunEnded, Key, Run.Worker, "never_started");
    runOver(Run, run_end::Stopped, "", Present);
  }
}

void work_scheduler::runOver(const live_run &Run, run_end How,
                             const std::string &Checkpoint,
                             const present_time &Present) {
  eraseRun(Run.Run);
  live_job *Job = findJob(Run.Run.Task.Job);
  if (!Job)
    return;
  const task_progress &Task = Job->task(Run.Run.Task.Position);
  if (Task.State != task_state::Running || Task.Run != Run.Run.Run)
    return;
  if (How == run_end::Done) {
    taskDone(*Job, Run.Run, Present);
    return;
  }
  const bool Gang = Job->step(Run.Run.Task.Position.Step).Gang;
  if (Gang)
    stopGang(*Job, Run.Run, "member_ended");
  releaseTask(*Job, Run.Run, Checkpoint);
  if (How == run_end::Failed)
    taskFailed(*Job, Run.Run, Present);
}

void work_scheduler::releaseTask(live_job &Job, const run_ref &Run,
                                 const std::string &Checkpoint) {
  task_progress &Task = Job.task(Run.Task.Position);
  Task.State = task_state::Waiting;
  if (!Checkpoint.empty()) {
    Task.Checkpoint = Checkpoint;
  }
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
  const std::uint32_t Failures =
      Job.countFailure(Run.Task.Position, Run.Run);
  markChanged(Run.Task.Job);
  const bool Lasting = Job.step(Run.Task.Position.Step).LongRunning;
  if (!Lasting && Failures >= termsOf(Job).Attempts)
    endJob(Run.Task.Job, job_state::Failed, Present);
}

void work_scheduler::runLost(const run_ref &Run, decision_kind Kind,
                             std::string_view Why,
                             const present_time &Present) {
  const live_run Live = Runs.at(Run);
  note(Kind, Run, Live.Worker, Why);
  runOver(Live, run_end::Lapsed, "", Present);
}

void work_scheduler::loseAll(pool_worker &Worker, std::string_view Why,
                             const present_time &Present) {
  note(decision_kind::WorkerGone, {}, Worker.Description.Life, Why);
  const std::set<run_ref> Lost = Worker.Runs;
  for (const run_ref &Run : Lost)
    if (Runs.contains(Run))
      runLost(Run, decision_kind::RunLost, Why, Present);
}

// The log.

void work_scheduler::onStored(const progress_stored &Event,
                              const present_time &) {
  Appending = false;
  StoredBatch = Event.Batch;
  for (auto &[Id, Worker] : Pool.all()) {
    bool News = false;
    while (!Worker.WaitingEnds.empty() &&
           Worker.WaitingEnds.front().first <= StoredBatch) {
      Worker.Acknowledged = Worker.WaitingEnds.front().second;
      Worker.WaitingEnds.pop_front();
      News = true;
    }
    for (const run_ref &Key : Worker.Runs) {
      live_run &Run = Runs.at(Key);
      if (!Run.Ordered && Run.StoredBy <= StoredBatch) {
        Run.Ordered = true;
        News = true;
      }
    }
    if (News)
      ordersChanged(Worker);
  }
}

void work_scheduler::flush() {
  if (!Appending && !Changed.empty()) {
    append_progress Append{.Batch = NextBatch++};
    for (auto &[Job, Progress] : Changed)
      Append.Records.push_back({Job, std::move(Progress)});
    Changed.clear();
    Appending = true;
    Commands.emplace_back(std::move(Append));
  }
  // Ends that changed no record need no batch.
  for (auto &[Id, Worker] : Pool.all()) {
    const bool Nothing = !Appending && !Worker.WaitingEnds.empty();
    if (!Nothing)
      continue;
    Worker.Acknowledged = Worker.WaitingEnds.back().second;
    Worker.WaitingEnds.clear();
    ordersChanged(Worker);
  }
  if (Wake) {
    Commands.emplace_back(wake_at{*Wake});
    Wake.reset();
  }
}

std::optional<worker_orders>
work_scheduler::orders(const worker_life &Life) const {
  const pool_worker *Worker = Pool.find(Life);
  if (!Worker)
    return std::nullopt;
  worker_orders Orders{.Version = {Term, Worker->OrderNumber},
                       .Life = Life,
                       .AcknowledgedEnds = Worker->Acknowledged};
  for (const run_ref &Key : Worker->Runs) {
    const live_run &Run = Runs.at(Key);
    if (Run.Stopping || Run.StoredBy > StoredBatch)
      continue;
    desired_run Desired{.Run = Key};
    const auto Job = Jobs.find(Key.Task.Job);
    if (!Worker->Known.contains(Key) && Job != Jobs.end()) {
      const live_job &Live = Job->second;
      const std::size_t Ordinal = Live.layout().ordinal(Key.Task.Position);
      Desired.HasBody = true;
      Desired.Payload = Live.spec().Payload;
      Desired.Checkpoint = Live.progress().Tasks[Ordinal].Checkpoint;
    }
    Orders.Runs.push_back(std::move(Desired));
  }
  return Orders;
}

} // namespace geraniumpaddle::work
