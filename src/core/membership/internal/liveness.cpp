#include "core/membership/liveness.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

liveness::liveness(const liveness_settings &Settings) : Settings(Settings) {}

std::span<const liveness_command> liveness::handle(const liveness_event &Event,
                                                   time_point Now) {
  using handlers = member_table<&liveness::onHeartbeat, &liveness::onLeft,
                                &liveness::onTimerExpired>;
  Commands.clear();
  handlers::dispatch(*this, Event, Now);
  updateSelfSuspicion(Now);
  armTimer();
  return Commands;
}

duration liveness::heartbeatInterval() const {
  const double Seconds =
      static_cast<double>(Nodes.size()) / Settings.MaxHeartbeatsPerSecond;
  const auto Interval = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
  return std::max(Settings.MinInterval, Interval);
}

void liveness::onHeartbeat(const heartbeat_received &Event, time_point Now) {
  node &Node = Nodes[Event.Node];
  if (Event.Incarnation < Node.Incarnation)
    return;
  LastHeartbeatAt = Now;
  if (Node.State == node_state::Suspected) {
    --SuspectCount;
    Commands.emplace_back(node_recovered{Event.Node, Event.Incarnation});
  }
  Node.Incarnation = Event.Incarnation;
  Node.State = node_state::Live;
  Node.HeartbeatAt = Now;
  Node.Interval = std::max(Event.Interval, Settings.MinInterval);
  schedule(Event.Node, Node, Now + Node.Interval + Settings.SuspectMargin);
}

void liveness::onLeft(const node_left &Event, time_point) {
  const auto Found = Nodes.find(Event.Node);
  if (Found != Nodes.end() && Found->second.Incarnation <= Event.Incarnation)
    removeNode(Event.Node);
}

void liveness::onTimerExpired(const liveness_timer_expired &, time_point Now) {
  const bool WasPaused =
      ArmedTimer < Now && Now - ArmedTimer > Settings.MinInterval;
  ArmedTimer = time_point::max();
  if (WasPaused)
    return extendDeadlines(Now);
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const node_id Id = Deadlines.begin()->second;
    onDeadline(Id, Nodes.at(Id), Now);
  }
}

/// This process was paused: heartbeats received meanwhile are still unread.
void liveness::extendDeadlines(time_point Now) {
  for (auto &[Id, Node] : Nodes)
    schedule(Id, Node, std::max(Node.DueAt, Now + Node.Interval));
}

void liveness::onDeadline(const node_id &Id, node &Node, time_point Now) {
  if (Node.State == node_state::Live)
    return suspect(Id, Node);
  // Other nodes may be about to become suspected.
  updateSelfSuspicion(Now);
  if (mayDeclareLost(Now))
    return declareLost(Id, Node);
  schedule(Id, Node, Now + Settings.MinInterval);
}

void liveness::suspect(const node_id &Id, node &Node) {
  Node.State = node_state::Suspected;
  ++SuspectCount;
  Commands.emplace_back(node_suspected{Id, Node.Incarnation});
  schedule(Id, Node, Node.HeartbeatAt + Node.Interval + Settings.LostMargin);
}

void liveness::declareLost(const node_id &Id, const node &Node) {
  Commands.emplace_back(node_lost{Id, Node.Incarnation});
  removeNode(Id);
}

void liveness::removeNode(const node_id &Id) {
  const auto Found = Nodes.find(Id);
  if (Found->second.State == node_state::Suspected)
    --SuspectCount;
  Deadlines.erase({Found->second.DueAt, Id});
  Nodes.erase(Found);
}

void liveness::schedule(const node_id &Id, node &Node, time_point At) {
  Deadlines.erase({Node.DueAt, Id});
  Node.DueAt = At;
  Deadlines.emplace(At, Id);
}

/// Compares the suspected nodes with those that sent a heartbeat within the
/// time between suspicion and loss. With long intervals only some nodes are due
/// within it, the same share of live and failed ones.
bool liveness::isMassLoss(time_point Now) const {
  if (SuspectCount < Settings.MassLossNodes)
    return false;
  const time_point Since = Now - (Settings.LostMargin - Settings.SuspectMargin);
  const auto Recent = std::ranges::count_if(Nodes, [Since](const auto &Entry) {
    return Entry.second.HeartbeatAt >= Since;
  });
  const double Considered = static_cast<double>(SuspectCount) + double(Recent);
  return static_cast<double>(SuspectCount) >=
         Considered * Settings.MassLossShare;
}

void liveness::updateSelfSuspicion(time_point Now) {
  const bool Suspected = isMassLoss(Now);
  if (Suspected == SelfSuspected)
    return;
  SelfSuspected = Suspected;
  SelfSuspectedSince = Now;
  Commands.emplace_back(self_suspicion_changed{Suspected});
}

/// During a mass loss, nodes are declared lost only after MassLossHold, and
/// only if a heartbeat has been received meanwhile, which shows that this
/// node's link works.
bool liveness::mayDeclareLost(time_point Now) const {
  if (!SelfSuspected)
    return true;
  return Now - SelfSuspectedSince >= Settings.MassLossHold &&
         LastHeartbeatAt > SelfSuspectedSince;
}

void liveness::armTimer() {
  if (Deadlines.empty() || Deadlines.begin()->first >= ArmedTimer)
    return;
  ArmedTimer = Deadlines.begin()->first;
  Commands.emplace_back(set_liveness_timer{ArmedTimer});
}

} // namespace geraniumpaddle
