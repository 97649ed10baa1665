#pragma once

#include "core/workhost/types/reconcilerevents.h"

#include <optional>
#include <string>

namespace geraniumpaddle {

/// Which life of which worker a call is for, and who calls.
struct worker_target {
  std::string Address; ///< ip:port
  worker_id Worker;
  std::uint64_t FencingToken = 0;
};

struct start_outcome {
  work::worker_call_result Result = work::worker_call_result::Unknown;
  work::start_refusal Reason = work::start_refusal::Stale; ///< if Refused
};

struct listing_outcome {
  std::optional<work::worker_listing> Listing; ///< nothing if it failed
  bool Fenced = false;            ///< a higher token was seen there
  bool OtherLife = false;         ///< another worker answers at the address
  bool ConnectionRefused = false; ///< nobody takes connections there
};

} // namespace geraniumpaddle
