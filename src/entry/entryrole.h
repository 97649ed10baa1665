#pragma once

#include "core/membership/entryrank.h"
#include "entry/adminapi.h"
#include "entry/agentdirectory.h"
#include "entry/customerauth.h"
#include "entry/entrymembers.h"
#include "entry/gangdriver.h"
#include "entry/healthdriver.h"
#include "entry/livemembers.h"
#include "entry/logdriver.h"
#include "entry/relayedlog.h"
#include "entry/requestgateway.h"
#include "entry/schedulerdriver.h"
#include "entry/stateserver.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "platform/ilogservice.h"
#include "settings/types/settings.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"
#include "transport/ipeerclient.h"
#include "transport/ipeerserver.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// External dependencies of an entry.
struct entry_environment {
  ievent_loop &Loop;
  ipeer_client &Peers;
  ilog_service &Log;
  metric_registry &Metrics;
};

/// The role behind the load balancer: applies the log, places jobs, monitors
/// agents, and routes the requests of callers.
class entry_role final : public ientry_members_delegate, public ilog_observer {
public:
  /// \param Stopped called once a drain has finished and the process may exit.
  entry_role(const entry_environment &Environment, const settings &Settings,
             const peer_identity &Self, std::function<void()> Stopped);

  /// Starts the role. Both interfaces must be bound.
  void start(std::string PeerAddress, std::string HttpAddress);
  /// Fails the readiness check, keeps serving for the drain notice, then
  /// finishes the accepted requests and calls Stopped.
  void drain();

  void handlePeer(const proto::PeerRequest &Request,
                  const peer_responder &Respond);
  void handleHttp(const http_request_view &Request,
                  const std::shared_ptr<ihttp_responder> &Responder);

  proto::EntryHeartbeat makeHeartbeat(bool AcrossRegions) override;
  void onEntryHeartbeat(const node_id &Entry,
                        const proto::EntryHeartbeat &Heartbeat) override;
  void onEntryLost(const node_id &Entry) override;
  void onMembersChanged() override;

  void onRecordApplied(log_offset Offset, const record &Record,
                       const verdict &Verdict) override;
  void onStateReplaced() override;
  void onBatchApplied() override;

private:
  void onReady();
  void announce();
  void finishDrain();
  bool ready() const { return Log.ready() && !Draining; }
  void configureRouter();
  proto::PeerResponse makeResponse(proto::Refusal Refusal) const;
  void answerHeartbeat(const proto::PeerRequest &Request,
                       const peer_responder &Respond);
  void answerEntryHeartbeat(const proto::PeerRequest &Request,
                            const peer_responder &Respond);
  std::span<const customer_demand> currentDemand();
  std::optional<std::string> relayAddress() const;
  proto::EntryStatus status() const;
  void registerMetrics();

  entry_environment Environment;
  const settings Settings;
  const peer_identity Self;
  std::function<void()> Stopped;
  entry_announced Announcement;
  bool Draining = false;
  config_version RouterConfigVersion{};
  time_point DemandMeasuredAt{};
  std::vector<customer_demand> Demand;
  entry_rank Rank;
  live_members Members;
  entry_members Entries;
  relayed_log Relay;
  log_driver Log;
  customer_auth Auth;
  request_gateway Requests;
  agent_directory Agents;
  scheduler_driver Scheduler;
  gang_driver Gangs;
  health_driver Health;
  state_server StateServer;
  admin_api Admin;
  timer AnnounceTimer;
  timer DrainTimer;
  logger Logger{"entry"};
};

} // namespace geraniumpaddle
