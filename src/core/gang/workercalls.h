#pragma once

#include "core/gang/types/gangcommands.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Assigns ids to the calls to the worker and tracks the unanswered ones.
class worker_calls {
public:
  enum class kind : std::uint8_t { Describe, Start, Renew, Checkpoint, Stop };

  struct pending_call {
    kind Kind = kind::Describe;
    std::vector<gang_task_id> Ids; ///< empty for Describe
  };

  /// \param Commands receives the calls.
  explicit worker_calls(std::vector<gang_command> &Commands)
      : Commands(Commands) {}

  worker_call_id describe();
  worker_call_id start(const gang_task_id &Id, const gang_task &Task,
                       std::string_view Command, duration Lease);
  worker_call_id renew(std::span<const gang_task_id> Ids, duration Lease);
  worker_call_id checkpoint(const gang_task_id &Id);
  worker_call_id stop(const gang_task_id &Id);

  /// \returns the call that was answered; nothing if it is not pending.
  std::optional<pending_call> complete(worker_call_id Call);
  /// Id of the latest call.
  worker_call_id last() const { return worker_call_id{Last}; }

private:
  worker_call_id add(kind Kind, std::span<const gang_task_id> Ids);

  std::vector<gang_command> &Commands;
  std::map<worker_call_id, pending_call> PendingCalls;
  std::uint64_t Last = 0;
};

} // namespace geraniumpaddle
