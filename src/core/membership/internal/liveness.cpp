#include "core/membership/liveness.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

liveness::liveness(const liveness_settings &Settings) : Settings(Settings) {}

std::span<const liveness_command> liveness::handle(const liveness_event &Event,
                                                   time_point Now) {
  using handlers = member_table<&liveness::onHeartbeat, &liveness::onLeft,
                                &liveness::onTimer>;
  Commands.clear();
  handlers::dispatch(*this, Event, Now);
  updateSelfSuspicion(Now);
  armWake();
  return Commands;
}

duration liveness::heartbeatInterval() const {
  const double Seconds =
      static_cast<double>(Nodes.size()) / Settings.MaxHeartbeatsPerSecond;
  const auto Spread = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
  return std::max(Settings.MinInterval, Spread);
}

void liveness::onHeartbeat(const heartbeat_received &Event, time_point Now) {
  node &Node = Nodes[Event.Node];
  if (Event.Incarnation < Node.Incarnation)
    return;
  LastHeard = Now;
  if (Node.State == node_state::Suspected) {
    --Suspects;
    Commands.emplace_back(node_recovered{Event.Node, Event.Incarnation});
  }
  Node.Incarnation = Event.Incarnation;
  Node.State = node_state::Live;
  Node.HeardAt = Now;
  Node.Interval = std::max(Event.Interval, Settings.MinInterval);
  schedule(Event.Node, Node, Now + Node.Interval + Settings.SuspectMargin);
}

void liveness::onLeft(const node_left &Event, time_point) {
  const auto Found = Nodes.find(Event.Node);
  if (Found != Nodes.end() && Found->second.Incarnation <= Event.Incarnation)
    forget(Event.Node);
}

void liveness::onTimer(const liveness_timer_expired &, time_point Now) {
  const bool WokeLate =
      ArmedWake < Now && Now - ArmedWake > Settings.MinInterval;
  ArmedWake = time_point::max();
  if (WokeLate)
    return excuse(Now);
  while (!Due.empty() && Due.begin()->first <= Now) {
    const node_id Id = Due.begin()->second;
    expire(Id, Nodes.at(Id), Now);
  }
}

/// This process was paused: the heartbeats of the meantime are still unread.
void liveness::excuse(time_point Now) {
  for (auto &[Id, Node] : Nodes)
    schedule(Id, Node, std::max(Node.DueAt, Now + Node.Interval));
}

void liveness::expire(const node_id &Id, node &Node, time_point Now) {
  if (Node.State == node_state::Live)
    return suspect(Id, Node);
  // The other nodes' silence may just be setting in.
  updateSelfSuspicion(Now);
  if (mayDeclare(Now))
    return lose(Id, Node);
  schedule(Id, Node, Now + Settings.MinInterval);
}

void liveness::suspect(const node_id &Id, node &Node) {
  Node.State = node_state::Suspected;
  ++Suspects;
  Commands.emplace_back(node_suspected{Id, Node.Incarnation});
  schedule(Id, Node, Node.HeardAt + Node.Interval + Settings.LostMargin);
}

void liveness::lose(const node_id &Id, const node &Node) {
  Commands.emplace_back(node_lost{Id, Node.Incarnation});
  forget(Id);
}

void liveness::forget(const node_id &Id) {
  const auto Found = Nodes.find(Id);
  if (Found->second.State == node_state::Suspected)
    --Suspects;
  Due.erase({Found->second.DueAt, Id});
  Nodes.erase(Found);
}

void liveness::schedule(const node_id &Id, node &Node, time_point At) {
  Due.erase({Node.DueAt, Id});
  Node.DueAt = At;
  Due.emplace(At, Id);
}

/// Compares the silent nodes with those heard within the time that lies between
/// suspicion and loss. With long intervals only some nodes are due in it, on
/// both sides alike.
bool liveness::massLoss(time_point Now) const {
  if (Suspects < Settings.MassLossNodes)
    return false;
  const time_point Since = Now - (Settings.LostMargin - Settings.SuspectMargin);
  const auto Heard = std::ranges::count_if(Nodes, [Since](const auto &Entry) {
    return Entry.second.HeardAt >= Since;
  });
  const double Counted = static_cast<double>(Suspects) + double(Heard);
  return static_cast<double>(Suspects) >= Counted * Settings.MassLossShare;
}

void liveness::updateSelfSuspicion(time_point Now) {
  const bool Suspected = massLoss(Now);
  if (Suspected == SelfSuspected)
    return;
  SelfSuspected = Suspected;
  SuspectedSince = Now;
  Commands.emplace_back(self_suspicion_changed{Suspected});
}

/// During a mass loss, nodes are declared lost only after the hold, and only if
/// another node is heard: then the link of this one works.
bool liveness::mayDeclare(time_point Now) const {
  if (!SelfSuspected)
    return true;
  return Now - SuspectedSince >= Settings.MassLossHold &&
         LastHeard > SuspectedSince;
}

void liveness::armWake() {
  if (Due.empty() || Due.begin()->first >= ArmedWake)
    return;
  ArmedWake = Due.begin()->first;
  Commands.emplace_back(set_liveness_timer{ArmedWake});
}

} // namespace geraniumpaddle
