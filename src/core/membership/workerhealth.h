#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/ledger/types/record.h"

#include <cstdint>
#include <map>
#include <span>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// Limits for the quarantine of failing workers.
struct worker_health_limits {
  /// Failures of this many different jobs without a success in between
  /// quarantine a worker.
  std::int32_t FailedJobs = 3;
  /// The jobs must belong to at least this many customers, or to all customers
  /// with jobs in the failure window if these are fewer.
  std::int32_t FailedCustomers = 2;
  /// This many failed jobs of a single customer suffice if other jobs of that
  /// customer succeeded elsewhere meanwhile.
  std::int32_t FailedJobsOfOneCustomer = 6;
  /// Failures older than this do not count.
  duration FailureWindow = std::chrono::hours(6);
  /// From quarantine to the first probe; doubles with each failed probe and
  /// with a new quarantine within the failure window of the previous one.
  duration FirstBackOff = std::chrono::minutes(5);
  duration MaxBackOff = std::chrono::hours(8);
  /// A probe without a result by then counts as failed.
  duration ProbeTimeout = std::chrono::minutes(10);
  /// A proposal whose record has not been accepted by then is repeated.
  duration RepeatInterval = std::chrono::seconds(10);
  /// Largest share of the registered workers in quarantine at once, in percent;
  /// one worker is always allowed.
  std::int32_t MaxQuarantinedPercent = 10;
};

/// Propose worker_state_changed to Quarantined, cause TaskFailures. Also after
/// a failed probe: applying the accepted record doubles the back-off.
struct quarantine_worker {
  worker_id Worker;
};
/// Run a probe task on the quarantined worker; answered by probe_ended.
struct probe_worker {
  worker_id Worker;
};
/// Propose worker_state_changed to Active, cause ProbeSucceeded.
struct activate_worker {
  worker_id Worker;
};

using worker_health_command =
    std::variant<quarantine_worker, probe_worker, activate_worker>;

/// Result of a probe task.
struct probe_ended {
  worker_id Worker;
  bool Succeeded = false;
};

/// Detects failing workers by the outcomes of the jobs that ran on them. The
/// state is derived only from the accepted records and the times at which they
/// were accepted; only a running probe is lost with the process, and is then
/// repeated. Commands are valid until the next call.
class worker_health {
public:
  using commands = std::span<const worker_health_command>;

  explicit worker_health(const worker_health_limits &Limits) : Limits(Limits) {}

  /// An accepted worker_registered record.
  void onRegistered(const worker_id &Worker);
  /// An accepted worker_state_changed record.
  commands onStateChanged(const worker_state_changed &Change, time_point Now);
  /// An accepted job_ended record.
  /// \param Workers the workers that ran tasks of the attempt.
  commands onJobEnded(const job_ended &Ended, const customer_id &Customer,
                      std::span<const worker_id> Workers, time_point Now);
  commands onProbeEnded(const probe_ended &Ended, time_point Now);
  /// Executes what is due by \p Now.
  commands onTimerExpired(time_point Now);

  /// When onTimerExpired() is due next; time_point::max(): no timer is needed.
  time_point nextTimerAt() const;
  bool quarantined(const worker_id &Worker) const;

private:
  enum class step : std::uint8_t {
    Monitored,          ///< or in a state that an operator has set
    QuarantineProposed, ///< until the record is accepted
    Quarantined,        ///< until the back-off is over
    Probing,
    ActivationProposed, ///< until the record is accepted
  };

  struct failure {
    job_id Job;
    customer_id Customer;
    time_point At{};
  };

  struct health {
    step Step = step::Monitored;
    std::vector<failure> Failures; ///< one per job
    duration BackOff{};
    time_point DueAt = time_point::max(); ///< deadline of the current step
    time_point ActivatedAt{};
    bool WasActivated = false;
  };

  struct customer_activity {
    time_point LastEndAt{};
    time_point Succeeded = time_point::min();
  };

  void onFailure(const job_ended &Ended, const customer_id &Customer,
                 time_point Now);
  void onSuccess(const customer_id &Customer,
                 std::span<const worker_id> Workers, time_point Now);
  void enterQuarantine(health &Health, time_point Now);
  void leaveQuarantine(health &Health, time_point Now);
  void evaluate(const worker_id &Worker, time_point Now);
  void evaluateAll(time_point Now);
  void onDeadline(const worker_id &Worker, health &Health, time_point Now);
  void propose(step Step, const worker_id &Worker, health &Health,
               time_point Now);
  bool isFailing(const health &Health) const;
  bool mayQuarantineMore() const;
  void removeExpired(time_point Now);

  const worker_health_limits Limits;
  std::map<worker_id, health> Workers;
  std::map<customer_id, customer_activity> Customers;
  std::vector<worker_health_command> Commands;
};

} // namespace geraniumpaddle
