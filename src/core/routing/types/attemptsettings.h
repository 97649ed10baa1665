#pragma once

#include "core/base/types/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace geraniumpaddle {

/// Policy of an attempt_table.
struct attempt_settings {
  std::uint32_t Slots = 8;     ///< requests at the endpoint at once
  std::size_t QueueLimit = 16; ///< requests waiting for a slot
  /// How long the outcome of an attempt is remembered. Longer than the
  /// entries' router_settings::MaxTimeout and a margin for drift of clocks.
  duration Retention = std::chrono::seconds(90);
  std::size_t MaxAnswerBytes = 16UL * 1024 * 1024; ///< of all kept answers
  std::size_t MaxRetainedAttempts = 65536;         ///< attempts
  duration MaxTimeout = std::chrono::seconds(60);
  /// How long a draining agent stays after its last refusal or answer: entries
  /// hear of the drain meanwhile, and may ask for an answer that was lost.
  duration DrainLinger = std::chrono::seconds(1);
};

} // namespace geraniumpaddle
