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

/// Watches other nodes by their heartbeats. A silent node is first suspected,
/// so that its link is replaced, and then lost. If most nodes fall silent at
/// once, this node suspects itself, and holds the declarations back.
class liveness {
public:
  explicit liveness(const liveness_settings &Settings);

  /// Decides on one event. The commands are valid until the next call.
  std::span<const liveness_command> handle(const liveness_event &Event,
                                           time_point Now);

  /// Interval to hand out in the answer to a heartbeat; grows with the number
  /// of nodes, so that their heartbeats together stay within the budget.
  duration heartbeatInterval() const;
  /// True while most nodes are silent.
  bool selfSuspected() const { return SelfSuspected; }
  std::size_t nodes() const { return Nodes.size(); }

private:
  enum class node_state : std::uint8_t { Live, Suspected };

  struct node {
    incarnation Incarnation{};
    node_state State = node_state::Live;
    time_point HeardAt;
    duration Interval{};
    time_point DueAt; ///< of the next change of state
  };

  void onHeartbeat(const heartbeat_received &Event, time_point Now);
  void onLeft(const node_left &Event, time_point Now);
  void onTimer(const liveness_timer_expired &Event, time_point Now);

  void excuse(time_point Now);
  void expire(const node_id &Id, node &Node, time_point Now);
  void suspect(const node_id &Id, node &Node);
  void lose(const node_id &Id, const node &Node);
  void forget(const node_id &Id);
  void schedule(const node_id &Id, node &Node, time_point At);
  bool massLoss(time_point Now) const;
  void updateSelfSuspicion(time_point Now);
  bool mayDeclare(time_point Now) const;
  void armWake();

  liveness_settings Settings;
  std::unordered_map<node_id, node> Nodes;
  std::set<std::pair<time_point, node_id>> Due;
  std::size_t Suspects = 0;
  bool SelfSuspected = false;
  time_point SuspectedSince;
  time_point LastHeard;
  time_point ArmedWake = time_point::max();
  std::vector<liveness_command> Commands;
};

} // namespace geraniumpaddle
