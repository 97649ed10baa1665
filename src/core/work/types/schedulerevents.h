#pragma once

#include "core/work/types/records.h"
#include "core/work/types/worker.h"

#include <memory>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace geraniumpaddle::work {

/// Both clocks, read once for a decision.
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
/// A worker that may hold leases, and until when.
struct outstanding_lease {
  worker_instance Life;
  time_point End{};
};
/// The scheduler of the term before has given up, and these are all the leases
/// that it or a term before it may have granted.
struct previous_term_ended {
  std::vector<outstanding_lease> Leases;
};
/// A batch of \c append_progress is in the log.
struct progress_stored {
  std::uint64_t Batch = 0;
};
/// A time asked for by \c wake_at has come, or the configuration changed.
struct time_passed {};

using scheduler_event =
    std::variant<job_arrived, job_cancel_requested, worker_reported,
                 previous_term_ended, progress_stored, time_passed>;

// Commands.

/// Records to append in one call. The next batch follows after it was stored.
struct append_progress {
  std::uint64_t Batch = 0;
  std::vector<job_progressed> Records;
};
/// The orders of a worker have changed; see work_scheduler::orders.
struct send_orders {
  worker_id Worker;
};
struct wake_at {
  time_point At{};
};

enum class decision_kind : std::uint8_t {
  JobArrived,
  JobEnded,
  RunPlaced,
  RunStopped,  ///< ordered to stop
  RunEnded,    ///< as its worker listed it
  RunLost,     ///< its worker's life or lease is over
  RunRefused,  ///< the worker did not start it
  WorkerKnown, ///< a life was seen for the first time
  WorkerGone,
  WorkerSuspected, ///< gets no tasks for a while
};
std::string_view name(decision_kind Kind);

/// One decision, for the log of the process.
struct logged_decision {
  decision_kind Kind = decision_kind::JobArrived;
  run_ref Run; ///< task and number where they apply
  worker_instance Worker;
  std::string_view Detail = {}; ///< outcome or reason
};

using scheduler_command =
    std::variant<append_progress, send_orders, wake_at, logged_decision>;

} // namespace geraniumpaddle::work
