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

/// What an agent needs from outside.
struct agent_environment {
  ievent_loop &Loop;
  ipeer_client &Peers;
  ihttp_client &Http;
  iworker &Worker;
  metric_registry &Metrics;
};

/// The role beside each endpoint: delivers requests to the endpoint, runs the
/// worker's part of gangs, and keeps links to the entries.
class agent_role final : public ilink_content {
public:
  /// \param Stopped called once a drain is over and the process may exit.
  agent_role(const agent_environment &Environment, const settings &Settings,
             const peer_identity &Self, std::function<void()> Stopped);
  ~agent_role() override { *Alive = false; }

  /// Begins once the peer interface is bound to \p PeerAddress.
  void start(std::string PeerAddress);
  /// Announces the end on every link, refuses new requests, finishes the
  /// accepted ones, then calls Stopped. Tasks go on under their leases, for the
  /// next run of the agent to adopt.
  void drain();

  void handlePeer(const proto::PeerRequest &Request,
                  const peer_responder &Respond);
  void handleHttp(const http_request_view &Request,
                  const std::shared_ptr<ihttp_responder> &Responder);

  proto::Heartbeat heartbeat(bool WithRegistration) override;
  void learnCustomers(const proto::CustomersInForce &Customers) override;

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
  gang_host Gangs;
  request_host Requests;
  worker_probe Probe;
  timer Retry;
  timer DrainNotice;
  logger Log{"agent"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
