#pragma once

#include "core/routing/types/routermessages.h"
#include "core/routing/types/routersettings.h"

#include <cstdint>
#include <memory>
#include <span>

namespace geraniumpaddle {

/// Counters since the start, for metrics.
struct router_counters {
  std::uint64_t Arrived = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Undetermined = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Queries = 0;
  std::uint64_t Ejections = 0;
};

/// Routes callers' requests of one entry: admits or sheds them, chooses the
/// endpoint, and makes sure that each caller gets one true outcome. A
/// non-idempotent request is attempted again only with proof that no endpoint
/// saw the attempt before.
class request_router {
public:
  /// \param Seed of the choice among endpoints.
  request_router(const router_settings &Settings, const router_identity &Self,
                 std::uint64_t Seed);
  ~request_router();
  request_router(const request_router &) = delete;
  request_router &operator=(const request_router &) = delete;

  /// Decides on one event. The commands are valid until the next call.
  std::span<const router_command> handle(const router_event &Event,
                                         time_point Now);

  /// This entry's demand, for the heartbeats to the other entries. Valid until
  /// the next call.
  std::span<const customer_demand> demand(time_point Now);

  /// Requests that have no outcome yet; 0 ends a drain.
  std::size_t openRequests() const;
  const router_counters &counters() const;

private:
  class state;
  std::unique_ptr<state> State;
};

} // namespace geraniumpaddle
