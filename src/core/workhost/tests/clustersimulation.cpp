#include "core/workhost/tests/clustersimulation.h"

#include <algorithm>

namespace geraniumpaddle::work::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration Tick = 10ms;
constexpr duration HeartbeatInterval = 1s;
/// Timeout of a call to a worker.
constexpr duration CallTimeout = 600ms;
constexpr int FullPercent = 100;

/// The payload gives the run time of the task in milliseconds, followed by 'f'
/// if it fails.
standins::task_behaviour behaviourOf(const run_ref &Run,
                                     std::string_view Payload,
                                     const std::map<job_id, job_spec> &Specs) {
  const job_spec &Spec = Specs.at(Run.Task.Job);
  const step_spec &Step = Spec.Steps[Run.Task.Position.Step];
  standins::task_behaviour Behaviour{.Need = reservedResources(Step),
                                     .Checkpointing = Step.Checkpointing,
                                     .LongRunning = Step.LongRunning};
  Behaviour.Work = std::chrono::milliseconds(std::stoi(std::string(Payload)));
  Behaviour.Fails = Payload.find('f') != std::string_view::npos;
  if (Step.Gang) {
    Behaviour.Gang = Run.Task.Job.str() + "/" +
                     std::to_string(Run.Task.Position.Step) + "/" +
                     std::to_string(Run.Run);
    Behaviour.GangSize = Step.Count;
  }
  return Behaviour;
}

} // namespace

cluster_simulation::cluster_simulation(std::uint32_t Seed, int WorkerCount,
                                       const simulation_faults &Faults)
    : Random(Seed), Faults(Faults),
      SimulatedWorkers(
          {.Stop = Faults.StopTime, .EndsPerListing = Faults.EndsPerListing},
          [this](const run_ref &Run, std::string_view Payload) {
            return behaviourOf(Run, Payload, Specs);
          }) {
  Queues.replace(makeConfiguration());
  for (int Worker = 0; Worker < WorkerCount; ++Worker) {
    SimulatedWorkers.addWorker(workerId(Worker), makeWorker("x").Capacity, Now);
    Agents.emplace_back();
    restartAgent(Worker);
  }
  takeOver();
}

worker_id cluster_simulation::workerId(int Worker) const {
  return worker_id("w" + std::to_string(Worker));
}

bool cluster_simulation::chance(int Percent) {
  return static_cast<int>(Random() % FullPercent) < Percent;
}

duration cluster_simulation::delay() { return 1ms * (1 + Random() % 30); }

void cluster_simulation::schedule(duration After,
                                  std::function<void()> Action) {
  Queue.push_back({Now + After, std::move(Action)});
}

present_time cluster_simulation::present() const {
  return {Now, wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
                   Now.time_since_epoch()))};
}

// Log

void cluster_simulation::submit(const job_spec &Spec) {
  Specs[Spec.Id] = Spec;
  job_spec Stored = Spec;
  Stored.SubmittedAt = present().Wall;
  const std::string Key = submissionKey(Spec.Id);
  Registry.apply({Key, Offsets[Key]++}, job_submitted{Stored});
  const auto Entry = Registry.find(Spec.Id)->Spec;
  schedule(delay(), [this, Entry] { feedScheduler(job_arrived{Entry}); });
}

void cluster_simulation::cancel(const job_id &Job) {
  const std::string Key = cancellationKey(Job);
  Registry.apply({Key, Offsets[Key]++}, job_cancelled{Job});
  schedule(delay(), [this, Job] { feedScheduler(job_cancel_requested{Job}); });
}

void cluster_simulation::cancelBeforeSubmission(const job_spec &Spec,
                                                duration Later) {
  Specs[Spec.Id] = Spec;
  cancel(Spec.Id);
  schedule(Later, [this, Spec] { submit(Spec); });
}

void cluster_simulation::takeOver() {
  ++Term;
  SchedulerPausedUntil = {};
  Scheduler = std::make_unique<work_scheduler>(
      Term, scheduler_limits{}, Registry, Queues, Evacuated, present());
  feedScheduler(scheduler_timer_expired{});
}

void cluster_simulation::handOver() {
  const previous_term_ended Ended{Scheduler->leases()};
  takeOver();
  feedScheduler(Ended);
}

void cluster_simulation::pauseScheduler(duration For) {
  SchedulerPausedUntil = Now + For;
}

bool cluster_simulation::deferUntilSchedulerResumes(
    std::function<void()> Action) {
  if (SchedulerPausedUntil <= Now)
    return false;
  // Timers may expire before, between or after the messages are read.
  schedule(SchedulerPausedUntil - Now + delay(),
           [this, PausedTerm = Term, Action = std::move(Action)] {
             if (Term == PausedTerm)
               Action();
           });
  return true;
}

void cluster_simulation::feedScheduler(const scheduler_event &Event) {
  if (deferUntilSchedulerResumes([this, Event] { feedScheduler(Event); }))
    return;
  const auto Commands = Scheduler->handle(Event, present());
  std::vector<scheduler_command> Copy(Commands.begin(), Commands.end());
  SchedulerTimerAt = time_point::max();
  for (scheduler_command &Command : Copy) {
    if (auto *Append = std::get_if<append_progress>(&Command))
      append(std::move(*Append), Term);
    if (const auto *Timer = std::get_if<set_scheduler_timer>(&Command))
      SchedulerTimerAt = Timer->At;
    if (const auto *Decision = std::get_if<logged_decision>(&Command))
      ++Decisions[std::string(Decision->Detail)];
  }
}

void cluster_simulation::append(append_progress Command,
                                std::uint64_t SentTerm) {
  const duration Time =
      chance(Faults.SlowAppends) ? 1ms * (Random() % 2000) : delay();
  schedule(Time, [this, Command = std::move(Command), SentTerm] {
    if (SentTerm != Term)
      return; // fenced
    ++Appends;
    for (const job_progressed &Record : Command.Records) {
      const std::string Key = progressKey(Record.Job);
      Registry.apply({Key, Offsets[Key]++}, Record);
    }
    feedScheduler(progress_stored{Command.Batch});
  });
}

// Agents

void cluster_simulation::restartAgent(int Worker) {
  beginSession(Worker, earlier_session::None);
}

void cluster_simulation::beginSession(int Worker, earlier_session Earlier) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  agent Next;
  Next.DisconnectedUntil = Agent.DisconnectedUntil;
  Next.CutUntil = Agent.CutUntil;
  Next.Session = Agent.Session + 1;
  Agent = std::move(Next);
  worker_description Description =
      makeWorker(workerId(Worker).view(), Worker % 2 ? "r1" : "r2");
  Description.Instance.StartTimeMs =
      SimulatedWorkers.startTimeMs(workerId(Worker));
  Agent.Reconciler = std::make_unique<run_reconciler>(reconciler_limits{},
                                                      Description, Earlier);
  feedAgent(Worker, reconciler_timer_expired{});
}

void cluster_simulation::restartWorker(int Worker) {
  SimulatedWorkers.restart(workerId(Worker), Now);
  schedule(1ms * (Random() % millisecondsOf(HeartbeatInterval)),
           [this, Worker] { sendHeartbeat(Worker); });
}

void cluster_simulation::sendHeartbeat(int Worker) {
  const agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  if (Agent.CutUntil > Now || Agent.PausedUntil > Now) {
    schedule(HeartbeatInterval, [this, Worker] { sendHeartbeat(Worker); });
    return;
  }
  const std::uint64_t Known =
      Agent.Reconciler->description().Instance.StartTimeMs;
  if (Known < SimulatedWorkers.startTimeMs(workerId(Worker)))
    beginSession(Worker, earlier_session::SameProcess);
}

void cluster_simulation::setSpeed(int Worker, double Speed) {
  SimulatedWorkers.setSpeed(workerId(Worker), Speed);
}

void cluster_simulation::cutWorker(int Worker, duration For) {
  Agents[static_cast<std::size_t>(Worker)].CutUntil = Now + For;
}

std::optional<duration> cluster_simulation::timeToWorker(int Worker) {
  if (ExitedWorkers.contains(Worker))
    return std::nullopt;
  const time_point CutUntil = Agents[static_cast<std::size_t>(Worker)].CutUntil;
  const duration Time = std::max(CutUntil - Now, duration{}) + delay();
  return Time < CallTimeout ? std::optional(Time) : std::nullopt;
}

bool cluster_simulation::inSession(int Worker) const {
  return Agents[static_cast<std::size_t>(Worker)]
             .Reconciler->description()
             .Instance.StartTimeMs ==
         SimulatedWorkers.startTimeMs(workerId(Worker));
}

void cluster_simulation::answer(int Worker, std::uint64_t Session,
                                const reconciler_event &Event) {
  if (Agents[static_cast<std::size_t>(Worker)].Session == Session)
    feedAgent(Worker, Event);
}

void cluster_simulation::shutDownWorker(int Worker) {
  feedAgent(Worker,
            listing_received{SimulatedWorkers.listing(workerId(Worker), Now)});
  feedAgent(Worker, shutdown_announced{});
  ExitedWorkers.insert(Worker);
  SimulatedWorkers.restart(workerId(Worker), Now); // ends all that runs there
}

void cluster_simulation::drainWorker(int Worker, duration Remaining) {
  worker_description Description =
      Agents[static_cast<std::size_t>(Worker)].Reconciler->description();
  ++Description.Sequence;
  Description.Draining = true;
  Description.DrainRemaining = Remaining;
  feedAgent(Worker, description_received{Description});
}

void cluster_simulation::replaceWorker(int Worker, duration DrainTime) {
  drainWorker(Worker, DrainTime);
  schedule(DrainTime, [this, Worker] { restartWorker(Worker); });
}

bool cluster_simulation::runsOn(int Worker) const {
  return !SimulatedWorkers.listing(workerId(Worker), Now).Running.empty();
}

const worker_description &cluster_simulation::description(int Worker) const {
  return Agents[static_cast<std::size_t>(Worker)].Reconciler->description();
}

std::vector<run_ref> cluster_simulation::runsOf(int Worker) const {
  std::vector<run_ref> Active;
  for (const running_run &Each :
       SimulatedWorkers.listing(workerId(Worker), Now).Running)
    Active.push_back(Each.Run);
  return Active;
}

void cluster_simulation::disconnectAgent(int Worker, duration For) {
  Agents[static_cast<std::size_t>(Worker)].DisconnectedUntil = Now + For;
}

void cluster_simulation::pauseAgent(int Worker, duration For) {
  Agents[static_cast<std::size_t>(Worker)].PausedUntil = Now + For;
}

void cluster_simulation::feedAgent(int Worker, const reconciler_event &Event) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  if (Agent.PausedUntil > Now) {
    schedule(Agent.PausedUntil - Now + delay(),
             [this, Worker, Session = Agent.Session, Event] {
               answer(Worker, Session, Event);
             });
    return;
  }
  const auto Commands = Agent.Reconciler->handle(Event, Now);
  const std::vector<reconciler_command> Copy(Commands.begin(), Commands.end());
  Agent.TimerAt = time_point::max();
  for (const reconciler_command &Command : Copy)
    execute(Worker, Command);
}

void cluster_simulation::execute(int Worker,
                                 const reconciler_command &Command) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  if (const auto *Start = std::get_if<start_run>(&Command))
    start(Worker, *Start);
  if (const auto *List = std::get_if<list_runs>(&Command))
    list(Worker, *List);
  if (std::holds_alternative<send_report>(Command))
    Agent.ReportWanted = true;
  if (const auto *Timer = std::get_if<set_reconciler_timer>(&Command))
    Agent.TimerAt = std::min(Agent.TimerAt, Timer->At);
  if (const auto *Stop = std::get_if<stop_run>(&Command))
    stop(Worker, *Stop);
}

void cluster_simulation::stop(int Worker, const stop_run &Command) {
  const std::uint64_t Session =
      Agents[static_cast<std::size_t>(Worker)].Session;
  const run_ref Run = Command.Run;
  const auto Time = timeToWorker(Worker);
  if (!Time) {
    schedule(CallTimeout, [=, this] {
      answer(Worker, Session, stop_answered{Run, worker_call_result::Unknown});
    });
    return;
  }
  const bool Lost = chance(Faults.LostOrders);
  schedule(*Time, [=, this] {
    const auto Result =
        SimulatedWorkers.stop(workerId(Worker), Session, Run, Now);
    const bool Done = Result == standins::order_result::Done && !Lost;
    answer(Worker, Session,
           stop_answered{Run, Done ? worker_call_result::Done
                                   : worker_call_result::Unknown});
  });
}

void cluster_simulation::start(int Worker, const start_run &Command) {
  const std::uint64_t Session =
      Agents[static_cast<std::size_t>(Worker)].Session;
  const worker_id Id = workerId(Worker);
  const auto Answered = [=, this](worker_call_result Result,
                                  start_refusal Reason = {}) {
    answer(Worker, Session, start_answered{Command.Run.Run, Result, Reason});
  };
  const auto Time = timeToWorker(Worker);
  const bool Late = chance(Faults.LateOrders);
  if (!Time || Late)
    schedule(CallTimeout, [=] { Answered(worker_call_result::Unknown); });
  if (!Time)
    return;
  const bool Lost = chance(Faults.LostOrders);
  const std::uint64_t Wanted = Agents[static_cast<std::size_t>(Worker)]
                                   .Reconciler->description()
                                   .Instance.StartTimeMs;
  schedule(*Time, [=, this] {
    if (!Faults.UnboundStarts && SimulatedWorkers.startTimeMs(Id) != Wanted) {
      Answered(worker_call_result::Refused, start_refusal::Stale);
      return;
    }
    if (Faults.RestartsBeforeStart > 0) {
      // The agent asked first, and knows the worker's clock from the answer.
      if (SimulatedWorkers.clockMs(Id, Now) >= Command.LeaseEndMs) {
        Answered(worker_call_result::Refused, start_refusal::Late);
        return;
      }
      if (chance(Faults.RestartsBeforeStart))
        restartWorker(Worker);
    }
    if (Faults.UnhealthyStarts > 0 && chance(Faults.UnhealthyStarts)) {
      Answered(worker_call_result::Refused, start_refusal::Unhealthy);
      return;
    }
    if (Late) {
      // The instance that got the start carries it out, or nobody does.
      const std::uint64_t StartTimeMs = SimulatedWorkers.startTimeMs(Id);
      schedule(2s + 1ms * (Random() % 10000), [=, this] {
        if (SimulatedWorkers.startTimeMs(Id) == StartTimeMs)
          SimulatedWorkers.start(Id, Session, Command, Now);
      });
      return;
    }
    const auto Result = SimulatedWorkers.start(Id, Session, Command, Now);
    if (Lost)
      Answered(worker_call_result::Unknown);
    else if (Result == standins::order_result::Done)
      Answered(worker_call_result::Done);
    else
      Answered(worker_call_result::Refused,
               Result == standins::order_result::Stale ? start_refusal::Stale
                                                       : start_refusal::Late);
  });
}

void cluster_simulation::list(int Worker, const list_runs &Command) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  const std::uint64_t Session = Agent.Session;
  const auto Fail = [&](duration After, bool Refused) {
    schedule(After, [=, this] {
      answer(Worker, Session, listing_failed{.ConnectionRefused = Refused});
    });
  };
  const auto Time = timeToWorker(Worker);
  if (!Time) {
    const bool Refused = ExitedWorkers.contains(Worker);
    Fail(Refused ? delay() : CallTimeout, Refused);
    return;
  }
  if (!inSession(Worker)) {
    Fail(*Time, false);
    return;
  }
  if (Faults.RestartsBeforeListing > 0 && chance(Faults.RestartsBeforeListing))
    restartWorker(Worker);
  if (SimulatedWorkers.acceptListOrder(workerId(Worker), Session, Command,
                                       Now) != standins::order_result::Done) {
    Fail(*Time, false);
    return;
  }
  Agent.ListAt = Now + std::max(Command.Wait, *Time);
}

void cluster_simulation::answerListing(int Worker) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  Agent.ListAt.reset();
  if (Agent.CutUntil > Now || !inSession(Worker))
    feedAgent(Worker, listing_failed{});
  else
    feedAgent(Worker, listing_received{
                          SimulatedWorkers.listing(workerId(Worker), Now)});
}

void cluster_simulation::sendReport(int Worker) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  Agent.ReportWanted = false;
  Agent.LastReport = Now;
  if (Agent.DisconnectedUntil > Now || chance(Faults.LostReports))
    return;
  const worker_report Report = Agent.Reconciler->report();
  const std::uint64_t Session = Agent.Session;
  schedule(delay(), [=, this] { handleReport(Worker, Session, Report); });
}

void cluster_simulation::handleReport(int Worker, std::uint64_t Session,
                                      const worker_report &Report) {
  if (deferUntilSchedulerResumes(
          [=, this] { handleReport(Worker, Session, Report); }))
    return;
  feedScheduler(worker_reported{Report});
  const auto Orders = Scheduler->orders(Report.Description.Instance);
  if (!Orders || chance(Faults.LostReports))
    return;
  const auto Clock =
      Report.Listing ? std::optional(Report.Listing->ClockMs) : std::nullopt;
  // An answer may have been computed before a pause and be sent after it.
  const duration Held =
      chance(Faults.HeldAnswers) ? 1ms * (Random() % 6000) : duration{};
  schedule(Held + delay(), [=, this] {
    agent &Current = Agents[static_cast<std::size_t>(Worker)];
    if (Current.Session == Session && Current.DisconnectedUntil <= Now)
      feedAgent(Worker, orders_received{*Orders, Clock});
  });
}

// Time

void cluster_simulation::tick() {
  Now += Tick;
  SimulatedWorkers.advance(Now);
  std::vector<delayed> Due;
  std::erase_if(Queue, [&](delayed &Each) {
    if (Each.At > Now)
      return false;
    Due.push_back(std::move(Each));
    return true;
  });
  for (const delayed &Each : Due)
    Each.Action();
  if (SchedulerTimerAt <= Now && SchedulerPausedUntil <= Now)
    feedScheduler(scheduler_timer_expired{});
  for (int Worker = 0; Worker < static_cast<int>(Agents.size()); ++Worker) {
    agent &Agent = Agents[static_cast<std::size_t>(Worker)];
    const bool Ends =
        Agent.ListAt &&
        SimulatedWorkers.hasUnacknowledgedEnds(workerId(Worker)) &&
        Random() % 3 == 0;
    if (Agent.ListAt && (*Agent.ListAt <= Now || Ends))
      answerListing(Worker);
    if (Agent.PausedUntil > Now)
      continue;
    if (Agent.TimerAt <= Now)
      feedAgent(Worker, reconciler_timer_expired{});
    // Frequent reports stand for a report that the scheduler keeps open until
    // there are new orders.
    const bool Ask = Now - Agent.LastReport >= 50ms;
    if (Agent.ReportWanted || Ask)
      sendReport(Worker);
  }
}

void cluster_simulation::runFor(duration Time) {
  const time_point End = Now + Time;
  while (Now < End)
    tick();
}

bool cluster_simulation::runUntil(const std::function<bool()> &Done,
                                  duration Limit) {
  const time_point End = Now + Limit;
  while (Now < End && !Done())
    tick();
  return Done();
}

job_state cluster_simulation::state(const job_id &Job) const {
  return Registry.find(Job)->state();
}

const job_progress &cluster_simulation::progress(const job_id &Job) const {
  return Registry.find(Job)->Progress;
}

bool cluster_simulation::allEnded() const {
  return std::all_of(
      Registry.jobs().begin(), Registry.jobs().end(),
      [](const auto &Each) { return ended(Each.second.state()); });
}

bool cluster_simulation::runsAreListedOnce() const {
  std::set<run_ref> Listed;
  std::size_t Rows = 0;
  for (const auto &[Id, Worker] : Scheduler->workers().all()) {
    resources Used;
    for (const live_run *Run : Worker.Runs) {
      Listed.insert(Run->Run);
      Used += Run->Need;
    }
    Rows += Worker.Runs.size();
    if (Used != Worker.Used)
      return false;
  }
  return Rows == Listed.size() && Rows == Scheduler->runningRuns();
}

std::vector<task_ref> cluster_simulation::unrecordedEnds() const {
  std::vector<task_ref> Unrecorded;
  for (const task_ref &Task : SimulatedWorkers.doneTasks()) {
    const registered_job &Job = *Registry.find(Task.Job);
    const std::size_t Ordinal = task_layout(*Job.Spec).ordinal(Task.Position);
    const auto &Tasks = Job.Progress.Tasks;
    const bool Recorded =
        ended(Job.state()) ||
        (Ordinal < Tasks.size() && Tasks[Ordinal].State == task_state::Done);
    if (!Recorded)
      Unrecorded.push_back(Task);
  }
  return Unrecorded;
}

bool cluster_simulation::hasStarted(const job_id &Job) const {
  const auto &Started = SimulatedWorkers.failedRuns();
  return std::any_of(Started.begin(), Started.end(), [&Job](const auto &Each) {
    return Each.first.Job == Job;
  });
}

} // namespace geraniumpaddle::work::testing
