#include "core/gang/workercalls.h"

namespace geraniumpaddle {

worker_call_id worker_calls::add(kind Kind, std::span<const gang_task_id> Ids) {
  const worker_call_id Call{++Last};
  PendingCalls.emplace(Call, pending_call{Kind, {Ids.begin(), Ids.end()}});
  return Call;
}

worker_call_id worker_calls::describe() {
  const worker_call_id Call = add(kind::Describe, {});
  Commands.emplace_back(worker_describe{Call});
  return Call;
}

worker_call_id worker_calls::start(const gang_task_id &Id,
                                   const gang_task &Task,
                                   std::string_view Command, duration Lease) {
  const worker_call_id Call = add(kind::Start, std::span(&Id, 1));
  Commands.emplace_back(
      worker_start_task{Call, Id, Task.Assignment.Accelerators, Task.Need,
                        std::string(Command), Lease});
  return Call;
}

worker_call_id worker_calls::renew(std::span<const gang_task_id> Ids,
                                   duration Lease) {
  const worker_call_id Call = add(kind::Renew, Ids);
  Commands.emplace_back(
      worker_renew_tasks{Call, {Ids.begin(), Ids.end()}, Lease});
  return Call;
}

worker_call_id worker_calls::checkpoint(const gang_task_id &Id) {
  const worker_call_id Call = add(kind::Checkpoint, std::span(&Id, 1));
  Commands.emplace_back(worker_checkpoint_task{Call, Id});
  return Call;
}

worker_call_id worker_calls::stop(const gang_task_id &Id) {
  const worker_call_id Call = add(kind::Stop, std::span(&Id, 1));
  Commands.emplace_back(worker_stop_task{Call, Id});
  return Call;
}

std::optional<worker_calls::pending_call>
worker_calls::complete(worker_call_id Call) {
  const auto Found = PendingCalls.find(Call);
  if (Found == PendingCalls.end())
    return std::nullopt;
  pending_call Completed = std::move(Found->second);
  PendingCalls.erase(Found);
  return Completed;
}

} // namespace geraniumpaddle
