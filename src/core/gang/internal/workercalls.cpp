#include "core/gang/workercalls.h"

namespace geraniumpaddle {

worker_call_id worker_calls::open(kind Kind,
                                  std::span<const gang_task_id> Ids) {
  const worker_call_id Call{++Last};
  Open.emplace(Call, open_call{Kind, {Ids.begin(), Ids.end()}});
  return Call;
}

worker_call_id worker_calls::describe() {
  const worker_call_id Call = open(kind::Describe, {});
  Commands.emplace_back(worker_describe{Call});
  return Call;
}

worker_call_id worker_calls::start(const gang_task_id &Id,
                                   const gang_task &Task,
                                   std::string_view Command, duration Lease) {
  const worker_call_id Call = open(kind::Start, std::span(&Id, 1));
  Commands.emplace_back(
      worker_start_task{Call, Id, Task.Assignment.Accelerators, Task.Need,
                        std::string(Command), Lease});
  return Call;
}

worker_call_id worker_calls::renew(std::span<const gang_task_id> Ids,
                                   duration Lease) {
  const worker_call_id Call = open(kind::Renew, Ids);
  Commands.emplace_back(
      worker_renew_tasks{Call, {Ids.begin(), Ids.end()}, Lease});
  return Call;
}

worker_call_id worker_calls::checkpoint(const gang_task_id &Id) {
  const worker_call_id Call = open(kind::Checkpoint, std::span(&Id, 1));
  Commands.emplace_back(worker_checkpoint_task{Call, Id});
  return Call;
}

worker_call_id worker_calls::stop(const gang_task_id &Id) {
  const worker_call_id Call = open(kind::Stop, std::span(&Id, 1));
  Commands.emplace_back(worker_stop_task{Call, Id});
  return Call;
}

std::optional<worker_calls::open_call>
worker_calls::close(worker_call_id Call) {
  const auto Found = Open.find(Call);
  if (Found == Open.end())
    return std::nullopt;
  open_call Closed = std::move(Found->second);
  Open.erase(Found);
  return Closed;
}

} // namespace geraniumpaddle
