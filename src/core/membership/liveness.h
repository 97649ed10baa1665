#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/membership/types/livenessmessages.h"

#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumpaddle {

/// Failure detector for other nodes, based on their heartbeats. A node that
/// misses heartbeats is first suspected, so that its link is replaced, and then
/// declared lost. If most nodes miss heartbeats at once, this node suspects
/// itself and defers the declarations.
class liveness {
public:
  explicit liveness(const liveness_settings &Settings);

  /// Handles one event. The commands are valid until the next call.
  std::span<const liveness_command> handle(const liveness_event &Event,
                                           time_point Now);

  /// Interval to send in the answer to a heartbeat; grows with the number of
  /// nodes, so that all heartbeats together stay within the rate limit.
  duration heartbeatInterval() const;
  /// True while most nodes miss heartbeats.
  bool selfSuspected() const { return SelfSuspected; }
  std::size_t nodes() const { return Nodes.size(); }

private:
  enum class node_state : std::uint8_t { Live, Suspected };

  struct node {
    incarnation Incarnation{};
    node_state State = node_state::Live;
    time_point HeartbeatAt;
    duration Interval{};
    time_point DueAt; ///< deadline of the next state change
  };

  void onHeartbeat(const heartbeat_received &Event, time_point Now);
  void onLeft(const node_left &Event, time_point Now);
  void onTimerExpired(const liveness_timer_expired &Event, time_point Now);

  void extendDeadlines(time_point Now);
  void onDeadline(const node_id &Id, node &Node, time_point Now);
  void suspect(const node_id &Id, node &Node);
  void declareLost(const node_id &Id, const node &Node);
  void removeNode(const node_id &Id);
  void schedule(const node_id &Id, node &Node, time_point At);
  bool isMassLoss(time_point Now) const;
  void updateSelfSuspicion(time_point Now);
  bool mayDeclareLost(time_point Now) const;
  void armTimer();

  liveness_settings Settings;
  std::unordered_map<node_id, node> Nodes;
  std::set<std::pair<time_point, node_id>> Deadlines;
  std::size_t SuspectCount = 0;
  bool SelfSuspected = false;
  time_point SelfSuspectedSince;
  time_point LastHeartbeatAt;
  time_point ArmedTimer = time_point::max();
  std::vector<liveness_command> Commands;
};

} // namespace geraniumpaddle
