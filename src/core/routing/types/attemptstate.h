#pragma once

#include <cstdint>
#include <string_view>

namespace geraniumpaddle {

/// What is known of an attempt, as an agent reports it or as the call to the
/// agent ended.
enum class attempt_state : std::uint8_t {
  Answered,     ///< the endpoint's whole answer is in the report
  NotRun,       ///< refused; the endpoint saw nothing
  Running,      ///< queued at the agent or sent to the endpoint
  Barred,       ///< never seen by the agent, and refused from now on
  Undetermined, ///< reached the endpoint; the answer is lost
  OtherRun,     ///< the addressed run of the agent is gone
  NotSent,      ///< the call was never written to a connection
  Lost,         ///< the call broke or timed out without a report
};

/// Why an agent refused an attempt. Nothing was done in any of these cases.
enum class attempt_refusal : std::uint8_t {
  None,
  Draining,
  WrongIncarnation,
  QueueFull,
  Barred,          ///< an earlier query barred the attempt
  EndpointDown,    ///< no connection to the endpoint could be made
  DeadlineExpired, ///< its deadline passed while it was queued
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
