#pragma once

#include "core/base/eventqueue.h"
#include "core/routing/requestrouter.h"
#include "entry/customerauth.h"
#include "metrics/metrics.h"
#include "peercodec/peercodec.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"
#include "transport/ipeerclient.h"
#include "transport/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace geraniumpaddle {

/// Header that says whether a request is idempotent: true or false. Without it
/// GET, HEAD, PUT, DELETE and OPTIONS count as idempotent.
constexpr std::string_view IdempotentHeader = "X-Idempotent";
/// Header that names the customer whose token the request carries.
constexpr std::string_view CustomerHeader = "X-Customer";
/// Header with the caller's timeout in milliseconds.
constexpr std::string_view TimeoutHeader = "X-Timeout-Ms";
/// Path prefix of requests to services: it is followed by the service and by
/// the path for the endpoint.
constexpr std::string_view CallPrefix = "/call/";

/// Executes the commands of a request_router: accepts requests of callers over
/// HTTP, delivers attempts to agents, and sends each caller the outcome.
class request_gateway {
public:
  request_gateway(ievent_loop &Loop, ipeer_client &Peers, customer_auth &Auth,
                  metric_registry &Metrics, const router_settings &Settings,
                  const router_identity &Self, std::uint64_t Seed);
  ~request_gateway() { *Alive = false; }
  request_gateway(const request_gateway &) = delete;
  request_gateway &operator=(const request_gateway &) = delete;

  /// Handles a request whose path begins with CallPrefix.
  void handle(const http_request_view &Request,
              const std::shared_ptr<ihttp_responder> &Responder,
              const ledger &State);
  /// Forwards an event about endpoints, customers or other entries to the
  /// router.
  void forwardEvent(router_event Event) { push(std::move(Event)); }
  std::span<const customer_demand> demand() {
    return Router.demand(Loop.now());
  }
  void drain() { push(router_drain_started{}); }
  std::size_t openRequests() const { return Router.openRequests(); }

private:
  struct open_request {
    std::shared_ptr<ihttp_responder> Responder;
    /// The fields that are common to all attempts.
    proto::DeliverRequest Delivery;
    time_point ArrivedAt{};
  };

  void push(router_event Event);
  void onSend(const send_attempt &Command);
  void onQuery(const query_attempt &Command);
  void onAnswer(const answer_caller &Command);
  void onRelease(const release_request &Command);
  void onSetTimer(const set_router_timer &Command);

  template <typename Event>
  void report(const attempt_id &Attempt, const peer_result &Result);
  template <typename Event>
  static void readReport(const proto::PeerResponse &Response, Event &Report);
  void storeAnswer(const attempt_id &Attempt,
                   const proto::AttemptReport &Report);
  http_response endpointResponse(const attempt_id &Attempt);
  void discardAnswers(request_handle Request);
  void registerMetrics(metric_registry &Metrics);

  ievent_loop &Loop;
  ipeer_client &Peers;
  customer_auth &Auth;
  const peer_identity Self;
  request_router Router;
  event_queue<router_event> Events;
  timer RouterTimer;
  std::uint64_t LastRequest = 0;
  std::unordered_map<std::uint64_t, open_request> OpenRequests;
  std::unordered_map<std::uint64_t, std::uint64_t> RequestByAttempt;
  std::unordered_map<std::uint64_t, proto::EndpointAnswer> Answers;
  std::multimap<std::uint64_t, std::uint64_t> AttemptsByRequest;
  histogram &Latency;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
