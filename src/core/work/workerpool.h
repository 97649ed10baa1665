#pragma once

#include "core/work/types/limits.h"
#include "core/work/types/liverun.h"

#include <map>
#include <vector>

namespace geraniumpaddle::work {

/// One life of a worker as the scheduler knows it.
struct pool_worker {
  worker_description Description;
  bool Described = false;  ///< false: known only from runs in the log
  bool HasListing = false; ///< its runs were listed since it is known
  bool Reachable = false;
  resources Used;  ///< by runs that have not ended, those being stopped too
  resources Freed; ///< part of Used that is being stopped
  std::vector<live_run *> Runs;
  time_point LeavesAt = time_point::max(); ///< at the earliest; draining
  time_point LeaseEnd{};    ///< nothing runs there after this without a report
  std::uint64_t Listed = 0; ///< highest number of an end taken in
  std::uint64_t Acknowledged = 0; ///< ends up to here are in the log
  std::uint64_t OrderNumber = 1;
  int FailuresInRow = 0;     ///< runs that failed since one ended well
  bool OnProbation = false;  ///< suspected, and no run has ended well since
  time_point SuspectUntil{}; ///< gets no tasks before
  int Suspicions = 0;        ///< in a row

  bool usable(time_point Now) const {
    return Described && HasListing && Reachable && !Description.Draining &&
           SuspectUntil <= Now;
  }
  /// Nothing speaks against it: for tasks that may not fail again.
  bool proven() const { return FailuresInRow == 0 && !OnProbation; }
  resources free() const {
    resources Free = Description.Capacity;
    Free -= Used;
    return Free;
  }
};

/// All workers, by name; each in one life at a time.
class worker_pool {
public:
  explicit worker_pool(const scheduler_limits &Limits) : Limits(Limits) {}

  pool_worker *find(const worker_instance &Life);
  const pool_worker *find(const worker_instance &Life) const;
  pool_worker *find(const worker_id &Worker);
  std::map<worker_id, pool_worker> &all() { return Workers; }
  const std::map<worker_id, pool_worker> &all() const { return Workers; }

  /// A life that only the log knows; it may hold leases until \p LeaseEnd.
  pool_worker &expect(const worker_instance &Life, time_point LeaseEnd);
  /// Takes what a worker says of itself and extends its lease.
  pool_worker &heard(const worker_report &Report, time_point Now);
  void erase(const worker_id &Worker) { Workers.erase(Worker); }

  void hold(live_run &Run);
  void release(const live_run &Run);
  /// The run is to stop; its capacity will be free.
  void free(const live_run &Run);

  /// When the lease that is granted now is over for certain.
  time_point leaseEnd(time_point Now) const;

private:
  scheduler_limits Limits;
  std::map<worker_id, pool_worker> Workers;
};

} // namespace geraniumpaddle::work
