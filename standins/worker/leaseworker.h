#pragma once

#include "core/base/types/time.h"
#include "platform/iworker.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle::standins {

/// Simulated course of a task, parsed from its command.
struct task_script {
  duration RunTime = duration::max(); ///< max: does not end by itself
  bool Fails = false;                 ///< when RunTime is over
  bool CheckpointCompletes = true;
};

/// Parses `sleep:MS`, `fail:MS`, `hang` and `checkpoint-never`.
/// \returns nothing for any other command.
std::optional<task_script> parseScript(std::string_view Command);

/// One run of a task; Ended is empty while it runs.
struct run_record {
  std::string Task;
  accelerator_mask Accelerators = 0;
  time_point Started{};
  std::optional<time_point> Ended;
  worker_task_state State = worker_task_state::Running;
};

/// Result of a call to the worker.
enum class worker_verdict : std::uint8_t {
  Done,
  NotFound, ///< no such task
  Busy,     ///< accelerators, cores or memory are in use
  Invalid,  ///< unknown command or invalid accelerators
};

/// In-memory worker that simulates tasks under leases. stop() bars later starts
/// of the same task.
class lease_worker {
public:
  explicit lease_worker(const resources &Capacity) : Capacity(Capacity) {}

  worker_verdict start(const worker_start &Start, time_point Now);
  /// Extends the leases of the running tasks among \p Tasks.
  worker_verdict renew(std::span<const std::string> Tasks, duration Lease,
                       time_point Now);
  worker_verdict checkpoint(std::string_view Task, time_point Now);
  worker_verdict throttle(std::string_view Task, int Percent, time_point Now);
  worker_verdict stop(std::string_view Task, time_point Now);
  /// Ends tasks whose lease has expired or whose run time is over.
  void advance(time_point Now);

  /// Makes every task started from now on fail at once, whatever its command.
  void failAllTasks(bool Fail) { FailAll = Fail; }

  const resources &capacity() const { return Capacity; }
  resources usedResources() const;
  std::vector<worker_task> describe(time_point Now) const;
  /// Describes those of \p Tasks that are known.
  std::vector<worker_task> describe(std::span<const std::string> Tasks,
                                    time_point Now) const;
  std::span<const run_record> history() const { return History; }
  /// When advance() is due next; time_point::max() if never.
  time_point nextTimerAt() const;

private:
  struct task {
    worker_start Start;
    task_script Script;
    worker_task_state State = worker_task_state::Running;
    time_point LeaseEndsAt{};
    time_point EndsAt{};
    time_point LastCheckpointAt{}; ///< last completed checkpoint, or the start
    time_point CheckpointEndsAt{}; ///< end of the checkpoint being taken
    int Percent = 100;
    std::size_t Run = 0;

    bool isActive() const;
  };

  task *findActive(std::string_view Name);
  bool fits(const worker_start &Start) const;
  void end(task &Task, worker_task_state State, time_point At);
  void advanceTask(task &Task, time_point Now);
  worker_task view(const task &Task, time_point Now) const;

  const resources Capacity;
  bool FailAll = false;
  std::map<std::string, task, std::less<>> Tasks;
  std::vector<run_record> History;
};

} // namespace geraniumpaddle::standins
