#pragma once

#include "core/ledger/types/record.h"
#include "core/ledger/types/verdict.h"
#include "core/placement/types/capacityimage.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Record that made a change.
struct change_origin {
  log_offset Offset{};
  wall_time At{};
  actor_id Actor;
  change_source Source = change_source::Command;

  friend bool operator==(const change_origin &,
                         const change_origin &) = default;
};

/// A configured customer and the record that last changed it.
struct customer_entry {
  customer_config Config;
  change_origin LastChange;

  friend bool operator==(const customer_entry &,
                         const customer_entry &) = default;
};

/// A customer that a command has removed since the last sheet.
struct removed_customer {
  customer_id Id;
  change_origin Removal;

  friend bool operator==(const removed_customer &,
                         const removed_customer &) = default;
};

/// An entry process with the addresses of its latest announcement.
struct entry_member {
  node_id Node;
  incarnation Incarnation{};
  region_id Region;
  availability_zone_id Zone;
  std::string PeerAddress; ///< ip:port
  std::string HttpAddress; ///< ip:port
  log_offset Announced{};
  wall_time At{};

  friend bool operator==(const entry_member &, const entry_member &) = default;
};

/// A task failure that is attributed to a worker.
struct blamed_failure {
  job_id Job;
  log_offset Offset{};
  wall_time At{};

  friend bool operator==(const blamed_failure &,
                         const blamed_failure &) = default;
};

/// A registered worker, its agent and its endpoint.
struct worker_entry {
  worker_info Info;
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress; ///< ip:port of the agent's peer interface
  service_id Service;      ///< empty: the agent has no endpoint
  std::int32_t Slots = 0;
  worker_state State = worker_state::Active;
  /// Draining or Quarantined if an operator or task failures imposed that
  /// state; it persists while the worker is lost and across restarts of its
  /// agent. Active: none is imposed.
  worker_state ImposedState = worker_state::Active;
  state_cause Cause = state_cause::Announced;
  log_offset Registered{};   ///< registration of the agent's incarnation
  log_offset StateChanged{}; ///< record that set State
  /// Latest attributed failures, one per job, since a task succeeded on the
  /// worker or it was last activated.
  std::vector<blamed_failure> Failures;

  friend bool operator==(const worker_entry &, const worker_entry &) = default;
};

enum class job_state : std::uint8_t {
  Waiting,    ///< in the queue
  Placed,     ///< holds capacity; the start barrier is closed
  Running,    ///< holds capacity; the start barrier may be open
  Cancelling, ///< holds capacity; cancellation was requested
  Ended,
};

/// Stable lower-case name of \p State.
std::string_view name(job_state State);
/// Stable lower-case name of \p State.
std::string_view name(worker_state State);
/// Stable lower-case name of \p Cause.
std::string_view name(state_cause Cause);
/// Stable lower-case name of \p Outcome.
std::string_view name(job_outcome Outcome);

enum class job_step_kind : std::uint8_t {
  Submitted,
  Placed,
  Started,
  Requeued,  ///< the attempt ended and the job waits again
  Preempted, ///< another placement preempted it; the job waits again
  CancelRequested,
  Ended,
};

/// Stable lower-case name of \p Step.
std::string_view name(job_step_kind Step);

/// One event of a job's history.
struct job_step {
  job_step_kind Step = job_step_kind::Submitted;
  log_offset Offset{};
  wall_time At{};
  std::string Detail;

  friend bool operator==(const job_step &, const job_step &) = default;
};

/// A job and its current attempt.
struct job_entry {
  job_spec Spec;
  log_offset Submitted{};
  job_state State = job_state::Waiting;
  std::uint32_t Attempt = 0; ///< number of the latest attempt; 0: none yet
  fencing_token Token{};     ///< of the current attempt; 0: none
  bool EverStarted = false;  ///< some attempt reached Running
  job_outcome Outcome = job_outcome::Succeeded; ///< only if Ended
  log_offset Ended{};                           ///< 0 until Ended
  std::vector<task_assignment> Assignments; ///< of the current or last attempt
  std::vector<job_step> Steps; ///< oldest first, at most job_table::MaxSteps

  /// True while the job holds capacity.
  bool holdsCapacity() const { return Token != fencing_token{}; }
  friend bool operator==(const job_entry &, const job_entry &) = default;
};

/// Kinds of audit events: one for each alternative of record_body, in the same
/// order, and Malformed for records that cannot be decoded.
enum class record_kind : std::uint8_t {
  CustomersChanged,
  EntryAnnounced,
  WorkerRegistered,
  WorkerStateChanged,
  JobSubmitted,
  JobPlaced,
  JobStarted,
  JobEnded,
  JobCancelled,
  SnapshotChunk,
  Malformed,
};

/// Kind of \p Body.
constexpr record_kind kindOf(const record_body &Body) {
  return static_cast<record_kind>(Body.index());
}
/// Stable lower-case name of \p Kind.
std::string_view name(record_kind Kind);

/// One accepted, rejected or malformed record.
struct audit_event {
  log_offset Offset{};
  wall_time At{};
  actor_id Actor;
  node_id Producer;
  record_kind Kind = record_kind::Malformed;
  customer_id Customer; ///< empty if the record concerns none or several
  job_id Job;
  verdict Verdict;
  std::string Detail;

  friend bool operator==(const audit_event &, const audit_event &) = default;
};

/// The verdict on one record of a producer.
struct sequence_verdict {
  std::uint64_t Sequence = 0;
  log_offset Offset{};
  verdict Verdict;

  friend bool operator==(const sequence_verdict &,
                         const sequence_verdict &) = default;
};

/// Deduplication state of one producer.
struct producer_entry {
  node_id Node;
  incarnation Incarnation{};
  /// Sequences up to this one have left the window and count as duplicates.
  std::uint64_t LowWatermark = 0;
  log_offset LastOffset{}; ///< last applied record of the producer
  /// The latest verdicts, by sequence; all are above the low watermark.
  std::vector<sequence_verdict> Window;

  friend bool operator==(const producer_entry &,
                         const producer_entry &) = default;
};

/// Numbers of records by result.
struct record_counts {
  std::uint64_t Accepted = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t Duplicate = 0;
  std::uint64_t Malformed = 0;
  log_offset LastMalformed{};

  friend bool operator==(const record_counts &,
                         const record_counts &) = default;
};

/// The complete state of a ledger as plain values, for snapshots. Ledgers in
/// the same state have equal images.
struct ledger_image {
  log_offset LastApplied{};
  config_version Version{};
  log_offset VersionOffset{};
  log_offset LastSheet{};
  record_counts Counts;
  std::vector<customer_entry> Customers; ///< by id
  std::vector<removed_customer> RemovedByCommand;
  std::vector<entry_member> Entries;     ///< by node
  std::vector<worker_entry> Workers;     ///< by id
  std::vector<job_entry> Jobs;           ///< by submission
  std::vector<producer_entry> Producers; ///< by node
  std::vector<audit_event> Audit;        ///< by offset
  capacity_image Capacity;

  friend bool operator==(const ledger_image &, const ledger_image &) = default;
};

} // namespace geraniumpaddle
