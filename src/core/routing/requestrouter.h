#pragma once

#include "core/routing/customeradmission.h"
#include "core/routing/endpointpool.h"
#include "core/routing/fairqueue.h"
#include "core/routing/latencywindow.h"
#include "core/routing/retrybudget.h"
#include "core/routing/types/routermessages.h"
#include "core/routing/types/routersettings.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

/// Counters since the start, for metrics.
struct router_counters {
  std::uint64_t Arrived = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Undetermined = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Queries = 0;
  std::uint64_t Ejections = 0;
};

/// Routes the requests that callers send to one entry: admits or sheds them,
/// selects the endpoint, retries and hedges, resolves attempts that are in
/// doubt, and gives each caller exactly one correct outcome. A non-idempotent
/// request is retried only if it is certain that no endpoint ran the previous
/// attempt.
class request_router {
public:
  /// \param Seed of the random choice among endpoints.
  request_router(const router_settings &Settings, const router_identity &Self,
                 std::uint64_t Seed);

  /// Handles one event. The returned commands are valid until the next call.
  /// Throws internal_error if a request handle is used twice.
  std::span<const router_command> handle(const router_event &Event,
                                         time_point Now);

  /// This entry's demand, for the heartbeats to the other entries. Valid until
  /// the next call.
  std::span<const customer_demand> demand(time_point Now);

  /// Requests without an outcome; a drain is complete when this reaches 0.
  std::size_t openRequests() const { return Requests.size(); }
  const router_counters &counters() const { return Counters; }

private:
  struct request {
    customer_id Customer;
    service_id Service;
    bool Idempotent = false;
    bool Queued = false;
    bool MayHaveRun = false; ///< an earlier attempt may have run
    std::uint32_t Bytes = 0;
    std::uint32_t Attempts = 0;
    time_point Deadline;
    time_point QueuedAt{};
    time_point HedgeAt = time_point::max();
    std::vector<node_id> Tried;
    std::vector<std::uint64_t> Unresolved; ///< attempts without a final state
  };

  struct attempt {
    request_handle Request{};
    endpoint_index Endpoint{};
    service_id Service;
    node_id Agent;
    incarnation AgentIncarnation{};
    std::string PeerAddress;
    time_point SentAt;
    time_point QueryAt; ///< of the next query
    duration Backoff{}; ///< between queries
    bool DeliveryOpen = true;
    bool QueryOpen = false;
    bool Resolved = false;
  };

  /// The report that ended a delivery or a query.
  struct report {
    attempt_refusal Refusal = attempt_refusal::None;
    bool ServerError = false;
    bool FromQuery = false;
  };

  struct timer {
    time_point At;
    std::uint64_t Key = 0; ///< request handle or attempt number
    bool ForRequest = false;
    bool operator>(const timer &Other) const { return At > Other.At; }
  };

  struct service_state {
    explicit service_state(const router_settings &Settings)
        : Queue(Settings.QueueLimit), Latency(Settings.HedgeQuantile) {}
    fair_queue<request_handle> Queue;
    latency_window Latency;
  };

  /// Whether the result of an attempt counts as a success or a failure of its
  /// endpoint, for outlier ejection.
  enum class health_signal : std::uint8_t { Success, Failure, Neutral };

  using report_handler = void (request_router::*)(std::uint64_t, attempt &,
                                                  const report &, time_point);
  static const std::array<report_handler, 8> ReportHandlers;

  // Events.
  void onRequest(const request_arrived &Event, time_point Now);
  void onAttempt(const attempt_reported &Event, time_point Now);
  void onQuery(const query_reported &Event, time_point Now);
  void onCallerDisconnected(const caller_disconnected &Event, time_point Now);
  void onAnnounced(const endpoint_announced &Event, time_point Now);
  void onLoad(const endpoint_load_reported &Event, time_point Now);
  void onSuspected(const endpoint_suspected &Event, time_point Now);
  void onLost(const endpoint_lost &Event, time_point Now);
  void onCustomers(const customers_configured &Event, time_point Now);
  void onPeerDemand(const peer_demand_reported &Event, time_point Now);
  void onPeerLost(const peer_lost &Event, time_point Now);
  void onDrain(const router_drain_started &Event, time_point Now);
  void onTimerExpired(const router_timer_expired &Event, time_point Now);

  // Requests.
  not_run_reason refusalOf(const request_arrived &Event, time_point Now);
  request &accept(const request_arrived &Event, time_point Now);
  void dispatch(request_handle Handle, request &Request, time_point Now);
  std::optional<endpoint_index> choose(const request &Request,
                                       bool FreeSlotOnly, time_point Now);
  void enqueue(request_handle Handle, request &Request, time_point Now);
  void dispatchQueued(const service_id &Service, time_point Now);
  void dispatchAllQueued(time_point Now);
  bool expiresBeforeAnswer(const request &Request, time_point Now);
  bool exceedsQueueTime(const request &Request, time_point Now);
  bool trySend(request_handle Handle, request &Request, time_point Now);
  void hedge(request_handle Handle, request &Request, time_point Now);
  void retryOrGiveUp(request_handle Handle, request &Request,
                     attempt_refusal Refusal, time_point Now);
  void giveUp(request_handle Handle, const request &Request,
              not_run_reason Reason);
  void finish(request_handle Handle, const request_outcome &Outcome);
  void release(request_handle Handle);
  void onRequestTimer(request_handle Handle, time_point Now);
  service_state &serviceOf(const service_id &Service);
  std::optional<duration> hedgeDelay(const service_id &Service);
  duration queryDelay(const service_id &Service);

  // Attempts.
  void send(request_handle Handle, request &Request, endpoint_index Index,
            time_point Now);
  void query(std::uint64_t Number, attempt &Attempt, time_point Now);
  void queryAfter(std::uint64_t Number, attempt &Attempt, duration Delay,
                  time_point Now);
  void backOff(std::uint64_t Number, attempt &Attempt, time_point Now);
  /// Handles the report that ended a call; \p OpenCall is the flag of that
  /// call.
  template <typename Event>
  void handleReport(const Event &Reported, bool attempt::*OpenCall,
                    time_point Now);
  request *requestOf(const attempt &Attempt);
  void queryAllAt(const node_id &Agent, incarnation AgentIncarnation,
                  time_point Now);
  void markAllUndetermined(const node_id &Agent, incarnation AgentIncarnation,
                           time_point Now);
  void onAttemptTimer(std::uint64_t Number, time_point Now);
  void onAnswered(std::uint64_t Number, attempt &Attempt, const report &Report,
                  time_point Now);
  void onNotRun(std::uint64_t Number, attempt &Attempt, const report &Report,
                time_point Now);
  void onRunning(std::uint64_t Number, attempt &Attempt, const report &Report,
                 time_point Now);
  void onUndetermined(std::uint64_t Number, attempt &Attempt,
                      const report &Report, time_point Now);
  void onOtherIncarnation(std::uint64_t Number, attempt &Attempt,
                          const report &Report, time_point Now);
  void onNotSent(std::uint64_t Number, attempt &Attempt, const report &Report,
                 time_point Now);
  void onNoReport(std::uint64_t Number, attempt &Attempt, const report &Report,
                  time_point Now);
  request *resolve(std::uint64_t Number, attempt &Attempt, health_signal Signal,
                   time_point Now);
  void abandon(std::uint64_t Number);
  void eraseIfClosed(std::uint64_t Number);
  attempt_id idOf(std::uint64_t Number) const;

  // Timers.
  void startTimer(time_point At, std::uint64_t Key, bool ForRequest);
  bool current(const timer &Timer) const;
  void armTimer();

  router_settings Settings;
  router_identity Self;
  bool Draining = false;
  std::uint64_t LastAttempt = 0;
  endpoint_pool Pool;
  customer_admission Admission;
  retry_budget Budget;
  std::unordered_map<request_handle, request> Requests;
  std::unordered_map<std::uint64_t, attempt> Attempts;
  std::unordered_map<service_id, service_state> Services;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> Timers;
  time_point NextQueueCheck = time_point::max(); ///< max(): nothing queued
  time_point ArmedTimer = time_point::max();
  router_counters Counters;
  std::vector<router_command> Commands;
};

} // namespace geraniumpaddle
