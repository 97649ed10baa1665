#pragma once

#include "core/work/evacuatedzones.h"
#include "core/work/types/limits.h"
#include "core/work/types/liverun.h"

#include <limits>
#include <map>
#include <vector>

namespace geraniumpaddle::work {

/// One instance of a worker as known to the scheduler.
struct pool_worker {
  worker_description Description;
  bool HasReported = false; ///< false: known only from runs in the log
  bool HasListing = false;  ///< its runs were listed at least once
  bool EndsComplete = true; ///< its last listing had all its ended runs
  bool Reachable = false;
  bool Evacuated = false; ///< its zone is
  resources Used;         ///< by runs that have not ended, stopping ones too
  resources Freeing;      ///< part of Used that stopping runs occupy
  /// Also runs that were placed on an earlier instance and may be on this one.
  std::vector<live_run *> Runs;
  time_point DrainDeadline = time_point::max(); ///< earliest shutdown
  time_point LeaseEnd{}; ///< without a listing, all its runs have ended by then
  /// Of a later instance that has not been listed yet; 0: none is known.
  std::uint64_t SuccessorStartTimeMs = 0;
  /// The worker's clock in its newest listing.
  std::int64_t ListedClockMs = std::numeric_limits<std::int64_t>::min();
  std::uint64_t LastEndNumber = 0;   ///< highest number of a processed end
  std::uint64_t AcknowledgedEnd = 0; ///< ends up to this number are in the log
  std::uint64_t OrdersNumber = 0;    ///< see worker_pool::numberOrders
  int ConsecutiveFailures = 0;   ///< failed runs since a success or suspicion
  bool OnProbation = false;      ///< suspected, and no run has succeeded since
  time_point SuspectedAt{};      ///< last time
  time_point SuspectUntil{};     ///< gets no tasks until then
  int ConsecutiveSuspicions = 0; ///< since the last successful run

  bool available() const {
    return HasReported && HasListing && Reachable && !Evacuated &&
           !Description.Draining;
  }
  bool usable(time_point Now) const {
    return available() && SuspectUntil <= Now;
  }
  /// No failure since its last success; for tasks that must not fail again.
  bool reliable() const { return ConsecutiveFailures == 0 && !OnProbation; }
  resources free() const {
    resources Free = Description.Capacity;
    Free -= Used;
    return Free;
  }
};

/// All workers by id, each with one instance at a time.
class worker_pool {
public:
  /// \param Evacuated outlives the pool.
  worker_pool(const scheduler_limits &Limits, const evacuated_zones &Evacuated)
      : Limits(Limits), Evacuated(Evacuated) {}

  pool_worker *find(const worker_instance &Instance);
  const pool_worker *find(const worker_instance &Instance) const;
  pool_worker *find(const worker_id &Worker);
  /// The worker that has \p Run on its list.
  pool_worker &workerOf(const live_run &Run) {
    return Workers.at(Run.Worker.Worker);
  }
  std::map<worker_id, pool_worker> &all() { return Workers; }
  const std::map<worker_id, pool_worker> &all() const { return Workers; }

  /// Adds an instance that is known only from the log and may hold leases
  /// until \p LeaseEnd. Does nothing if this or a later one is known.
  void addFromLog(const worker_instance &Instance, time_point LeaseEnd);
  /// Continues the entry with a later instance of its worker. It keeps its
  /// runs, since their starts may have reached the later instance.
  void replaceInstance(pool_worker &Worker, const worker_instance &Next);
  /// Updates a worker from its report. Extends its lease if the worker itself
  /// has answered since the last report: leases are granted from the time of a
  /// listing, so a report that repeats one grants nothing.
  pool_worker &applyReport(const worker_report &Report, time_point Now);
  void erase(const worker_id &Worker) { Workers.erase(Worker); }
  /// Notes which workers are in evacuated zones, after these have changed.
  void applyEvacuations();

  /// Gives the changed orders of a worker their number. Numbers rise over all
  /// workers: the agent of a worker that is erased and added again remembers
  /// the earlier ones and ignores orders with a lower number.
  void numberOrders(pool_worker &Worker) {
    Worker.OrdersNumber = ++LastOrdersNumber;
  }

  /// Puts \p Run on the list of its worker, which has to be known. A run of an
  /// earlier instance is listed under the present one.
  void allocate(live_run &Run);
  void release(const live_run &Run);
  /// Counts the capacity of a stopping run as being freed.
  void markFreeing(const live_run &Run);

  /// Time by which a lease granted at \p Now has certainly expired.
  time_point leaseEnd(time_point Now) const;

private:
  pool_worker &add(const worker_instance &Instance);

  scheduler_limits Limits;
  const evacuated_zones &Evacuated;
  std::uint64_t LastOrdersNumber = 0;
  std::map<worker_id, pool_worker> Workers;
};

} // namespace geraniumpaddle::work
