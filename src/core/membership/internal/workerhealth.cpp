#include "core/membership/workerhealth.h"

#include <algorithm>
#include <set>
#include <utility>

namespace geraniumpaddle {

void worker_health::onRegistered(const worker_id &Worker) {
  Workers.try_emplace(Worker);
}

worker_health::commands
worker_health::onStateChanged(const worker_state_changed &Change,
                              time_point Now) {
  Commands.clear();
  health &Health = Workers[Change.Worker];
  const bool Failing = Change.State == worker_state::Quarantined &&
                       Change.Cause == state_cause::TaskFailures;
  const bool ByOperator = Change.Cause == state_cause::OperatorRequest;
  const bool Released =
      Change.State == worker_state::Active &&
      (ByOperator || Change.Cause == state_cause::ProbeSucceeded);
  if (Failing)
    enterQuarantine(Health, Now);
  // A probe must not lift what an operator has imposed since.
  if (ByOperator && !Released) {
    Health.Step = step::Trusted;
    Health.DueAt = time_point::max();
  }
  if (Released) {
    leaveQuarantine(Health, Now);
    judgeAll(Now);
  }
  return Commands;
}

void worker_health::enterQuarantine(health &Health, time_point Now) {
  const bool Repeated = Health.Step == step::Quarantined ||
                        Health.Step == step::Probing ||
                        Health.Step == step::ActivationAsked;
  const bool Relapsed =
      Health.WasActivated && Now - Health.ActivatedAt < Limits.FailureWindow;
  const bool Doubles = Health.BackOff > duration{} && (Repeated || Relapsed);
  Health.BackOff = Doubles ? std::min(2 * Health.BackOff, Limits.MaxBackOff)
                           : Limits.FirstBackOff;
  Health.Step = step::Quarantined;
  Health.DueAt = Now + Health.BackOff;
}

void worker_health::leaveQuarantine(health &Health, time_point Now) {
  Health.Step = step::Trusted;
  Health.DueAt = time_point::max();
  Health.Failures.clear();
  Health.WasActivated = true;
  Health.ActivatedAt = Now;
}

worker_health::commands
worker_health::onJobEnded(const job_ended &Ended, const customer_id &Customer,
                          std::span<const worker_id> Ran, time_point Now) {
  Commands.clear();
  forgetOld(Now);
  if (Ended.Outcome == job_outcome::Succeeded)
    onSuccess(Customer, Ran, Now);
  if (Ended.Outcome == job_outcome::Failed && !Ended.BlamedWorker.empty())
    onFailure(Ended, Customer, Now);
  return Commands;
}

void worker_health::onSuccess(const customer_id &Customer,
                              std::span<const worker_id> Ran, time_point Now) {
  Customers[Customer] = {Now, Now};
  for (const worker_id &Worker : Ran)
    Workers[Worker].Failures.clear();
}

void worker_health::onFailure(const job_ended &Ended,
                              const customer_id &Customer, time_point Now) {
  Customers[Customer].Last = Now;
  std::vector<failure> &Failures = Workers[Ended.BlamedWorker].Failures;
  const bool Known = std::ranges::count(Failures, Ended.Job, &failure::Job) > 0;
  if (!Known)
    Failures.push_back({Ended.Job, Customer, Now});
  judge(Ended.BlamedWorker, Now);
}

void worker_health::forgetOld(time_point Now) {
  const time_point Oldest = Now - Limits.FailureWindow;
  for (auto &[Worker, Health] : Workers)
    std::erase_if(Health.Failures,
                  [&](const failure &Old) { return Old.At < Oldest; });
  std::erase_if(Customers,
                [&](const auto &Entry) { return Entry.second.Last < Oldest; });
}

bool worker_health::isFailing(const health &Health) const {
  std::set<customer_id> Failed;
  bool SucceedsElsewhere = false;
  for (const failure &Failure : Health.Failures) {
    Failed.insert(Failure.Customer);
    const auto Known = Customers.find(Failure.Customer);
    SucceedsElsewhere =
        SucceedsElsewhere ||
        (Known != Customers.end() && Known->second.Succeeded >= Failure.At);
  }
  const std::size_t Jobs = Health.Failures.size();
  const std::size_t Wanted = std::min<std::size_t>(
      static_cast<std::size_t>(Limits.FailedCustomers), Customers.size());
  if (Failed.size() >= Wanted)
    return std::cmp_greater_equal(Jobs, Limits.FailedJobs);
  return SucceedsElsewhere &&
         std::cmp_greater_equal(Jobs, Limits.FailedJobsOfOneCustomer);
}

bool worker_health::hasRoom() const {
  const auto Taken = std::ranges::count_if(Workers, [](const auto &Entry) {
    return Entry.second.Step != step::Trusted;
  });
  const auto Bound = static_cast<std::int64_t>(Workers.size()) *
                     Limits.MaxQuarantinedPercent / 100;
  return Taken < std::max<std::int64_t>(1, Bound);
}

void worker_health::judge(const worker_id &Worker, time_point Now) {
  health &Health = Workers[Worker];
  if (Health.Step == step::Trusted && isFailing(Health) && hasRoom())
    ask(step::QuarantineAsked, Worker, Health, Now);
}

void worker_health::judgeAll(time_point Now) {
  for (const auto &[Worker, Health] : Workers)
    judge(Worker, Now);
}

void worker_health::ask(step Step, const worker_id &Worker, health &Health,
                        time_point Now) {
  Health.Step = Step;
  Health.DueAt = Now + Limits.RepeatInterval;
  if (Step == step::ActivationAsked)
    Commands.emplace_back(activate_worker{Worker});
  else
    Commands.emplace_back(quarantine_worker{Worker});
}

worker_health::commands worker_health::onProbeEnded(const probe_ended &Ended,
                                                    time_point Now) {
  Commands.clear();
  const auto Found = Workers.find(Ended.Worker);
  if (Found == Workers.end() || Found->second.Step != step::Probing)
    return Commands;
  health &Health = Found->second;
  if (Ended.Succeeded) {
    ask(step::ActivationAsked, Ended.Worker, Health, Now);
    return Commands;
  }
  // Probed again after the same time if the record is not accepted.
  Health.Step = step::Quarantined;
  Health.DueAt = Now + Health.BackOff;
  Commands.emplace_back(quarantine_worker{Ended.Worker});
  return Commands;
}

worker_health::commands worker_health::onTimerExpired(time_point Now) {
  Commands.clear();
  for (auto &[Worker, Health] : Workers) {
    if (Now >= Health.DueAt)
      act(Worker, Health, Now);
  }
  return Commands;
}

void worker_health::act(const worker_id &Worker, health &Health,
                        time_point Now) {
  switch (Health.Step) {
  case step::Trusted:
    return;
  case step::QuarantineAsked:
  case step::ActivationAsked:
    return ask(Health.Step, Worker, Health, Now);
  case step::Quarantined:
    Health.Step = step::Probing;
    Health.DueAt = Now + Limits.ProbeTimeout;
    Commands.emplace_back(probe_worker{Worker});
    return;
  case step::Probing:
    Health.Step = step::Quarantined;
    Health.DueAt = Now + Health.BackOff;
    Commands.emplace_back(quarantine_worker{Worker});
    return;
  }
}

time_point worker_health::nextTimerAt() const {
  time_point Next = time_point::max();
  for (const auto &[Worker, Health] : Workers)
    Next = std::min(Next, Health.DueAt);
  return Next;
}

bool worker_health::quarantined(const worker_id &Worker) const {
  const auto Found = Workers.find(Worker);
  if (Found == Workers.end())
    return false;
  const step Step = Found->second.Step;
  return Step != step::Trusted && Step != step::QuarantineAsked;
}

} // namespace geraniumpaddle
