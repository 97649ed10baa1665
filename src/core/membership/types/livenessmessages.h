#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"

#include <chrono>
#include <cstddef>
#include <variant>

namespace geraniumpaddle {

/// Policy of a liveness watch.
struct liveness_settings {
  duration MinInterval = std::chrono::seconds(1);
  /// Received from all nodes together. A call costs an entry about 0.55 ms.
  double MaxHeartbeatsPerSecond = 25;
  /// Silence beyond a missed heartbeat after which a node is suspected, and
  /// lost. Links are TCP: a heartbeat that is due is late, not dropped.
  duration SuspectMargin = std::chrono::milliseconds(1500);
  duration LostMargin = std::chrono::seconds(4);
  /// Share of the nodes due whose silence is taken for this node's own fault.
  double MassLossShare = 0.5;
  std::size_t MassLossNodes = 3; ///< fewer silent nodes are no mass loss
  /// How long a mass loss is held back while at least one node is heard.
  duration MassLossHold = std::chrono::seconds(20);
};

/// A heartbeat, or the answer to one, came from \p Node. The next one is due
/// after the interval that was agreed with it.
struct heartbeat_received {
  node_id Node;
  incarnation Incarnation{};
  duration Interval{};
};

/// The node said that it leaves; it is forgotten without a declaration.
struct node_left {
  node_id Node;
  incarnation Incarnation{};
};

struct liveness_timer_expired {};

using liveness_event =
    std::variant<heartbeat_received, node_left, liveness_timer_expired>;

/// The node is silent: replace the connection to it and send nothing new.
struct node_suspected {
  node_id Node;
  incarnation Incarnation{};
};

/// A suspected node was heard again, in the same or a later run.
struct node_recovered {
  node_id Node;
  incarnation Incarnation{};
};

/// Still silent; for a worker's agent, propose its loss to the log.
struct node_lost {
  node_id Node;
  incarnation Incarnation{};
};

/// Most nodes are silent (true), or no longer (false).
struct self_suspicion_changed {
  bool Suspected = false;
};

/// Send liveness_timer_expired at this time; replaces the earlier one.
struct set_liveness_timer {
  time_point At{};
};

using liveness_command =
    std::variant<node_suspected, node_recovered, node_lost,
                 self_suspicion_changed, set_liveness_timer>;

} // namespace geraniumpaddle
