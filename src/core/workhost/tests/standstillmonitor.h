#pragma once

#include "core/workhost/tests/clustersimulation.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpaddle::work::testing {

/// Judges a simulation from outside: a job of which nothing runs, or a lasting
/// task that does not run, may wait for a limited time only if there is room
/// for it twice over and less than half of the capacity is in use.
class standstill_monitor {
public:
  explicit standstill_monitor(cluster_simulation &Simulation)
      : Simulation(Simulation) {}

  /// Lets \p Time pass and judges it.
  void runFor(duration Time);
  const std::vector<std::string> &violations() const { return Violations; }

private:
  void observe();
  resources needOf(const task_ref &Task) const;
  std::set<std::pair<worker_id, task_ref>> recordedRuns() const;
  void observeJob(const job_id &Job, const registered_job &Entry);
  /// Whether all steps before \p Step are done.
  static bool ready(const registered_job &Entry, std::uint32_t Step);
  void note(const task_ref &Waiting);
  bool fitsTwice(const step_spec &Step) const;
  std::size_t countFitting(const step_spec &Step) const;
  bool halfIdle() const;

  cluster_simulation &Simulation;
  std::vector<resources> Free; ///< of each worker
  resources Total;
  std::set<task_ref> Running;
  std::set<job_id> RunningJobs;
  std::map<task_ref, time_point> Since; ///< waiting, and since when
  std::set<task_ref> Observed;          ///< waiting now
  std::vector<std::string> Violations;
};

} // namespace geraniumpaddle::work::testing
