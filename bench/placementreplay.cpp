#include "placementreplay.h"

#include "core/base/error.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <numeric>

namespace geraniumpaddle::bench {

namespace {

constexpr std::chrono::seconds CheckpointInterval{600};
/// Time that a restarted attempt needs to load its checkpoint.
constexpr std::chrono::seconds RestartTime{60};
constexpr std::chrono::seconds TickInterval{300};
/// Maximum number of scheduling passes at one point in time.
constexpr int MaxRounds = 4;
constexpr int LargeGangAccelerators = 16;
constexpr double SecondsPerHour = 3600;

double seconds(duration Value) {
  return std::chrono::duration<double>(Value).count();
}

std::chrono::seconds wholeSeconds(duration Value) {
  return std::chrono::duration_cast<std::chrono::seconds>(Value);
}

int acceleratorsOf(std::span<const resources> Needs) {
  int Sum = 0;
  for (const resources &Need : Needs)
    Sum += Need.Accelerators;
  return Sum;
}

double mean(std::span<const double> Values) {
  if (Values.empty())
    return 0;
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         static_cast<double>(Values.size());
}

} // namespace

placement_replay::placement_replay(const workload &Load, scheduler &Scheduler,
                                   bool ObservesRunTimes)
    : Load(Load), Scheduler(Scheduler), ObservesRunTimes(ObservesRunTimes),
      States(Load.Jobs.size()) {
  for (const worker_info &Worker : Load.Workers)
    Account.registerWorker(Worker);
  if (Account.setGuarantees(Load.Customers) != capacity_check::Ok)
    throw internal_error("the workload's guarantees do not pack");
  for (std::size_t Job = 0; Job < Load.Jobs.size(); ++Job) {
    const replay_job &Spec = Load.Jobs[Job];
    ByName[Spec.Job] = Job;
    Events.push({Spec.Arrival, event_kind::Arrival, Job, 0});
    if (Spec.Cancelled)
      Events.push({*Spec.Cancelled, event_kind::Cancel, Job, 0});
    LastArrival = std::max(LastArrival, Spec.Arrival);
  }
  Events.push({time_point{}, event_kind::Tick, 0, 0});
}

replay_result placement_replay::run() {
  while (!Events.empty()) {
    advance(Events.top().At);
    while (!Events.empty() && Events.top().At == Now) {
      event Event = Events.top();
      Events.pop();
      apply(Event);
    }
    // As in the real system, an accepted placement triggers another scheduling
    // pass, since preempted jobs are waiting again.
    for (int Round = 0; Round < MaxRounds && !Waiting.empty(); ++Round) {
      int Preemptions = Result.Preemptions;
      decide();
      if (Result.Preemptions == Preemptions)
        break;
    }
  }
  finish();
  return std::move(Result);
}

void placement_replay::advance(time_point To) {
  double Span = seconds(std::min(To, LastArrival) - std::min(Now, LastArrival));
  Now = To;
  if (Span <= 0)
    return;
  int Free = 0;
  int Stranded = 0;
  int Used = 0;
  std::span<const worker_node> Workers = Account.workers().workers();
  for (topology_index Worker = 0; Worker < Workers.size(); ++Worker) {
    int FreeOnWorker = std::popcount(Account.freeMask(Worker));
    int Size = std::popcount(Workers[Worker].Accelerators);
    Free += FreeOnWorker;
    Used += Size - FreeOnWorker;
    if (FreeOnWorker < Size)
      Stranded += FreeOnWorker;
  }
  bool Blocked = std::ranges::any_of(Waiting, [&](std::size_t Job) {
    return acceleratorsOf(Load.Jobs[Job].Needs) <= Free;
  });
  FreeSeconds += Free * Span;
  StrandedSeconds += Stranded * Span;
  UsedSeconds += Used * Span;
  BlockedSeconds += Blocked ? Span : 0;
}

void placement_replay::apply(const event &Event) {
  switch (Event.Kind) {
  case event_kind::Arrival:
    if (!States[Event.Job].Done) {
      States[Event.Job].Waiting = true;
      Waiting.push_back(Event.Job);
    }
    return;
  case event_kind::End:
    if (raw(States[Event.Job].Token) == Event.Token)
      onEnd(Event.Job);
    return;
  case event_kind::Cancel:
    onCancel(Event.Job);
    return;
  case event_kind::Tick:
    if (Now < LastArrival || !Waiting.empty())
      Events.push({Now + TickInterval, event_kind::Tick, 0, 0});
    return;
  }
}

void placement_replay::onEnd(std::size_t Job) {
  job_state &State = States[Job];
  const replay_job &Spec = Load.Jobs[Job];
  Account.release(State.Token);
  Running.erase(State.Token);
  State.Token = {};
  State.Done = true;
  if (ObservesRunTimes)
    Scheduler.observe({Spec.Customer, Spec.Declared, Spec.RunTime});
  double Completion = seconds(Now - Spec.Arrival);
  CompletionHours.push_back(Completion / SecondsPerHour);
  if (acceleratorsOf(Spec.Needs) >= LargeGangAccelerators)
    LargeGangWaitHours.push_back((Completion - seconds(Spec.RunTime)) /
                                 SecondsPerHour);
}

void placement_replay::onCancel(std::size_t Job) {
  job_state &State = States[Job];
  if (State.Done)
    return;
  State.Done = true;
  std::erase(Waiting, Job);
  Account.release(State.Token);
  Running.erase(State.Token);
  State.Token = {};
}

time_point placement_replay::checkpointOf(const job_state &State) const {
  auto Steps = (Now - State.StartedAt) / CheckpointInterval;
  return State.StartedAt + Steps * CheckpointInterval;
}

std::vector<waiting_job> placement_replay::waitingJobs() const {
  std::vector<waiting_job> Jobs;
  for (std::size_t Job : Waiting) {
    const replay_job &Spec = Load.Jobs[Job];
    waiting_job &Entry = Jobs.emplace_back();
    Entry.Job = Spec.Job;
    Entry.Customer = Spec.Customer;
    Entry.NextAttempt = States[Job].Attempts + 1;
    Entry.Needs = Spec.Needs;
    Entry.Adjacency = Spec.Adjacency;
    Entry.Urgent = Spec.Urgent;
    Entry.DeclaredRunTime = Spec.Declared;
    Entry.WaitingSince = Spec.Arrival;
  }
  return Jobs;
}

std::vector<running_attempt> placement_replay::runningAttempts() const {
  std::vector<running_attempt> Attempts;
  for (const auto &[Token, Job] : Running) {
    const replay_job &Spec = Load.Jobs[Job];
    const job_state &State = States[Job];
    running_attempt &Entry = Attempts.emplace_back();
    Entry.Job = Spec.Job;
    Entry.Token = Token;
    Entry.Customer = Spec.Customer;
    Entry.Adjacency = Spec.Adjacency;
    Entry.Borrowed = State.Borrowed;
    Entry.Urgent = Spec.Urgent;
    Entry.DeclaredRunTime = Spec.Declared;
    Entry.StartedAt = State.StartedAt;
    Entry.CheckpointAt = checkpointOf(State);
  }
  return Attempts;
}

void placement_replay::decide() {
  std::vector<waiting_job> Jobs = waitingJobs();
  std::vector<running_attempt> Attempts = runningAttempts();
  auto Start = std::chrono::steady_clock::now();
  schedule Schedule = Scheduler.decide({Jobs, Attempts, Account}, Now);
  std::chrono::duration<double, std::milli> Elapsed =
      std::chrono::steady_clock::now() - Start;
  Result.DecisionMs.push_back(Elapsed.count());
  for (const placement_proposal &Proposal : Schedule.Proposals)
    if (!accept(Proposal))
      ++Result.Rejected;
  std::size_t Tasks = 0;
  for (const auto &[Token, Attempt] : Account.attempts())
    Tasks += Attempt.Tasks.size();
  Result.MaxTasks = std::max(Result.MaxTasks, Tasks);
}

bool placement_replay::accept(const placement_proposal &Proposal) {
  std::size_t Job = ByName.at(Proposal.Job);
  const replay_job &Spec = Load.Jobs[Job];
  fencing_token Token{++LastToken};
  auto Start = std::chrono::steady_clock::now();
  capacity_check Check =
      Account.claim({Token, Spec.Customer, Proposal.Assignments, Spec.Needs},
                    Proposal.Victims);
  std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - Start;
  Result.ClaimUs.push_back(Elapsed.count());
  if (Check != capacity_check::Ok)
    return false;
  for (fencing_token Victim : Proposal.Victims)
    preempt(Victim);
  job_state &State = States[Job];
  State.Waiting = false;
  ++State.Attempts;
  State.Token = Token;
  State.Borrowed = Account.attempts().at(Token).Borrowed;
  State.StartedAt = Now;
  Running[Token] = Job;
  std::erase(Waiting, Job);
  std::chrono::seconds Left = Spec.RunTime - State.Progress;
  if (State.Attempts > 1)
    Left += RestartTime;
  Events.push({Now + Left, event_kind::End, Job, raw(Token)});
  return true;
}

void placement_replay::preempt(fencing_token Token) {
  auto Found = Running.find(Token);
  if (Found == Running.end())
    return;
  std::size_t Job = Found->second;
  job_state &State = States[Job];
  Running.erase(Found);
  std::chrono::seconds RetainedProgress =
      wholeSeconds(checkpointOf(State) - State.StartedAt);
  std::chrono::seconds AttemptTime = wholeSeconds(Now - State.StartedAt);
  if (State.Attempts > 1)
    RetainedProgress =
        std::max(RetainedProgress - RestartTime, std::chrono::seconds{0});
  State.Progress =
      std::min(State.Progress + RetainedProgress, Load.Jobs[Job].RunTime);
  Result.LostWorkHours +=
      acceleratorsOf(Load.Jobs[Job].Needs) *
      static_cast<double>((AttemptTime - RetainedProgress).count()) /
      SecondsPerHour;
  ++Result.Preemptions;
  State.Token = {};
  State.Waiting = true;
  Waiting.insert(std::ranges::lower_bound(Waiting, Job), Job);
}

void placement_replay::finish() {
  std::ranges::sort(CompletionHours);
  Result.Completed = static_cast<int>(CompletionHours.size());
  Result.MeanCompletionHours = mean(CompletionHours);
  if (!CompletionHours.empty())
    Result.P99CompletionHours =
        CompletionHours[CompletionHours.size() * 99 / 100];
  Result.LargeGangMeanWaitHours = mean(LargeGangWaitHours);
  if (!LargeGangWaitHours.empty())
    Result.LargeGangMaxWaitHours =
        *std::ranges::max_element(LargeGangWaitHours);
  double Span = seconds(LastArrival - time_point{});
  Result.Fragmentation = StrandedSeconds / std::max(FreeSeconds, 1.0);
  Result.BlockedByFragmentation = BlockedSeconds / Span;
  Result.Utilisation = UsedSeconds / (UsedSeconds + FreeSeconds);
}

} // namespace geraniumpaddle::bench
