#pragma once

#include "core/work/types/records.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace geraniumpaddle::work {

/// One job as the log has it. The records of a job come in two topics, so its
/// progress may be known before its submission.
struct registered_job {
  std::shared_ptr<const job_spec> Spec;
  bool Cancelled = false;
  job_progress Progress;

  /// What callers are shown: a cancelled job that had not ended is cancelled.
  job_state state() const;
  bool started() const { return Progress.State != job_state::Queued; }
};

/// The fold of the log: all jobs that are kept, and the entries.
class job_registry {
public:
  /// Takes a record, unless a later one of the same key was taken before.
  void apply(const record_position &Position, const work_record &Record);
  /// The key was dropped.
  void forget(const record_position &Position);

  /// Null if no record of the job's submission is known.
  const registered_job *find(const job_id &Job) const;
  const std::unordered_map<job_id, registered_job> &jobs() const {
    return Jobs;
  }
  const std::map<node_id, entry_record> &entries() const { return Entries; }
  /// The scheduler of the last term that was begun; its term is 0 before.
  const term_leader &lastTerm() const { return LastTerm; }
  /// Accepted jobs of \p Queue of which no task has started.
  std::size_t pending(std::string_view Queue) const;

private:
  void applyRecord(const job_submitted &Record);
  void applyRecord(const job_cancelled &Record);
  void applyRecord(const job_progressed &Record);
  void applyRecord(const entry_record &Record);
  void applyRecord(const term_leader &Record);
  bool advance(const record_position &Position);
  template <typename Change>
  void changeJob(const job_id &Job, const Change &Apply);
  template <typename Change>
  void forgetRest(const job_id &Job, const Change &Apply);
  void eraseIfEmpty(const job_id &Job);
  void countPending(const registered_job &Entry, int By);

  std::unordered_map<std::string, std::uint64_t> Offsets;
  std::unordered_map<job_id, registered_job> Jobs;
  std::map<std::string, std::size_t, std::less<>> Pending;
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
