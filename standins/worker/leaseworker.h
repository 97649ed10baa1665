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

/// How a task's command is carried out.
struct task_script {
  duration RunTime = duration::max(); ///< max: never ends by itself
  bool Fails = false;                 ///< at the end of RunTime
  bool CheckpointEnds = true;
};

/// Understands `sleep:MS`, `fail:MS`, `hang` and `checkpoint-never`.
/// \returns nothing for any other command.
std::optional<task_script> parseScript(std::string_view Command);

/// One run of one task; Ended is empty while it runs.
struct run_record {
  std::string Task;
  accelerator_mask Accelerators = 0;
  time_point Started{};
  std::optional<time_point> Ended;
  worker_task_state State = worker_task_state::Running;
};

/// Answer to a call on the worker.
enum class worker_verdict : std::uint8_t {
  Done,
  NotFound, ///< no such task
  Busy,     ///< accelerators, cores or memory are in use
  Invalid,  ///< a command or shape that the worker cannot run
};

/// A worker that runs tasks under leases, in memory only. A stop bars a start
/// of the same task that comes later.
class lease_worker {
public:
  explicit lease_worker(const resources &Capacity) : Capacity(Capacity) {}

  worker_verdict start(const worker_start &Start, time_point Now);
  /// Extends the leases of those of \p Tasks that run.
  worker_verdict renew(std::span<const std::string> Tasks, duration Lease,
                       time_point Now);
  worker_verdict checkpoint(std::string_view Task, time_point Now);
  worker_verdict throttle(std::string_view Task, int Percent, time_point Now);
  worker_verdict stop(std::string_view Task, time_point Now);
  /// Ends tasks whose lease or run time is over.
  void advance(time_point Now);

  /// Every task that fails at once from now on, whatever its command.
  void failAllTasks(bool Fail) { FailAll = Fail; }

  const resources &capacity() const { return Capacity; }
  resources busy() const;
  std::vector<worker_task> describe(time_point Now) const;
  /// Those of \p Tasks that are known.
  std::vector<worker_task> describe(std::span<const std::string> Tasks,
                                    time_point Now) const;
  std::span<const run_record> history() const { return History; }
  /// When advance() has something to do; time_point::max() if never.
  time_point nextWakeup() const;

private:
  struct task {
    worker_start Start;
    task_script Script;
    worker_task_state State = worker_task_state::Running;
    time_point LeaseUntil{};
    time_point EndsAt{};
    time_point SavedAt{};      ///< last finished checkpoint, or the start
    time_point CheckpointAt{}; ///< end of the one that is being taken
    int Percent = 100;
    std::size_t Run = 0;

    bool lives() const;
  };

  task *findLive(std::string_view Name);
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
