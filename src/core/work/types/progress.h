#pragma once

#include "core/work/types/job.h"

#include <string_view>

namespace geraniumpaddle::work {

enum class job_state : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

constexpr bool ended(job_state State) { return State >= job_state::Completed; }
/// Lower-case name, for logs.
std::string_view name(job_state State);

enum class task_state : std::uint8_t { Waiting, Running, Done, Failed };

/// One life of a worker: it may come back under its old name, knowing nothing.
struct worker_instance {
  worker_id Worker;
  std::uint64_t StartTimeMs = 0; ///< milliseconds since 1970, of its start

  friend auto operator<=>(const worker_instance &,
                          const worker_instance &) = default;
};

struct task_progress {
  task_state State = task_state::Waiting;
  std::uint32_t Run = 0;      ///< the last one that was given out
  std::uint32_t Failures = 0; ///< runs that ended failed; of a gang: its own
  worker_instance LastWorker; ///< of the last run
  std::string Checkpoint;     ///< newest known; empty: none

  friend bool operator==(const task_progress &,
                         const task_progress &) = default;
};

/// What is recorded of a job besides its submission.
struct job_progress {
  job_state State = job_state::Queued;
  wall_time EndedAt{};
  std::vector<task_progress> Tasks; ///< in the order of task_layout

  friend bool operator==(const job_progress &, const job_progress &) = default;
};

} // namespace geraniumpaddle::work
