#pragma once

#include "core/workhost/types/reconcilerevents.h"

#include <optional>
#include <string>

namespace geraniumpaddle {

/// The worker instance that a call is for, and the fencing token of the caller.
struct worker_target {
  std::string Address; ///< ip:port
  work::worker_instance Instance;
  std::uint64_t FencingToken = 0;
};

struct start_outcome {
  work::worker_call_result Result = work::worker_call_result::Unknown;
  work::start_refusal Reason = work::start_refusal::Stale; ///< if Refused
};

struct listing_outcome {
  std::optional<work::worker_listing> Listing; ///< empty if the call failed
  bool Fenced = false;            ///< the worker has seen a higher token
  bool WrongWorker = false;       ///< another worker answers at the address
  bool ConnectionRefused = false; ///< the address refuses connections
};

} // namespace geraniumpaddle
