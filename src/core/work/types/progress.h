#pragma once

#include "core/work/types/job.h"

#include <string_view>

namespace geraniumpaddle::work {

enum class job_state : std::uint8_t {
  Queued,  ///< no worker has shown that it started a task
  Running, ///< a task has started, though none may run at present
  Completed,
  Failed,
  Cancelled,
};

constexpr bool ended(job_state State) { return State >= job_state::Completed; }
/// Lower-case name, for logs.
std::string_view name(job_state State);

enum class task_state : std::uint8_t { Waiting, Running, Done, Failed };

/// One instance of a worker: a restarted worker has its old id but none of
/// its former state.
struct worker_instance {
  worker_id Worker;
  std::uint64_t StartTimeMs = 0; ///< start time in milliseconds since 1970

  friend auto operator<=>(const worker_instance &,
                          const worker_instance &) = default;
};

struct task_progress {
  task_state State = task_state::Waiting;
  std::uint32_t Run = 0;      ///< last assigned run number
  std::uint32_t Failures = 0; ///< failed runs; a gang counts at its first task
  worker_instance LastWorker; ///< worker of the last run
  std::string Checkpoint;     ///< newest known; empty: none

  friend bool operator==(const task_progress &,
                         const task_progress &) = default;
};

/// State of a job that is recorded after its submission.
struct job_progress {
  job_state State = job_state::Queued;
  wall_time EndedAt{};
  std::vector<task_progress> Tasks; ///< in the order of task_layout

  friend bool operator==(const job_progress &, const job_progress &) = default;
};

} // namespace geraniumpaddle::work
