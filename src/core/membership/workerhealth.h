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

/// Bounds of the quarantine of failing workers.
struct worker_health_limits {
  /// Failures of this many different jobs, without a success between them,
  /// quarantine a worker.
  std::int32_t FailedJobs = 3;
  /// They have to be of this many customers, or of all that had jobs lately if
  /// these are fewer.
  std::int32_t FailedCustomers = 2;
  /// This many failed jobs of a single customer will do if other jobs of that
  /// customer succeeded elsewhere meanwhile.
  std::int32_t FailedJobsOfOneCustomer = 6;
  /// Failures older than this do not count.
  duration FailureWindow = std::chrono::hours(6);
  /// From quarantine to the first probe; doubles with each failed probe, and
  /// with a quarantine that follows the last within the failure window.
  duration FirstBackOff = std::chrono::minutes(5);
  duration MaxBackOff = std::chrono::hours(8);
  /// A probe without a result by then has failed.
  duration ProbeTimeout = std::chrono::minutes(10);
  /// A command whose record has not been accepted by then is repeated.
  duration RepeatInterval = std::chrono::seconds(10);
  /// Largest part of the registered workers in quarantine at once, in percent;
  /// one worker may always be.
  std::int32_t MaxQuarantinedPercent = 10;
};

/// Propose worker_state_changed to Quarantined, cause TaskFailures. Also after
/// a failed probe: the accepted record is what doubles the back-off.
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

/// How a probe task ended.
struct probe_ended {
  worker_id Worker;
  bool Succeeded = false;
};

/// Judges workers by the ends of the jobs that ran on them. Its state follows
/// from the accepted records alone, each with the time at which it was
/// accepted; only a probe that is under way is lost with the process, and is
/// then run again. Commands are valid until the next call.
class worker_health {
public:
  using commands = std::span<const worker_health_command>;

  explicit worker_health(const worker_health_limits &Limits) : Limits(Limits) {}

  /// An accepted worker_registered record.
  void onRegistered(const worker_id &Worker);
  /// An accepted worker_state_changed record.
  commands onStateChanged(const worker_state_changed &Change, time_point Now);
  /// An accepted job_ended record.
  /// \param Workers those that ran tasks of the attempt.
  commands onJobEnded(const job_ended &Ended, const customer_id &Customer,
                      std::span<const worker_id> Workers, time_point Now);
  commands onProbeEnded(const probe_ended &Ended, time_point Now);
  /// What is due by \p Now.
  commands onTimerExpired(time_point Now);

  /// When onTimerExpired() wants to be called; time_point::max() if never.
  time_point nextTimerAt() const;
  bool quarantined(const worker_id &Worker) const;

private:
  enum class step : std::uint8_t {
    Trusted,
    QuarantineAsked, ///< until the record is accepted
    Quarantined,     ///< until the back-off is over
    Probing,
    ActivationAsked, ///< until the record is accepted
  };

  struct failure {
    job_id Job;
    customer_id Customer;
    time_point At{};
  };

  struct health {
    step Step = step::Trusted;
    std::vector<failure> Failures; ///< one per job
    duration BackOff{};
    time_point DueAt = time_point::max(); ///< of the present step
    time_point ActivatedAt{};
    bool WasActivated = false;
  };

  struct customer_activity {
    time_point Last{};
    time_point Succeeded = time_point::min();
  };

  void onFailure(const job_ended &Ended, const customer_id &Customer,
                 time_point Now);
  void onSuccess(const customer_id &Customer,
                 std::span<const worker_id> Workers, time_point Now);
  void enterQuarantine(health &Health, time_point Now);
  void leaveQuarantine(health &Health, time_point Now);
  void judge(const worker_id &Worker, time_point Now);
  void judgeAll(time_point Now);
  void act(const worker_id &Worker, health &Health, time_point Now);
  void ask(step Step, const worker_id &Worker, health &Health, time_point Now);
  bool isFailing(const health &Health) const;
  bool hasRoom() const;
  void forgetOld(time_point Now);

  const worker_health_limits Limits;
  std::map<worker_id, health> Workers;
  std::map<customer_id, customer_activity> Customers;
  std::vector<worker_health_command> Commands;
};

} // namespace geraniumpaddle
