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
  /// How long the outcome of an attempt is kept. Must exceed the entries'
  /// router_settings::MaxTimeout plus a margin for clock drift.
  duration Retention = std::chrono::seconds(90);
  /// Size of all stored answers together.
  std::size_t MaxAnswerBytes = 16UL * 1024 * 1024;
  std::size_t MaxRetainedAttempts = 65536; ///< attempts
  duration MaxTimeout = std::chrono::seconds(60);
  /// How long a draining agent keeps running after its last refusal or answer,
  /// so that entries are notified of the drain and can query a lost answer.
  duration DrainLinger = std::chrono::seconds(1);
};

} // namespace geraniumpaddle
