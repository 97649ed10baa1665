#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/ledger/types/record.h"

#include <cstdint>
#include <deque>
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
  /// They come from this many different customers, where the pool has had
  /// tasks of that many.
  std::int32_t FailedCustomers = 2;
  /// Failures older than this do not count.
  duration FailureWindow = std::chrono::hours(6);
  /// From quarantine to the first probe; doubles with each failed probe.
  duration FirstBackOff = std::chrono::minutes(5);
  duration MaxBackOff = std::chrono::hours(8);
  /// Largest part of the registered workers in quarantine at once, in percent;
  /// one worker may always be.
  std::int32_t MaxQuarantinedPercent = 10;
};

/// Take the worker out of placement.
struct quarantine_worker {
  worker_id Worker;
  time_point ProbeAt{};
};
/// Run a probe task on the quarantined worker and report its end.
struct probe_worker {
  worker_id Worker;
};
/// Let the worker back into placement.
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

/// Judges workers by the ends of the jobs that ran on them. Its state is a
/// function of the ledger's accepted records and of the probes' ends.
class worker_health {
public:
  explicit worker_health(const worker_health_limits &Limits);

  /// An accepted worker_registered record.
  void onRegistered(const worker_id &Worker);
  /// An accepted worker_state_changed record.
  void onStateChanged(const worker_state_changed &Change, time_point Now);
  /// An accepted job_ended record.
  /// \param Workers those that ran tasks of the attempt.
  std::span<const worker_health_command>
  onJobEnded(const job_ended &Ended, const customer_id &Customer,
             std::span<const worker_id> Workers, time_point Now);
  std::span<const worker_health_command> onProbeEnded(const probe_ended &Ended,
                                                      time_point Now);
  /// Commands that are due by \p Now.
  std::span<const worker_health_command> onTime(time_point Now);

  /// When onTime() wants to be called; time_point::max() if never.
  time_point nextWakeup() const;
  bool quarantined(const worker_id &Worker) const;

private:
  struct failure {
    job_id Job;
    customer_id Customer;
    time_point At{};
  };

  struct health {
    std::deque<failure> Failures;
    bool Quarantined = false;
    bool Asked = false; ///< quarantine was asked for and not yet recorded
    bool Probing = false;
    duration BackOff{};
    time_point ProbeAt{};
  };

  const worker_health_limits Limits;
  std::map<worker_id, health> Workers;
  std::map<customer_id, time_point> Customers;
  std::vector<worker_health_command> Commands;
};

} // namespace geraniumpaddle
