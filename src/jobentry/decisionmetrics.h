#pragma once

#include "core/work/types/schedulerevents.h"
#include "metrics/metrics.h"

#include <unordered_map>

namespace geraniumpaddle {

/// Updates the scheduler's metrics from its decisions: counts by kind, and the
/// wait and duration of jobs.
class decision_metrics {
public:
  explicit decision_metrics(metric_registry &Metrics) : Metrics(Metrics) {}

  void observe(const work::logged_decision &Decision, time_point Now);

private:
  struct job_times {
    time_point Arrived{};
    bool Placed = false;
  };

  void observeDuration(std::string_view Name, std::string_view Help,
                       duration Time, std::string_view Outcome);

  metric_registry &Metrics;
  std::unordered_map<job_id, job_times> Jobs;
};

} // namespace geraniumpaddle
