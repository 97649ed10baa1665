#pragma once

#include "core/base/types/ids.h"
#include "core/placement/types/schedule.h"

#include <cstdint>
#include <map>
#include <span>

namespace geraniumpaddle {

/// Remembers which waiting jobs fit the registered workers. A job never
/// changes, so the answer holds until workers are registered or changed.
class feasibility_cache {
public:
  /// Forgets all answers if the workers changed, and those of jobs that no
  /// longer wait.
  void refresh(std::uint64_t TopologyVersion,
               std::span<const waiting_job> Waiting);

  /// Remembered answer; null if there is none.
  const unmet_constraint *find(const job_id &Job) const;
  void remember(const job_id &Job, unmet_constraint Constraint);

private:
  std::uint64_t TopologyVersion = 0;
  std::map<job_id, unmet_constraint> Answers;
};

} // namespace geraniumpaddle
