#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace geraniumpaddle::standins {

enum class log_fault : std::uint8_t {
  None,
  Slow,       ///< acts and answers after a delay
  Down,       ///< closes the connection at once, without acting
  Silent,     ///< never answers, without acting
  LoseAnswer, ///< acts, then closes the connection without an answer
  Refuse,     ///< answers 503, without acting
};

/// The fault that calls meet now.
class log_fault_plan {
public:
  /// \param Json {"mode": "none|slow|down|silent|lose_answer|refuse",
  ///        "delay_ms": N, "count": N}; without a count, or with 0, the fault
  ///        lasts until the next plan.
  /// \returns nothing if \p Json is malformed.
  static std::optional<log_fault_plan> parse(const std::string &Json);

  log_fault mode() const { return Mode; }
  duration delay() const { return Delay; }
  /// The fault of the next call; counts it.
  log_fault next();

private:
  log_fault Mode = log_fault::None;
  duration Delay{};
  std::uint64_t Left = 0; ///< 0: without limit
};

} // namespace geraniumpaddle::standins
