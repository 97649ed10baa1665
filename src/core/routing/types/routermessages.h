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

/// A caller's request, without its bytes.
struct request_arrived {
  request_handle Request{};
  customer_id Customer;
  service_id Service;
  bool Idempotent = false;
  std::uint32_t Bytes = 0;
  duration Timeout{}; ///< from now; 0 or too long: the router's maximum
};

/// The call that delivered an attempt ended. If State is Answered, the front
/// end holds the answer until the router's commands are carried out.
struct attempt_reported {
  std::uint64_t Attempt = 0; ///< attempt_id::Number
  attempt_state State = attempt_state::Lost;
  attempt_refusal Refusal = attempt_refusal::None;
  bool ServerError = false; ///< Answered with HTTP status 5xx
  agent_load Load;          ///< only if an agent reported
};

/// A query of an attempt ended, likewise.
struct query_reported {
  std::uint64_t Attempt = 0;
  attempt_state State = attempt_state::Lost;
  attempt_refusal Refusal = attempt_refusal::None;
  bool ServerError = false;
  agent_load Load;
};

/// The caller closed its connection; it gets no outcome.
struct caller_disconnected {
  request_handle Request{};
};

/// An endpoint and the run of the agent beside it; repeats are harmless. A
/// larger incarnation replaces the earlier run of the same agent.
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

/// The agent fell silent: nothing new goes to it, and what is with it is asked
/// about over a new connection. A later load report ends the suspicion.
struct endpoint_suspected {
  node_id Agent;
  incarnation AgentIncarnation{};
};

/// The agent left or was declared lost.
struct endpoint_lost {
  node_id Agent;
  incarnation AgentIncarnation{};
};

/// The whole customer configuration in force.
struct customers_configured {
  std::vector<customer_config> Customers;
};

/// Requests of one customer at one entry.
struct customer_demand {
  customer_id Customer;
  std::uint32_t InFlight = 0;
  double RatePerSecond = 0;
};

/// Demand at another live entry, all customers at once.
struct peer_demand_reported {
  node_id Entry;
  std::vector<customer_demand> Demand;
};

/// Another entry left or was declared lost; its shares are given back.
struct peer_lost {
  node_id Entry;
};

/// This entry drains: new requests are not run, accepted ones are finished.
struct router_drain_started {};

/// The time asked for by the last wake_at has come.
struct router_timer_fired {};

using router_event =
    std::variant<request_arrived, attempt_reported, query_reported,
                 caller_disconnected, endpoint_announced,
                 endpoint_load_reported, endpoint_suspected, endpoint_lost,
                 customers_configured, peer_demand_reported, peer_lost,
                 router_drain_started, router_timer_fired>;

/// Deliver a request to one run of an agent. The call's end is reported as
/// attempt_reported, exactly once.
struct send_attempt {
  attempt_id Attempt;
  request_handle Request{};
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress;
  customer_id Customer;
  bool Idempotent = false;
  duration Timeout{}; ///< the request's time left
};

/// Ask over a new connection what became of an attempt; a never seen one is
/// barred. The call's end is reported as query_reported, exactly once.
struct query_attempt {
  attempt_id Attempt;
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress;
  duration Timeout{};
};

/// Tell the caller its outcome; sent once for each request unless the caller
/// has gone. The request's bytes can be dropped.
struct answer_caller {
  request_handle Request{};
  request_outcome Outcome;
};

/// Drop the bytes of a request whose caller has gone; nothing is sent.
struct release_request {
  request_handle Request{};
};

/// Send router_timer_fired at this time; replaces the earlier one.
struct wake_at {
  time_point At{};
};

using router_command = std::variant<send_attempt, query_attempt, answer_caller,
                                    release_request, wake_at>;

} // namespace geraniumpaddle
