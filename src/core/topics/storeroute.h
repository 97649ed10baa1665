#pragma once

#include "core/base/types/time.h"

#include <cstddef>
#include <cstdint>

namespace geraniumpaddle {

/// How a call to the store ended, as far as the way to it is concerned.
enum class route_outcome : std::uint8_t {
  Answered,
  Rejected, ///< refused at once; nothing was done
  NoAnswer, ///< no answer, or not a whole one
};

/// Chooses between calling the store and asking another entry to call it. The
/// store may turn one VM away, or be cut off from it, and serve the others.
class store_route {
public:
  enum class path : std::uint8_t { Direct, Relay };

  path choose() const { return Way; }
  void onDirectResult(route_outcome Outcome, time_point Now);
  /// After a failure the next entry is asked.
  void onRelayResult(route_outcome Outcome);
  /// While calls are relayed, the direct way is tried now and then.
  bool probeDue(time_point Now) const;
  void probeSent(time_point Now) { LastProbe = Now; }
  /// Which of \p Count other entries to ask.
  std::size_t relay(std::size_t Count) const {
    return Count == 0 ? 0 : Relay % Count;
  }

private:
  path Way = path::Direct;
  int SilentInRow = 0;
  std::size_t Relay = 0;
  time_point LastProbe{};
};

} // namespace geraniumpaddle
