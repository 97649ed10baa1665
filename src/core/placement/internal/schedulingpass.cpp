#include "core/placement/internal/schedulingpass.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

namespace {

/// First token of the proposals on the scratch account. Real tokens are log
/// offsets, which never get this large.
constexpr std::uint64_t FirstScratchToken = std::uint64_t{1} << 62;
/// Work that a preempted attempt repeats in addition to that since its last
/// checkpoint.
constexpr double RestartSeconds = 120;
/// Factor on the preemption cost of an attempt that must not run again.
constexpr double NonIdempotentCostFactor = 1000;

/// Additional preemption cost of an attempt that is about to end; half of it
/// for one that ends in an hour.
constexpr double NearEndPenaltySeconds = 3600;

double nearEndPenaltySeconds(double RemainingSeconds) {
  return NearEndPenaltySeconds / (1 + RemainingSeconds / NearEndPenaltySeconds);
}

double toSeconds(duration Value) {
  return std::chrono::duration<double>(Value).count();
}

std::chrono::seconds toWholeSeconds(duration Value) {
  return std::chrono::duration_cast<std::chrono::seconds>(Value);
}

} // namespace

scheduling_pass::scheduling_pass(const schedule_view &View, time_point Now,
                                 const scheduling_strategy &Strategy,
                                 const run_time_estimator &Estimator,
                                 feasibility_cache &Feasibility,
                                 std::vector<placement_proposal> &Proposals,
                                 std::vector<job_explanation> &Explanations)
    : View(View), Now(Now), Strategy(Strategy), Estimator(Estimator),
      Feasibility(Feasibility), Proposals(Proposals),
      Explanations(Explanations), Scratch(View.Account),
      Planner(Scratch, Strategy) {}

void scheduling_pass::run() {
  std::size_t Workers = Scratch.workers().workers().size();
  LatestEnd.assign(Workers, 0);
  Reserved.assign(Workers, false);
  Explanations.resize(View.Waiting.size());
  computeLargestSizes();
  computePreemptionCosts();
  std::vector<candidate> Jobs = rankCandidates();
  for (const candidate &Job : Jobs)
    scheduleJob(Job);
}

void scheduling_pass::computeLargestSizes() {
  for (const rack_node &Rack : Scratch.workers().racks()) {
    std::int32_t RackSize = 0;
    for (topology_index Worker : Rack.Workers) {
      std::int32_t Size =
          std::popcount(Scratch.workers().worker(Worker).Accelerators);
      LargestWorker = std::max(LargestWorker, Size);
      RackSize += Size;
    }
    LargestRack = std::max(LargestRack, RackSize);
  }
}

void scheduling_pass::computePreemptionCosts() {
  for (const running_attempt &Attempt : View.Running)
    RunningByToken[Attempt.Token] = &Attempt;
  for (const auto &[Token, Held] : Scratch.attempts())
    computePreemptionCost(Token, Held);
}

void scheduling_pass::computePreemptionCost(
    fencing_token Token, const capacity_account::held_attempt &Held) {
  double Remaining = RestartSeconds;
  double LostSeconds = RestartSeconds;
  double CostFactor = 1;
  // An attempt that the view does not list has just been accepted.
  if (auto Found = RunningByToken.find(Token); Found != RunningByToken.end()) {
    const running_attempt &Attempt = *Found->second;
    Remaining =
        toSeconds(Estimator.remaining(Attempt.Customer, Attempt.DeclaredRunTime,
                                      toWholeSeconds(Now - Attempt.StartedAt)));
    LostSeconds += std::max(0.0, toSeconds(Now - Attempt.CheckpointAt));
    CostFactor = Attempt.Idempotent ? 1 : NonIdempotentCostFactor;
  }
  RemainingSeconds[Token] = Remaining;
  double Accelerators = 0;
  for (const auto &Task : Held.Tasks) {
    Accelerators += std::popcount(Task.Accelerators);
    LatestEnd[Task.Worker] = std::max(LatestEnd[Task.Worker], Remaining);
  }
  if (Held.Borrowed)
    PreemptionCosts[Token] = (LostSeconds + nearEndPenaltySeconds(Remaining)) *
                             Accelerators * CostFactor;
}

scheduling_pass::candidate
scheduling_pass::makeCandidate(std::size_t Position) const {
  candidate Job;
  Job.Job = &View.Waiting[Position];
  Job.Position = Position;
  for (const resources &Need : Job.Job->Needs)
    Job.Accelerators += std::max(0, Need.Accelerators);
  Job.Profile.Accelerators = Job.Accelerators;
  Job.Profile.EstimatedSeconds = toSeconds(
      Estimator.estimate(Job.Job->Customer, Job.Job->DeclaredRunTime));
  Job.Profile.WaitedSeconds =
      std::max(0.0, toSeconds(Now - Job.Job->WaitingSince));
  Job.Rank = Strategy.rank(Job.Profile);
  return Job;
}

std::vector<scheduling_pass::candidate>
scheduling_pass::rankCandidates() const {
  std::vector<candidate> Jobs;
  Jobs.reserve(View.Waiting.size());
  for (std::size_t Position = 0; Position < View.Waiting.size(); ++Position)
    Jobs.push_back(makeCandidate(Position));
  std::ranges::stable_sort(Jobs,
                           [](const candidate &Left, const candidate &Right) {
                             if (Left.Job->Urgent != Right.Job->Urgent)
                               return Left.Job->Urgent;
                             return Left.Rank < Right.Rank;
                           });
  return Jobs;
}

void scheduling_pass::scheduleJob(const candidate &Job) {
  job_explanation &Explanation = Explanations[Job.Position];
  Explanation = {Job.Job->Job,
                 wait_reason::Proposed,
                 Job.Job->Adjacency,
                 unmet_constraint::None,
                 {}};
  bool CannotPlace = exceedsCustomerLimit(Job) || similarJobFailed(Job);
  if (!CannotPlace && place(Job))
    return;
  if (!CannotPlace)
    FailedJobs.push_back(&Job);
  Explanation = explain(Job);
  double Threshold = toSeconds(Strategy.starvationThreshold(Job.Profile));
  bool MayStarve = Explanation.Reason != wait_reason::NeverFits &&
                   Explanation.Reason != wait_reason::OwnLimit;
  if (MayStarve && ReservedFor.empty() &&
      Job.Profile.WaitedSeconds >= Threshold)
    reserveForStarved(Job);
}

bool scheduling_pass::place(const candidate &Job) {
  return placeGuaranteed(Job, /*Preempting=*/false) ||
         placeGuaranteed(Job, /*Preempting=*/true) || placeBorrowed(Job) ||
         (Job.Job->Urgent && placeByPreemptingOwn(Job)) ||
         placeByRelocation(Job);
}

bool scheduling_pass::exceedsCustomerLimit(const candidate &Job) const {
  std::optional<customer_index> Customer = Scratch.find(Job.Job->Customer);
  if (!Customer)
    return false;
  std::int32_t Limit = Scratch.customer(*Customer).MaxAccelerators;
  return Limit > 0 &&
         Scratch.heldAccelerators(*Customer) + Job.Accelerators > Limit;
}

/// A gang with the same needs fails for the same reason as the earlier one,
/// unless it is urgent, or short enough to end before a reservation that kept
/// the earlier one from being placed.
bool scheduling_pass::similarJobFailed(const candidate &Job) const {
  return std::ranges::any_of(FailedJobs, [&](const candidate *Other) {
    return Other->Job->Customer == Job.Job->Customer &&
           Other->Job->Adjacency == Job.Job->Adjacency &&
           Other->Job->Urgent >= Job.Job->Urgent &&
           Other->Profile.EstimatedSeconds <= Job.Profile.EstimatedSeconds &&
           std::ranges::equal(Other->Job->Needs, Job.Job->Needs);
  });
}

unmet_constraint scheduling_pass::cachedUnmetConstraint(const candidate &Job) {
  if (const unmet_constraint *Known = Feasibility.find(Job.Job->Job))
    return *Known;
  unmet_constraint Constraint = findUnmetConstraint(Job);
  Feasibility.remember(Job.Job->Job, Constraint);
  return Constraint;
}

job_explanation scheduling_pass::explain(const candidate &Job) {
  job_explanation Explanation{Job.Job->Job,
                              wait_reason::NoFreeCapacity,
                              Job.Job->Adjacency,
                              unmet_constraint::None,
                              {}};
  Explanation.Unmet = cachedUnmetConstraint(Job);
  std::optional<customer_index> Customer = Scratch.find(Job.Job->Customer);
  std::int32_t Limit =
      Customer ? Scratch.customer(*Customer).MaxAccelerators : 0;
  if (Limit > 0 && Job.Accelerators > Limit)
    Explanation.Unmet = unmet_constraint::CustomerLimit;
  if (Explanation.Unmet != unmet_constraint::None)
    Explanation.Reason = wait_reason::NeverFits;
  else if (exceedsCustomerLimit(Job))
    Explanation.Reason = wait_reason::OwnLimit;
  else if (!Scratch.shortfalls().empty())
    Explanation.Reason = wait_reason::GuaranteeShortfall;
  else if (!ReservedFor.empty() &&
           Planner.plan(freeOffer(), makeRequest(Job)).has_value()) {
    Explanation.Reason = wait_reason::ReservedForStarved;
    Explanation.ReservedFor = ReservedFor;
  } else if (Customer && !Scratch.customer(*Customer).Guarantees.empty() &&
             remainingGuarantee(guaranteedCells(*Customer)) < Job.Accelerators)
    Explanation.Reason = wait_reason::GuaranteeInUse;
  return Explanation;
}

plan_request scheduling_pass::makeRequest(const candidate &Job) const {
  return {Job.Job->Needs, Job.Job->Adjacency, Job.Profile.EstimatedSeconds};
}

bool scheduling_pass::commit(const candidate &Job, const gang_plan &Plan,
                             bool Guaranteed) {
  fillAssignments(Plan, Guaranteed);
  fencing_token Token{FirstScratchToken + Proposals.size()};
  capacity_claim Claim{Token, Job.Job->Customer, Assignments, Job.Job->Needs};
  if (Scratch.claim(Claim, Plan.Victims) != capacity_check::Ok)
    return false;
  Free.reset();
  if (!Plan.Victims.empty())
    FailedJobs.clear();
  for (fencing_token Victim : Plan.Victims) {
    PreemptionCosts.erase(Victim);
    RemainingSeconds.erase(Victim);
  }
  RemainingSeconds[Token] = Job.Profile.EstimatedSeconds;
  for (const planned_task &Task : Plan.Tasks)
    LatestEnd[Task.Worker] =
        std::max(LatestEnd[Task.Worker], Job.Profile.EstimatedSeconds);
  Proposals.push_back(
      {Job.Job->Job, Job.Job->NextAttempt, Assignments, Plan.Victims});
  return true;
}

void scheduling_pass::fillAssignments(const gang_plan &Plan, bool Guaranteed) {
  Assignments.clear();
  for (const planned_task &Task : Plan.Tasks)
    Assignments.push_back(
        {Task.Task, Scratch.workers().worker(Task.Worker).Info.Id,
         Task.Accelerators, Guaranteed && Task.Accelerators != 0});
  std::ranges::sort(Assignments, {}, &task_assignment::Task);
}

} // namespace geraniumpaddle
