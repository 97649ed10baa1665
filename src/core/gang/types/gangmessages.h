#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/resources.h"
#include "core/base/types/time.h"
#include "core/ledger/types/record.h"
#include "core/placement/types/placementtypes.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// One task of a gang and the resources that it needs.
struct gang_task {
  task_assignment Assignment;
  resources Need;
};

/// A worker of a gang and its agent.
struct gang_member_info {
  worker_id Worker;
  std::string PeerAddress; ///< ip:port of the agent's peer interface
  incarnation AgentIncarnation{};
};

/// Entry to the lead agent: one accepted placement. Idempotent by token.
struct assign_gang {
  job_id Job;
  fencing_token Token{};
  std::uint32_t Attempt = 0;
  bool Idempotent = true;
  bool Started = false; ///< the ledger has accepted the attempt's job_started
  std::string Command;
  std::vector<gang_task> Tasks;
  std::vector<gang_member_info> Members;
  std::vector<fencing_token> Victims;
};

/// Entry to the lead agent: preempt or cancel an attempt.
struct stop_gang {
  fencing_token Token{};
  job_outcome Reason = job_outcome::Cancelled;
};

/// Lead to member: reserve the accelerators of these tasks. Idempotent by
/// token.
struct prepare_tasks {
  job_id Job;
  fencing_token Token{};
  std::string Command;
  std::vector<gang_task> Tasks; ///< those of the receiving worker
  std::vector<fencing_token> Victims;
};

/// Lead to member: the barrier is open, start the tasks.
struct start_tasks {
  fencing_token Token{};
  duration Lease{};
};

/// Lead to member: every member answered the previous round, renew the leases.
struct renew_tasks {
  fencing_token Token{};
  duration Lease{};
};

/// Lead to member: stop the tasks and release the accelerators of the token.
struct stop_tasks {
  fencing_token Token{};
  job_outcome Reason = job_outcome::Aborted;
  bool Checkpoint = false; ///< before the tasks are stopped
};

/// State of one attempt at a member.
enum class member_state : std::uint8_t {
  Unknown, ///< the member has no such attempt
  Waiting, ///< previous holders have not stopped yet
  Prepared,
  Running,
  Finished,
  Failed,
  Stopping,
  Stopped,
};

/// True if no task of the attempt runs on the member, nor ever will again.
constexpr bool isTerminal(member_state State) {
  return State == member_state::Finished || State == member_state::Failed ||
         State == member_state::Stopped;
}

/// Why a peer's call was refused. Nothing was done.
enum class gang_refusal : std::uint8_t {
  None,
  StaleToken, ///< the attempt has ended, or a later one replaced it
  NotReady,   ///< the state of the tasks is not known yet; may be repeated
  Invalid,
};

/// A member's answer to a call of the lead.
struct member_report {
  gang_refusal Refusal = gang_refusal::None;
  member_state State = member_state::Unknown;
  std::string Detail;
};

/// Id of a task at the worker, written "<token>/<task index>".
struct gang_task_id {
  fencing_token Token{};
  std::uint32_t Task = 0;

  friend auto operator<=>(const gang_task_id &, const gang_task_id &) = default;
};

} // namespace geraniumpaddle
