#pragma once

#include "core/work/livejobs.h"

#include <map>

namespace geraniumpaddle::work {

/// Learns how fast the instances of workers are in relation to each other.
///
/// The tasks of a step have equal work, so the rates at which they advance on
/// different workers show how the speeds of these differ.
class worker_speeds {
public:
  /// A task of \p Step advanced on \p Worker at \p Rate, its share of the whole
  /// work in a second. Ignored unless positive.
  void record(const step_ref &Step, const worker_instance &Worker, double Rate);
  /// In relation to an average worker; 1 while nothing is known.
  double speed(const worker_instance &Worker) const;

  void forget(const job_id &Job);
  /// Forgets instances of \p Worker.
  void forget(const worker_id &Worker) { Workers.erase(Worker); }

private:
  struct step_work {
    double LogSeconds = 0; ///< of a task on an average worker
    int Samples = 0;
  };
  struct worker_speed {
    std::uint64_t StartTimeMs = 0;
    double LogSpeed = 0;
  };

  std::map<step_ref, step_work> Steps;
  std::map<worker_id, worker_speed> Workers;
};

} // namespace geraniumpaddle::work
