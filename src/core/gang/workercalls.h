#pragma once

#include "core/gang/types/gangcommands.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Numbers the calls to the worker and remembers those without an answer.
class worker_calls {
public:
  enum class kind : std::uint8_t { Describe, Start, Renew, Checkpoint, Stop };

  struct open_call {
    kind Kind = kind::Describe;
    std::vector<gang_task_id> Ids; ///< empty for describe
  };

  /// \param Commands where the calls are put.
  explicit worker_calls(std::vector<gang_command> &Commands)
      : Commands(Commands) {}

  worker_call_id describe();
  worker_call_id start(const gang_task_id &Id, const gang_task &Task,
                       std::string_view Command, duration Lease);
  worker_call_id renew(std::span<const gang_task_id> Ids, duration Lease);
  worker_call_id checkpoint(const gang_task_id &Id);
  worker_call_id stop(const gang_task_id &Id);

  /// \returns the call that was answered; nothing if it is not open.
  std::optional<open_call> close(worker_call_id Call);
  /// The newest call.
  worker_call_id last() const { return worker_call_id{Last}; }

private:
  worker_call_id open(kind Kind, std::span<const gang_task_id> Ids);

  std::vector<gang_command> &Commands;
  std::map<worker_call_id, open_call> Open;
  std::uint64_t Last = 0;
};

} // namespace geraniumpaddle
