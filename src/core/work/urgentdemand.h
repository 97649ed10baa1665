#pragma once

#include "core/work/types/job.h"

#include <deque>
#include <optional>

namespace geraniumpaddle::work {

/// Answers bursts of urgent gangs that meet a pool full of long tasks: tells
/// which room to keep free of tasks that could not be stopped cheaply.
class urgent_demand {
public:
  struct shape {
    step_spec Step;
    service_id Service;
  };

  /// An urgent job was handed in.
  void arrived(const job_spec &Spec, time_point Now);
  /// The room to keep; nothing if urgent jobs have not come for a while.
  std::optional<shape> roomToKeep(time_point Now) const;

private:
  struct arrival {
    time_point At;
    shape Shape;
  };

  std::deque<arrival> Recent;
};

} // namespace geraniumpaddle::work
