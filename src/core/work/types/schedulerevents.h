#pragma once

#include "core/work/types/records.h"
#include "core/work/types/worker.h"

#include <memory>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace geraniumpaddle::work {

/// Monotonic and wall-clock time, read once for each event.
struct present_time {
  time_point Now{};
  wall_time Wall{}; ///< for start times and records only
};

// Events.

struct job_arrived {
  std::shared_ptr<const job_spec> Spec;
};
struct job_cancel_requested {
  job_id Job;
};
struct worker_reported {
  worker_report Report;
};
/// A worker that may hold leases, and the time when they expire.
struct outstanding_lease {
  worker_instance Instance;
  time_point End{};
};
/// The scheduler of the previous term has stepped down. \c Leases has all
/// leases that it or an earlier term may have granted.
struct previous_term_ended {
  std::vector<outstanding_lease> Leases;
};
/// A batch of \c append_progress is in the log.
struct progress_stored {
  std::uint64_t Batch = 0;
};
/// Zones were evacuated or restored.
struct evacuations_changed {};
/// A timer set by \c set_scheduler_timer has expired. Also sent to start a
/// placement round when the term begins or the configuration changed.
struct scheduler_timer_expired {};

using scheduler_event =
    std::variant<job_arrived, job_cancel_requested, worker_reported,
                 previous_term_ended, progress_stored, evacuations_changed,
                 scheduler_timer_expired>;

// Commands.

/// Records to append in one call. The next batch follows once it is stored.
struct append_progress {
  std::uint64_t Batch = 0;
  std::vector<job_progressed> Records;
};
/// The orders of a worker have changed; see work_scheduler::orders.
struct send_orders {
  worker_id Worker;
};
struct set_scheduler_timer {
  time_point At{};
};

enum class decision_kind : std::uint8_t {
  JobArrived,
  JobStarted, ///< a worker has started one of its tasks
  JobEnded,
  RunPlaced,
  RunStopped,  ///< ordered to stop
  RunEnded,    ///< as listed by its worker
  RunLost,     ///< its worker restarted or left, or its lease expired
  RunRefused,  ///< the worker did not start it
  WorkerKnown, ///< first report of a worker instance
  WorkerGone,
  WorkerSuspected, ///< gets no tasks for some time
  StepWaiting,     ///< has been ready for some time, and why it waits
};
std::string_view name(decision_kind Kind);

/// A scheduling decision, for the process log and the metrics.
struct logged_decision {
  decision_kind Kind = decision_kind::JobArrived;
  run_ref Run; ///< task and run number where they apply
  worker_instance Worker;
  std::string_view Detail = {}; ///< outcome or reason
};

using scheduler_command = std::variant<append_progress, send_orders,
                                       set_scheduler_timer, logged_decision>;

} // namespace geraniumpaddle::work
