#pragma once

#include "core/gang/types/gangevents.h"

#include <string>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// Answers a peer's call. For assign_gang and stop_gang only the refusal
/// counts: None is the acknowledgement.
struct gang_reply {
  reply_handle Reply;
  member_report Report;
};

using member_message =
    std::variant<prepare_tasks, start_tasks, renew_tasks, stop_tasks>;

/// Calls the agent of another worker; answered by one member_answered.
struct send_to_member {
  fencing_token Token{};
  worker_id Worker;
  std::string PeerAddress;
  member_call_id Call{};
  duration Timeout{};
  member_message Message;
};

/// Asks any entry to record that the gang is prepared; answered by one
/// report_answered. The barrier stays closed until the record is accepted.
struct report_started {
  job_id Job;
  fencing_token Token{};
};

/// Asks any entry to record the end of the attempt; answered by one
/// report_answered.
struct report_ended {
  job_id Job;
  fencing_token Token{};
  job_outcome Outcome = job_outcome::Succeeded;
  worker_id BlamedWorker;
  std::string Detail;
};

/// Commands to the worker; each is answered by one worker_answered.
struct worker_describe {
  worker_call_id Call{};
};
struct worker_start_task {
  worker_call_id Call{};
  gang_task_id Id;
  accelerator_mask Accelerators = 0;
  resources Need;
  std::string Command;
  duration Lease{};
};
struct worker_renew_tasks {
  worker_call_id Call{};
  std::vector<gang_task_id> Ids;
  duration Lease{};
};
struct worker_checkpoint_task {
  worker_call_id Call{};
  gang_task_id Id;
};
struct worker_stop_task {
  worker_call_id Call{};
  gang_task_id Id;
};

/// Send gang_timer_expired at this time; replaces the previous timer.
/// time_point::max(): no timer is needed.
struct set_gang_timer {
  time_point At{};
};

using gang_command =
    std::variant<gang_reply, send_to_member, report_started, report_ended,
                 worker_describe, worker_start_task, worker_renew_tasks,
                 worker_checkpoint_task, worker_stop_task, set_gang_timer>;

} // namespace geraniumpaddle
