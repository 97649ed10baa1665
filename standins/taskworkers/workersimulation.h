#pragma once

#include "core/workhost/types/reconcilerevents.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle::standins {

/// How a simulated task behaves once it runs.
struct task_behaviour {
  duration Work = std::chrono::seconds(1);
  resources Need;
  std::string Gang; ///< id of the gang's run; empty: no gang
  std::uint32_t GangSize = 1;
  bool Fails = false;
  /// The task fails until this many of its runs have ended as failed.
  std::uint32_t FailedRuns = 0;
  bool Hangs = false;
  bool Checkpointing = false;
  bool LongRunning = false; ///< started again however it ends
};

/// Time limits and intervals of the simulated workers.
struct worker_simulation_limits {
  duration Stop = std::chrono::milliseconds(200);
  duration GangWait = std::chrono::seconds(3);
  duration LongestLease = std::chrono::seconds(6);
  duration CheckpointEvery = std::chrono::milliseconds(500);
  std::size_t EndsPerListing = 500;
};

/// Result of an order to a worker.
enum class order_result : std::uint8_t {
  Done,
  Fenced,         ///< the fencing token is lower than an earlier one
  Stale,          ///< this run or a later one of the task has ended
  DeadlinePassed, ///< the lease end of the start is in the past
  OtherWorker,    ///< no worker has this id
};

/// Simulates workers of the platform after its published protocol: runs under
/// leases, fencing tokens, gangs and checkpoints. Records an invariant
/// violation when an order would run a task twice at once, run a task that is
/// already done, or exceed a worker's capacity.
class worker_simulation {
public:
  using behaviour_function =
      std::function<task_behaviour(const work::run_ref &, std::string_view)>;

  worker_simulation(const worker_simulation_limits &Limits,
                    behaviour_function BehaviourOf)
      : Limits(Limits), BehaviourOf(std::move(BehaviourOf)) {}

  void addWorker(const worker_id &Id, const resources &Capacity,
                 time_point Now);
  /// Work done on the worker in a unit of time; 1 by default, 0 if its tasks
  /// stand still.
  void setSpeed(const worker_id &Id, double Speed) {
    Workers.at(Id).Speed = Speed;
  }
  /// Replaces the worker by a new instance without runs or other state.
  void restart(const worker_id &Id, time_point Now);
  /// Start time that identifies the worker's present instance.
  std::uint64_t startTimeMs(const worker_id &Id) const;
  /// The worker's own clock in milliseconds since its start.
  std::int64_t clockMs(const worker_id &Id, time_point Now) const;

  /// Calls name a worker by its id, so that they reach whichever instance runs
  /// under it.
  order_result start(const worker_id &Id, std::uint64_t Token,
                     const work::start_run &Order, time_point Now);
  order_result stop(const worker_id &Id, std::uint64_t Token,
                    const work::run_ref &Run, time_point Now);
  /// Extends the lease, if the order has one, and drops acknowledged run ends.
  /// If the result is Done, listing() has the answer.
  order_result acceptListOrder(const worker_id &Id, std::uint64_t Token,
                               const work::list_runs &Order, time_point Now);
  work::worker_listing listing(const worker_id &Id, time_point Now) const;
  /// True if the listing has run ends that are not acknowledged yet.
  bool hasUnacknowledgedEnds(const worker_id &Id) const;

  /// Advances all runs to \p Now; to be called at every time step.
  void advance(time_point Now);

  std::span<const std::string> violations() const { return Violations; }
  std::size_t running() const;
  /// Sum of what the runs on a worker need.
  resources used(const worker_id &Id) const;
  /// Tasks that have been started, and how many of their runs have failed. The
  /// members of a gang fail together.
  const std::map<work::task_ref, std::uint32_t> &failedRuns() const {
    return FailedRuns;
  }
  std::uint64_t doneRuns() const { return DoneRuns; }
  const std::set<work::task_ref> &doneTasks() const { return DoneTasks; }

private:
  struct simulated_run {
    work::run_ref Run;
    task_behaviour Behaviour;
    duration Progress{};
    duration InitialProgress{}; ///< of the checkpoint that the run started from
    time_point ArrivedAt{};
    time_point StopAt{}; ///< 0: no stop was ordered
  };
  struct simulated_worker {
    resources Capacity;
    double Speed = 1;
    std::uint64_t StartTimeMs = 0;
    time_point ClockStart{};
    std::uint64_t Token = 0;
    std::uint64_t Acknowledged = 0;
    std::uint64_t LastEndNumber = 0;
    /// Ends up to this one were not acknowledged when the lease expired; they
    /// don't count as acknowledged later.
    std::uint64_t LastVoidEnd = 0;
    time_point LeaseEnd{};
    std::map<work::run_ref, simulated_run> Runs;
    std::vector<work::finished_run> Ends;
    std::map<work::task_ref, std::uint32_t>
        HighestRun; ///< run that ended or is barred
  };

  simulated_worker *check(const worker_id &Id, std::uint64_t Token,
                          order_result &Answer);
  void extendLease(simulated_worker &Worker, std::int64_t LeaseEndMs,
                   time_point Now) const;
  void end(simulated_worker &Worker, const work::run_ref &Run,
           work::run_end_reason EndReason);
  /// Ends all runs of a gang: \p CausingRun with \p Reason, the others with
  /// \p OtherReason.
  void endGang(const std::string &Gang, work::run_end_reason Reason,
               work::run_end_reason OtherReason,
               const work::run_ref &CausingRun);
  /// Number of the gang's runs on all workers.
  std::uint32_t runningMembers(const std::string &Gang) const;
  /// Whether the run has done its work, and all members of its gang have.
  bool isWorkDone(const simulated_run &Run) const;
  void advanceWorker(simulated_worker &Worker, time_point Now, duration Step);
  void checkInvariants(const simulated_worker &Worker,
                       const simulated_run &Run);
  std::string checkpoint(const simulated_run &Run) const;

  const worker_simulation_limits Limits;
  behaviour_function BehaviourOf;
  std::map<worker_id, simulated_worker> Workers;
  time_point Time{};
  std::uint64_t LastStartTimeMs = 1000;
  std::vector<std::string> Violations;
  std::set<work::task_ref> DoneTasks; ///< done, and the end was acknowledged
  std::map<work::task_ref, std::uint32_t> FailedRuns;
  std::uint64_t DoneRuns = 0;
};

} // namespace geraniumpaddle::standins
