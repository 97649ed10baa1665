#pragma once

#include "core/routing/types/attemptid.h"

#include <cstdint>
#include <string_view>

namespace geraniumpaddle {

/// Identifies a caller's request within one entry. The front end chooses it,
/// stores the request's bytes under it, and never reuses it.
enum class request_handle : std::uint64_t {};

/// All possible outcomes of a caller's request.
enum class outcome_kind : std::uint8_t {
  Answered,     ///< the endpoint's complete answer
  NotRun,       ///< it is certain that no endpoint ran it
  Undetermined, ///< an endpoint may have run it
};

/// Why a request was not run.
enum class not_run_reason : std::uint8_t {
  None,
  UnknownCustomer,
  UnknownService,  ///< no endpoint has announced the service
  RateLimited,     ///< above the customer's request rate
  InFlightLimited, ///< above the customer's limit of requests in flight
  Overloaded,      ///< shed: queue full, queued too long, or about to expire
  DeadlineExpired, ///< the deadline passed before an endpoint ran it
  NoEndpointAvailable, ///< every endpoint refused it or is down
  ShuttingDown,        ///< this entry is draining
};

/// Result of a request, as reported to the caller.
struct request_outcome {
  outcome_kind Kind = outcome_kind::NotRun;
  not_run_reason Reason = not_run_reason::None; ///< only if NotRun
  attempt_id Attempt; ///< only if Answered: the attempt that answered
};

/// Stable lower-case names, as reported to callers.
std::string_view name(outcome_kind Kind);
std::string_view name(not_run_reason Reason);

} // namespace geraniumpaddle
