#include "core/routing/types/attemptstate.h"
#include "core/routing/types/requestoutcome.h"

namespace geraniumpaddle {

std::string_view name(attempt_state State) {
  switch (State) {
  case attempt_state::Answered:
    return "answered";
  case attempt_state::NotRun:
    return "not_run";
  case attempt_state::Running:
    return "running";
  case attempt_state::Barred:
    return "barred";
  case attempt_state::Undetermined:
    return "undetermined";
  case attempt_state::OtherIncarnation:
    return "other_run";
  case attempt_state::NotSent:
    return "not_sent";
  case attempt_state::Lost:
    return "lost";
  }
  return "lost";
}

std::string_view name(attempt_refusal Refusal) {
  switch (Refusal) {
  case attempt_refusal::None:
    return "none";
  case attempt_refusal::Draining:
    return "draining";
  case attempt_refusal::WrongIncarnation:
    return "wrong_incarnation";
  case attempt_refusal::QueueFull:
    return "queue_full";
  case attempt_refusal::Barred:
    return "barred";
  case attempt_refusal::EndpointDown:
    return "endpoint_down";
  case attempt_refusal::DeadlineExpired:
    return "deadline_expired";
  }
  return "none";
}

std::string_view name(outcome_kind Kind) {
  switch (Kind) {
  case outcome_kind::Answered:
    return "answered";
  case outcome_kind::NotRun:
    return "not_run";
  case outcome_kind::Undetermined:
    return "undetermined";
  }
  return "undetermined";
}

std::string_view name(not_run_reason Reason) {
  switch (Reason) {
  case not_run_reason::None:
    return "none";
  case not_run_reason::UnknownCustomer:
    return "unknown_customer";
  case not_run_reason::UnknownService:
    return "unknown_service";
  case not_run_reason::RateLimited:
    return "rate_limited";
  case not_run_reason::InFlightLimited:
    return "in_flight_limited";
  case not_run_reason::Overloaded:
    return "overloaded";
  case not_run_reason::DeadlineExpired:
    return "deadline_expired";
  case not_run_reason::NoEndpointAvailable:
    return "no_endpoint_available";
  case not_run_reason::ShuttingDown:
    return "shutting_down";
  }
  return "none";
}

} // namespace geraniumpaddle
