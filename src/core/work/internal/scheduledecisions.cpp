#include "core/work/workscheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace geraniumpaddle::work {

namespace {

/// Part of the reclaim time that is needed to record the placement, to notify
/// the agent and to start the task.
constexpr duration ReclaimMargin = std::chrono::milliseconds(500);
/// Steps for which one round reserves capacity, besides those that may preempt.
/// More would leave capacity idle for work that starts much later.
constexpr int MaxReservations = 2;
/// Urgent steps without enough free capacity for which one round plans
/// reservations or preemption, the most urgent first. Plans are the most
/// expensive part of a round.
constexpr int MaxPlans = 6;
/// Pause after a round for each worker that it examined, so that rounds leave
/// most of the processor to reports and callers.
constexpr std::chrono::nanoseconds PausePerWorker{250};
/// A step of which nothing runs although there is capacity is placed without
/// regard to preferences after this time. The platform allows 3 s, of which
/// the start itself needs a part.
constexpr duration StandstillLimit = std::chrono::milliseconds(1500);
/// A step that has waited this long is logged, a few in each round.
constexpr duration WaitLogLimit = std::chrono::seconds(1);
constexpr int MaxLoggedWaits = 4;
/// Time between two rounds while steps wait, since deadlines, forecasts and the
/// reservations that rest on them change with time.
constexpr duration ReviewInterval = std::chrono::milliseconds(500);
/// Work that preemption may discard for a step, as a multiple of the step's
/// own.
constexpr double PreemptionFactor = 2;

/// A forecast scans all waiting steps, so it is cached; bursts last seconds.
constexpr duration ForecastInterval = std::chrono::milliseconds(250);

/// Tasks of this priority and of less urgent ones may not use the capacity
/// reserved for urgent jobs, unless they can be stopped cheaply.
constexpr std::uint32_t FirstDeferrablePriority = 1;

/// Workers slower than this, in relation to the average, get work only if no
/// other has room.
constexpr double LeastSoundSpeed = 0.6;

double coreSeconds(const placement_request &Request) {
  return coreEquivalents(reservedResources(*Request.Step)) *
         std::chrono::duration<double>(Request.ExpectedDuration).count() *
         static_cast<double>(Request.Tasks.size());
}

} // namespace

void work_scheduler::onTimerExpired(const scheduler_timer_expired &,
                                    const present_time &) {
  RoundNeeded = true;
}

void work_scheduler::decide(const present_time &Present) {
  if (Present.Now >= NextExpiry) {
    NextExpiry = time_point::max();
    expireWorkers(Present);
    expireGangs(Present);
  }
  if (Present.Now >= NextReview)
    RoundNeeded = true;
  if (RoundNeeded && Present.Now >= NextRound) {
    RoundNeeded = false;
    NextReview = time_point::max();
    const std::size_t Examined = placeAll(Present);
    NextRound = Present.Now + Limits.RoundInterval +
                std::chrono::duration_cast<duration>(PausePerWorker * Examined);
  }
  if (RoundNeeded)
    requestTimer(NextRound);
  else if (NextReview != time_point::max())
    requestTimer(std::max(NextReview, NextRound));
  if (NextExpiry != time_point::max())
    requestTimer(NextExpiry);
}

speed_ranks work_scheduler::speedRanks() const {
  speed_ranks Ranks;
  if (Limits.SpeedStep <= 0)
    return Ranks;
  for (const auto &[Id, Worker] : Pool.all()) {
    const double Speed = Speeds.speed(Worker.Description.Instance);
    const double Steps = std::log(Speed) / std::log1p(Limits.SpeedStep);
    Ranks.emplace(Id, speed_rank{.Step = static_cast<int>(std::lround(Steps)),
                                 .TooSlow = Speed < LeastSoundSpeed});
  }
  return Ranks;
}

/// \returns the workers examined.
std::size_t work_scheduler::placeAll(const present_time &Present) {
  const std::vector<candidate> Ready = readySteps(Present);
  if (Ready.empty())
    return 0;
  NextReview = std::min(NextReview, Present.Now + ReviewInterval);
  placement_round Round(Pool, speedRanks(), Present.Now);
  round_use Use;
  for (const candidate &Each : Ready)
    placeStep(Round, Use, Each, Present);
  return Round.examined();
}

void work_scheduler::placeStep(placement_round &Round, round_use &Use,
                               const candidate &Step,
                               const present_time &Present) {
  const live_job &Job = *findJob(Step.Step.Job);
  const bool CheapToStop = Job.step(Step.Step.Step).Checkpointing;
  const bool Deferrable =
      Step.Priority >= FirstDeferrablePriority && !CheapToStop;
  if (Deferrable && !Use.UrgentReserved) {
    Use.UrgentReserved = true;
    reserveForUrgent(Round, Present);
  }
  // Capacity that urgent steps without a plan wait for stays free.
  const bool HeldBack = Deferrable && Use.Plans > MaxPlans;
  waiting_step Waiting{.Step = Step};
  if (!HeldBack &&
      placeTasks(Round, Waiting, placement_scope::Preferred, Present))
    return;
  logWait(Round, Use, Waiting, Present);
  for (const auto Scope : {placement_scope::Trusted, placement_scope::All})
    if (standsStill(Round, Step, Present) &&
        placeTasks(Round, Waiting, Scope, Present))
      return;
  if (!HeldBack)
    planFor(Round, Use, Waiting, Present);
}

/// The request for the tasks that wait, built again only after some of them
/// were placed.
const placement_request &
work_scheduler::currentRequest(placement_round &Round,
                               waiting_step &Waiting) const {
  if (!Waiting.Request) {
    const step_ref &Step = Waiting.Step.Step;
    const live_job &Job = *findJob(Step.Job);
    Waiting.Tasks = Job.waiting(Step);
    Waiting.Request =
        requestFor(Round, Job, Step, Waiting.Tasks, Waiting.Siblings);
  }
  return *Waiting.Request;
}

/// \returns true if no task of the step waits any more.
bool work_scheduler::placeTasks(placement_round &Round, waiting_step &Waiting,
                                placement_scope Scope,
                                const present_time &Present) {
  placement_request Request = currentRequest(Round, Waiting);
  Request.Scope = Scope;
  // A task that lasts can be stopped for an urgent job, but must not wait for
  // as long as capacity is kept free for such jobs.
  Request.KeepsReservations =
      !Request.Step->LongRunning && !Round.halfIdle(Request.Service);
  const std::vector<assignment> Placed = Round.place(Request);
  const step_ref &Step = Waiting.Step.Step;
  startRuns(*findJob(Step.Job), Step, Placed, Scope, Present);
  if (!Placed.empty())
    Waiting.Request.reset();
  return Placed.size() == Request.Tasks.size();
}

/// True if \p Step has waited so long that its preferences no longer count:
/// nothing of its job runs, although much of its service is idle. Of tasks that
/// last, each one counts, however busy the service is.
bool work_scheduler::standsStill(placement_round &Round, const candidate &Step,
                                 const present_time &Present) const {
  if (Present.Now - Step.WaitingSince < StandstillLimit)
    return false;
  const live_job &Job = *findJob(Step.Step.Job);
  return Job.step(Step.Step.Step).LongRunning ||
         (Runs.ofJob(Step.Step.Job).empty() &&
          Round.halfIdle(policyOf(Job).Service));
}

/// Reserves capacity for the tasks that still wait, or preempts.
void work_scheduler::planFor(placement_round &Round, round_use &Use,
                             waiting_step &Waiting,
                             const present_time &Present) {
  const placement_request &Request = currentRequest(Round, Waiting);
  const candidate &Step = Waiting.Step;
  const bool Urgent = Step.Guaranteed || Step.Priority == 0;
  if (Urgent && !Step.PastDeadline) {
    // Runs that were stopped for it may free the capacity soon.
    if (!Round.reserveFreed(Request) && ++Use.Plans <= MaxPlans)
      reserveOrPreempt(Round, Step, Request, Present);
  } else if (Request.Step->Gang && !Step.PastDeadline &&
             Use.Reservations++ < MaxReservations) {
    if (const auto At = Round.earliestFit(Request))
      Round.reserveAt(Request, *At);
  }
}

/// Logs once for each wait of a step why it waits.
void work_scheduler::logWait(placement_round &Round, round_use &Use,
                             waiting_step &Waiting,
                             const present_time &Present) {
  const candidate &Step = Waiting.Step;
  if (Present.Now - Step.WaitingSince < WaitLogLimit ||
      Use.LoggedWaits >= MaxLoggedWaits)
    return;
  live_job &Job = *findJob(Step.Step.Job);
  if (!Job.noteWaitLogged(Step.Step))
    return;
  ++Use.LoggedWaits;
  const placement_obstacle Obstacle =
      Round.obstacle(currentRequest(Round, Waiting));
  logDecision(decision_kind::StepWaiting,
              {{Step.Step.Job, Waiting.Tasks.front()}, 0}, {}, name(Obstacle));
}

void work_scheduler::reserveForUrgent(placement_round &Round,
                                      const present_time &Present) {
  const auto Shape = Urgent.capacityToReserve(Present.Now);
  if (!Shape)
    return;
  std::vector<task_position> Tasks;
  for (std::uint32_t I = 0; I < Shape->Step.Count; ++I)
    Tasks.push_back({0, 0, I});
  Round.reserveAt({.Step = &Shape->Step,
                   .Service = Shape->Service,
                   .ExpectedDuration = Shape->Step.Estimate,
                   .Tasks = Tasks},
                  Present.Now);
}

void work_scheduler::reserveOrPreempt(placement_round &Round,
                                      const candidate &Step,
                                      const placement_request &Request,
                                      const present_time &Present) {
  const auto FitAt = Round.earliestFit(Request);
  time_point StartBy = Step.LatestStart;
  if (Step.Guaranteed)
    StartBy = std::min(StartBy, Step.ReclaimBy);
  if (FitAt && *FitAt <= StartBy) {
    Round.reserveAt(Request, *FitAt);
    // Decides again in time to preempt if the runs take longer than expected.
    NextReview = std::min(NextReview, StartBy);
    return;
  }
  const auto Plan = Round.planPreemption(Request);
  if (!Plan || !worthPreempting(Step, Request, *Plan, Present)) {
    if (FitAt)
      Round.reserveAt(Request, *FitAt);
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
    if (!Each.PastDeadline && !Step.LongRunning)
      Ahead.add(Each.Priority, reservedResources(Step),
                Job.waitingCount(Each.Step),
                Forecast.expectedDuration(policyOf(Job), Step));
  }
  LastForecast = Ahead.forecast();
  return LastForecast;
}

// Timeouts.

void work_scheduler::expireWorkers(const present_time &Present) {
  std::vector<worker_id> Expired;
  for (auto &[Id, Worker] : Pool.all()) {
    if (Worker.SuspectUntil > Present.Now)
      NextExpiry = std::min(NextExpiry, Worker.SuspectUntil);
    else if (Worker.ConsecutiveSuspicions > 0)
      RoundNeeded = true;
    if (Worker.LeaseEnd > Present.Now) {
      NextExpiry = std::min(NextExpiry, Worker.LeaseEnd);
      evacuateDraining(Worker, Present);
      continue;
    }
    loseWorkerRuns(Worker, "lease_over", Present);
    Expired.push_back(Id);
  }
  for (const worker_id &Id : Expired) {
    Pool.erase(Id);
    Speeds.forget(Id);
  }
}

/// Stops tasks with checkpoints that would outlast a draining worker, so that
/// they resume elsewhere at once. Other tasks may still end there, since
/// workers often run longer than announced.
void work_scheduler::evacuateDraining(const pool_worker &Worker,
                                      const present_time &Present) {
  if (Worker.DrainDeadline == time_point::max())
    return;
  const time_point StopAt =
      Worker.DrainDeadline - Limits.Stop - Limits.DrainMargin;
  if (Present.Now < StopAt) {
    NextExpiry = std::min(NextExpiry, StopAt);
    return;
  }
  std::vector<run_ref> Unfinished;
  for (const live_run *Run : Worker.Runs)
    if (Run->Checkpointing && !Run->Stopping &&
        expectedEnd(*Run, Present.Now) > Worker.DrainDeadline)
      Unfinished.push_back(Run->Run);
  for (const run_ref &Run : Unfinished)
    stopGang(Run, "worker_leaves");
}

/// Stops gangs of which a member did not start in time, before the waiting
/// members end by themselves.
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
    if (Missing) {
      FailedOn[Step.Job].insert(Missing->Worker.Worker);
      stopGang(Missing->Run, "gang_incomplete");
    }
    It = StartingGangs.erase(It);
  }
}

// Waiting steps.

std::set<customer_id> work_scheduler::guaranteedCustomers() const {
  std::map<customer_id, std::int64_t> Needed;
  for (const auto &[Id, Job] : Jobs) {
    if (policyOf(Job).Priority != 0)
      continue;
    std::int64_t LargestStep = 0;
    for (const step_spec &Step : Job.spec().Steps)
      LargestStep = std::max(LargestStep,
                             std::int64_t{Step.Count} * Step.Need.Accelerators);
    Needed[Job.spec().Customer] += LargestStep;
  }
  std::set<customer_id> WithinGuarantee;
  for (const auto &[Customer, Accelerators] : Needed)
    if (Accelerators <= Queues.guaranteedAccelerators(Customer))
      WithinGuarantee.insert(Customer);
  return WithinGuarantee;
}

work_scheduler::candidate
work_scheduler::candidateFor(const live_job &Job, const step_ref &Step,
                             time_point WaitingSince,
                             const present_time &Present) const {
  const job_spec &Spec = Job.spec();
  const duration Objective = Forecast.objective(Spec);
  const wall_time Since =
      Spec.Scheduled ? Job.dueAt(Step.Occurrence) : Spec.SubmittedAt;
  const duration SinceDue =
      std::max(duration(Present.Wall - Since), duration{});
  // A task that lasts is due again with the end of each run.
  const bool Restarted = Job.step(Step.Step).LongRunning &&
                         Job.progress().State != job_state::Queued;
  const duration Age = Restarted ? Present.Now - WaitingSince : SinceDue;
  const duration Remaining =
      Forecast.expectedDuration(policyOf(Job), Job.step(Step.Step));
  const bool FirstStep = Job.step(Step.Step).After.empty();
  return {.Step = Step,
          .Priority = policyOf(Job).Priority,
          .Guaranteed = FirstStep,
          .PastDeadline = Age + Remaining > Objective * DeadlineFactor,
          .LatestStart = Present.Now + (Objective - Age - Remaining),
          .PastObjective = Age + Remaining > Objective,
          .ReclaimBy = Present.Now +
                       (Limits.Reclaim - Age - Limits.Stop - ReclaimMargin),
          .WaitingSince = WaitingSince};
}

std::vector<work_scheduler::candidate>
work_scheduler::readySteps(const present_time &Present) {
  if (Waiting.empty())
    return {};
  std::vector<candidate> Ready;
  std::vector<job_id> NothingWaiting;
  const std::set<customer_id> WithinGuarantee = guaranteedCustomers();
  for (const job_id &Id : Waiting) {
    live_job &Job = *findJob(Id);
    bool AnyWaiting = false;
    for (const step_ref &Step : Job.steps()) {
      const std::uint32_t Count = Job.waitingCount(Step);
      if (Count == 0)
        continue;
      AnyWaiting = true;
      if (Job.dueAt(Step.Occurrence) > Present.Wall)
        NextReview =
            std::min(NextReview,
                     Present.Now + (Job.dueAt(Step.Occurrence) - Present.Wall));
      // Members of a gang start together: none while one of an earlier run is
      // still active.
      const bool AllMembersWaiting =
          !Job.step(Step.Step).Gang || Count == Job.step(Step.Step).Count;
      if (!AllMembersWaiting || !Job.ready(Step, Present.Wall))
        continue;
      candidate Each =
          candidateFor(Job, Step, Job.noteWaiting(Step, Present.Now), Present);
      for (const duration Limit : {WaitLogLimit, StandstillLimit})
        if (Each.WaitingSince + Limit > Present.Now)
          NextReview = std::min(NextReview, Each.WaitingSince + Limit);
      Each.Guaranteed = Each.Guaranteed && Each.Priority == 0 &&
                        WithinGuarantee.contains(Job.spec().Customer);
      Ready.push_back(Each);
    }
    if (!AnyWaiting)
      NothingWaiting.push_back(Id);
  }
  for (const job_id &Id : NothingWaiting)
    Waiting.erase(Id);
  std::sort(Ready.begin(), Ready.end(),
            [](const candidate &A, const candidate &B) {
              return A.order() < B.order();
            });
  return Ready;
}

/// True if a failure of one of the tasks would end the job.
bool work_scheduler::isLastAttempt(const live_job &Job,
                                   std::span<const task_position> Tasks) const {
  const std::uint32_t Attempts = policyOf(Job).Attempts;
  return std::any_of(Tasks.begin(), Tasks.end(), [&](task_position Task) {
    if (Job.step(Task.Step).Gang)
      Task.Index = 0; // the first task counts the failures of its gang
    const std::uint32_t Failures = Job.task(Task).Failures;
    return Failures > 0 && Failures + 1 >= Attempts;
  });
}

placement_request
work_scheduler::requestFor(placement_round &Round, const live_job &Job,
                           const step_ref &Step,
                           std::span<const task_position> Tasks,
                           std::vector<const live_run *> &Siblings) const {
  Siblings.clear();
  for (const live_run *Run : Runs.ofJob(Step.Job))
    if (stepOf(Run->Run) == Step)
      Siblings.push_back(Run);
  const queue_policy &Policy = policyOf(Job);
  const auto Failed = FailedOn.find(Step.Job);
  placement_request Request{
      .Step = &Job.step(Step.Step),
      .Service = Policy.Service,
      .Priority = Policy.Priority,
      .ExpectedDuration =
          Forecast.expectedDuration(Policy, Job.step(Step.Step)),
      .Tasks = Tasks,
      .Siblings = Siblings,
      .ReliableOnly = isLastAttempt(Job, Tasks),
      .Avoid = Failed == FailedOn.end() ? nullptr : &Failed->second};
  if ((Request.Avoid || Request.ReliableOnly) &&
      !Round.fitsEmptyWorkers(Request)) {
    Request.Avoid = nullptr;
    Request.ReliableOnly = false;
  }
  return Request;
}

void work_scheduler::startRuns(live_job &Job, const step_ref &Step,
                               std::span<const assignment> Assignments,
                               placement_scope Scope,
                               const present_time &Present) {
  if (Assignments.empty())
    return;
  const step_spec &Spec = Job.step(Step.Step);
  // The members of a gang share the run number and the checkpoint.
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
    const live_run Run = makeRun(Job, policyOf(Job), Each.Task, Present.Now);
    logDecision(decision_kind::RunPlaced, Run.Run, Each.Worker, name(Scope));
    addRun(Run);
    UnstoredRuns.emplace_back(NextBatch, Run.Run);
  }
  markChanged(Step.Job);
}

std::string_view name(decision_kind Kind) {
  static constexpr std::array<std::string_view, 12> Names{
      "job_arrived",  "job_started", "job_ended",        "run_placed",
      "run_stopped",  "run_ended",   "run_lost",         "run_refused",
      "worker_known", "worker_gone", "worker_suspected", "step_waiting"};
  return Names.at(static_cast<std::size_t>(Kind));
}

} // namespace geraniumpaddle::work
