#pragma once

#include "core/base/types/resources.h"
#include "core/base/types/time.h"
#include "core/placement/types/placementtypes.h"
#include "transport/ihttpclient.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

enum class worker_task_state : std::uint8_t {
  Running,
  Finished,
  Failed,
  Stopped, ///< on request, or because its lease expired
  Checkpointing,
};

struct worker_task {
  std::string Task;
  worker_task_state State = worker_task_state::Running;
  accelerator_mask Accelerators = 0;
  duration LeaseLeft{};
  duration CheckpointAge{};
  std::string Detail;
};

struct worker_start {
  std::string Task;
  accelerator_mask Accelerators = 0;
  resources Need;
  std::string Command;
  duration Lease{};
};

/// Result of a call: the state of the tasks that it names, or of all tasks.
struct worker_result {
  call_status Status = call_status::NotSent;
  bool Refused = false; ///< the worker refused to act
  resources Capacity;   ///< set by describe() only
  std::vector<worker_task> Tasks;
};

struct worker_usage {
  call_status Status = call_status::NotSent;
  duration Age{};
  resources Busy;
};

using worker_callback = std::function<void(const worker_result &)>;

/// Lease interface of a worker to its agent. An answer may be lost after the
/// worker has acted; start() and stop() are idempotent for each task.
class iworker {
public:
  virtual ~iworker() = default;

  virtual void describe(worker_callback Done) = 0;
  virtual void start(const worker_start &Start, worker_callback Done) = 0;
  virtual void renew(std::span<const std::string> Tasks, duration Lease,
                     worker_callback Done) = 0;
  virtual void checkpoint(std::string_view Task, worker_callback Done) = 0;
  virtual void throttle(std::string_view Task, int Percent,
                        worker_callback Done) = 0;
  virtual void stop(std::string_view Task, worker_callback Done) = 0;
  virtual void usage(std::function<void(const worker_usage &)> Done) = 0;
};

} // namespace geraniumpaddle
