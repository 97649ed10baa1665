#pragma once

#include "core/ledger/types/state.h"

#include <cstddef>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

/// Jobs by id, with indexes of the waiting jobs and of those that hold
/// capacity. The address of an entry is stable until the job is evicted. The
/// caller checks that a transition is allowed.
class job_table {
public:
  static constexpr std::size_t MaxLiveJobs = 20'000;
  static constexpr std::size_t MaxEndedJobs = 2'000;
  static constexpr std::size_t MaxSteps = 48; ///< kept for each job

  job_table() = default;
  job_table(const job_table &) = delete;
  job_table &operator=(const job_table &) = delete;
  job_table(job_table &&) = default;
  job_table &operator=(job_table &&) = default;

  /// The job, or nullptr.
  const job_entry *find(const job_id &Id) const;
  /// The job that holds capacity under \p Token, or nullptr.
  const job_entry *findByToken(fencing_token Token) const;

  /// Waiting jobs in order of submission.
  std::span<const job_entry *const> waiting() const { return Waiting; }
  /// Jobs that hold capacity, by token.
  std::span<const job_entry *const> holding() const { return Holding; }
  /// Number of jobs that have not ended.
  std::size_t live() const { return Waiting.size() + Holding.size(); }
  std::size_t size() const { return Jobs.size(); }

  /// Adds a waiting job; its id must be new.
  void submit(const job_spec &Spec, log_offset Offset, wall_time At);
  /// Moves the job from Waiting to Placed.
  void place(const job_id &Id, fencing_token Token,
             std::span<const task_assignment> Assignments, wall_time At);
  /// Moves the job from Placed to Running.
  void start(const job_id &Id, log_offset Offset, wall_time At);
  /// Ends the current attempt and moves the job back to Waiting.
  void requeue(const job_id &Id, job_step_kind Step, log_offset Offset,
               wall_time At, std::string_view Detail);
  /// Moves the job from Placed or Running to Cancelling.
  void requestCancel(const job_id &Id, log_offset Offset, wall_time At,
                     std::string_view Detail);
  /// Moves the job to Ended; evicts the job that ended first if more than
  /// MaxEndedJobs have ended.
  void end(const job_id &Id, job_outcome Outcome, log_offset Offset,
           wall_time At, std::string_view Detail);

  /// All jobs, by submission.
  std::vector<job_entry> image() const;
  /// Replaces the whole table.
  void restore(std::span<const job_entry> Entries);

private:
  job_entry &get(const job_id &Id);
  void removeFromIndexes(const job_entry &Job);
  void addToIndexes(const job_entry &Job);
  void evictEnded();

  std::unordered_map<job_id, job_entry> Jobs;
  std::vector<const job_entry *> Waiting;  ///< by Submitted
  std::vector<const job_entry *> Holding;  ///< by Token
  std::deque<const job_entry *> EndedJobs; ///< by Ended
};

} // namespace geraniumpaddle
