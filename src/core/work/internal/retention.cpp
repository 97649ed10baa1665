#include "core/work/retention.h"

namespace geraniumpaddle::work {

expired_jobs findExpired(const job_registry &Book, wall_time Now, duration Kept,
                         std::size_t Most) {
  expired_jobs Expired;
  for (const auto &[Id, Entry] : Book.jobs()) {
    const bool Over =
        ended(Entry.Progress.State) && Now - Entry.Progress.EndedAt > Kept;
    if (!Over)
      continue;
    std::vector<job_id> &Jobs =
        Entry.Spec ? Expired.Submissions : Expired.WithoutSubmission;
    if (Jobs.size() < Most)
      Jobs.push_back(Id);
  }
  return Expired;
}

} // namespace geraniumpaddle::work
