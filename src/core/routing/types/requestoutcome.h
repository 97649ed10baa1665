#pragma once

#include "core/routing/types/attemptid.h"

#include <cstdint>
#include <string_view>

namespace geraniumpaddle {

/// Names a caller's request inside one entry. The front end chooses it, keeps
/// the request's bytes under it, and never uses it twice.
enum class request_handle : std::uint64_t {};

/// The closed set of outcomes of a caller's request.
enum class outcome_kind : std::uint8_t {
  Answered,     ///< the endpoint's whole answer
  NotRun,       ///< proved that no endpoint ran it
  Undetermined, ///< an endpoint may have run it
};

/// Why a request was not run.
enum class not_run_reason : std::uint8_t {
  None,
  UnknownCustomer,
  UnknownService,      ///< no endpoint has announced the service
  RateLimited,         ///< over the customer's rate
  InFlightLimited,     ///< over the customer's requests in flight
  Overloaded,          ///< shed: the queue is full, or it would expire in it
  DeadlineExpired,     ///< not started within its deadline
  NoEndpointAvailable, ///< each endpoint refused it or is down
  ShuttingDown,        ///< this entry drains
};

/// What the caller is told.
struct request_outcome {
  outcome_kind Kind = outcome_kind::NotRun;
  not_run_reason Reason = not_run_reason::None; ///< only if NotRun
  attempt_id Attempt; ///< only if Answered: whose answer to pass on
};

/// Stable lower-case names, as told to callers.
std::string_view name(outcome_kind Kind);
std::string_view name(not_run_reason Reason);

} // namespace geraniumpaddle
