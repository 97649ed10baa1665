#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"

#include <chrono>
#include <cstddef>
#include <variant>

namespace geraniumpaddle {

/// Settings of the failure detector.
struct liveness_settings {
  duration MinInterval = std::chrono::seconds(1);
  /// Over all nodes together. A call costs an entry about 0.55 ms.
  double MaxHeartbeatsPerSecond = 25;
  /// Time after a missed heartbeat until a node is suspected, and until it is
  /// lost. Links are TCP: an overdue heartbeat is late, not dropped.
  duration SuspectMargin = std::chrono::milliseconds(1500);
  duration LostMargin = std::chrono::seconds(4);
  /// Share of suspected nodes, among those due, from which on this node
  /// suspects itself.
  double MassLossShare = 0.5;
  std::size_t MassLossNodes = 3; ///< fewer suspected nodes are no mass loss
  /// How long loss declarations are deferred in a mass loss while at least one
  /// node sends heartbeats.
  duration MassLossHold = std::chrono::seconds(20);
};

/// A heartbeat, or the answer to one, came from \p Node. The next one is due
/// after the interval that was agreed with it.
struct heartbeat_received {
  node_id Node;
  incarnation Incarnation{};
  duration Interval{};
};

/// The node announced that it leaves; it is removed without a declaration.
struct node_left {
  node_id Node;
  incarnation Incarnation{};
};

/// The time set by the last set_liveness_timer has been reached.
struct liveness_timer_expired {};

using liveness_event =
    std::variant<heartbeat_received, node_left, liveness_timer_expired>;

/// The node missed a heartbeat: replace the connection and send nothing new.
struct node_suspected {
  node_id Node;
  incarnation Incarnation{};
};

/// A suspected node sent a heartbeat, as the same or a later incarnation.
struct node_recovered {
  node_id Node;
  incarnation Incarnation{};
};

/// No heartbeat followed the suspicion; for a worker's agent, propose its loss
/// to the log.
struct node_lost {
  node_id Node;
  incarnation Incarnation{};
};

/// Most nodes miss heartbeats (true), or no longer do (false).
struct self_suspicion_changed {
  bool Suspected = false;
};

/// Send liveness_timer_expired at this time; replaces the previous timer.
struct set_liveness_timer {
  time_point At{};
};

using liveness_command =
    std::variant<node_suspected, node_recovered, node_lost,
                 self_suspicion_changed, set_liveness_timer>;

} // namespace geraniumpaddle
