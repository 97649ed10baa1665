#include "core/work/retention.h"

#include <optional>

namespace geraniumpaddle::work {

namespace {

/// Time from which on the records of a job are needed for the retention period;
/// nothing while the job is open.
std::optional<wall_time> retainedSince(const registered_job &Entry) {
  if (ended(Entry.Progress.State))
    return Entry.Progress.EndedAt;
  if (Entry.cancelledUnknown())
    return Entry.CancelledAt;
  return std::nullopt;
}

} // namespace

expired_jobs findExpired(const job_registry &Registry, wall_time Now,
                         duration RetentionPeriod, std::size_t MaxPerKind) {
  expired_jobs Expired;
  for (const auto &[Id, Entry] : Registry.jobs()) {
    const auto Since = retainedSince(Entry);
    if (!Since || Now - *Since <= RetentionPeriod)
      continue;
    std::vector<job_id> &Jobs =
        Entry.Spec ? Expired.Submissions : Expired.WithoutSubmission;
    if (Jobs.size() < MaxPerKind)
      Jobs.push_back(Id);
  }
  return Expired;
}

} // namespace geraniumpaddle::work
