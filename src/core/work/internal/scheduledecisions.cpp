#include "core/work/workscheduler.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace geraniumpaddle::work {

namespace {

/// Reserve before the end of the reclaim time: recording the placement,
/// telling the agent and starting the task.
constexpr duration ReclaimMargin = std::chrono::milliseconds(500);
/// Steps that room is kept for in one round, besides those that may preempt.
/// More would leave capacity idle for work that is far away.
constexpr int MaxReservations = 2;
/// Work that may be thrown away for a step, as a multiple of its own.
constexpr double PreemptionFactor = 2;

/// A forecast of the queues looks at all that waits; bursts last seconds.
constexpr duration ForecastInterval = std::chrono::milliseconds(250);

/// Tasks of this priority and later ones wait for room beside what is kept for
/// urgent jobs, unless they can be stopped cheaply.
constexpr std::uint32_t FirstDeferrable = 1;

double coreSeconds(const placement_request &Request) {
  return coreEquivalents(reservedResources(*Request.Step)) *
         std::chrono::duration<double>(Request.Expected).count() *
         static_cast<double>(Request.Tasks.size());
}

} // namespace

void work_scheduler::onTimePassed(const time_passed &, const present_time &) {
  RoundWanted = true;
}

void work_scheduler::decide(const present_time &Present) {
  if (Present.Now >= NextExpiry) {
    NextExpiry = time_point::max();
    expireWorkers(Present);
    expireGangs(Present);
  }
  if (RoundWanted && Present.Now >= NextRound) {
    RoundWanted = false;
    NextRound = Present.Now + Limits.RoundInterval;
    placeAll(Present);
  }
  if (RoundWanted)
    askWake(NextRound);
  if (NextExpiry != time_point::max())
    askWake(NextExpiry);
}

void work_scheduler::placeAll(const present_time &Present) {
  const std::vector<candidate> Ready = readySteps(Present);
  if (Ready.empty())
    return;
  placement_round Round(Pool, Present.Now);
  int Reservations = 0;
  bool RoomKept = false;
  std::vector<const live_run *> Siblings;
  for (const candidate &Each : Ready) {
    live_job &Job = *findJob(Each.Step.Job);
    const bool Cheap = Job.step(Each.Step.Step).Checkpointing;
    if (Each.Priority >= FirstDeferrable && !Cheap && !RoomKept) {
      RoomKept = true;
      keepRoomForUrgent(Round, Present);
    }
    const std::vector<task_position> Tasks = Job.waiting(Each.Step);
    placement_request Request = requestFor(Job, Each.Step, Tasks, Siblings);
    if ((Request.Avoid || Request.ProvenOnly) && !Round.everFits(Request)) {
      Request.Avoid = nullptr;
      Request.ProvenOnly = false;
    }
    const std::vector<assignment> Placed = Round.place(Request);
    startRuns(Job, Each.Step, Placed, Present);
    if (Placed.size() == Tasks.size())
      continue;
    const std::vector<task_position> Left = Job.waiting(Each.Step);
    Request.Tasks = Left;
    const bool Urgent = Each.Guaranteed || Each.Priority == 0;
    if (Urgent && !Each.Worthless)
      makeRoom(Round, Each, Request, Present);
    else if (Job.step(Each.Step.Step).Gang && !Each.Worthless &&
             Reservations++ < MaxReservations) {
      if (const auto At = Round.earliestRoom(Request))
        Round.reserveAt(Request, *At);
    }
  }
}

void work_scheduler::keepRoomForUrgent(placement_round &Round,
                                       const present_time &Present) {
  const auto Shape = Urgent.roomToKeep(Present.Now);
  if (!Shape)
    return;
  std::vector<task_position> Tasks;
  for (std::uint32_t I = 0; I < Shape->Step.Count; ++I)
    Tasks.push_back({0, 0, I});
  Round.reserveAt({.Step = &Shape->Step,
                   .Service = Shape->Service,
                   .Expected = Shape->Step.Estimate,
                   .Tasks = Tasks},
                  Present.Now);
}

void work_scheduler::makeRoom(placement_round &Round, const candidate &Step,
                              const placement_request &Request,
                              const present_time &Present) {
  if (Round.reserveFreed(Request))
    return;
  const auto Room = Round.earliestRoom(Request);
  time_point StartBy = Step.LatestStart;
  if (Step.Guaranteed)
    StartBy = std::min(StartBy, Step.ReclaimBy);
  if (Room && *Room <= StartBy) {
    Round.reserveAt(Request, *Room);
    // Preempts in time, should the runs take longer than expected.
    NextExpiry = std::min(NextExpiry, StartBy);
    return;
  }
  const auto Plan = Round.planPreemption(Request);
  if (!Plan || !worthPreempting(Step, Request, *Plan, Present)) {
    if (Room)
      Round.reserveAt(Request, *Room);
    return;
  }
  for (const run_ref &Victim : Plan->Victims)
    stopGang(Victim, "preempted");
  Round.reservePreempted(Request, *Plan);
}

bool work_scheduler::worthPreempting(const candidate &Step,
                                     const placement_request &Request,
                                     const preemption &Plan,
                                     const present_time &Present) const {
  if (Step.Guaranteed)
    return true;
  const bool InTime = Present.Now + Limits.Stop <= Step.LatestStart;
  return InTime &&
         Plan.LostCoreSeconds <= PreemptionFactor * coreSeconds(Request);
}

const queue_forecast &work_scheduler::forecast(const present_time &Present) {
  if (Present.Now - ForecastAt < ForecastInterval)
    return LastForecast;
  ForecastAt = Present.Now;
  backlog Ahead;
  for (const auto &[Id, Worker] : Pool.all()) {
    if (!Worker.usable(Present.Now))
      continue;
    Ahead.addCapacity(Worker.Description.Capacity);
    for (const live_run *Run : Worker.Runs)
      if (!Run->Stopping && !Run->LongRunning)
        Ahead.add(Run->Priority, Run->Need, 1,
                  expectedEnd(*Run, Present.Now) - Present.Now);
  }
  for (const candidate &Each : readySteps(Present)) {
    const live_job &Job = *findJob(Each.Step.Job);
    const step_spec &Step = Job.step(Each.Step.Step);
    if (!Each.Worthless && !Step.LongRunning)
      Ahead.add(Each.Priority, reservedResources(Step),
                Job.waitingCount(Each.Step),
                Forecast.expected(termsOf(Job), Step));
  }
  LastForecast = Ahead.forecast();
  return LastForecast;
}

// Lapsed waits.

void work_scheduler::expireWorkers(const present_time &Present) {
  std::vector<worker_id> Gone;
  for (auto &[Id, Worker] : Pool.all()) {
    if (Worker.SuspectUntil > Present.Now)
      NextExpiry = std::min(NextExpiry, Worker.SuspectUntil);
    else if (Worker.Suspicions > 0)
      RoundWanted = true;
    if (Worker.LeaseEnd > Present.Now) {
      NextExpiry = std::min(NextExpiry, Worker.LeaseEnd);
      clearLeaving(Worker, Present);
      continue;
    }
    loseAll(Worker, "lease_over", Present);
    Gone.push_back(Id);
  }
  for (const worker_id &Id : Gone)
    Pool.erase(Id);
}

/// Stops tasks with checkpoints that would still run when a draining worker
/// leaves: they go on elsewhere at once. The others may yet end there, since
/// workers often stay longer than they say.
void work_scheduler::clearLeaving(const pool_worker &Worker,
                                  const present_time &Present) {
  if (Worker.LeavesAt == time_point::max())
    return;
  const time_point StopAt = Worker.LeavesAt - Limits.Stop - Limits.LeaveMargin;
  if (Present.Now < StopAt) {
    NextExpiry = std::min(NextExpiry, StopAt);
    return;
  }
  std::vector<run_ref> Over;
  for (const live_run *Run : Worker.Runs)
    if (Run->Checkpointing && !Run->Stopping &&
        expectedEnd(*Run, Present.Now) > Worker.LeavesAt)
      Over.push_back(Run->Run);
  for (const run_ref &Run : Over)
    stopGang(Run, "worker_leaves");
}

/// Gives up gangs of which a member did not start in time, before the members
/// that wait would end by themselves.
void work_scheduler::expireGangs(const present_time &Present) {
  for (auto It = StartingGangs.begin(); It != StartingGangs.end();) {
    const auto &[Step, Limit] = *It;
    const live_run *Missing = nullptr;
    for (const live_run *Run : Runs.ofJob(Step.Job)) {
      if (stepOf(Run->Run) == Step && !Run->Started && !Run->Stopping)
        Missing = Run;
    }
    if (Missing && Limit > Present.Now) {
      NextExpiry = std::min(NextExpiry, Limit);
      ++It;
      continue;
    }
    if (Missing)
      stopGang(Missing->Run, "gang_incomplete");
    It = StartingGangs.erase(It);
  }
}

// What waits.

std::set<customer_id> work_scheduler::guaranteedCustomers() const {
  std::map<customer_id, std::int64_t> Needed;
  for (const auto &[Id, Job] : Jobs) {
    if (termsOf(Job).Priority != 0)
      continue;
    std::int64_t Most = 0;
    for (const step_spec &Step : Job.spec().Steps)
      Most = std::max(Most, std::int64_t{Step.Count} * Step.Need.Accelerators);
    Needed[Job.spec().Customer] += Most;
  }
  std::set<customer_id> Within;
  for (const auto &[Customer, Accelerators] : Needed)
    if (Accelerators <= Queues.guaranteedAccelerators(Customer))
      Within.insert(Customer);
  return Within;
}

work_scheduler::candidate
work_scheduler::candidateFor(const live_job &Job, const step_ref &Step,
                             const present_time &Present) const {
  const job_spec &Spec = Job.spec();
  const duration Objective = Forecast.objective(Spec);
  const wall_time Since =
      Spec.Scheduled ? Job.dueAt(Step.Occurrence) : Spec.SubmittedAt;
  const duration Age = std::max(duration(Present.Wall - Since), duration{});
  const duration Left = Forecast.expected(termsOf(Job), Job.step(Step.Step));
  const bool FirstStep = Job.step(Step.Step).After.empty();
  return {.Step = Step,
          .Priority = termsOf(Job).Priority,
          .Guaranteed = FirstStep,
          .Worthless = Age + Left > Objective * WorthlessAfter,
          .LatestStart = Present.Now + (Objective - Age - Left),
          .Late = Age + Left > Objective,
          .ReclaimBy = Present.Now +
                       (Limits.Reclaim - Age - Limits.Stop - ReclaimMargin)};
}

std::vector<work_scheduler::candidate>
work_scheduler::readySteps(const present_time &Present) {
  if (Waiting.empty())
    return {};
  std::vector<candidate> Ready;
  std::vector<job_id> Idle;
  const std::set<customer_id> Within = guaranteedCustomers();
  for (const job_id &Id : Waiting) {
    const live_job &Job = *findJob(Id);
    bool AnyWaiting = false;
    for (const step_ref &Step : Job.steps()) {
      const std::uint32_t Count = Job.waitingCount(Step);
      if (Count == 0)
        continue;
      AnyWaiting = true;
      if (Job.dueAt(Step.Occurrence) > Present.Wall)
        NextExpiry =
            std::min(NextExpiry,
                     Present.Now + (Job.dueAt(Step.Occurrence) - Present.Wall));
      // Members of a gang start together: none while an earlier run goes on.
      const bool Whole =
          !Job.step(Step.Step).Gang || Count == Job.step(Step.Step).Count;
      if (!Whole || !Job.ready(Step, Present.Wall))
        continue;
      candidate Each = candidateFor(Job, Step, Present);
      Each.Guaranteed = Each.Guaranteed && Each.Priority == 0 &&
                        Within.contains(Job.spec().Customer);
      Ready.push_back(Each);
    }
    if (!AnyWaiting)
      Idle.push_back(Id);
  }
  for (const job_id &Id : Idle)
    Waiting.erase(Id);
  std::sort(Ready.begin(), Ready.end(),
            [](const candidate &A, const candidate &B) {
              return A.order() < B.order();
            });
  return Ready;
}

/// True if a failure of one of the tasks would end the job.
bool work_scheduler::lastAttempt(const live_job &Job,
                                 std::span<const task_position> Tasks) const {
  const std::uint32_t Attempts = termsOf(Job).Attempts;
  return std::any_of(Tasks.begin(), Tasks.end(), [&](task_position Task) {
    if (Job.step(Task.Step).Gang)
      Task.Index = 0; // counts for its gang
    const std::uint32_t Failures = Job.task(Task).Failures;
    return Failures > 0 && Failures + 1 >= Attempts;
  });
}

placement_request
work_scheduler::requestFor(const live_job &Job, const step_ref &Step,
                           std::span<const task_position> Tasks,
                           std::vector<const live_run *> &Siblings) const {
  Siblings.clear();
  for (const live_run *Run : Runs.ofJob(Step.Job))
    if (stepOf(Run->Run) == Step)
      Siblings.push_back(Run);
  const queue_policy &Policy = termsOf(Job);
  const auto Failed = FailedOn.find(Step.Job);
  return {.Step = &Job.step(Step.Step),
          .Service = Policy.Service,
          .Priority = Policy.Priority,
          .Expected = Forecast.expected(Policy, Job.step(Step.Step)),
          .Tasks = Tasks,
          .Siblings = Siblings,
          .ProvenOnly = lastAttempt(Job, Tasks),
          .Avoid = Failed == FailedOn.end() ? nullptr : &Failed->second};
}

void work_scheduler::startRuns(live_job &Job, const step_ref &Step,
                               std::span<const assignment> Assignments,
                               const present_time &Present) {
  if (Assignments.empty())
    return;
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
    const std::uint32_t Number =
        Spec.Gang ? GangRun : Job.task(Each.Task).Run + 1;
    Job.setRunning(Each.Task, Number, Each.Worker);
    if (Spec.Gang)
      Job.setCheckpoint(Each.Task, GangCheckpoint);
    const live_run Run = makeRun(Job, termsOf(Job), Each.Task, Present.Now);
    note(decision_kind::RunPlaced, Run.Run, Each.Worker);
    addRun(Run);
    WaitingRuns.emplace_back(NextBatch, Run.Run);
  }
  if (Job.progress().State == job_state::Queued)
    Job.setState(job_state::Running);
  markChanged(Step.Job);
}

std::string_view name(decision_kind Kind) {
  static constexpr std::array<std::string_view, 10> Names{
      "job_arrived", "job_ended",       "run_placed",  "run_stopped",
      "run_ended",   "run_lost",        "run_refused", "worker_known",
      "worker_gone", "worker_suspected"};
  return Names.at(static_cast<std::size_t>(Kind));
}

} // namespace geraniumpaddle::work
