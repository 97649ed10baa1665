#pragma once

#include "core/base/types/time.h"

#include <cstddef>
#include <cstdint>

namespace geraniumpaddle {

/// Outcome of a call, from which the state of the path to the store is judged.
enum class route_outcome : std::uint8_t {
  Answered,
  Rejected, ///< refused without being executed
  NoAnswer, ///< no answer, or an incomplete one
};

/// Chooses between calling the store directly and relaying calls through
/// another entry: the store may reject one VM, or be cut off from it, and serve
/// the others.
class store_route {
public:
  enum class path : std::uint8_t { Direct, Relay };

  path choose() const { return Path; }
  void onDirectResult(route_outcome Outcome, time_point Now);
  /// Selects the next entry as relay after a failure.
  void onRelayResult(route_outcome Outcome);
  /// Whether to probe the direct path, while calls are relayed.
  bool probeDue(time_point Now) const;
  void probeSent(time_point Now) { LastProbeAt = Now; }
  /// Index of the relay among \p Count other entries.
  std::size_t relay(std::size_t Count) const {
    return Count == 0 ? 0 : Relay % Count;
  }

private:
  path Path = path::Direct;
  int UnansweredInRow = 0;
  std::size_t Relay = 0;
  time_point LastProbeAt{};
};

} // namespace geraniumpaddle
