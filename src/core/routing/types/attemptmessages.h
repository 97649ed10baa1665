#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/routing/types/attemptid.h"
#include "core/routing/types/attemptstate.h"

#include <cstdint>
#include <variant>

namespace geraniumpaddle {

/// Identifies one open call from an entry within one agent; never reused.
enum class call_handle : std::uint64_t {};

/// An entry delivers an attempt. Before it sends this event, the front end
/// stores the request's bytes under the attempt's id unless that id has some
/// already, and keeps them until release_attempt.
struct delivery_arrived {
  call_handle Call{};
  attempt_id Attempt;
  incarnation Target{}; ///< incarnation of the agent that the entry addressed
  customer_id Customer;
  bool Idempotent = false;
  duration Timeout{}; ///< from now
};

/// An entry asks for the state of an attempt. If the agent does not know the
/// attempt, it bars it: a delivery that arrives later is refused.
struct query_arrived {
  call_handle Call{};
  attempt_id Attempt;
  incarnation Target{};
};

/// How the call to the endpoint ended.
enum class endpoint_result : std::uint8_t {
  Answered, ///< the complete answer, stored under the attempt's id
  NotSent,  ///< no connection could be established
  Lost,     ///< broken, truncated or timed out after it was sent
};

struct endpoint_finished {
  attempt_id Attempt;
  endpoint_result Result = endpoint_result::Lost;
  std::uint32_t AnswerBytes = 0;
};

/// The agent shuts down: new attempts are refused, accepted ones complete.
struct agent_drain_started {};

/// The time set by the last set_agent_timer has been reached.
struct agent_timer_expired {};

using attempt_event =
    std::variant<delivery_arrived, query_arrived, endpoint_finished,
                 agent_drain_started, agent_timer_expired>;

/// Send the stored request to the endpoint; completes with exactly one
/// endpoint_finished.
struct call_endpoint {
  attempt_id Attempt;
  duration Timeout{};
};

/// Reply to one open call. If State is Answered, the reply carries the answer
/// stored under the attempt's id.
struct report_attempt {
  call_handle Call{};
  attempt_id Attempt;
  attempt_state State = attempt_state::NotRun;
  attempt_refusal Refusal = attempt_refusal::None;
  agent_load Load;
};

/// Delete the request and the answer stored under the attempt's id.
struct release_attempt {
  attempt_id Attempt;
};

/// The drain is complete: no attempt runs or is queued, and none was refused or
/// answered for attempt_settings::DrainLinger. The process may exit.
struct agent_drained {};

/// Send agent_timer_expired at this time; replaces the previous timer.
struct set_agent_timer {
  time_point At{};
};

using attempt_command =
    std::variant<call_endpoint, report_attempt, release_attempt, agent_drained,
                 set_agent_timer>;

} // namespace geraniumpaddle
