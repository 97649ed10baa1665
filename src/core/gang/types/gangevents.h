#pragma once

#include "core/gang/types/gangmessages.h"
#include "core/ledger/types/verdict.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// Names a peer's call until it is answered; chosen by the adapter.
enum class peer_call_id : std::uint64_t {};
/// Names a call to the worker; chosen by the core, rising.
enum class worker_call_id : std::uint64_t {};
/// Names a call from the lead to a member; chosen by the core, rising.
enum class member_call_id : std::uint64_t {};

/// Whose call has to be answered.
enum class call_origin : std::uint8_t {
  Peer,    ///< arrived over the peer interface
  OwnLead, ///< a lead in the same agent; answered inside the core
};

/// Handle of a call that is answered once, at once or later.
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

/// State of a task as its worker tells it.
enum class task_state : std::uint8_t {
  Running,
  Finished,
  Failed,
  Stopped, ///< by request, or because its lease lapsed
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
  Refused,    ///< the worker answered that it will not act
  Unanswered, ///< it may or may not have acted
};

/// Result of any command to the worker.
struct worker_answered {
  worker_call_id Call{};
  worker_answer Outcome = worker_answer::Unanswered;
  bool Complete = false; ///< answer of describe: Tasks are all of its tasks
  std::vector<task_status> Tasks;
};

/// The time asked for by set_gang_timer has come.
struct gang_timer_expired {};

/// Everything that can happen to an agent's gangs.
using gang_event =
    std::variant<agent_started, peer_request<assign_gang>,
                 peer_request<stop_gang>, peer_request<prepare_tasks>,
                 peer_request<start_tasks>, peer_request<renew_tasks>,
                 peer_request<stop_tasks>, member_answered, report_answered,
                 worker_answered, gang_timer_expired>;

} // namespace geraniumpaddle
