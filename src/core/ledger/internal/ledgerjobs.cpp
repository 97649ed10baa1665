#include "core/ledger/ledger.h"

#include <algorithm>
#include <array>
#include <string>

namespace geraniumpaddle {

namespace {

bool validSpec(const job_spec &Spec) {
  if (Spec.Id.empty() || Spec.Tasks.empty() ||
      Spec.Tasks.size() > ledger::MaxTasksPerJob)
    return false;
  return std::all_of(Spec.Tasks.begin(), Spec.Tasks.end(),
                     [](const task_spec &Task) {
                       const resources &Need = Task.Need;
                       return Need.covers(resources{}) && Need != resources{};
                     });
}

std::int64_t acceleratorsOf(const job_spec &Spec) {
  std::int64_t Sum = 0;
  for (const task_spec &Task : Spec.Tasks)
    Sum += Task.Need.Accelerators;
  return Sum;
}

rejection toRejection(capacity_check Check) {
  switch (Check) {
  case capacity_check::Ok:
    return rejection::None;
  case capacity_check::GuaranteesDoNotPack:
    return rejection::GuaranteesDoNotPack;
  case capacity_check::GuaranteeViolated:
    return rejection::GuaranteeViolated;
  case capacity_check::CapacityTaken:
    return rejection::CapacityTaken;
  case capacity_check::UnknownWorker:
    return rejection::UnknownWorker;
  case capacity_check::CustomerLimitExceeded:
    return rejection::LimitExceeded;
  case capacity_check::NeedNotCovered:
    return rejection::IncompleteGang;
  }
  return rejection::InvalidRecord;
}

bool adjacent(const worker_info &A, const worker_info &B, adjacency Level) {
  const bool SameRegion = A.Region == B.Region;
  const bool SameZone = SameRegion && A.Zone == B.Zone;
  const bool SameRack = SameZone && A.Rack == B.Rack;
  switch (Level) {
  case adjacency::Any:
    return true;
  case adjacency::Region:
    return SameRegion;
  case adjacency::Zone:
    return SameZone;
  case adjacency::Rack:
    return SameRack;
  case adjacency::Worker:
    return A.Id == B.Id;
  }
  return false;
}

/// True if the job did not complete and may be placed again.
bool isRetryable(job_outcome Outcome) {
  return Outcome == job_outcome::Aborted || Outcome == job_outcome::Preempted ||
         Outcome == job_outcome::LeaseExpired;
}

/// True unless the job is non-idempotent and has started before: such a job
/// runs at most once.
bool mayBePlacedAgain(const job_entry &Job) {
  return Job.Spec.Idempotent || !Job.EverStarted;
}

/// The record that a placement, start, end or cancellation of \p Job conflicts
/// with.
log_offset winnerOf(const job_entry &Job) {
  return Job.State == job_state::Ended ? Job.Ended : Job.Steps.back().Offset;
}

} // namespace

verdict ledger::onJobSubmitted(const job_submitted &Submission,
                               const context &Context) {
  const job_spec &Spec = Submission.Spec;
  if (!validSpec(Spec))
    return {rejection::InvalidRecord};
  if (const job_entry *Known = Jobs.find(Spec.Id))
    return {rejection::JobExists, Known->Submitted};
  const customer_entry *Customer = customer(Spec.Customer);
  if (Customer == nullptr)
    return {rejection::UnknownCustomer};
  const std::int32_t Limit = Customer->Config.MaxAccelerators;
  if (Limit > 0 && acceleratorsOf(Spec) > Limit)
    return {rejection::LimitExceeded, Customer->LastChange.Offset};
  if (Jobs.live() >= job_table::MaxLiveJobs)
    return {rejection::LimitExceeded};
  Jobs.submit(Spec, Context.Offset, Context.Record.At);
  return {};
}

verdict
ledger::checkAssignments(const job_entry &Job,
                         std::span<const task_assignment> Assignments) const {
  const std::vector<task_spec> &Tasks = Job.Spec.Tasks;
  if (Assignments.size() != Tasks.size())
    return {rejection::IncompleteGang};
  std::array<bool, MaxTasksPerJob> Placed{};
  const worker_entry *First = nullptr;
  for (const task_assignment &Assignment : Assignments) {
    if (Assignment.Task >= Tasks.size() || Placed[Assignment.Task])
      return {rejection::IncompleteGang};
    Placed[Assignment.Task] = true;
    // capacity_account checks that the assignment covers the task's need.
    const worker_entry *Worker = worker(Assignment.Worker);
    if (Worker == nullptr)
      return {rejection::UnknownWorker};
    if (Worker->State != worker_state::Active)
      return {rejection::CapacityTaken, Worker->StateChanged};
    First = First == nullptr ? Worker : First;
    if (!adjacent(First->Info, Worker->Info, Job.Spec.Adjacency))
      return {rejection::IncompleteGang};
  }
  return {};
}

verdict ledger::checkVictims(const job_placed &Placement) const {
  std::vector<fencing_token> Victims = Placement.Victims;
  std::sort(Victims.begin(), Victims.end());
  if (std::adjacent_find(Victims.begin(), Victims.end()) != Victims.end())
    return {rejection::InvalidRecord};
  // capacity_account checks which attempts may be preempted.
  for (fencing_token Victim : Victims)
    if (Jobs.findByToken(Victim) == nullptr)
      return {rejection::StaleToken, Victim};
  return {};
}

verdict ledger::checkPlacement(const job_entry &Job,
                               const job_placed &Placement) const {
  if (Job.State != job_state::Waiting || Placement.Attempt != Job.Attempt + 1)
    return {rejection::JobNotWaiting, winnerOf(Job)};
  if (verdict Check = checkAssignments(Job, Placement.Assignments);
      !Check.accepted())
    return Check;
  return checkVictims(Placement);
}

verdict ledger::onJobPlaced(const job_placed &Placement,
                            const context &Context) {
  const job_entry *Job = Jobs.find(Placement.Job);
  if (Job == nullptr)
    return {rejection::UnknownJob};
  if (verdict Check = checkPlacement(*Job, Placement); !Check.accepted())
    return Check;
  std::vector<resources> Needs;
  Needs.reserve(Job->Spec.Tasks.size());
  for (const task_spec &Task : Job->Spec.Tasks)
    Needs.push_back(Task.Need);
  const capacity_claim Claim{Context.Offset, Job->Spec.Customer,
                             Placement.Assignments, Needs};
  const capacity_check Check = Account.claim(Claim, Placement.Victims);
  if (Check != capacity_check::Ok)
    return {toRejection(Check)};
  for (fencing_token Victim : Placement.Victims)
    preempt(Victim, Context);
  Jobs.place(Placement.Job, Context.Offset, Placement.Assignments,
             Context.Record.At);
  return {};
}

void ledger::preempt(fencing_token Victim, const context &Context) {
  const job_entry &Job = *Jobs.findByToken(Victim);
  const wall_time At = Context.Record.At;
  const std::string Detail =
      "for attempt " + std::to_string(raw(Context.Offset));
  if (Job.State == job_state::Cancelling)
    Jobs.end(Job.Spec.Id, job_outcome::Cancelled, Context.Offset, At, Detail);
  else if (mayBePlacedAgain(Job))
    Jobs.requeue(Job.Spec.Id, job_step_kind::Preempted, Context.Offset, At,
                 Detail);
  else
    Jobs.end(Job.Spec.Id, job_outcome::Preempted, Context.Offset, At, Detail);
}

verdict ledger::onJobStarted(const job_started &Start, const context &Context) {
  const job_entry *Job = Jobs.find(Start.Job);
  if (Job == nullptr)
    return {rejection::UnknownJob};
  if (!Job->holdsCapacity() || Job->Token != Start.Token)
    return {rejection::StaleToken, winnerOf(*Job)};
  // Once cancellation was requested, the start barrier must not open.
  if (Job->State == job_state::Cancelling)
    return {rejection::JobNotWaiting, winnerOf(*Job)};
  if (Job->State == job_state::Placed)
    Jobs.start(Start.Job, Context.Offset, Context.Record.At);
  return {};
}

verdict ledger::onJobEnded(const job_ended &End, const context &Context) {
  const job_entry *Job = Jobs.find(End.Job);
  if (Job == nullptr)
    return {rejection::UnknownJob};
  if (End.Token == fencing_token{})
    return endWaiting(*Job, End, Context);
  if (!Job->holdsCapacity() || Job->Token != End.Token)
    return {rejection::StaleToken, winnerOf(*Job)};
  endAttempt(*Job, End, Context);
  return {};
}

verdict ledger::endWaiting(const job_entry &Job, const job_ended &End,
                           const context &Context) {
  if (Job.State != job_state::Waiting)
    return {rejection::JobNotWaiting, winnerOf(Job)};
  // Without an attempt the job cannot have succeeded, failed or been stopped.
  if (End.Outcome != job_outcome::NeverFits &&
      End.Outcome != job_outcome::Cancelled)
    return {rejection::InvalidRecord};
  Jobs.end(End.Job, End.Outcome, Context.Offset, Context.Record.At, End.Detail);
  return {};
}

void ledger::endAttempt(const job_entry &Job, const job_ended &End,
                        const context &Context) {
  Account.release(End.Token);
  if (End.Outcome == job_outcome::Succeeded)
    clearFailures(Job.Assignments);
  else if (!End.BlamedWorker.empty())
    blameWorker(End.BlamedWorker, End.Job, Context);
  const wall_time At = Context.Record.At;
  const bool Retryable = isRetryable(End.Outcome);
  std::string Detail(name(End.Outcome));
  if (!End.Detail.empty())
    Detail += ": " + End.Detail;
  if (Retryable && Job.State == job_state::Cancelling)
    Jobs.end(End.Job, job_outcome::Cancelled, Context.Offset, At, Detail);
  else if (Retryable && mayBePlacedAgain(Job))
    Jobs.requeue(End.Job, job_step_kind::Requeued, Context.Offset, At, Detail);
  else
    Jobs.end(End.Job, End.Outcome, Context.Offset, At, Detail);
}

verdict ledger::onJobCancelled(const job_cancelled &Cancellation,
                               const context &Context) {
  const job_entry *Job = Jobs.find(Cancellation.Job);
  if (Job == nullptr)
    return {rejection::UnknownJob};
  const wall_time At = Context.Record.At;
  switch (Job->State) {
  case job_state::Waiting:
    Jobs.end(Cancellation.Job, job_outcome::Cancelled, Context.Offset, At, {});
    return {};
  case job_state::Placed:
  case job_state::Running:
    Jobs.requestCancel(Cancellation.Job, Context.Offset, At, {});
    return {};
  case job_state::Cancelling:
    return {};
  case job_state::Ended:
    break;
  }
  return {rejection::JobNotWaiting, Job->Ended};
}

} // namespace geraniumpaddle
