#pragma once

#include "core/placement/scheduler.h"
#include "placementworkload.h"

#include <map>
#include <optional>
#include <queue>
#include <vector>

namespace geraniumpaddle::bench {

/// Measurements of one replay.
struct replay_result {
  double MeanCompletionHours = 0;
  double P99CompletionHours = 0;
  /// Share of the free accelerator time, while jobs arrive, on partly used
  /// workers, where no task that needs a whole worker can use it.
  double Fragmentation = 0;
  /// Share of time, while jobs arrive, in which a gang waits although enough
  /// accelerators are free in total.
  double BlockedByFragmentation = 0;
  double LargeGangMeanWaitHours = 0; ///< gangs of 16 accelerators and more
  double LargeGangMaxWaitHours = 0;
  double LostWorkHours = 0; ///< accelerator hours lost by preemption
  double Utilisation = 0;   ///< while jobs arrive
  int Completed = 0;
  int Preemptions = 0;
  int Rejected = 0; ///< proposals rejected by the capacity account
  std::size_t MaxTasks = 0;
  std::vector<double> DecisionMs;
  std::vector<double> ClaimUs;
};

/// Replays the arrivals, ends and cancellations of a workload in virtual time
/// with one scheduler. Calls the scheduling core directly, without processes.
class placement_replay {
public:
  placement_replay(const workload &Load, scheduler &Scheduler,
                   bool ObservesRunTimes);

  replay_result run();

private:
  enum class event_kind : std::uint8_t { Arrival, End, Cancel, Tick };
  struct event {
    time_point At;
    event_kind Kind;
    std::size_t Job;
    std::uint64_t Token;
    auto operator<=>(const event &) const = default;
  };
  struct job_state {
    bool Waiting = false;
    bool Done = false;
    std::uint32_t Attempts = 0;
    fencing_token Token{};
    bool Borrowed = false;
    time_point StartedAt;
    std::chrono::seconds Progress{0}; ///< saved in checkpoints
  };

  void apply(const event &Event);
  void onEnd(std::size_t Job);
  void onCancel(std::size_t Job);
  void advance(time_point To);
  void decide();
  bool accept(const placement_proposal &Proposal);
  void preempt(fencing_token Token);
  time_point checkpointOf(const job_state &State) const;
  std::vector<waiting_job> waitingJobs() const;
  std::vector<running_attempt> runningAttempts() const;
  void finish();

  const workload &Load;
  scheduler &Scheduler;
  bool ObservesRunTimes;
  capacity_account Account;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<job_state> States;
  std::map<job_id, std::size_t> ByName;
  std::vector<std::size_t> Waiting; ///< in order of arrival
  std::map<fencing_token, std::size_t> Running;
  std::uint64_t LastToken = 0;
  time_point Now{};
  time_point LastArrival{};
  double FreeSeconds = 0;
  double StrandedSeconds = 0;
  double BlockedSeconds = 0;
  double UsedSeconds = 0;
  std::vector<double> CompletionHours;
  std::vector<double> LargeGangWaitHours;
  replay_result Result;
};

} // namespace geraniumpaddle::bench
