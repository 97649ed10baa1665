#pragma once

#include "core/workhost/types/reconcilerevents.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle::standins {

/// What a task does once it runs.
struct task_behaviour {
  duration Work = std::chrono::seconds(1);
  resources Need;
  std::string Gang; ///< name of the gang's run; empty: none
  std::uint32_t GangSize = 1;
  bool Fails = false;
  bool Hangs = false;
  bool Checkpointing = false;
};

struct field_limits {
  duration Stop = std::chrono::milliseconds(200);
  duration GangWait = std::chrono::seconds(3);
  duration LongestLease = std::chrono::seconds(6);
  duration CheckpointEvery = std::chrono::milliseconds(500);
};

enum class order_result : std::uint8_t {
  Done,
  Fenced,
  Stale,
  Late,
  OtherLife,
};

/// The workers of the platform, as its published protocol describes them: runs
/// under leases, fencing tokens, gangs, checkpoints. It notes when what it was
/// told breaks a promise: the same task twice, a worker beyond its capacity.
class worker_simulation {
public:
  using behaviour_function =
      std::function<task_behaviour(const work::run_ref &, std::string_view)>;

  worker_simulation(const field_limits &Limits, behaviour_function Behaviour)
      : Limits(Limits), Behaviour(std::move(Behaviour)) {}

  void addWorker(const worker_id &Id, const resources &Capacity,
                 time_point Now);
  /// The worker starts anew: it runs and knows nothing.
  void restart(const worker_id &Id, time_point Now);
  std::uint64_t startTimeMs(const worker_id &Id) const;
  /// The worker's own clock, in milliseconds.
  std::int64_t clockMs(const worker_id &Id, time_point Now) const;

  order_result start(const work::worker_instance &Life, std::uint64_t Token,
                     const work::start_run &Order, time_point Now);
  order_result stop(const work::worker_instance &Life, std::uint64_t Token,
                    const work::run_ref &Run, time_point Now);
  order_result acceptListOrder(const work::worker_instance &Life,
                               std::uint64_t Token,
                               const work::list_runs &Order, time_point Now);
  work::worker_listing listing(const worker_id &Id, time_point Now) const;
  /// True if an end is listed that is not acknowledged.
  bool hasUnacknowledgedEnds(const worker_id &Id) const;

  /// Moves all runs on to \p Now; call it at every step of time.
  void advance(time_point Now);

  std::span<const std::string> violations() const { return Violations; }
  std::size_t running() const;
  std::uint64_t doneRuns() const { return DoneRuns; }
  const std::set<work::task_ref> &doneTasks() const { return DoneTasks; }

private:
  struct field_run {
    work::run_ref Run;
    task_behaviour What;
    duration Worked{};
    duration FirstWorked{}; ///< from the checkpoint it began at
    time_point ArrivedAt{};
    time_point StopAt{}; ///< 0: not stopping
  };
  struct field_worker {
    resources Capacity;
    std::uint64_t StartTimeMs = 0;
    time_point ClockZero{};
    std::uint64_t Token = 0;
    std::uint64_t Acknowledged = 0;
    std::uint64_t LastEnd = 0;
    time_point LeaseEnd{};
    std::map<work::run_ref, field_run> Runs;
    std::vector<work::finished_run> Ends;
    std::map<work::task_ref, std::uint32_t> Highest; ///< run ended or barred
  };

  field_worker *check(const work::worker_instance &Life, std::uint64_t Token,
                      order_result &Answer);
  void extendLease(field_worker &Worker, std::int64_t LeaseEndMs,
                   time_point Now) const;
  void end(field_worker &Worker, const work::run_ref &Run,
           work::run_end_reason EndReason);
  void endGang(const std::string &Gang, work::run_end_reason First,
               work::run_end_reason Rest, const work::run_ref &Which);
  std::uint32_t present(const std::string &Gang) const;
  void advanceWorker(field_worker &Worker, time_point Now, duration Step);
  void checkStart(const field_worker &Worker, const field_run &Run);
  std::string checkpoint(const field_run &Run) const;

  const field_limits Limits;
  behaviour_function Behaviour;
  std::map<worker_id, field_worker> Workers;
  time_point Time{};
  std::uint64_t LastBorn = 1000;
  std::vector<std::string> Violations;
  std::set<work::task_ref> DoneTasks; ///< whose end was acknowledged
  std::uint64_t DoneRuns = 0;
};

} // namespace geraniumpaddle::standins
