#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/ledger/types/record.h"
#include "core/routing/types/attemptstate.h"
#include "core/routing/types/requestoutcome.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// A caller's request, without its body.
struct request_arrived {
  request_handle Request{};
  customer_id Customer;
  service_id Service;
  bool Idempotent = false;
  std::uint32_t Bytes = 0;
  duration Timeout{}; ///< from now; 0: the default; capped at the maximum
};

/// The call that delivered an attempt ended. If State is Answered, the front
/// end keeps the answer until the router's commands have been executed.
struct attempt_reported {
  std::uint64_t Attempt = 0; ///< attempt_id::Number
  attempt_state State = attempt_state::Lost;
  attempt_refusal Refusal = attempt_refusal::None;
  bool ServerError = false; ///< Answered with HTTP status 5xx
  agent_load Load;          ///< only if an agent reported
};

/// A query of an attempt ended; otherwise like attempt_reported.
struct query_reported {
  std::uint64_t Attempt = 0;
  attempt_state State = attempt_state::Lost;
  attempt_refusal Refusal = attempt_refusal::None;
  bool ServerError = false;
  agent_load Load;
};

/// The caller closed its connection; it is sent no outcome.
struct caller_disconnected {
  request_handle Request{};
};

/// Announces an endpoint and the incarnation of the agent that serves it.
/// Idempotent; a larger incarnation replaces a smaller one of the same agent.
struct endpoint_announced {
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress; ///< ip:port of the agent's peer interface
  service_id Service;
  region_id Region;
  availability_zone_id Zone;
  std::uint32_t Slots = 0;
};

/// From an agent's heartbeat or another region's summary.
struct endpoint_load_reported {
  node_id Agent;
  incarnation AgentIncarnation{};
  agent_load Load;
  bool Draining = false;
  bool Healthy = true; ///< the agent can reach its endpoint
};

/// The agent stopped responding. It is sent no new attempts, and its pending
/// attempts are queried over a new connection. A later load report clears the
/// suspicion.
struct endpoint_suspected {
  node_id Agent;
  incarnation AgentIncarnation{};
};

/// The agent left or was declared lost.
struct endpoint_lost {
  node_id Agent;
  incarnation AgentIncarnation{};
};

/// The complete customer configuration in force.
struct customers_configured {
  std::vector<customer_config> Customers;
};

/// Requests of one customer at one entry.
struct customer_demand {
  customer_id Customer;
  std::uint32_t InFlight = 0;
  double RatePerSecond = 0;
};

/// Demand of all customers at another live entry.
struct peer_demand_reported {
  node_id Entry;
  std::vector<customer_demand> Demand;
};

/// Another entry left or was declared lost; its shares of the limits are
/// redistributed.
struct peer_lost {
  node_id Entry;
};

/// This entry drains: new requests are refused, accepted ones complete.
struct router_drain_started {};

/// The time set by the last set_router_timer has been reached.
struct router_timer_expired {};

using router_event =
    std::variant<request_arrived, attempt_reported, query_reported,
                 caller_disconnected, endpoint_announced,
                 endpoint_load_reported, endpoint_suspected, endpoint_lost,
                 customers_configured, peer_demand_reported, peer_lost,
                 router_drain_started, router_timer_expired>;

/// Deliver a request to one incarnation of an agent. The end of the call is
/// reported with exactly one attempt_reported.
struct send_attempt {
  attempt_id Attempt;
  request_handle Request{};
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress;
  customer_id Customer;
  bool Idempotent = false;
  duration Timeout{}; ///< time left until the request's deadline
};

/// Query the state of an attempt over a new connection; the agent bars an
/// attempt that it does not know. The end of the call is reported with exactly
/// one query_reported.
struct query_attempt {
  attempt_id Attempt;
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress;
  duration Timeout{};
};

/// Send the caller its outcome; issued once for each request unless the caller
/// has disconnected. The request's bytes can be deleted.
struct answer_caller {
  request_handle Request{};
  request_outcome Outcome;
};

/// Delete the bytes of a request whose caller has disconnected; nothing is
/// sent.
struct release_request {
  request_handle Request{};
};

/// Send router_timer_expired at this time; replaces the previous timer.
struct set_router_timer {
  time_point At{};
};

using router_command = std::variant<send_attempt, query_attempt, answer_caller,
                                    release_request, set_router_timer>;

} // namespace geraniumpaddle
