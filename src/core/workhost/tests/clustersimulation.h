#pragma once

#include "core/work/tests/workbuilders.h"
#include "core/work/workscheduler.h"
#include "core/workhost/runreconciler.h"
#include "standins/taskworkers/workerfield.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace geraniumpaddle::work::testing {

/// Shares of messages that go wrong, in hundredths.
struct world_faults {
  int LostReports = 0; ///< reports or their answers
  int LostOrders = 0;  ///< starts and stops that are done without an answer
  int LateOrders = 0;  ///< starts that are done seconds later
  int SlowAppends = 0; ///< appends that take up to 2 s
};

/// Scheduler, agents, workers and the log, without sockets: the core classes
/// and the stand-in of the workers, joined by queues of delayed messages.
class work_world {
public:
  work_world(std::uint32_t Seed, int WorkerCount, const world_faults &Faults);

  void submit(const job_spec &Spec);
  void cancel(const job_id &Job);
  /// Another scheduler takes office; the old one's appends are refused.
  void takeOver();
  /// As above, and the old one tells the leases that it granted.
  void handOver();
  /// The agent process starts anew; its worker goes on.
  void restartAgent(int Worker);
  void restartWorker(int Worker);
  /// The worker says that it leaves, is asked for its ends, and ends.
  void leave(int Worker);
  void drain(int Worker, duration Remaining);
  bool runsOn(int Worker) const;
  /// Cuts the agent off from the scheduler for a time.
  void cutAgent(int Worker, duration For);

  void runFor(duration Time);
  /// \returns false if \p Done is not true within \p Limit.
  bool runUntil(const std::function<bool()> &Done, duration Limit);

  job_state state(const job_id &Job) const;
  bool allEnded() const;
  const standins::worker_field &field() const { return Field; }
  const job_registry &book() const { return Registry; }
  std::uint64_t appends() const { return Appends; }
  const job_progress &progress(const job_id &Job) const;

private:
  struct agent {
    std::unique_ptr<run_host> Host;
    std::uint64_t Token = 0;
    std::uint64_t Incarnation = 0;
    orders_version Known;
    time_point CutUntil{};
    time_point WakeAt = time_point::max();
    bool ReportWanted = false;
    time_point LastReport{};
    std::optional<time_point> ListAt; ///< answer of the open listing
    std::uint64_t OpenAcknowledged = 0;
  };
  struct delayed {
    time_point At;
    std::function<void()> Do;
  };

  bool chance(int Hundredths);
  duration delay();
  void later(duration After, std::function<void()> Do);
  present_time present() const;
  worker_id idOf(int Worker) const;
  void feedScheduler(const scheduler_event &Event);
  void append(append_progress Command, std::uint64_t Term);
  void feedAgent(int Worker, const host_event &Event);
  void execute(int Worker, const host_command &Command);
  void start(int Worker, const start_run &Command);
  void list(int Worker, const list_runs &Command);
  void sendReport(int Worker);
  void answerReport(int Worker, std::optional<std::int64_t> Clock);
  void tick();

  std::mt19937 Random;
  const world_faults Faults;
  time_point Now{std::chrono::hours(1)};
  standins::worker_field Field;
  queue_directory Queues;
  job_registry Registry;
  std::map<std::string, std::uint64_t> Offsets;
  std::map<job_id, job_spec> Specs;
  std::uint64_t Term = 0;
  std::uint64_t Appends = 0;
  std::unique_ptr<work_scheduler> Scheduler;
  time_point SchedulerWake = time_point::max();
  std::vector<agent> Agents;
  std::set<int> Gone; ///< workers that left
  std::deque<delayed> Queue;
};

} // namespace geraniumpaddle::work::testing
