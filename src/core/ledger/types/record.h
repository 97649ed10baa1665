#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/resources.h"
#include "core/base/types/time.h"
#include "core/placement/types/placementtypes.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// Limits on a customer's requests; 0 means unlimited.
struct request_limits {
  double RatePerSecond = 0;
  std::int32_t Burst = 0;
  std::int32_t InFlight = 0;

  friend auto operator<=>(const request_limits &,
                          const request_limits &) = default;
};

/// Configuration of one customer.
struct customer_config {
  customer_id Id;
  std::string DisplayName;
  std::vector<guarantee> Guarantees;
  request_limits Limits;
  /// Most accelerators that the customer's jobs may hold at once, reserved and
  /// borrowed ones together; 0: unlimited.
  std::int32_t MaxAccelerators = 0;
  /// Salted hash of the customer's token, as printed by the hash library.
  std::string TokenHash;

  friend auto operator<=>(const customer_config &,
                          const customer_config &) = default;
};

/// How a change of the customer configuration was requested.
enum class change_source : std::uint8_t { Command, Sheet };

/// Creates, replaces and removes customers atomically. Base is the version that
/// the change was made against (optimistic concurrency).
struct customers_changed {
  config_version Base{};
  std::vector<customer_config> Put;
  std::vector<customer_id> Removed;
  change_source Source = change_source::Command;
  std::string SourceDetail; ///< sheet name and row, or the command
};

/// An entry process announces its addresses.
struct entry_announced {
  node_id Node;
  region_id Region;
  availability_zone_id Zone;
  std::string PeerAddress; ///< ip:port of its peer interface
  std::string HttpAddress; ///< ip:port of its HTTP interface
};

/// An agent announces its worker and, if it has one, its endpoint.
struct worker_registered {
  worker_info Worker;
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress; ///< ip:port of the agent's peer interface
  service_id Service;      ///< empty if the agent has no endpoint
  std::int32_t Slots = 0;  ///< concurrent requests that the endpoint serves
};

enum class worker_state : std::uint8_t { Active, Draining, Quarantined, Lost };
enum class state_cause : std::uint8_t {
  Announced,
  OperatorRequest,
  GracefulShutdown,
  HeartbeatTimeout,
  TaskFailures,
  ProbeSucceeded,
};

/// Changes whether jobs may be placed on a worker.
struct worker_state_changed {
  worker_id Worker;
  incarnation AgentIncarnation{};
  worker_state State = worker_state::Active;
  state_cause Cause = state_cause::Announced;
};

/// Resource requirements of one task.
struct task_spec {
  resources Need;

  friend bool operator==(const task_spec &, const task_spec &) = default;
};

/// A gang of tasks that run together or not at all.
struct job_spec {
  job_id Id;
  customer_id Customer;
  std::vector<task_spec> Tasks;
  adjacency Adjacency = adjacency::Any;
  bool Urgent = false;
  bool Idempotent = true; ///< false: not placed again once it has started
  std::chrono::seconds DeclaredRunTime{0}; ///< hint for the scheduler only
  std::string Command;                     ///< opaque to the scheduler

  friend bool operator==(const job_spec &, const job_spec &) = default;
};

struct job_submitted {
  job_spec Spec;
};

/// Assigns every task of one attempt to a worker. If the record is accepted,
/// its offset becomes the fencing token of the attempt, and the attempts in
/// Victims are preempted.
struct job_placed {
  job_id Job;
  std::uint32_t Attempt = 0; ///< 1 for the first
  std::vector<task_assignment> Assignments;
  std::vector<fencing_token> Victims;
};

/// Every member is prepared; the start barrier may open.
struct job_started {
  job_id Job;
  fencing_token Token{};
};

enum class job_outcome : std::uint8_t {
  Succeeded,
  Failed,       ///< a task ended with an error
  Aborted,      ///< did not start or did not finish; may be placed again
  Preempted,    ///< stopped to honour a guarantee; may be placed again
  LeaseExpired, ///< the gang lost a member or its lead; may be placed again
  Cancelled,
  NeverFits, ///< no combination of the registered workers can run it
};

/// An attempt has ended and has released all its accelerators.
struct job_ended {
  job_id Job;
  fencing_token Token{};
  job_outcome Outcome = job_outcome::Succeeded;
  worker_id BlamedWorker; ///< worker of the task that failed; empty: none
  std::string Detail;
};

struct job_cancelled {
  job_id Job;
};

/// Part of a snapshot of the ledger after the record at offset Covered.
struct snapshot_chunk {
  log_offset Covered{};
  std::uint32_t Index = 0;
  std::uint32_t Count = 0;
  std::uint64_t Checksum = 0; ///< of the whole snapshot
  std::string Payload;
};

using record_body =
    std::variant<customers_changed, entry_announced, worker_registered,
                 worker_state_changed, job_submitted, job_placed, job_started,
                 job_ended, job_cancelled, snapshot_chunk>;

/// Identifies a record by its producer, the producer's incarnation and a
/// sequence number, so that duplicates are recognized.
struct producer {
  node_id Node;
  incarnation Incarnation{};
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const producer &, const producer &) = default;
};

/// A record of the log: a proposal that is accepted or rejected when it is
/// applied.
struct record {
  producer Producer;
  actor_id Actor;
  wall_time At{};
  record_body Body;
};

} // namespace geraniumpaddle
