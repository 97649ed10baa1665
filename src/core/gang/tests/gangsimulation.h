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

/// An interval during which a worker actually ran a task.
struct task_run {
  gang_task_id Id;
  int Worker = 0;
  accelerator_mask Accelerators = 0;
  time_point From{};
  time_point Until = time_point::max();
  bool Finished = false;
};

/// A worker that stops a task when its lease expires by the worker's clock.
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
  int Incarnation = 0; ///< incremented when the machine is replaced
  bool Unresponsive = false;
  int AnswersToDrop = 0;
};

/// An attempt of a job, with one task on each of its workers.
struct placed_gang {
  assign_gang Assignment;
  int Lead = 0;
  bool Started = false;
  bool Superseded = false; ///< preempted or cancelled
  std::optional<report_ended> Ended;
  std::optional<job_outcome> Stop; ///< requested by an entry
};

struct network_faults {
  int LossPercent = 0;
  int DuplicatePercent = 0;
  duration MaxDelay = std::chrono::milliseconds(5);
  unsigned Seed = 1;
};

/// Simulates agents that run the real gang_registry, workers with leases, an
/// entry with the ledger's rules, and a faulty network, in virtual time.
class gang_simulation {
public:
  static constexpr int Agents = 3;
  static constexpr duration TaskRunTime = std::chrono::seconds(40);

  explicit gang_simulation(const network_faults &Faults = {});

  /// One task on each of \p Workers, on the accelerators in \p Mask.
  fencing_token place(std::string_view Job, std::vector<int> Workers,
                      accelerator_mask Mask, std::string_view Command = "run",
                      bool Idempotent = true);
  void stop(fencing_token Token, job_outcome Reason);
  void restart(int Agent);
  void replaceWorker(int Agent); ///< agent and worker lose all state
  void pause(int Agent, duration Length);
  void disconnect(int Agent, duration Length); ///< only its peer interface
  void disconnectWorker(int Agent, duration Length);
  void dropWorkerAnswers(int Agent, int Count);
  void startLogOutage(duration Length);
  /// \p PerMille in thousandths; a positive drift makes the clock run fast.
  void setDrift(int Agent, int PerMille) { Clocks[Agent].Drift = PerMille; }

  void runFor(duration Time);
  /// \returns false if \p Condition did not become true within \p Limit.
  bool runUntil(const std::function<bool()> &Condition, duration Limit);

  time_point now() const { return Now; }
  const placed_gang &gang(fencing_token Token) const {
    return Placed.at(Token);
  }
  member_state memberState(int Agent, fencing_token Token) const;
  bool allTasksRun(fencing_token Token) const;
  bool noTaskRuns(fencing_token Token) const;
  std::size_t startCount(fencing_token Token) const;
  const gang_timing &timing() const { return Timing; }

  /// Checks the invariants over all tasks that ran; nothing if they hold.
  std::optional<std::string> violation() const;
  /// Longest time for which only a part of the gang was running.
  duration longestPartial(fencing_token Token) const;

private:
  struct clock {
    int Drift = 0;
  };
  struct agent {
    std::unique_ptr<gang_registry> Registry;
    int Incarnation = 0;
    time_point PausedUntil{};
    time_point DisconnectedUntil{};
    time_point TimerAt = time_point::max();
    std::map<std::uint64_t, std::function<void(const member_report &)>> Calls;
  };

  void at(time_point When, std::function<void()> Action);
  time_point localTime(int Agent) const;
  duration toSimulationTime(int Agent, duration Local) const;
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
  void deliver(int From, int To, int SenderIncarnation,
               const send_to_member &Command);
  void resendAssignment(fencing_token Token);
  void expireTimer(int Agent, int Incarnation, time_point DueAt);

  void executeOnWorker(int Worker, const worker_describe &Call);
  void executeOnWorker(int Worker, const worker_start_task &Call);
  void executeOnWorker(int Worker, const worker_renew_tasks &Call);
  void executeOnWorker(int Worker, const worker_checkpoint_task &Call);
  void executeOnWorker(int Worker, const worker_stop_task &Call);
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
  std::optional<std::string> FirstViolation;
  time_point LogDownUntil{};
  std::uint64_t LastToken = 0;
  std::uint64_t LastCall = 0;
};

} // namespace geraniumpaddle::testing
