#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/resources.h"
#include "core/base/types/time.h"
#include "core/placement/types/placementtypes.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

class capacity_account;

/// What the scheduler of a deployment minimizes.
enum class objective : std::uint8_t { CompletionTime, Fragmentation };

/// A job that waits to be placed.
struct waiting_job {
  job_id Job;
  customer_id Customer;
  std::uint32_t NextAttempt = 1;    ///< number of the attempt to propose
  std::span<const resources> Needs; ///< by task index
  adjacency Adjacency = adjacency::Any;
  bool Urgent = false;
  std::chrono::seconds DeclaredRunTime{0};
  time_point WaitingSince; ///< when this process first saw the job waiting
};

/// An attempt that holds capacity; the capacity account has its tasks.
struct running_attempt {
  job_id Job;
  fencing_token Token{};
  customer_id Customer;
  bool Borrowed = false;  ///< some task is outside its customer's guarantee
  bool Idempotent = true; ///< false: it must not run again after a preemption
  bool Urgent = false;
  std::chrono::seconds DeclaredRunTime{0};
  time_point StartedAt;
  time_point CheckpointAt; ///< last checkpoint; StartedAt if there is none
  adjacency Adjacency = adjacency::Any; ///< requested by the job
};

/// Input of a scheduling decision.
struct schedule_view {
  std::span<const waiting_job> Waiting; ///< in order of submission
  std::span<const running_attempt> Running;
  const capacity_account &Account;
};

/// Proposed placement of a gang, with the attempts to preempt for it.
struct placement_proposal {
  job_id Job;
  std::uint32_t Attempt = 0;
  std::vector<task_assignment> Assignments;
  std::vector<fencing_token> Victims;

  friend bool operator==(const placement_proposal &,
                         const placement_proposal &) = default;
};

/// Why a job waits.
enum class wait_reason : std::uint8_t {
  Proposed,           ///< does not wait: a placement is proposed
  NoFreeCapacity,     ///< no free capacity within the requested adjacency
  OwnLimit,           ///< the gang would exceed its customer's limit now
  GuaranteeInUse,     ///< too little of the customer's guarantee is unused, and
                      ///< no free capacity can be borrowed
  ReservedForStarved, ///< free capacity is reserved for a starved job
  GuaranteeShortfall, ///< the usable workers cannot hold all guarantees
  NeverFits,          ///< infeasible; see unmet_constraint
};

/// Stable lower-case name of \p Reason.
std::string_view name(wait_reason Reason);

/// Constraint that makes a job infeasible: it can never be met by the
/// registered workers or under the configured limits.
enum class unmet_constraint : std::uint8_t {
  None,
  TaskAccelerators, ///< one task needs more accelerators than any worker has
  TaskCores,        ///< one task needs more cores than any worker can give it
  TaskMemory,       ///< one task needs more memory than any worker can give it
  GangAdjacency,    ///< the gang fits, but not within the requested adjacency
  GangSize,         ///< the gang does not fit on all workers together
  CustomerLimit,    ///< the gang is larger than its customer's limit
};

/// Stable lower-case name of \p Constraint.
std::string_view name(unmet_constraint Constraint);

/// Why one job waits, or that its placement is proposed.
struct job_explanation {
  job_id Job;
  wait_reason Reason = wait_reason::NoFreeCapacity;
  adjacency Within = adjacency::Any;               ///< requested by the job
  unmet_constraint Unmet = unmet_constraint::None; ///< set if NeverFits
  job_id ReservedFor; ///< set if ReservedForStarved

  friend bool operator==(const job_explanation &,
                         const job_explanation &) = default;
};

/// Result of a scheduling decision.
struct schedule {
  std::span<const placement_proposal> Proposals; ///< in the order to propose
  std::span<const job_explanation> Explanations; ///< one per waiting job
};

/// Declared and actual run time of an attempt that ran to its end.
struct run_observation {
  customer_id Customer;
  std::chrono::seconds Declared{0};
  std::chrono::seconds Actual{0};
};

} // namespace geraniumpaddle
