#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <string_view>

namespace geraniumpaddle::standins {

enum class fault_mode : std::uint8_t {
  None,
  Slow,         ///< acts, and answers after the delay
  Down,         ///< answers 503 without acting
  Silent,       ///< neither acts nor answers
  LoseAnswer,   ///< acts, then closes without an answer
  FailAllTasks, ///< each task that is started fails at once
};

/// What goes wrong with the worker calls, until told otherwise.
struct fault_plan {
  fault_mode Mode = fault_mode::None;
  duration Delay{};
  std::uint64_t Left = 0; ///< calls still to be affected; 0: no bound

  /// The fault of the next call; counts it.
  fault_mode next();
};

/// Reads {"mode":"slow","delay_ms":N,"count":N}.
/// \throws malformed_message_error
fault_plan parseFaults(std::string_view Body);

} // namespace geraniumpaddle::standins
