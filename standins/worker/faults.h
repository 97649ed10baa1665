#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <string_view>

namespace geraniumpaddle::standins {

/// Faults that can be injected into worker calls.
enum class fault_mode : std::uint8_t {
  None,
  Slow,         ///< executes the call and answers after the delay
  Down,         ///< answers 503 without executing
  Silent,       ///< neither executes nor answers
  LoseAnswer,   ///< executes, then closes without an answer
  FailAllTasks, ///< every started task fails at once
};

/// The injected fault; applies until the next plan or until its count is used
/// up.
struct fault_plan {
  fault_mode Mode = fault_mode::None;
  duration Delay{};
  std::uint64_t RemainingCalls = 0; ///< to be affected; 0: unlimited

  /// Returns the fault of the next call and counts the call.
  fault_mode next();
};

/// Parses {"mode":"slow","delay_ms":N,"count":N}.
/// \throws malformed_message_error
fault_plan parseFaults(std::string_view Body);

} // namespace geraniumpaddle::standins
