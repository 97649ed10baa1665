#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/membership/types/livenessmessages.h"

#include <memory>
#include <span>

namespace geraniumpaddle {

/// Watches other nodes by their heartbeats. A silent node is first suspected
/// and its link replaced, then lost. If most nodes fall silent at once, this
/// node suspects itself and holds the declarations back.
class liveness {
public:
  explicit liveness(const liveness_settings &Settings);
  ~liveness();
  liveness(const liveness &) = delete;
  liveness &operator=(const liveness &) = delete;

  /// Decides on one event. The commands are valid until the next call.
  std::span<const liveness_command> handle(const liveness_event &Event,
                                           time_point Now);

  /// Interval to hand out in the answer to a heartbeat; grows with the number
  /// of nodes, so that their heartbeats together stay within the budget.
  duration heartbeatInterval() const;
  /// True while most nodes are silent.
  bool selfSuspected() const;
  std::size_t nodes() const;

private:
  class state;
  std::unique_ptr<state> State;
};

} // namespace geraniumpaddle
