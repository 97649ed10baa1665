#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/resources.h"
#include "core/base/types/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpaddle::work {

/// One step of a job: a number of identical tasks.
struct step_spec {
  std::uint32_t Count = 1;
  resources Need;
  duration Estimate{};              ///< declared for one task; a rough value
  std::vector<std::uint32_t> After; ///< earlier steps that it depends on
  bool Checkpointing = false;
  bool Gang = false; ///< all tasks run at the same time or none does
  bool SameRack = false;
  bool Speculative = false;
  bool LongRunning = false;   ///< runs until the job is cancelled
  bool BestEffortCpu = false; ///< best effort: reserves no CPU capacity
  std::string RequiredLabel;
  std::string DataRack;
  std::string Image;
  std::uint32_t MaxPerWorker = 0; ///< 0: no limit
  duration TailLatencyTarget{};   ///< 0: none
  std::uint32_t MaxUnavailable = 0;

  friend bool operator==(const step_spec &, const step_spec &) = default;
};

/// Resources that a task of \p Step reserves on its worker.
resources reservedResources(const step_spec &Step);

/// Scheduling policy of a queue, from the configuration.
struct queue_policy {
  std::string Queue;
  service_id Service;
  std::uint32_t Priority = 0; ///< 0 is the most urgent and may preempt
  std::uint32_t Attempts = 1; ///< limit of failed runs of a task or gang
  double SlackFactor = 1;     ///< objective as a multiple of the critical path
  duration TargetLatency{};   ///< added to the objective

  friend bool operator==(const queue_policy &, const queue_policy &) = default;
};

struct job_spec {
  job_id Id;
  customer_id Customer;
  queue_policy Policy;
  std::string Payload; ///< passed unchanged to every task
  std::vector<step_spec> Steps;
  wall_time SubmittedAt{};
  wall_time FirstStart{}; ///< of the first occurrence; 0: immediately
  duration Interval{};
  std::uint32_t Occurrences = 1;
  bool Scheduled = false; ///< occurrences have start times

  friend bool operator==(const job_spec &, const job_spec &) = default;
};

/// Limit of tasks of one job, over all its occurrences. Bounds the size of its
/// record.
constexpr std::uint64_t MaxTasks = 4096;
/// About 10 years. The steps or occurrences of the largest job add up to less
/// than a duration can hold.
constexpr std::chrono::milliseconds MaxDuration{315'576'000'000};
/// About 100 years.
constexpr std::chrono::milliseconds MaxTimeSinceEpoch{3'155'760'000'000};
/// Limit of the factor of a job's critical path.
constexpr double MaxSlackFactor = 1000;

/// True if the job has more than \p Max tasks over all its occurrences.
bool hasMoreTasksThan(const job_spec &Spec, std::uint64_t Max);

struct task_position {
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;

  friend auto operator<=>(const task_position &,
                          const task_position &) = default;
};

struct task_ref {
  job_id Job;
  task_position Position;

  friend auto operator<=>(const task_ref &, const task_ref &) = default;
};

/// One run of a task. Runs are numbered from 1; the members of a gang share the
/// number.
struct run_ref {
  task_ref Task;
  std::uint32_t Run = 0;

  friend auto operator<=>(const run_ref &, const run_ref &) = default;
};

/// Maps the tasks of a job to consecutive numbers.
class task_layout {
public:
  task_layout() = default;
  explicit task_layout(const job_spec &Spec);

  std::size_t size() const { return Total; }
  std::size_t tasksPerOccurrence() const { return PerOccurrence; }
  /// \p Position has to be in the job; see contains().
  std::size_t ordinal(const task_position &Position) const;
  bool contains(const task_position &Position) const;
  task_position position(std::size_t Ordinal) const;

private:
  std::vector<std::uint32_t> Starts; ///< of each step, then the total
  std::size_t PerOccurrence = 0;
  std::size_t Total = 0;
};

} // namespace geraniumpaddle::work
