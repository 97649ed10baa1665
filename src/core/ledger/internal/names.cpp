#include "core/ledger/types/state.h"

#include <array>
#include <cstddef>

namespace geraniumpaddle {

namespace {

template <std::size_t Size, typename Enum>
std::string_view lookUp(const std::array<std::string_view, Size> &Names,
                        Enum Value) {
  auto Index = static_cast<std::size_t>(Value);
  return Index < Size ? Names[Index] : std::string_view("unknown");
}

} // namespace

std::string_view name(rejection Reason) {
  static constexpr std::array<std::string_view, 17> Names{
      "none",
      "repeated",
      "version_conflict",
      "unknown_customer",
      "unknown_job",
      "unknown_worker",
      "job_exists",
      "job_not_waiting",
      "stale_token",
      "stale_incarnation",
      "guarantees_do_not_pack",
      "guarantee_violated",
      "capacity_taken",
      "limit_exceeded",
      "incomplete_gang",
      "invalid_record",
      "snapshot_not_usable",
  };
  return lookUp(Names, Reason);
}

std::string_view name(job_state State) {
  static constexpr std::array<std::string_view, 5> Names{
      "waiting", "placed", "running", "cancelling", "ended"};
  return lookUp(Names, State);
}

std::string_view name(worker_state State) {
  static constexpr std::array<std::string_view, 4> Names{"active", "draining",
                                                         "quarantined", "lost"};
  return lookUp(Names, State);
}

std::string_view name(state_cause Cause) {
  static constexpr std::array<std::string_view, 6> Names{
      "announced",         "operator_request", "graceful_shutdown",
      "heartbeat_timeout", "task_failures",    "probe_succeeded"};
  return lookUp(Names, Cause);
}

std::string_view name(job_outcome Outcome) {
  static constexpr std::array<std::string_view, 7> Names{
      "succeeded",    "failed",    "aborted",   "preempted",
      "lease_lapsed", "cancelled", "never_fits"};
  return lookUp(Names, Outcome);
}

std::string_view name(job_step_kind Step) {
  static constexpr std::array<std::string_view, 7> Names{
      "submitted", "placed",           "started", "requeued",
      "preempted", "cancel_requested", "ended"};
  return lookUp(Names, Step);
}

std::string_view name(record_kind Kind) {
  static constexpr std::array<std::string_view, 11> Names{
      "customers_changed",    "entry_announced", "worker_registered",
      "worker_state_changed", "job_submitted",   "job_placed",
      "job_started",          "job_ended",       "job_cancelled",
      "snapshot_chunk",       "malformed"};
  return lookUp(Names, Kind);
}

} // namespace geraniumpaddle
