#include "core/workhost/tests/clustersimulation.h"

#include <algorithm>

namespace geraniumpaddle::work::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration Tick = 10ms;
constexpr int Hundred = 100;

/// The payload tells what the task does: its milliseconds, then letters.
standins::task_behaviour behaviourOf(const run_ref &Run,
                                     std::string_view Payload,
                                     const std::map<job_id, job_spec> &Specs) {
  const job_spec &Spec = Specs.at(Run.Task.Job);
  const step_spec &Step = Spec.Steps[Run.Task.Position.Step];
  standins::task_behaviour What{.Need = reservedResources(Step),
                                .Checkpointing = Step.Checkpointing};
  What.Work = std::chrono::milliseconds(std::stoi(std::string(Payload)));
  What.Fails = Payload.find('f') != std::string_view::npos;
  if (Step.Gang) {
    What.Gang = Run.Task.Job.str() + "/" +
                std::to_string(Run.Task.Position.Step) + "/" +
                std::to_string(Run.Run);
    What.GangSize = Step.Count;
  }
  return What;
}

} // namespace

work_world::work_world(std::uint32_t Seed, int WorkerCount,
                       const world_faults &Faults)
    : Random(Seed), Faults(Faults),
      Field({}, [this](const run_ref &Run, std::string_view Payload) {
        return behaviourOf(Run, Payload, Specs);
      }) {
  Queues.replace(makeConfiguration());
  for (int Worker = 0; Worker < WorkerCount; ++Worker) {
    Field.addWorker(idOf(Worker), makeWorker("x").Capacity, Now);
    Agents.emplace_back();
    restartAgent(Worker);
  }
  takeOver();
}

worker_id work_world::idOf(int Worker) const {
  return worker_id("w" + std::to_string(Worker));
}

bool work_world::chance(int Hundredths) {
  return static_cast<int>(Random() % Hundred) < Hundredths;
}

duration work_world::delay() { return 1ms * (1 + Random() % 30); }

void work_world::later(duration After, std::function<void()> Do) {
  Queue.push_back({Now + After, std::move(Do)});
}

present_time work_world::present() const {
  return {Now, wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
                   Now.time_since_epoch()))};
}

// The log.

void work_world::submit(const job_spec &Spec) {
  Specs[Spec.Id] = Spec;
  job_spec Stored = Spec;
  Stored.SubmittedAt = present().Wall;
  const std::string Key = submissionKey(Spec.Id);
  Registry.apply({Key, Offsets[Key]++}, job_submitted{Stored});
  const auto Entry = Registry.find(Spec.Id)->Spec;
  later(delay(), [this, Entry] { feedScheduler(job_arrived{Entry}); });
}

void work_world::cancel(const job_id &Job) {
  const std::string Key = cancellationKey(Job);
  Registry.apply({Key, Offsets[Key]++}, job_cancelled{Job});
  later(delay(), [this, Job] { feedScheduler(job_cancel_requested{Job}); });
}

void work_world::takeOver() {
  ++Term;
  Scheduler = std::make_unique<work_scheduler>(Term, scheduler_limits{},
                                               Registry, Queues, present());
  feedScheduler(time_passed{});
}

void work_world::handOver() {
  const previous_term_ended Ended{Scheduler->leases()};
  takeOver();
  feedScheduler(Ended);
}

void work_world::feedScheduler(const scheduler_event &Event) {
  const auto Commands = Scheduler->handle(Event, present());
  std::vector<scheduler_command> Copy(Commands.begin(), Commands.end());
  SchedulerWake = time_point::max();
  for (scheduler_command &Command : Copy) {
    if (auto *Append = std::get_if<append_progress>(&Command))
      append(std::move(*Append), Term);
    if (const auto *Wake = std::get_if<wake_at>(&Command))
      SchedulerWake = Wake->At;
  }
}

void work_world::append(append_progress Command, std::uint64_t OfTerm) {
  const duration Time =
      chance(Faults.SlowAppends) ? 1ms * (Random() % 2000) : delay();
  later(Time, [this, Command = std::move(Command), OfTerm] {
    if (OfTerm != Term)
      return; // fenced
    ++Appends;
    for (const job_progressed &Record : Command.Records) {
      const std::string Key = progressKey(Record.Job);
      Registry.apply({Key, Offsets[Key]++}, Record);
    }
    feedScheduler(progress_stored{Command.Batch});
  });
}

// Agents.

void work_world::restartAgent(int Worker) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  const std::uint64_t Incarnation = Agent.Incarnation + 1;
  const time_point CutUntil = Agent.CutUntil;
  Agent = {};
  Agent.CutUntil = CutUntil;
  Agent.Incarnation = Incarnation;
  Agent.Token = Incarnation;
  worker_description Description =
      makeWorker(idOf(Worker).view(), Worker % 2 ? "r1" : "r2");
  Description.Life.StartTimeMs = Field.born(idOf(Worker));
  Agent.Host = std::make_unique<run_host>(host_limits{}, Description);
  feedAgent(Worker, host_time_passed{});
}

void work_world::restartWorker(int Worker) {
  Field.restart(idOf(Worker), Now);
  restartAgent(Worker); // its heartbeat begins a new session
}

void work_world::leave(int Worker) {
  feedAgent(Worker, listing_arrived{Field.listing(idOf(Worker), Now)});
  feedAgent(Worker, worker_leaves{});
  Gone.insert(Worker);
  Field.restart(idOf(Worker), Now); // ends all that runs there
}

void work_world::drain(int Worker, duration Remaining) {
  worker_description Description =
      Agents[static_cast<std::size_t>(Worker)].Host->description();
  ++Description.Sequence;
  Description.Draining = true;
  Description.DrainRemaining = Remaining;
  feedAgent(Worker, worker_described{Description});
}

bool work_world::runsOn(int Worker) const {
  return !Field.listing(idOf(Worker), Now).Running.empty();
}

void work_world::cutAgent(int Worker, duration For) {
  Agents[static_cast<std::size_t>(Worker)].CutUntil = Now + For;
}

void work_world::feedAgent(int Worker, const host_event &Event) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  const auto Commands = Agent.Host->handle(Event, Now);
  const std::vector<host_command> Copy(Commands.begin(), Commands.end());
  Agent.WakeAt = time_point::max();
  for (const host_command &Command : Copy)
    execute(Worker, Command);
}

void work_world::execute(int Worker, const host_command &Command) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  if (const auto *Start = std::get_if<start_run>(&Command))
    start(Worker, *Start);
  if (const auto *List = std::get_if<list_runs>(&Command))
    list(Worker, *List);
  if (std::holds_alternative<report_now>(Command))
    Agent.ReportWanted = true;
  if (const auto *Wake = std::get_if<host_wake_at>(&Command))
    Agent.WakeAt = std::min(Agent.WakeAt, Wake->At);
  if (const auto *Stop = std::get_if<stop_run>(&Command)) {
    const run_ref Run = Stop->Run;
    const bool Lost = chance(Faults.LostOrders);
    const auto Incarnation = Agent.Incarnation;
    const worker_instance Life = Agent.Host->description().Life;
    const std::uint64_t Token = Agent.Token;
    later(delay(), [=, this] {
      const auto Answer = Field.stop(Life, Token, Run, Now);
      agent &Same = Agents[static_cast<std::size_t>(Worker)];
      if (Same.Incarnation != Incarnation)
        return;
      const bool Done = Answer == standins::field_answer::Done && !Lost;
      feedAgent(Worker, stop_answered{Run, Done ? worker_call_result::Done
                                                : worker_call_result::Unknown});
    });
  }
}

void work_world::start(int Worker, const start_run &Command) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  const auto Incarnation = Agent.Incarnation;
  const worker_instance Life = Agent.Host->description().Life;
  const std::uint64_t Token = Agent.Token;
  auto Answered = [=, this](worker_call_result Result, start_refusal Reason) {
    if (Agents[static_cast<std::size_t>(Worker)].Incarnation == Incarnation)
      feedAgent(Worker, start_answered{Command.Run.Run, Result, Reason});
  };
  if (chance(Faults.LateOrders)) {
    later(2s + 1ms * (Random() % 10000),
          [=, this] { Field.start(Life, Token, Command, Now); });
    later(500ms, [=] { Answered(worker_call_result::Unknown, {}); });
    return;
  }
  const bool Lost = chance(Faults.LostOrders);
  later(delay(), [=, this] {
    const auto Answer = Field.start(Life, Token, Command, Now);
    if (Lost || Answer == standins::field_answer::OtherLife)
      Answered(worker_call_result::Unknown, {});
    else if (Answer == standins::field_answer::Done)
      Answered(worker_call_result::Done, {});
    else
      Answered(worker_call_result::Refused,
               Answer == standins::field_answer::Stale ? start_refusal::Stale
                                                       : start_refusal::Late);
  });
}

void work_world::list(int Worker, const list_runs &Command) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  const worker_instance Life = Agent.Host->description().Life;
  if (Field.hold(Life, Agent.Token, Command, Now) !=
      standins::field_answer::Done) {
    const auto Incarnation = Agent.Incarnation;
    later(delay(), [=, this] {
      if (Agents[static_cast<std::size_t>(Worker)].Incarnation == Incarnation)
        feedAgent(Worker, listing_failed{Gone.contains(Worker)});
    });
    return;
  }
  Agent.ListAt = Now + std::max(Command.Wait, duration(delay()));
  Agent.OpenAcknowledged = Command.AcknowledgedEnds;
}

void work_world::sendReport(int Worker) {
  agent &Agent = Agents[static_cast<std::size_t>(Worker)];
  Agent.ReportWanted = false;
  Agent.LastReport = Now;
  if (Agent.CutUntil > Now || chance(Faults.LostReports))
    return;
  const worker_report Report = Agent.Host->report();
  const auto Clock =
      Report.Listing ? std::optional(Report.Listing->ClockMs) : std::nullopt;
  const auto Incarnation = Agent.Incarnation;
  later(delay(), [=, this] {
    feedScheduler(worker_reported{Report});
    const auto Orders = Scheduler->orders(Report.Description.Life);
    if (!Orders || chance(Faults.LostReports))
      return;
    later(delay(), [=, this] {
      agent &Same = Agents[static_cast<std::size_t>(Worker)];
      if (Same.Incarnation == Incarnation && Same.CutUntil <= Now)
        feedAgent(Worker, orders_arrived{*Orders, Clock});
    });
  });
}

// Time.

void work_world::tick() {
  Now += Tick;
  Field.advance(Now);
  std::vector<delayed> Due;
  std::erase_if(Queue, [&](delayed &Each) {
    if (Each.At > Now)
      return false;
    Due.push_back(std::move(Each));
    return true;
  });
  for (const delayed &Each : Due)
    Each.Do();
  if (SchedulerWake <= Now)
    feedScheduler(time_passed{});
  for (int Worker = 0; Worker < static_cast<int>(Agents.size()); ++Worker) {
    agent &Agent = Agents[static_cast<std::size_t>(Worker)];
    const bool Ends =
        Agent.ListAt && Field.hasEnds(idOf(Worker)) && Random() % 3 == 0;
    if (Agent.ListAt && (*Agent.ListAt <= Now || Ends)) {
      Agent.ListAt.reset();
      feedAgent(Worker, listing_arrived{Field.listing(idOf(Worker), Now)});
    }
    if (Agent.WakeAt <= Now)
      feedAgent(Worker, host_time_passed{});
    // A held question is answered as soon as there are new orders; asking
    // often comes to the same.
    const bool Ask = Now - Agent.LastReport >= 50ms;
    if (Agent.ReportWanted || Ask)
      sendReport(Worker);
  }
}

void work_world::runFor(duration Time) {
  const time_point End = Now + Time;
  while (Now < End)
    tick();
}

bool work_world::runUntil(const std::function<bool()> &Done, duration Limit) {
  const time_point End = Now + Limit;
  while (Now < End && !Done())
    tick();
  return Done();
}

job_state work_world::state(const job_id &Job) const {
  return Registry.find(Job)->state();
}

const job_progress &work_world::progress(const job_id &Job) const {
  return Registry.find(Job)->Progress;
}

bool work_world::allEnded() const {
  return std::all_of(
      Registry.jobs().begin(), Registry.jobs().end(),
      [](const auto &Each) { return ended(Each.second.state()); });
}

} // namespace geraniumpaddle::work::testing
