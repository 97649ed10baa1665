#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/routing/types/attemptid.h"
#include "core/routing/types/attemptstate.h"

#include <cstdint>
#include <variant>

namespace geraniumpaddle {

/// Names one open call of an entry inside one agent; never used twice.
enum class call_handle : std::uint64_t {};

/// An entry delivers an attempt. Before this event the front end keeps the
/// request's bytes under the attempt's id, unless some are kept already, until
/// release_attempt.
struct delivery_arrived {
  call_handle Call{};
  attempt_id Attempt;
  incarnation Target{}; ///< run of the agent that the entry addressed
  customer_id Customer;
  bool Idempotent = false;
  duration Timeout{}; ///< from now
};

/// An entry asks what became of an attempt, and bars it if it was never seen.
struct query_arrived {
  call_handle Call{};
  attempt_id Attempt;
  incarnation Target{};
};

/// How the call to the endpoint ended.
enum class endpoint_result : std::uint8_t {
  Answered, ///< the whole answer, kept by the front end under the attempt's id
  NotSent,  ///< no connection could be made
  Lost,     ///< broken, cut short or timed out after it was sent
};

struct endpoint_finished {
  attempt_id Attempt;
  endpoint_result Result = endpoint_result::Lost;
  std::uint32_t AnswerBytes = 0;
};

/// The agent shuts down: new attempts are refused, accepted ones are finished.
struct agent_drain_started {};

/// The time asked for by the last agent_wake_at has come.
struct agent_timer_fired {};

using attempt_event =
    std::variant<delivery_arrived, query_arrived, endpoint_finished,
                 agent_drain_started, agent_timer_fired>;

/// Send the kept request to the endpoint; ends with endpoint_finished, exactly
/// once.
struct call_endpoint {
  attempt_id Attempt;
  duration Timeout{};
};

/// Answer one open call. If State is Answered, the answer is the one kept under
/// the attempt's id.
struct report_attempt {
  call_handle Call{};
  attempt_id Attempt;
  attempt_state State = attempt_state::NotRun;
  attempt_refusal Refusal = attempt_refusal::None;
  agent_load Load;
};

/// Drop the request and the answer kept under the attempt's id.
struct release_attempt {
  attempt_id Attempt;
};

/// A drain is over: nothing runs, nothing is queued, and for the linger time
/// nothing was refused or answered. The process may exit.
struct agent_drained {};

/// Send agent_timer_fired at this time; replaces the earlier one.
struct agent_wake_at {
  time_point At{};
};

using attempt_command =
    std::variant<call_endpoint, report_attempt, release_attempt, agent_drained,
                 agent_wake_at>;

} // namespace geraniumpaddle
