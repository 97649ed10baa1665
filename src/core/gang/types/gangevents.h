#pragma once

#include "core/gang/types/gangmessages.h"
#include "core/ledger/types/verdict.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// Id of a peer's call until it is answered; assigned by the adapter.
enum class peer_call_id : std::uint64_t {};
/// Id of a call to the worker; assigned by the core, increasing.
enum class worker_call_id : std::uint64_t {};
/// Id of a call from the lead to a member; assigned by the core, increasing.
enum class member_call_id : std::uint64_t {};

/// Origin of a call that has to be answered.
enum class call_origin : std::uint8_t {
  Peer,      ///< arrived over the peer interface
  LocalLead, ///< a lead in the same agent; answered inside the core
};

/// Handle of a call that is answered exactly once, immediately or later.
struct reply_handle {
  call_origin Origin = call_origin::Peer;
  std::uint64_t Id = 0;
};

/// A call by a peer; answered by one gang_reply with the same handle.
template <typename Message> struct peer_request {
  reply_handle Reply;
  Message Body;
};

/// The agent has just started; must be the first event.
struct agent_started {};

/// Result of a send_to_member command.
struct member_answered {
  fencing_token Token{};
  worker_id Worker;
  member_call_id Call{};
  bool Answered = false; ///< false: no answer within the time limit
  member_report Report;
};

/// Result of a report_started or report_ended command. Unless Determined, it
/// is not known whether the record was appended.
struct report_answered {
  fencing_token Token{};
  bool Ended = false; ///< false: report_started
  bool Determined = false;
  bool Accepted = false;
  rejection Reason = rejection::None;
};

/// State of a task as its worker reports it.
enum class task_state : std::uint8_t {
  Running,
  Finished,
  Failed,
  Stopped, ///< on request, or because its lease expired
  Checkpointing,
};

struct task_status {
  gang_task_id Id;
  task_state State = task_state::Running;
  accelerator_mask Accelerators = 0;
  duration LeaseLeft{};
  std::string Detail;
};

/// A call that was not sent counts as Unanswered: it is repeated, while a start
/// that is refused fails the task.
enum class worker_answer : std::uint8_t {
  Answered,
  Refused,    ///< the worker rejected the call
  Unanswered, ///< the worker may or may not have executed it
};

/// Result of any command to the worker.
struct worker_answered {
  worker_call_id Call{};
  worker_answer Outcome = worker_answer::Unanswered;
  bool Complete = false; ///< answer of describe: Tasks lists all tasks
  std::vector<task_status> Tasks;
};

/// The time set by the last set_gang_timer has been reached.
struct gang_timer_expired {};

/// Input events of a gang_registry.
using gang_event =
    std::variant<agent_started, peer_request<assign_gang>,
                 peer_request<stop_gang>, peer_request<prepare_tasks>,
                 peer_request<start_tasks>, peer_request<renew_tasks>,
                 peer_request<stop_tasks>, member_answered, report_answered,
                 worker_answered, gang_timer_expired>;

} // namespace geraniumpaddle
