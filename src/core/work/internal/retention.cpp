#include "core/work/retention.h"

namespace geraniumpaddle::work {

expired_jobs findExpired(const job_registry &Registry, wall_time Now,
                         duration RetentionPeriod, std::size_t MaxPerKind) {
  expired_jobs Expired;
  for (const auto &[Id, Entry] : Registry.jobs()) {
    const bool IsExpired = ended(Entry.Progress.State) &&
                           Now - Entry.Progress.EndedAt > RetentionPeriod;
    if (!IsExpired)
      continue;
    std::vector<job_id> &Jobs =
        Entry.Spec ? Expired.Submissions : Expired.WithoutSubmission;
    if (Jobs.size() < MaxPerKind)
      Jobs.push_back(Id);
  }
  return Expired;
}

} // namespace geraniumpaddle::work
