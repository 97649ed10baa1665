#pragma once

#include "agent/agentgangdriver.h"
#include "agent/attemptdriver.h"
#include "agent/customersinforce.h"
#include "agent/entryconnector.h"
#include "agent/workerprobe.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "platform/iworker.h"
#include "settings/types/settings.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ihttpserver.h"
#include "transport/ipeerclient.h"
#include "transport/ipeerserver.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace geraniumpaddle {

/// External dependencies of an agent.
struct agent_environment {
  ievent_loop &Loop;
  ipeer_client &Peers;
  ihttp_client &Http;
  iworker &Worker;
  metric_registry &Metrics;
};

/// The role next to each endpoint: delivers requests to the endpoint, runs the
/// worker's part of gangs, and maintains links to the entries.
class agent_role final : public ientry_connector_delegate {
public:
  /// \param Stopped called once a drain has finished and the process may exit.
  agent_role(const agent_environment &Environment, const settings &Settings,
             const peer_identity &Self, std::function<void()> Stopped);
  ~agent_role() override { *Alive = false; }

  /// Starts the role. The peer interface must be bound to \p PeerAddress.
  void start(std::string PeerAddress);
  /// Announces the drain on every link, refuses new requests, finishes the
  /// accepted ones, then calls Stopped. Tasks keep running under their leases,
  /// so that the agent's next incarnation can adopt them.
  void drain();

  void handlePeer(const proto::PeerRequest &Request,
                  const peer_responder &Respond);
  void handleHttp(const http_request_view &Request,
                  const std::shared_ptr<ihttp_responder> &Responder);

  proto::Heartbeat makeHeartbeat(bool WithRegistration) override;
  void onCustomersReceived(const proto::CustomersInForce &Customers) override;

private:
  void describeWorker();
  void onWorkerDescribed(const worker_result &Result);
  void finishDrain();
  bool ready() const;
  proto::PeerResponse makeResponse(proto::Refusal Refusal) const;
  std::string statusText() const;
  void registerMetrics();

  agent_environment Environment;
  const settings Settings;
  const peer_identity Self;
  std::function<void()> Stopped;
  std::string PeerAddress;
  std::optional<resources> Capacity;
  bool Draining = false;
  bool RequestsDrained = false;
  customers_in_force Customers;
  entry_connector Entries;
  agent_gang_driver Gangs;
  attempt_driver Requests;
  worker_probe Probe;
  timer DescribeTimer;
  timer DrainNoticeTimer;
  logger Log{"agent"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
