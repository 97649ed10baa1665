#include "core/work/jobregistry.h"

namespace geraniumpaddle::work {

namespace {

constexpr std::string_view SubmissionPrefix = "job.";
constexpr std::string_view CancellationPrefix = "cancel.";
constexpr std::string_view ProgressPrefix = "progress.";
constexpr std::string_view EntryPrefix = "entry.";

std::string makeKey(std::string_view Prefix, std::string_view Name) {
  return std::string(Prefix).append(Name);
}

} // namespace

std::string submissionKey(const job_id &Job) {
  return makeKey(SubmissionPrefix, Job.view());
}
std::string cancellationKey(const job_id &Job) {
  return makeKey(CancellationPrefix, Job.view());
}
std::string progressKey(const job_id &Job) {
  return makeKey(ProgressPrefix, Job.view());
}
std::string entryKey(const node_id &Node) {
  return makeKey(EntryPrefix, Node.view());
}

job_state registered_job::state() const {
  return Cancelled && !ended(Progress.State) ? job_state::Cancelled
                                             : Progress.State;
}

bool job_registry::advanceOffset(const record_position &Position) {
  // Offsets start at 0 in each topic; a key occurs in one topic only.
  auto [Found, IsNew] =
      Offsets.try_emplace(std::string(Position.Key), Position.Offset);
  if (IsNew)
    return true;
  if (Found->second >= Position.Offset)
    return false;
  Found->second = Position.Offset;
  return true;
}

void job_registry::apply(const record_position &Position,
                         const work_record &Record) {
  if (advanceOffset(Position))
    std::visit([this](const auto &Each) { applyRecord(Each); }, Record);
}

void job_registry::forget(const record_position &Position) {
  if (!advanceOffset(Position))
    return;
  const std::string_view Key = Position.Key;
  if (Key.starts_with(SubmissionPrefix)) {
    const auto Found = Jobs.find(job_id(Key.substr(SubmissionPrefix.size())));
    if (Found == Jobs.end())
      return;
    adjustCounts(Found->second, -1);
    Found->second.Spec.reset();
    adjustCounts(Found->second, 1);
    eraseIfEmpty(Found->first);
  } else if (Key.starts_with(CancellationPrefix)) {
    forgetLeftover(job_id(Key.substr(CancellationPrefix.size())),
                   [](registered_job &Entry) { Entry.Cancelled = false; });
  } else if (Key.starts_with(ProgressPrefix)) {
    forgetLeftover(job_id(Key.substr(ProgressPrefix.size())),
                   [](registered_job &Entry) { Entry.Progress = {}; });
  } else if (Key.starts_with(EntryPrefix)) {
    Entries.erase(node_id(Key.substr(EntryPrefix.size())));
  }
}

/// Progress and cancellation are deleted after the submission. They are kept
/// while the submission exists, since the job must not run again.
template <typename Change>
void job_registry::forgetLeftover(const job_id &Job, const Change &Apply) {
  const auto Found = Jobs.find(Job);
  if (Found == Jobs.end() || Found->second.Spec)
    return;
  adjustCounts(Found->second, -1);
  Apply(Found->second);
  adjustCounts(Found->second, 1);
  eraseIfEmpty(Job);
}

void job_registry::eraseIfEmpty(const job_id &Job) {
  const auto Found = Jobs.find(Job);
  const registered_job &Entry = Found->second;
  if (!Entry.Spec && !Entry.Cancelled && Entry.Progress == job_progress{})
    Jobs.erase(Found);
}

template <typename Change>
void job_registry::changeJob(const job_id &Job, const Change &Apply) {
  registered_job &Entry = Jobs[Job];
  adjustCounts(Entry, -1);
  Apply(Entry);
  adjustCounts(Entry, 1);
}

void job_registry::adjustCounts(const registered_job &Entry, int Delta) {
  if (Entry.cancelledUnknown())
    UnknownCancellations += static_cast<std::size_t>(Delta);
  if (!Entry.Spec || Entry.state() != job_state::Queued)
    return;
  Pending[Entry.Spec->Policy.Queue] += static_cast<std::size_t>(Delta);
}

void job_registry::applyRecord(const job_submitted &Record) {
  changeJob(Record.Spec.Id, [&](registered_job &Entry) {
    // A repeated submission of a known job changes nothing.
    if (!Entry.Spec)
      Entry.Spec = std::make_shared<const job_spec>(Record.Spec);
  });
}

void job_registry::applyRecord(const job_cancelled &Record) {
  changeJob(Record.Job, [&](registered_job &Entry) {
    Entry.Cancelled = true;
    Entry.CancelledAt = Record.RequestedAt;
  });
}

void job_registry::applyRecord(const job_progressed &Record) {
  changeJob(Record.Job,
            [&](registered_job &Entry) { Entry.Progress = Record.Progress; });
}

void job_registry::applyRecord(const entry_record &Record) {
  Entries[Record.Node] = Record;
}

void job_registry::applyRecord(const term_leader &Record) {
  if (Record.Term > LastTerm.Term)
    LastTerm = Record;
}

const registered_job *job_registry::find(const job_id &Job) const {
  const auto Found = Jobs.find(Job);
  return Found == Jobs.end() || !Found->second.Spec ? nullptr : &Found->second;
}

bool job_registry::isCancelled(const job_id &Job) const {
  const auto Found = Jobs.find(Job);
  return Found != Jobs.end() && Found->second.Cancelled;
}

std::size_t job_registry::pending(std::string_view Queue) const {
  const auto Found = Pending.find(Queue);
  return Found == Pending.end() ? 0 : Found->second;
}

} // namespace geraniumpaddle::work
