#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace geraniumpaddle::standins {

/// Faults that can be injected into calls.
enum class log_fault : std::uint8_t {
  None,
  Slow,       ///< executes the call and answers after a delay
  Down,       ///< closes the connection without executing
  Silent,     ///< does not execute and never answers
  LoseAnswer, ///< executes, then closes the connection
  Refuse,     ///< answers 503 without executing
};

/// The injected fault, and how many calls it still affects.
class log_fault_plan {
public:
  /// \param Json {"mode": "none|slow|down|silent|lose_answer|refuse",
  ///        "delay_ms": N, "count": N}; without a count, or with 0, the fault
  ///        applies until the next plan.
  /// \returns nothing if \p Json is malformed.
  static std::optional<log_fault_plan> parse(const std::string &Json);

  log_fault mode() const { return Mode; }
  duration delay() const { return Delay; }
  /// Returns the fault of the next call and counts the call.
  log_fault next();

private:
  log_fault Mode = log_fault::None;
  duration Delay{};
  std::uint64_t RemainingCalls = 0; ///< 0: unlimited
};

} // namespace geraniumpaddle::standins
