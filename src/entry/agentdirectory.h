#pragma once

#include "core/base/eventqueue.h"
#include "core/membership/liveness.h"
#include "core/routing/types/routermessages.h"
#include "entry/ilogobserver.h"
#include "entry/iproposer.h"
#include "entry/livemembers.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/ipeerserver.h"
#include "transport/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace geraniumpaddle {

/// An agent's state as of its latest heartbeat.
struct agent_link {
  node_id Agent;
  incarnation Incarnation{};
  agent_load Load;
  bool Draining = false;
  bool EndpointHealthy = true;
  bool Suspected = false;
  config_version Version{};
};

/// Receives router events about endpoints.
using endpoint_sink = std::function<void(router_event)>;

/// The agents of this entry's region: answers their heartbeats, proposes
/// records of their registrations, drains and losses, pushes configuration to
/// them, and reports their endpoints to the router.
class agent_directory final : public ilog_observer {
public:
  agent_directory(ievent_loop &Loop, ipeer_client &Peers, iproposer &Log,
                  const live_members &Members, const peer_identity &Self,
                  const region_id &Region, const liveness_settings &Liveness,
                  endpoint_sink Endpoints);
  ~agent_directory() override { *Alive = false; }

  /// Starts failure detection for the agents in the ledger.
  void start();
  /// Answers one heartbeat. \throws malformed_message_error
  proto::HeartbeatReply onHeartbeat(const node_id &Agent,
                                    incarnation Incarnation,
                                    const proto::Heartbeat &Heartbeat);

  /// The link to the agent, or nullptr if there is none.
  const agent_link *link(const node_id &Agent) const;
  std::size_t linked() const { return Links.size(); }
  /// The load of every endpoint of this region, for other regions.
  proto::RegionSummary summary() const;
  /// Reports the endpoint loads of another region to the router.
  void updateFromSummary(const proto::RegionSummary &Summary);

  /// The live entries changed, and with them the agents that this entry owns.
  void onMembersChanged();

  void onRecordApplied(log_offset Offset, const record &Record,
                       const verdict &Verdict) override;
  void onStateReplaced() override;
  void onBatchApplied() override;

private:
  void pushLiveness(liveness_event Event);
  void onSuspected(const node_suspected &Command);
  void onRecovered(const node_recovered &Command);
  void onLost(const node_lost &Command);
  void onSelfSuspicion(const self_suspicion_changed &Command);
  void onSetTimer(const set_liveness_timer &Command);

  const worker_entry *workerOf(const node_id &Agent) const;
  void updateLoad(agent_link &Link, const proto::Heartbeat &Heartbeat);
  void proposeRegistration(const node_id &Agent, incarnation Incarnation,
                           const proto::Heartbeat &Heartbeat);
  void proposeStateChange(const agent_link &Link, const worker_entry &Worker);
  void proposeOnce(const std::string &Key, record_body Body);
  void announceEndpoint(const worker_entry &Worker);
  void reportLoad(const agent_link &Link);
  proto::CustomersInForce customersInForce() const;
  void pushCustomers();
  void pushToOutdated();
  void push(const node_id &Agent, const proto::PeerRequest &Request,
            int TriesLeft);
  void updateConfigVersion(const node_id &Agent, std::uint64_t Version);

  ievent_loop &Loop;
  ipeer_client &Peers;
  iproposer &Log;
  const live_members &Members;
  const peer_identity Self;
  const region_id Region;
  endpoint_sink Endpoints;
  liveness Liveness;
  event_queue<liveness_event> LivenessEvents;
  timer LivenessTimer;
  std::map<node_id, agent_link> Links;
  std::map<node_id, worker_id> WorkerByAgent;
  /// Keys of proposals that have not been answered yet; see proposeOnce().
  std::map<std::string, bool> OutstandingProposals;
  config_version PushedVersion{};
  bool Started = false;
  logger Logger{"agents"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
