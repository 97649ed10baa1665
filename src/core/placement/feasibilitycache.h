#pragma once

#include "core/base/types/ids.h"
#include "core/placement/types/schedule.h"

#include <cstdint>
#include <map>
#include <span>

namespace geraniumpaddle {

/// Caches the result of the feasibility check of each waiting job. The needs of
/// a job never change, so a result is valid until a worker is registered or
/// changed.
class feasibility_cache {
public:
  /// Drops all results if the workers changed, and otherwise those of jobs that
  /// no longer wait.
  void refresh(std::uint64_t TopologyVersion,
               std::span<const waiting_job> Waiting);

  /// Cached result for \p Job; null if there is none.
  const unmet_constraint *find(const job_id &Job) const;
  void remember(const job_id &Job, unmet_constraint Constraint);

private:
  std::uint64_t TopologyVersion = 0;
  std::map<job_id, unmet_constraint> Constraints;
};

} // namespace geraniumpaddle
