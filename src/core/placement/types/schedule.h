#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/resources.h"
#include "core/base/types/time.h"
#include "core/placement/types/shapes.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

class capacity_account;

/// What a deployment weighs more.
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
  time_point WaitingSince; ///< when this process first saw it waiting
};

/// An attempt that holds capacity; its tasks are in the account.
struct running_attempt {
  job_id Job;
  fencing_token Token{};
  customer_id Customer;
  bool Borrowed = false;  ///< any task lies beyond its customer's guarantee
  bool Idempotent = true; ///< false: it could not run again if preempted
  bool Urgent = false;
  std::chrono::seconds DeclaredRunTime{0};
  time_point StartedAt;
  time_point CheckpointAt; ///< last checkpoint; StartedAt if there is none
  adjacency Adjacency = adjacency::Any; ///< as the job asked for
};

/// The state a decision is made on.
struct schedule_view {
  std::span<const waiting_job> Waiting; ///< in order of submission
  std::span<const running_attempt> Running;
  const capacity_account &Account;
};

/// A gang to place, and the attempts that give way to it.
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
  NoFreeCapacity,     ///< no free capacity within the adjacency asked for
  OwnLimit,           ///< the customer is at its own limit
  GuaranteeInUse,     ///< the customer's guarantee is used up, and no free
                      ///< capacity can be borrowed
  ReservedForStarved, ///< free capacity is kept for a job that starves
  GuaranteeShortfall, ///< capacity is missing for the guarantees
  NeverFits,          ///< no set of registered workers can hold it
};

/// Stable lower-case name of \p Reason.
std::string_view name(wait_reason Reason);

/// The constraint that a job can never meet on the registered workers.
enum class unmet_constraint : std::uint8_t {
  None,
  TaskAccelerators, ///< one task needs more accelerators than any worker has
  TaskCores,        ///< one task needs more cores than any worker gives
  TaskMemory,       ///< one task needs more memory than any worker gives
  GangAdjacency,    ///< no region, zone, rack or worker holds the whole gang
  GangSize,         ///< all workers together do not hold the gang
  CustomerLimit,    ///< the gang is larger than its customer's limit
};

/// Stable lower-case name of \p Constraint.
std::string_view name(unmet_constraint Constraint);

/// Why one job waits, or that it is proposed.
struct job_explanation {
  job_id Job;
  wait_reason Reason = wait_reason::NoFreeCapacity;
  adjacency Within = adjacency::Any;               ///< as asked for by the job
  unmet_constraint Unmet = unmet_constraint::None; ///< with NeverFits
  job_id ReservedFor;                              ///< with ReservedForStarved

  friend bool operator==(const job_explanation &,
                         const job_explanation &) = default;
};

/// Outcome of a decision.
struct schedule {
  std::span<const placement_proposal> Proposals; ///< in the order to propose
  std::span<const job_explanation> Explanations; ///< one per waiting job
};

/// An attempt that ran to its end.
struct run_observation {
  customer_id Customer;
  std::chrono::seconds Declared{0};
  std::chrono::seconds Actual{0};
};

} // namespace geraniumpaddle
