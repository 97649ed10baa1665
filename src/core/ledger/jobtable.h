#pragma once

#include "core/ledger/types/state.h"

#include <cstddef>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

/// Jobs by id, with indexes over those that wait and those that hold capacity.
/// Addresses of entries are stable until the job is forgotten. Decides nothing;
/// the caller keeps the rules.
class job_table {
public:
  static constexpr std::size_t MaxLiveJobs = 20'000;
  static constexpr std::size_t MaxEndedJobs = 2'000;
  static constexpr std::size_t MaxSteps = 48;

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
  std::size_t live() const { return Waiting.size() + Holding.size(); }
  std::size_t size() const { return Jobs.size(); }

  /// Adds a waiting job; its id must be new.
  void submit(const job_spec &Spec, log_offset Offset, wall_time At);
  /// Waiting to Placed.
  void place(const job_id &Id, fencing_token Token,
             std::span<const task_assignment> Assignments, wall_time At);
  /// Placed to Running.
  void start(const job_id &Id, log_offset Offset, wall_time At);
  /// Gives up the current attempt; the job waits again.
  void requeue(const job_id &Id, job_step_kind Step, log_offset Offset,
               wall_time At, std::string_view Detail);
  /// Placed or Running to Cancelling.
  void requestCancel(const job_id &Id, log_offset Offset, wall_time At,
                     std::string_view Detail);
  /// Any state to Ended; forgets the job that ended first if too many have.
  void end(const job_id &Id, job_outcome Outcome, log_offset Offset,
           wall_time At, std::string_view Detail);

  /// Every job, by submission.
  std::vector<job_entry> image() const;
  /// Replaces the whole table.
  void restore(std::span<const job_entry> Entries);

private:
  job_entry &get(const job_id &Id);
  void leaveIndexes(const job_entry &Job);
  void enterIndexes(const job_entry &Job);
  void forgetEnded();

  std::unordered_map<job_id, job_entry> Jobs;
  std::vector<const job_entry *> Waiting;  ///< by Submitted
  std::vector<const job_entry *> Holding;  ///< by Token
  std::deque<const job_entry *> EndedJobs; ///< by Ended
};

} // namespace geraniumpaddle
