#pragma once

#include "core/work/types/worker.h"

#include <string>
#include <variant>

namespace geraniumpaddle::work {

/// Result of a start or stop call to the worker.
enum class worker_call_result : std::uint8_t {
  Done,
  Refused, ///< not executed
  Unknown, ///< may have been executed, or may still be, seconds later
};

// Events.

struct description_received {
  worker_description Description;
};
/// Orders of the active scheduler, in answer to a report.
struct orders_received {
  worker_orders Orders;
  /// Worker clock of the reported listing, from which the lease counts. Nothing
  /// if the report had no listing.
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
struct listing_received {
  worker_listing Listing;
};
struct listing_failed {
  bool ConnectionRefused = false; ///< by the worker's address
};
/// The worker announced that it is about to shut down.
struct shutdown_announced {};
struct reconciler_timer_expired {};

using reconciler_event =
    std::variant<description_received, orders_received, start_answered,
                 stop_answered, listing_received, listing_failed,
                 shutdown_announced, reconciler_timer_expired>;

// Commands.

struct start_run {
  desired_run Run;
  std::int64_t LeaseEndMs = 0; ///< on the worker's clock
};
struct stop_run {
  run_ref Run;
};
/// Requests a listing, which also renews the leases.
struct list_runs {
  /// The worker may forget finished runs up to this number.
  std::uint64_t AcknowledgedEnds = 0;
  std::optional<std::int64_t> LeaseEndMs;
  duration Wait{}; ///< longest time to wait for a run to finish
};
/// Something that concerns the scheduler has changed.
struct send_report {};
struct set_reconciler_timer {
  time_point At{};
};

using reconciler_command = std::variant<start_run, stop_run, list_runs,
                                        send_report, set_reconciler_timer>;

/// Whether an agent has had a session with an earlier instance of its worker.
enum class earlier_session : std::uint8_t { None, SameProcess };

struct reconciler_limits {
  duration Lease = std::chrono::seconds(6); ///< the platform's maximum
  /// How long a listing waits for a run to finish; the platform's maximum is
  /// 2 s.
  duration ListingWait = std::chrono::seconds(1);
};

} // namespace geraniumpaddle::work
