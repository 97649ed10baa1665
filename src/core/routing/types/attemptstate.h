#pragma once

#include <cstdint>
#include <string_view>

namespace geraniumpaddle {

/// State of an attempt, as reported by an agent or inferred from how the call
/// to the agent ended.
enum class attempt_state : std::uint8_t {
  Answered,         ///< the report carries the endpoint's complete answer
  NotRun,           ///< refused; nothing was sent to the endpoint
  Running,          ///< queued at the agent or sent to the endpoint
  Barred,           ///< unknown to the agent, and refused from now on
  Undetermined,     ///< sent to the endpoint; the answer is lost
  OtherIncarnation, ///< the addressed incarnation of the agent has ended
  NotSent,          ///< the call was not written to any connection
  Lost,             ///< the call failed or timed out without a report
};

/// Why an agent refused an attempt. In none of these cases did this agent run
/// it.
enum class attempt_refusal : std::uint8_t {
  None,
  Draining,
  WrongIncarnation,
  QueueFull,
  Barred,          ///< an earlier query barred the attempt
  EndpointDown,    ///< no connection to the endpoint could be established
  DeadlineExpired, ///< the deadline had passed on arrival or in the queue
};

/// Load of an agent when it made a report.
struct agent_load {
  std::uint32_t InFlight = 0; ///< requests at the endpoint
  std::uint32_t Queued = 0;   ///< requests waiting for a slot

  friend bool operator==(const agent_load &, const agent_load &) = default;
};

/// Stable lower-case names, for logs and metrics.
std::string_view name(attempt_state State);
std::string_view name(attempt_refusal Refusal);

} // namespace geraniumpaddle
