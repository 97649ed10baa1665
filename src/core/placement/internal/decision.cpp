#include "core/placement/internal/decision.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

namespace {

/// Tokens of proposals on the scratch account; far above any log offset.
constexpr std::uint64_t FirstScratchToken = std::uint64_t{1} << 62;
/// Work that a preempted attempt repeats besides what its checkpoint lacks.
constexpr double RestartSeconds = 120;
/// Price factor of an attempt that may not run again.
constexpr double NonIdempotentFactor = 1000;

/// Extra price of an attempt that is about to end; half of it an hour before.
constexpr double EndsSoonSeconds = 3600;

double endsSoonSeconds(double Left) {
  return EndsSoonSeconds / (1 + Left / EndsSoonSeconds);
}

double toSeconds(duration Value) {
  return std::chrono::duration<double>(Value).count();
}

std::chrono::seconds wholeSeconds(duration Value) {
  return std::chrono::duration_cast<std::chrono::seconds>(Value);
}

} // namespace

decision::decision(const schedule_view &View, time_point Now,
                   const scheduling_strategy &Strategy,
                   const run_time_estimator &Estimator,
                   feasibility_cache &Feasibility,
                   std::vector<placement_proposal> &Proposals,
                   std::vector<job_explanation> &Explanations)
    : View(View), Now(Now), Strategy(Strategy), Estimator(Estimator),
      Feasibility(Feasibility), Proposals(Proposals),
      Explanations(Explanations), Scratch(View.Account),
      Planner(Scratch, Strategy) {}

void decision::run() {
  std::size_t Workers = Scratch.workers().workers().size();
  LatestEnd.assign(Workers, 0);
  Reserved.assign(Workers, false);
  Explanations.resize(View.Waiting.size());
  measureRacks();
  priceAttempts();
  std::vector<candidate> Jobs = ranked();
  for (const candidate &Job : Jobs)
    decideJob(Job);
}

void decision::measureRacks() {
  for (const rack_node &Rack : Scratch.workers().racks()) {
    std::int32_t InRack = 0;
    for (topology_index Worker : Rack.Workers) {
      std::int32_t Size =
          std::popcount(Scratch.workers().worker(Worker).Accelerators);
      LargestWorker = std::max(LargestWorker, Size);
      InRack += Size;
    }
    LargestRack = std::max(LargestRack, InRack);
  }
}

void decision::priceAttempts() {
  for (const running_attempt &Attempt : View.Running)
    RunningByToken[Attempt.Token] = &Attempt;
  for (const auto &[Token, Held] : Scratch.attempts())
    priceAttempt(Token, Held);
}

void decision::priceAttempt(fencing_token Token,
                            const capacity_account::held_attempt &Held) {
  double Left = RestartSeconds;
  double Lost = RestartSeconds;
  double Factor = 1;
  // An attempt that the view does not tell of has just been accepted.
  if (auto Found = RunningByToken.find(Token); Found != RunningByToken.end()) {
    const running_attempt &Attempt = *Found->second;
    Left =
        toSeconds(Estimator.remaining(Attempt.Customer, Attempt.DeclaredRunTime,
                                      wholeSeconds(Now - Attempt.StartedAt)));
    Lost += std::max(0.0, toSeconds(Now - Attempt.CheckpointAt));
    Factor = Attempt.Idempotent ? 1 : NonIdempotentFactor;
  }
  RemainingSeconds[Token] = Left;
  double Accelerators = 0;
  for (const auto &Task : Held.Tasks) {
    Accelerators += std::popcount(Task.Accelerators);
    LatestEnd[Task.Worker] = std::max(LatestEnd[Task.Worker], Left);
  }
  if (Held.Borrowed)
    Prices[Token] = (Lost + endsSoonSeconds(Left)) * Accelerators * Factor;
}

decision::candidate decision::describe(std::size_t Position) const {
  candidate Job;
  Job.Job = &View.Waiting[Position];
  Job.Position = Position;
  for (const resources &Need : Job.Job->Needs)
    Job.Accelerators += std::max(0, Need.Accelerators);
  Job.Facts.Accelerators = Job.Accelerators;
  Job.Facts.EstimatedSeconds = toSeconds(
      Estimator.estimate(Job.Job->Customer, Job.Job->DeclaredRunTime));
  Job.Facts.WaitedSeconds =
      std::max(0.0, toSeconds(Now - Job.Job->WaitingSince));
  Job.Rank = Strategy.rank(Job.Facts);
  return Job;
}

std::vector<decision::candidate> decision::ranked() const {
  std::vector<candidate> Jobs;
  Jobs.reserve(View.Waiting.size());
  for (std::size_t Position = 0; Position < View.Waiting.size(); ++Position)
    Jobs.push_back(describe(Position));
  std::ranges::stable_sort(Jobs,
                           [](const candidate &Left, const candidate &Right) {
                             if (Left.Job->Urgent != Right.Job->Urgent)
                               return Left.Job->Urgent;
                             return Left.Rank < Right.Rank;
                           });
  return Jobs;
}

void decision::decideJob(const candidate &Job) {
  job_explanation &Explanation = Explanations[Job.Position];
  Explanation = {Job.Job->Job,
                 wait_reason::Proposed,
                 Job.Job->Adjacency,
                 unmet_constraint::None,
                 {}};
  bool Hopeless = overOwnLimit(Job) || failedBefore(Job);
  if (!Hopeless && place(Job))
    return;
  if (!Hopeless)
    Failed.push_back(&Job);
  Explanation = explain(Job);
  double Threshold = toSeconds(Strategy.starvationWait(Job.Facts));
  bool Waits = Explanation.Reason != wait_reason::NeverFits &&
               Explanation.Reason != wait_reason::OwnLimit;
  if (Waits && ReservedFor.empty() && Job.Facts.WaitedSeconds >= Threshold)
    reserve(Job);
}

bool decision::place(const candidate &Job) {
  return placeGuaranteed(Job, /*Preempting=*/false) ||
         placeGuaranteed(Job, /*Preempting=*/true) || placeBorrowed(Job) ||
         (Job.Job->Urgent && placeOverOwn(Job)) || placeByMoving(Job);
}

bool decision::overOwnLimit(const candidate &Job) const {
  std::optional<customer_index> Customer = Scratch.find(Job.Job->Customer);
  if (!Customer)
    return false;
  std::int32_t Limit = Scratch.customer(*Customer).MaxAccelerators;
  return Limit > 0 && Scratch.held(*Customer) + Job.Accelerators > Limit;
}

/// What an equal gang failed on fails again, unless this one is urgent, or
/// short enough to end before a reservation that stopped the other.
bool decision::failedBefore(const candidate &Job) const {
  return std::ranges::any_of(Failed, [&](const candidate *Other) {
    return Other->Job->Customer == Job.Job->Customer &&
           Other->Job->Adjacency == Job.Job->Adjacency &&
           Other->Job->Urgent >= Job.Job->Urgent &&
           Other->Facts.EstimatedSeconds <= Job.Facts.EstimatedSeconds &&
           std::ranges::equal(Other->Job->Needs, Job.Job->Needs);
  });
}

unmet_constraint decision::unmetOnce(const candidate &Job) {
  if (const unmet_constraint *Known = Feasibility.find(Job.Job->Job))
    return *Known;
  unmet_constraint Constraint = unmet(Job);
  Feasibility.remember(Job.Job->Job, Constraint);
  return Constraint;
}

job_explanation decision::explain(const candidate &Job) {
  job_explanation Explanation{Job.Job->Job,
                              wait_reason::NoFreeCapacity,
                              Job.Job->Adjacency,
                              unmet_constraint::None,
                              {}};
  Explanation.Unmet = unmetOnce(Job);
  std::optional<customer_index> Customer = Scratch.find(Job.Job->Customer);
  std::int32_t Limit =
      Customer ? Scratch.customer(*Customer).MaxAccelerators : 0;
  if (Limit > 0 && Job.Accelerators > Limit)
    Explanation.Unmet = unmet_constraint::CustomerLimit;
  if (Explanation.Unmet != unmet_constraint::None)
    Explanation.Reason = wait_reason::NeverFits;
  else if (overOwnLimit(Job))
    Explanation.Reason = wait_reason::OwnLimit;
  else if (!Scratch.shortfalls().empty())
    Explanation.Reason = wait_reason::GuaranteeShortfall;
  else if (!ReservedFor.empty() &&
           Planner.plan(freeOffer(), request(Job)).has_value()) {
    Explanation.Reason = wait_reason::ReservedForStarved;
    Explanation.ReservedFor = ReservedFor;
  } else if (Customer && !Scratch.customer(*Customer).Guarantees.empty() &&
             guaranteeLeft(guaranteedCells(*Customer)) < Job.Accelerators)
    Explanation.Reason = wait_reason::GuaranteeInUse;
  return Explanation;
}

plan_request decision::request(const candidate &Job) const {
  return {Job.Job->Needs, Job.Job->Adjacency, Job.Facts.EstimatedSeconds};
}

bool decision::commit(const candidate &Job, const gang_plan &Plan,
                      bool Guaranteed) {
  fillAssignments(Plan, Guaranteed);
  fencing_token Token{FirstScratchToken + Proposals.size()};
  capacity_claim Claim{Token, Job.Job->Customer, Assignments, Job.Job->Needs};
  if (Scratch.claim(Claim, Plan.Victims) != capacity_check::Ok)
    return false;
  Free.reset();
  if (!Plan.Victims.empty())
    Failed.clear();
  for (fencing_token Victim : Plan.Victims) {
    Prices.erase(Victim);
    RemainingSeconds.erase(Victim);
  }
  RemainingSeconds[Token] = Job.Facts.EstimatedSeconds;
  for (const planned_task &Task : Plan.Tasks)
    LatestEnd[Task.Worker] =
        std::max(LatestEnd[Task.Worker], Job.Facts.EstimatedSeconds);
  Proposals.push_back(
      {Job.Job->Job, Job.Job->NextAttempt, Assignments, Plan.Victims});
  return true;
}

void decision::fillAssignments(const gang_plan &Plan, bool Guaranteed) {
  Assignments.clear();
  for (const planned_task &Task : Plan.Tasks)
    Assignments.push_back(
        {Task.Task, Scratch.workers().worker(Task.Worker).Info.Id,
         Task.Accelerators, Guaranteed && Task.Accelerators != 0});
  std::ranges::sort(Assignments, {}, &task_assignment::Task);
}

} // namespace geraniumpaddle
