#pragma once

#include "core/work/jobregistry.h"

#include <vector>

namespace geraniumpaddle::work {

/// Jobs whose records may be deleted. The submission is deleted first: without
/// it a job never runs again, whichever other records remain.
struct expired_jobs {
  std::vector<job_id> Submissions;
  /// Ended jobs of which only progress and cancellation remain, and
  /// cancellations of jobs that were never submitted.
  std::vector<job_id> WithoutSubmission;
};

/// \param RetentionPeriod how long an ended job stays readable, and how long a
///        cancellation bars a submission that is stored later.
/// \param MaxPerKind limit for each list, to bound one call to the store.
expired_jobs findExpired(const job_registry &Registry, wall_time Now,
                         duration RetentionPeriod, std::size_t MaxPerKind);

} // namespace geraniumpaddle::work
