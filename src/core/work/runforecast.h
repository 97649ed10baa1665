#pragma once

#include "core/work/types/job.h"

#include <map>
#include <string>

namespace geraniumpaddle::work {

/// Learns how long the tasks of a queue take from the runs that end. What a
/// submission declares is a start only: it may be off by half.
class run_forecast {
public:
  /// A task of the step ran for \p Actual from its start to its end.
  void updateForecast(const queue_policy &Policy, const step_spec &Step,
                      duration Actual);
  duration expected(const queue_policy &Policy, const step_spec &Step) const;
  /// Longest chain of steps of one occurrence.
  duration longestChain(const job_spec &Spec) const;
  /// Time within which a job of these terms earns all it can.
  duration objective(const job_spec &Spec) const;

private:
  struct learned {
    double Seconds = 0; ///< mean of the last runs
    double Ratio = 1;   ///< of the actual to the declared time
    std::uint32_t Runs = 0;
  };

  std::map<std::string, learned> ByQueue;
};

} // namespace geraniumpaddle::work
