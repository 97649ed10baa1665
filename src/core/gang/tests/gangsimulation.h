#pragma once

#include "core/gang/gangregistry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumpaddle::testing {

/// A time during which a worker truly ran a task.
struct task_run {
  gang_task_id Id;
  int Worker = 0;
  accelerator_mask Accelerators = 0;
  time_point From{};
  time_point Until = time_point::max();
  bool Finished = false;
};

/// A worker that ends tasks whose lease lapses on its own clock.
struct fake_worker {
  struct task {
    task_state State = task_state::Running;
    accelerator_mask Accelerators = 0;
    time_point LeaseUntil{};
    time_point EndsAt{};
    std::string Command;
    std::size_t Run = 0;
  };
  std::map<gang_task_id, task> Tasks;
  int Generation = 0; ///< rises when the machine is replaced
  bool Silent = false;
  int AnswersToLose = 0;
};

/// Where a job's attempt runs: one task per entry of Workers.
struct placed_gang {
  assign_gang Assignment;
  int Lead = 0;
  bool Started = false;
  bool Displaced = false; ///< by a later attempt, or cancelled
  std::optional<report_ended> Ended;
  std::optional<job_outcome> Stop; ///< asked for by an entry
};

struct network_faults {
  int LossPercent = 0;
  int DuplicatePercent = 0;
  duration MaxDelay = std::chrono::milliseconds(5);
  unsigned Seed = 1;
};

/// Agents with the real core, workers with leases, an entry with the ledger's
/// rules, and a network, on one virtual time line.
class gang_world {
public:
  static constexpr int Agents = 3;
  static constexpr duration RunTime = std::chrono::seconds(40);

  explicit gang_world(const network_faults &Faults = {});

  /// One task on each of \p Workers, on the accelerators in \p Mask.
  fencing_token place(std::string_view Job, std::vector<int> Workers,
                      accelerator_mask Mask, std::string_view Command = "run",
                      bool Idempotent = true);
  void stop(fencing_token Token, job_outcome Reason);
  void restart(int Agent);
  void replaceWorker(int Agent); ///< agent and worker forget everything
  void pause(int Agent, duration For);
  void silence(int Agent, duration For); ///< its peer interface only
  void silenceWorker(int Agent, duration For);
  void loseWorkerAnswers(int Agent, int Count);
  void logOutage(duration For);
  /// \p PerMille in thousandths; positive runs fast.
  void setDrift(int Agent, int PerMille) { Clocks[Agent].Drift = PerMille; }

  void runFor(duration Time);
  /// False if it did not come true within \p Limit.
  bool runUntil(const std::function<bool()> &Condition, duration Limit);

  time_point now() const { return Now; }
  const placed_gang &gang(fencing_token Token) const {
    return Placed.at(Token);
  }
  member_state memberState(int Agent, fencing_token Token) const;
  bool allRun(fencing_token Token) const;
  bool noneRun(fencing_token Token) const;
  std::size_t starts(fencing_token Token) const;
  const gang_timing &timing() const { return Timing; }

  /// Properties over everything that ran; nothing if they hold.
  std::optional<std::string> violation() const;
  /// Longest time for which only a part of the gang ran.
  duration longestPartial(fencing_token Token) const;

private:
  struct clock {
    int Drift = 0;
  };
  struct agent {
    std::unique_ptr<gang_registry> Registry;
    int Generation = 0;
    time_point PausedUntil{};
    time_point SilentUntil{};
    time_point WakeupAt = time_point::max();
    std::map<std::uint64_t, std::function<void(const member_report &)>> Calls;
  };

  void at(time_point When, std::function<void()> Do);
  time_point localTime(int Agent) const;
  duration toGlobal(int Agent, duration Local) const;
  int agentOf(const worker_id &Worker) const;
  bool chance(int Percent);
  duration delay();

  void post(int Agent, const gang_event &Event);
  void execute(int Agent, std::span<const gang_command> Commands);
  void onCommand(int Agent, const gang_reply &Command);
  void onCommand(int Agent, const send_to_member &Command);
  void onCommand(int Agent, const report_started &Command);
  void onCommand(int Agent, const report_ended &Command);
  void onCommand(int Agent, const set_gang_timer &Command);
  template <typename Command> void onCommand(int Agent, const Command &Call);
  void deliver(int From, int To, int FromGeneration,
               const send_to_member &Command);
  void assignAgain(fencing_token Token);
  void wakeUp(int Agent, int Generation, time_point Asked);

  void act(int Worker, const worker_describe &Call);
  void act(int Worker, const worker_start_task &Call);
  void act(int Worker, const worker_renew_tasks &Call);
  void act(int Worker, const worker_checkpoint_task &Call);
  void act(int Worker, const worker_stop_task &Call);
  void expireTasks(int Worker);
  void endTask(int Worker, fake_worker::task &Task, task_state State);
  std::vector<task_status> statuses(int Worker) const;
  void checkPrepared(int Worker, fencing_token Token);
  std::optional<std::string> checkStart(const task_run &Run) const;

  const gang_timing Timing{};
  const network_faults Faults;
  std::uint64_t Random;
  time_point Now{std::chrono::hours(1)};
  std::multimap<time_point, std::function<void()>> Queue;
  clock Clocks[Agents];
  agent Running[Agents];
  fake_worker Workers[Agents];
  std::map<fencing_token, placed_gang> Placed;
  std::set<std::pair<fencing_token, int>> WasPrepared;
  std::vector<task_run> Runs;
  std::optional<std::string> Broken;
  time_point LogDownUntil{};
  std::uint64_t LastToken = 0;
  std::uint64_t LastCall = 0;
};

} // namespace geraniumpaddle::testing
