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

/// What an entry last heard from an agent.
struct agent_link {
  node_id Agent;
  incarnation Incarnation{};
  agent_load Load;
  bool Draining = false;
  bool EndpointHealthy = true;
  bool Silent = false;
  config_version Version{};
};

/// Takes the endpoints that the directory learns of.
using endpoint_sink = std::function<void(router_event)>;

/// The agents of this entry's region: answers their heartbeats, records their
/// registrations, drains and losses in the log, pushes configuration to them,
/// and tells the router which endpoints there are.
class agent_directory final : public ifold_observer {
public:
  agent_directory(ievent_loop &Loop, ipeer_client &Peers, iproposer &Log,
                  const live_members &Members, const peer_identity &Self,
                  const region_id &Region, const liveness_settings &Liveness,
                  endpoint_sink Endpoints);
  ~agent_directory() override { *Alive = false; }

  /// Begins to watch the agents that the ledger knows.
  void start();
  /// Answers one heartbeat. \throws malformed_message_error
  proto::HeartbeatReply onHeartbeat(const node_id &Agent, incarnation Run,
                                    const proto::Heartbeat &Heartbeat);

  /// The link to the agent of that name, or nullptr.
  const agent_link *link(const node_id &Agent) const;
  std::size_t linked() const { return Links.size(); }
  /// Load of every endpoint of this region, for other regions.
  proto::RegionSummary summary() const;
  /// Takes the summary of another region.
  void learnSummary(const proto::RegionSummary &Summary);

  /// The live entries, and so the agents that this one looks after, changed.
  void membersChanged();

  void onFolded(log_offset Offset, const record &Record,
                const verdict &Verdict) override;
  void onStateReplaced() override;
  void onBatchFolded() override;

private:
  void pushLiveness(liveness_event Event);
  void onSuspected(const node_suspected &Command);
  void onRecovered(const node_recovered &Command);
  void onLost(const node_lost &Command);
  void onSelfSuspicion(const self_suspicion_changed &Command);
  void onSetTimer(const set_liveness_timer &Command);

  const worker_entry *workerOf(const node_id &Agent) const;
  void learnLoad(agent_link &Link, const proto::Heartbeat &Heartbeat);
  void considerRegistration(const node_id &Agent, incarnation Run,
                            const proto::Heartbeat &Heartbeat);
  void considerState(const agent_link &Link, const worker_entry &Worker);
  void proposeOnce(const std::string &Key, record_body Body);
  void announceEndpoint(const worker_entry &Worker);
  void reportLoad(const agent_link &Link);
  proto::CustomersInForce customersInForce() const;
  void pushCustomers();
  void pushToOutdated();
  void push(const node_id &Agent, const proto::PeerRequest &Request,
            int TriesLeft);
  void noteVersion(const node_id &Agent, std::uint64_t Version);

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
  /// Proposals that have not been answered yet, by what they say.
  std::map<std::string, bool> Outstanding;
  config_version PushedVersion{};
  bool Started = false;
  logger Logger{"agents"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
