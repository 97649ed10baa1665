#pragma once

#include "core/work/types/schedulerevents.h"
#include "metrics/metrics.h"

#include <unordered_map>

namespace geraniumpaddle {

/// Counts the scheduler's decisions and times jobs and runs by them.
class decision_metrics {
public:
  explicit decision_metrics(metric_registry &Metrics) : Metrics(Metrics) {}

  void observe(const work::logged_decision &Note, time_point Now);

private:
  struct job_times {
    time_point Arrived{};
    bool Placed = false;
  };

  void observeSeconds(std::string_view Name, std::string_view Help,
                      duration Time, std::string_view Detail);

  metric_registry &Metrics;
  std::unordered_map<job_id, job_times> Jobs;
};

} // namespace geraniumpaddle
