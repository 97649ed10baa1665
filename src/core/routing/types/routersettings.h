#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace geraniumpaddle {

/// Identity and location of the entry that routes.
struct router_identity {
  node_id Entry;
  incarnation EntryIncarnation{};
  region_id Region;
  availability_zone_id Zone;
};

/// Policy of a request_router.
struct router_settings {
  duration DefaultTimeout = std::chrono::seconds(10);
  /// Maximum time a request may take; must be below the agents'
  /// attempt_settings::Retention.
  duration MaxTimeout = std::chrono::seconds(60);
  /// Requests queued for one service, all customers together.
  std::size_t QueueLimit = 256;
  /// Maximum time in the queue while the service has a usable endpoint; then
  /// the request is shed. Services with a high latency may queue longer.
  duration MaxQueueTime = std::chrono::milliseconds(500);
  /// Requests sent to an agent above its endpoint's slots, as a fraction of the
  /// slots.
  double OverCommit = 0.25;
  std::uint32_t MaxAttempts = 4; ///< per request
  /// Retries and hedged attempts together, as a fraction of first attempts.
  double RetryShare = 0.1;
  double RetryBurst = 10; ///< capacity of the retry budget
  /// An idempotent request is hedged after this quantile of recent latencies.
  double HedgeQuantile = 0.95;
  duration MinHedgeDelay = std::chrono::milliseconds(20);
  /// An attempt without a report is queried after this delay or, if longer,
  /// QueryDelayFactor times the hedge delay.
  duration MinQueryDelay = std::chrono::milliseconds(500);
  double QueryDelayFactor = 4;
  duration QueryTimeout = std::chrono::milliseconds(500);
  duration MaxQueryBackoff = std::chrono::seconds(4);
  /// Consecutive failures after which an endpoint is ejected.
  std::uint32_t EjectionThreshold = 5;
  duration EjectionTime = std::chrono::seconds(5);
  double MaxEjectedShare = 0.5; ///< of the endpoints of one service
  /// Delay before a higher share of a limit takes effect, so that the other
  /// entries have lowered theirs: two heartbeat intervals between entries.
  duration ShareRaiseDelay = std::chrono::seconds(2);
};

} // namespace geraniumpaddle
