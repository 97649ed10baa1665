#pragma once

#include "core/work/types/job.h"

#include <deque>
#include <optional>

namespace geraniumpaddle::work {

/// Determines how much capacity to keep free of tasks that are costly to stop,
/// so that a burst of urgent gangs does not find a pool full of long tasks.
class urgent_demand {
public:
  struct demand_shape {
    step_spec Step;
    service_id Service;
  };

  /// Records the submission of an urgent job.
  void recordArrival(const job_spec &Spec, time_point Now);
  /// Capacity to reserve; empty if no urgent job arrived recently.
  std::optional<demand_shape> capacityToReserve(time_point Now) const;

private:
  struct arrival {
    time_point At;
    demand_shape Shape;
  };

  std::deque<arrival> Recent;
};

} // namespace geraniumpaddle::work
