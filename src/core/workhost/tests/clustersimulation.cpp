#include "core/workhost/tests/clustersimulation.h"

#include <algorithm>

namespace geraniumpaddle::work::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration Tick = 10ms;
constexpr int FullPercent = 100;

/// The payload gives the run time of the task in milliseconds, followed by 'f'
/// if it fails.
standins::task_behaviour behaviourOf(const run_ref &Run,
                                     std::string_view Payload,
                                     const std::map<job_id, job_spec> &Specs) {
  const job_spec &Spec = Specs.at(Run.Task.Job);
  const step_spec &Step = Spec.Steps[Run.Task.Position.Step];
  standins::task_behaviour Behaviour{.Need = reservedResources(Step),
                                     .Checkpointing = Step.Checkpointing};
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
      SimulatedWorkers({},
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

void cluster_simulation::takeOver() {
  ++Term;
  Scheduler = std::make_unique<work_scheduler>(Term, scheduler_limits{},
                                               Registry, Queues, present());
  feedScheduler(scheduler_timer_expired{});
}

void cluster_simulation::handOver() {
  const previous_term_ended Ended{Scheduler->leases()};
  takeOver();
  feedScheduler(Ended);
}

void cluster_simulation::feedScheduler(const scheduler_event &Event) {
  const auto Commands = Scheduler->handle(Event, present());
  std::vector<scheduler_command> Copy(Commands.begin(), Commands.end());
  SchedulerTimerAt = time_point::max();
  for (scheduler_command &Command : Copy) {
    if (auto *Append = std::get_if<append_progress>(&Command))
      append(std::move(*Append), Term);
    if (const auto *Timer = std::get_if<set_scheduler_timer>(&Command))
      SchedulerTimerAt = Timer->At;
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
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  const std::uint64_t Incarnation = Agent.Incarnation + 1;
  const time_point DisconnectedUntil = Agent.DisconnectedUntil;
  Agent = {};
  Agent.DisconnectedUntil = DisconnectedUntil;
  Agent.Incarnation = Incarnation;
  Agent.Token = Incarnation;
  worker_description Description =
      makeWorker(workerId(Worker).view(), Worker % 2 ? "r1" : "r2");
  Description.Instance.StartTimeMs =
      SimulatedWorkers.startTimeMs(workerId(Worker));
  Agent.Reconciler =
      std::make_unique<run_reconciler>(reconciler_limits{}, Description);
  feedAgent(Worker, reconciler_timer_expired{});
}

void cluster_simulation::restartWorker(int Worker) {
  SimulatedWorkers.restart(workerId(Worker), Now);
  restartAgent(Worker); // its heartbeat begins a new session
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

bool cluster_simulation::runsOn(int Worker) const {
  return !SimulatedWorkers.listing(workerId(Worker), Now).Running.empty();
}

void cluster_simulation::disconnectAgent(int Worker, duration For) {
  Agents[static_cast<std::size_t>(Worker)].DisconnectedUntil = Now + For;
}

void cluster_simulation::feedAgent(int Worker, const reconciler_event &Event) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
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
  if (const auto *Stop = std::get_if<stop_run>(&Command)) {
    const run_ref Run = Stop->Run;
    const bool Lost = chance(Faults.LostOrders);
    const auto Incarnation = Agent.Incarnation;
    const worker_instance Instance = Agent.Reconciler->description().Instance;
    const std::uint64_t Token = Agent.Token;
    schedule(delay(), [=, this] {
      const auto Answer = SimulatedWorkers.stop(Instance, Token, Run, Now);
      agent &Current = Agents[static_cast<std::size_t>(Worker)];
      if (Current.Incarnation != Incarnation)
        return;
      const bool Done = Answer == standins::order_result::Done && !Lost;
      feedAgent(Worker, stop_answered{Run, Done ? worker_call_result::Done
                                                : worker_call_result::Unknown});
    });
  }
}

void cluster_simulation::start(int Worker, const start_run &Command) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  const auto Incarnation = Agent.Incarnation;
  const worker_instance Instance = Agent.Reconciler->description().Instance;
  const std::uint64_t Token = Agent.Token;
  auto Answered = [=, this](worker_call_result Result, start_refusal Reason) {
    if (Agents[static_cast<std::size_t>(Worker)].Incarnation == Incarnation)
      feedAgent(Worker, start_answered{Command.Run.Run, Result, Reason});
  };
  if (chance(Faults.LateOrders)) {
    schedule(2s + 1ms * (Random() % 10000), [=, this] {
      SimulatedWorkers.start(Instance, Token, Command, Now);
    });
    schedule(500ms, [=] { Answered(worker_call_result::Unknown, {}); });
    return;
  }
  const bool Lost = chance(Faults.LostOrders);
  schedule(delay(), [=, this] {
    const auto Answer = SimulatedWorkers.start(Instance, Token, Command, Now);
    if (Lost || Answer == standins::order_result::OtherInstance)
      Answered(worker_call_result::Unknown, {});
    else if (Answer == standins::order_result::Done)
      Answered(worker_call_result::Done, {});
    else
      Answered(worker_call_result::Refused,
               Answer == standins::order_result::Stale ? start_refusal::Stale
                                                       : start_refusal::Late);
  });
}

void cluster_simulation::list(int Worker, const list_runs &Command) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  const worker_instance Instance = Agent.Reconciler->description().Instance;
  if (SimulatedWorkers.acceptListOrder(Instance, Agent.Token, Command, Now) !=
      standins::order_result::Done) {
    const auto Incarnation = Agent.Incarnation;
    schedule(delay(), [=, this] {
      if (Agents[static_cast<std::size_t>(Worker)].Incarnation == Incarnation)
        feedAgent(Worker, listing_failed{ExitedWorkers.contains(Worker)});
    });
    return;
  }
  Agent.ListAt = Now + std::max(Command.Wait, duration(delay()));
  Agent.ListingAcknowledged = Command.AcknowledgedEnds;
}

void cluster_simulation::sendReport(int Worker) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  Agent.ReportWanted = false;
  Agent.LastReport = Now;
  if (Agent.DisconnectedUntil > Now || chance(Faults.LostReports))
    return;
  const worker_report Report = Agent.Reconciler->report();
  const auto Clock =
      Report.Listing ? std::optional(Report.Listing->ClockMs) : std::nullopt;
  const auto Incarnation = Agent.Incarnation;
  schedule(delay(), [=, this] {
    feedScheduler(worker_reported{Report});
    const auto Orders = Scheduler->orders(Report.Description.Instance);
    if (!Orders || chance(Faults.LostReports))
      return;
    schedule(delay(), [=, this] {
      agent &Current = Agents[static_cast<std::size_t>(Worker)];
      if (Current.Incarnation == Incarnation &&
          Current.DisconnectedUntil <= Now)
        feedAgent(Worker, orders_received{*Orders, Clock});
    });
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
  if (SchedulerTimerAt <= Now)
    feedScheduler(scheduler_timer_expired{});
  for (int Worker = 0; Worker < static_cast<int>(Agents.size()); ++Worker) {
    agent &Agent = Agents[static_cast<std::size_t>(Worker)];
    const bool Ends =
        Agent.ListAt &&
        SimulatedWorkers.hasUnacknowledgedEnds(workerId(Worker)) &&
        Random() % 3 == 0;
    if (Agent.ListAt && (*Agent.ListAt <= Now || Ends)) {
      Agent.ListAt.reset();
      feedAgent(Worker, listing_received{
                            SimulatedWorkers.listing(workerId(Worker), Now)});
    }
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

} // namespace geraniumpaddle::work::testing
