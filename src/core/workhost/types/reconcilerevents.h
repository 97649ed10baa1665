#pragma once

#include "core/work/types/worker.h"

#include <string>
#include <variant>

namespace geraniumpaddle::work {

/// How a call to the worker ended.
enum class worker_call_result : std::uint8_t {
  Done,
  Refused, ///< nothing was done
  Unknown, ///< may have been done, or may yet be done seconds later
};

// Events.

struct worker_described {
  worker_description Description;
};
/// Orders of the scheduler in office, in answer to a report.
struct orders_arrived {
  worker_orders Orders;
  /// The worker's clock in the listing that was reported; the lease counts from
  /// there. Nothing if the report had no listing.
  std::optional<std::int64_t> ReportedClockMs;
};
struct start_answered {
  run_ref Run;
  worker_call_result Result = worker_call_result::Unknown;
  start_refusal Reason = start_refusal::Stale; ///< if Refused
};
struct stop_answered {
  run_ref Run;
  worker_call_result Result = worker_call_result::Unknown;
};
struct listing_arrived {
  worker_listing Listing;
};
struct listing_failed {
  bool ConnectionRefused = false; ///< nobody takes connections at its address
};
/// The worker has said that it leaves.
struct worker_leaves {};
struct host_time_passed {};

using host_event =
    std::variant<worker_described, orders_arrived, start_answered,
                 stop_answered, listing_arrived, listing_failed, worker_leaves,
                 host_time_passed>;

// Commands.

struct start_run {
  desired_run Run;
  std::int64_t LeaseEndMs = 0; ///< on the worker's clock
};
struct stop_run {
  run_ref Run;
};
/// Ask for a listing, which also renews the lease.
struct list_runs {
  std::uint64_t AcknowledgedEnds = 0;
  std::optional<std::int64_t> LeaseEndMs;
  duration Wait{}; ///< the answer may wait this long for an end
};
/// Something that the scheduler should know has changed.
struct report_now {};
struct host_wake_at {
  time_point At{};
};

using host_command =
    std::variant<start_run, stop_run, list_runs, report_now, host_wake_at>;

struct host_limits {
  duration Lease = std::chrono::seconds(6); ///< the platform's longest lease
  /// How long a listing waits for an end; the platform's limit is 2 s.
  duration ListingWait = std::chrono::seconds(1);
};

} // namespace geraniumpaddle::work
