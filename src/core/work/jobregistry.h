#pragma once

#include "core/work/types/records.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace geraniumpaddle::work {

/// One job as recorded in the log. The records of a job come in two topics, so
/// its progress may be known before its submission.
struct registered_job {
  std::shared_ptr<const job_spec> Spec;
  bool Cancelled = false;
  wall_time CancelledAt{};
  job_progress Progress;

  /// State shown to callers: a cancelled job that had not ended is Cancelled.
  job_state state() const;
  /// Cancelled without being known. If its submission is stored later, the job
  /// must not run.
  bool cancelledUnknown() const {
    return Cancelled && !Spec && !ended(Progress.State);
  }
};

/// Cancellations of unknown jobs that are kept at a time, so that calls with
/// arbitrary job ids cannot fill the store.
constexpr std::size_t MaxUnknownCancellations = 4096;

/// State built from the records of the log: all retained jobs and the entries.
class job_registry {
public:
  /// Applies a record, unless a later one of the same key was applied before.
  void apply(const record_position &Position, const work_record &Record);
  /// Applies the deletion of a key.
  void forget(const record_position &Position);

  /// Null if no record of the job's submission is known.
  const registered_job *find(const job_id &Job) const;
  const std::unordered_map<job_id, registered_job> &jobs() const {
    return Jobs;
  }
  const std::map<node_id, entry_record> &entries() const { return Entries; }
  /// The scheduler of the latest term; its term is 0 before the first election.
  const term_leader &lastTerm() const { return LastTerm; }
  /// Accepted jobs of \p Queue of which no task has started.
  std::size_t pending(std::string_view Queue) const;
  /// Whether a cancellation of \p Job is recorded, also if the job is unknown.
  bool isCancelled(const job_id &Job) const;
  bool acceptsUnknownCancellation() const {
    return UnknownCancellations < MaxUnknownCancellations;
  }

private:
  void applyRecord(const job_submitted &Record);
  void applyRecord(const job_cancelled &Record);
  void applyRecord(const job_progressed &Record);
  void applyRecord(const entry_record &Record);
  void applyRecord(const term_leader &Record);
  bool advanceOffset(const record_position &Position);
  template <typename Change>
  void changeJob(const job_id &Job, const Change &Apply);
  template <typename Change>
  void forgetLeftover(const job_id &Job, const Change &Apply);
  void eraseIfEmpty(const job_id &Job);
  void adjustCounts(const registered_job &Entry, int Delta);

  std::unordered_map<std::string, std::uint64_t> Offsets;
  std::unordered_map<job_id, registered_job> Jobs;
  std::map<std::string, std::size_t, std::less<>> Pending;
  std::size_t UnknownCancellations = 0;
  std::map<node_id, entry_record> Entries;
  term_leader LastTerm;
};

/// Keys of the records. Those of a submission and of its cancellation differ,
/// so neither replaces the other.
std::string submissionKey(const job_id &Job);
std::string cancellationKey(const job_id &Job);
std::string progressKey(const job_id &Job);
std::string entryKey(const node_id &Node);
constexpr std::string_view TermKey = "term";

} // namespace geraniumpaddle::work
