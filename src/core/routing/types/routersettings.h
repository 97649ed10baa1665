#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace geraniumpaddle {

/// Who routes, and from where.
struct router_identity {
  node_id Entry;
  incarnation EntryIncarnation{};
  region_id Region;
  availability_zone_id Zone;
};

/// Policy of a request_router.
struct router_settings {
  duration DefaultTimeout = std::chrono::seconds(10);
  /// Longest time a request may take; has to stay below the agents'
  /// attempt_settings::Retention.
  duration MaxTimeout = std::chrono::seconds(60);
  /// Requests waiting for an endpoint, of all customers of one service.
  std::size_t QueueLimit = 256;
  /// Wait for room at endpoints that can be used, after which a request is not
  /// run; slow services may queue longer.
  duration MaxQueueTime = std::chrono::milliseconds(500);
  /// Requests sent to an agent beyond its endpoint's slots, as a share of them.
  double OverCommit = 0.25;
  std::uint32_t MaxAttempts = 4; ///< for one request
  /// Retries and hedges together, as a share of first attempts.
  double RetryShare = 0.1;
  double RetryBurst = 10;      ///< retries that may be saved up
  double HedgeQuantile = 0.95; ///< of recent answers; later ones are hedged
  duration MinHedgeDelay = std::chrono::milliseconds(20);
  /// Silence after which an attempt is queried: the larger of this and
  /// SilenceFactor times the hedge delay.
  duration MinSilence = std::chrono::milliseconds(500);
  double SilenceFactor = 4;
  duration QueryTimeout = std::chrono::milliseconds(500);
  duration MaxQueryBackoff = std::chrono::seconds(4);
  /// Failures in a row after which an endpoint is ejected.
  std::uint32_t EjectAfter = 5;
  duration EjectionTime = std::chrono::seconds(5);
  double MaxEjectedShare = 0.5; ///< of the endpoints of one service
  /// A raised share of a limit takes effect after this time, so that the other
  /// entries have lowered theirs: two heartbeat intervals between entries.
  duration ShareSettling = std::chrono::seconds(2);
};

} // namespace geraniumpaddle
