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
  // A probe must not override a state that an operator has set since.
  if (ByOperator && !Released) {
    Health.Step = step::Monitored;
    Health.DueAt = time_point::max();
  }
  if (Released) {
    leaveQuarantine(Health, Now);
    evaluateAll(Now);
  }
  return Commands;
}

void worker_health::enterQuarantine(health &Health, time_point Now) {
  const bool Repeated = Health.Step == step::Quarantined ||
                        Health.Step == step::Probing ||
                        Health.Step == step::ActivationProposed;
  const bool Relapsed =
      Health.WasActivated && Now - Health.ActivatedAt < Limits.FailureWindow;
  const bool Doubles = Health.BackOff > duration{} && (Repeated || Relapsed);
  Health.BackOff = Doubles ? std::min(2 * Health.BackOff, Limits.MaxBackOff)
                           : Limits.FirstBackOff;
  Health.Step = step::Quarantined;
  Health.DueAt = Now + Health.BackOff;
}

void worker_health::leaveQuarantine(health &Health, time_point Now) {
  Health.Step = step::Monitored;
  Health.DueAt = time_point::max();
  Health.Failures.clear();
  Health.WasActivated = true;
  Health.ActivatedAt = Now;
}

worker_health::commands
worker_health::onJobEnded(const job_ended &Ended, const customer_id &Customer,
                          std::span<const worker_id> RanOn, time_point Now) {
  Commands.clear();
  removeExpired(Now);
  if (Ended.Outcome == job_outcome::Succeeded)
    onSuccess(Customer, RanOn, Now);
  if (Ended.Outcome == job_outcome::Failed && !Ended.BlamedWorker.empty())
    onFailure(Ended, Customer, Now);
  return Commands;
}

void worker_health::onSuccess(const customer_id &Customer,
                              std::span<const worker_id> RanOn,
                              time_point Now) {
  Customers[Customer] = {Now, Now};
  for (const worker_id &Worker : RanOn)
    Workers[Worker].Failures.clear();
}

void worker_health::onFailure(const job_ended &Ended,
                              const customer_id &Customer, time_point Now) {
  Customers[Customer].LastEndAt = Now;
  std::vector<failure> &Failures = Workers[Ended.BlamedWorker].Failures;
  const bool Counted =
      std::ranges::count(Failures, Ended.Job, &failure::Job) > 0;
  if (!Counted)
    Failures.push_back({Ended.Job, Customer, Now});
  evaluate(Ended.BlamedWorker, Now);
}

void worker_health::removeExpired(time_point Now) {
  const time_point Oldest = Now - Limits.FailureWindow;
  for (auto &[Worker, Health] : Workers)
    std::erase_if(Health.Failures,
                  [&](const failure &Old) { return Old.At < Oldest; });
  std::erase_if(Customers, [&](const auto &Entry) {
    return Entry.second.LastEndAt < Oldest;
  });
}

bool worker_health::isFailing(const health &Health) const {
  std::set<customer_id> Failed;
  bool SucceedsElsewhere = false;
  for (const failure &Failure : Health.Failures) {
    Failed.insert(Failure.Customer);
    const auto Found = Customers.find(Failure.Customer);
    SucceedsElsewhere =
        SucceedsElsewhere ||
        (Found != Customers.end() && Found->second.Succeeded >= Failure.At);
  }
  const std::size_t Jobs = Health.Failures.size();
  const std::size_t RequiredCustomers = std::min<std::size_t>(
      static_cast<std::size_t>(Limits.FailedCustomers), Customers.size());
  if (Failed.size() >= RequiredCustomers)
    return std::cmp_greater_equal(Jobs, Limits.FailedJobs);
  return SucceedsElsewhere &&
         std::cmp_greater_equal(Jobs, Limits.FailedJobsOfOneCustomer);
}

bool worker_health::mayQuarantineMore() const {
  const auto InQuarantine =
      std::ranges::count_if(Workers, [](const auto &Entry) {
        return Entry.second.Step != step::Monitored;
      });
  const auto Limit = static_cast<std::int64_t>(Workers.size()) *
                     Limits.MaxQuarantinedPercent / 100;
  return InQuarantine < std::max<std::int64_t>(1, Limit);
}

void worker_health::evaluate(const worker_id &Worker, time_point Now) {
  health &Health = Workers[Worker];
  if (Health.Step == step::Monitored && isFailing(Health) &&
      mayQuarantineMore())
    propose(step::QuarantineProposed, Worker, Health, Now);
}

void worker_health::evaluateAll(time_point Now) {
  for (const auto &[Worker, Health] : Workers)
    evaluate(Worker, Now);
}

void worker_health::propose(step Step, const worker_id &Worker, health &Health,
                            time_point Now) {
  Health.Step = Step;
  Health.DueAt = Now + Limits.RepeatInterval;
  if (Step == step::ActivationProposed)
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
    propose(step::ActivationProposed, Ended.Worker, Health, Now);
    return Commands;
  }
  // Probed again after the same back-off if the record is not accepted.
  Health.Step = step::Quarantined;
  Health.DueAt = Now + Health.BackOff;
  Commands.emplace_back(quarantine_worker{Ended.Worker});
  return Commands;
}

worker_health::commands worker_health::onTimerExpired(time_point Now) {
  Commands.clear();
  for (auto &[Worker, Health] : Workers) {
    if (Now >= Health.DueAt)
      onDeadline(Worker, Health, Now);
  }
  return Commands;
}

void worker_health::onDeadline(const worker_id &Worker, health &Health,
                               time_point Now) {
  switch (Health.Step) {
  case step::Monitored:
    return;
  case step::QuarantineProposed:
  case step::ActivationProposed:
    return propose(Health.Step, Worker, Health, Now);
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
  return Step != step::Monitored && Step != step::QuarantineProposed;
}

} // namespace geraniumpaddle
