#pragma once

#include "core/work/jobregistry.h"

#include <vector>

namespace geraniumpaddle::work {

/// Jobs whose records may be dropped. A submission goes first: without it a
/// job is never run again, whatever else is left of it.
struct expired_jobs {
  std::vector<job_id> Submissions;
  /// Ended jobs of which only progress and cancellation are left.
  std::vector<job_id> WithoutSubmission;
};

/// \param Kept how long an ended job stays readable.
/// \param Most jobs of each kind, to bound one call to the store.
expired_jobs findExpired(const job_registry &Book, wall_time Now, duration Kept,
                         std::size_t Most);

} // namespace geraniumpaddle::work
