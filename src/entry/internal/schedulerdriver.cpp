#include "entry/schedulerdriver.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Coalesces a burst of records into one decision.
constexpr duration DecisionInterval = std::chrono::milliseconds(20);
/// Estimates and reservations change with time, even without new records.
constexpr duration ReevaluationInterval = std::chrono::seconds(10);
constexpr duration ProposalTimeout = std::chrono::seconds(10);

bool anyBorrowed(const job_entry &Job) {
  return std::any_of(Job.Assignments.begin(), Job.Assignments.end(),
                     [](const auto &Task) { return !Task.Guaranteed; });
}

} // namespace

scheduler_driver::scheduler_driver(ievent_loop &Loop, iproposer &Log,
                                   const entry_rank &Rank,
                                   const peer_identity &Self,
                                   objective Objective)
    : Loop(Loop), Log(Log), Rank(Rank), Self(Self), Scheduler(Objective),
      DecisionTimer(Loop) {}

void scheduler_driver::start() {
  Started = true;
  scheduleDecision();
}

std::optional<job_explanation>
scheduler_driver::explain(const job_id &Job) const {
  auto Found = Explanations.find(Job);
  if (Found == Explanations.end())
    return std::nullopt;
  return Found->second;
}

void scheduler_driver::onRecordApplied(log_offset, const record &Record,
                                       const verdict &Verdict) {
  if (!Verdict.accepted())
    return;
  Dirty = true;
  if (const auto *Start = std::get_if<job_started>(&Record.Body))
    StartedAt[Start->Token] = Loop.now();
  if (const auto *End = std::get_if<job_ended>(&Record.Body))
    observeRunTime(*End);
}

void scheduler_driver::observeRunTime(const job_ended &End) {
  auto Start = StartedAt.extract(End.Token);
  const job_entry *Job = Log.state().job(End.Job);
  if (Start.empty() || !Job || End.Outcome != job_outcome::Succeeded)
    return;
  Scheduler.observe({Job->Spec.Customer, Job->Spec.DeclaredRunTime,
                     std::chrono::duration_cast<std::chrono::seconds>(
                         Loop.now() - Start.mapped())});
}

void scheduler_driver::scheduleDecision() {
  if (!Started || !Log.ready() || InFlight > 0)
    return;
  bool HasWaitingJobs = !Log.state().waitingJobs().empty();
  if (!HasWaitingJobs)
    return DecisionTimer.cancel();
  duration Wait = Dirty ? DecisionInterval : ReevaluationInterval;
  duration Delay = LastDecision + Wait - Loop.now();
  DecisionTimer.start(std::max(Delay, duration::zero()), [this] { decide(); });
}

void scheduler_driver::collectJobs(std::vector<waiting_job> &Waiting,
                                   std::vector<running_attempt> &Running) {
  Needs.clear();
  Needs.reserve(Log.state().waitingJobs().size());
  for (const job_entry *Job : Log.state().waitingJobs()) {
    std::vector<resources> &Need = Needs.emplace_back();
    for (const task_spec &Task : Job->Spec.Tasks)
      Need.push_back(Task.Need);
    time_point Since =
        WaitingSince.try_emplace(Job->Spec.Id, Loop.now()).first->second;
    Waiting.push_back({Job->Spec.Id, Job->Spec.Customer, Job->Attempt + 1, Need,
                       Job->Spec.Adjacency, Job->Spec.Urgent,
                       Job->Spec.DeclaredRunTime, Since});
  }
  for (const job_entry *Job : Log.state().runningAttempts()) {
    time_point Start =
        StartedAt.try_emplace(Job->Token, Loop.now()).first->second;
    running_attempt &Attempt = Running.emplace_back();
    Attempt.Job = Job->Spec.Id;
    Attempt.Token = Job->Token;
    Attempt.Customer = Job->Spec.Customer;
    Attempt.Adjacency = Job->Spec.Adjacency;
    Attempt.Borrowed = anyBorrowed(*Job);
    Attempt.Idempotent = Job->Spec.Idempotent;
    Attempt.Urgent = Job->Spec.Urgent;
    Attempt.DeclaredRunTime = Job->Spec.DeclaredRunTime;
    Attempt.StartedAt = Start;
    Attempt.CheckpointAt = Start;
  }
}

void scheduler_driver::decide() {
  Dirty = false;
  LastDecision = Loop.now();
  eraseObsoleteTimes();
  std::vector<waiting_job> Waiting;
  std::vector<running_attempt> Running;
  collectJobs(Waiting, Running);
  schedule Schedule =
      Scheduler.decide({Waiting, Running, Log.state().account()}, Loop.now());
  Explanations.clear();
  for (const job_explanation &Explanation : Schedule.Explanations)
    Explanations[Explanation.Job] = Explanation;
  proposeAll(Schedule);
  scheduleDecision();
}

void scheduler_driver::proposeAll(const schedule &Schedule) {
  for (const placement_proposal &Proposal : Schedule.Proposals)
    if (mayPropose(Proposal.Job))
      proposeRecord(job_placed{Proposal.Job, Proposal.Attempt,
                               Proposal.Assignments, Proposal.Victims});
  for (const job_explanation &Explanation : Schedule.Explanations)
    if (Explanation.Reason == wait_reason::NeverFits &&
        mayPropose(Explanation.Job))
      proposeNeverFits(Explanation);
}

/// Only the first of the live entries proposes immediately. The others take
/// over if a job that can be placed is still waiting after their delay.
bool scheduler_driver::mayPropose(const job_id &Job) {
  time_point Since = ProposableSince.try_emplace(Job, Loop.now()).first->second;
  duration Delay = Rank.proposalDelay();
  if (Loop.now() - Since >= Delay)
    return true;
  Dirty = true;
  return false;
}

void scheduler_driver::proposeNeverFits(const job_explanation &Explanation) {
  proposeRecord(job_ended{Explanation.Job, fencing_token{},
                          job_outcome::NeverFits, worker_id(),
                          std::string(name(Explanation.Unmet))});
}

void scheduler_driver::proposeRecord(record_body Body) {
  InFlight++;
  Log.propose(actor_id(Self.Node.view()), std::move(Body), ProposalTimeout,
              [this, Alive = Alive](const proposal_answered &) {
                if (!*Alive)
                  return;
                InFlight--;
                Dirty = true;
                scheduleDecision();
              });
}

void scheduler_driver::eraseObsoleteTimes() {
  auto NotWaiting = [this](const auto &Entry) {
    const job_entry *Job = Log.state().job(Entry.first);
    return !Job || Job->State != job_state::Waiting;
  };
  std::erase_if(WaitingSince, NotWaiting);
  std::erase_if(ProposableSince, NotWaiting);
  std::erase_if(StartedAt, [this](const auto &Entry) {
    return Log.state().attempt(Entry.first) == nullptr;
  });
}

} // namespace geraniumpaddle
