#include "core/placement/feasibilitycache.h"

#include <utility>

namespace geraniumpaddle {

void feasibility_cache::refresh(std::uint64_t Version,
                                std::span<const waiting_job> Waiting) {
  std::map<job_id, unmet_constraint> Kept;
  if (Version == TopologyVersion)
    for (const waiting_job &Job : Waiting)
      if (auto Found = Constraints.find(Job.Job); Found != Constraints.end())
        Kept.insert(*Found);
  TopologyVersion = Version;
  Constraints = std::move(Kept);
}

const unmet_constraint *feasibility_cache::find(const job_id &Job) const {
  auto Found = Constraints.find(Job);
  return Found == Constraints.end() ? nullptr : &Found->second;
}

void feasibility_cache::remember(const job_id &Job,
                                 unmet_constraint Constraint) {
  Constraints[Job] = Constraint;
}

} // namespace geraniumpaddle
