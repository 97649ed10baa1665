#pragma once

#include "core/work/types/job.h"

#include <map>
#include <string>

namespace geraniumpaddle::work {

/// Forecasts the run time of a queue's tasks from completed runs. The declared
/// estimate is only a starting point: it may be off by half.
class run_forecast {
public:
  /// Records that a task of \p Step ran for \p Actual.
  void recordRun(const queue_policy &Policy, const step_spec &Step,
                 duration Actual);
  duration expectedDuration(const queue_policy &Policy,
                            const step_spec &Step) const;
  /// Duration of the longest chain of dependent steps in one occurrence.
  duration criticalPath(const job_spec &Spec) const;
  /// Time within which the platform pays in full for the job.
  duration objective(const job_spec &Spec) const;

private:
  struct run_history {
    double Seconds = 0; ///< weighted mean of the last runs
    double Ratio = 1;   ///< actual to declared time
    std::uint32_t Runs = 0;
  };

  std::map<std::string, run_history> ByQueue;
};

} // namespace geraniumpaddle::work
