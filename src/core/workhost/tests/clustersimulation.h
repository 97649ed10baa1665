#pragma once

#include "core/work/tests/workbuilders.h"
#include "core/work/workscheduler.h"
#include "core/workhost/runreconciler.h"
#include "standins/taskworkers/workersimulation.h"

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

/// A job of one step. \param Payload run time of a task in milliseconds,
/// followed by 'f' if it fails.
inline job_spec jobOf(std::string_view Id, std::uint32_t Count,
                      std::string Payload, std::int32_t Accelerators = 1) {
  job_spec Spec = makeJob(Id, Count, Accelerators);
  Spec.Payload = std::move(Payload);
  return Spec;
}

/// Fault rates of messages, in percent.
struct simulation_faults {
  int LostReports = 0; ///< lost reports, or lost answers to them
  int LostOrders = 0;  ///< starts and stops executed, but not answered
  int LateOrders = 0;  ///< starts executed seconds later
  int SlowAppends = 0; ///< appends that take up to 2 s
  int HeldAnswers = 0; ///< answers to reports that are sent up to 6 s late
  /// Starts reach whichever instance runs under the worker's id, as if they
  /// were not bound to the connection of an instance.
  bool UnboundStarts = false;
  /// Workers close each connection: a start is sent on a new one after the
  /// instance has answered. With this chance the worker restarts in between.
  int RestartsBeforeStart = 0;
  /// As above, between its answer and a listing request.
  int RestartsBeforeListing = 0;
  int UnhealthyStarts = 0; ///< starts refused by an unhealthy worker
  /// Time that a worker needs to stop a run.
  duration StopTime = std::chrono::milliseconds(200);
  /// Ended runs that a worker lists at a time.
  std::size_t EndsPerListing = 500;
};

/// Simulation of scheduler, agents, workers and log without sockets: the core
/// classes and the stand-in workers, connected by a queue of delayed messages.
class cluster_simulation {
public:
  cluster_simulation(std::uint32_t Seed, int WorkerCount,
                     const simulation_faults &Faults);

  void submit(const job_spec &Spec);
  void cancel(const job_id &Job);
  /// Cancels a job whose submission is stored only after \p Later.
  void cancelBeforeSubmission(const job_spec &Spec, duration Later);
  /// Another scheduler takes over; appends of the old one are refused.
  void takeOver();
  /// As above, but the old scheduler passes on the leases that it granted.
  void handOver();
  /// The scheduler does nothing for a time, then gets all that was sent to it.
  void pauseScheduler(duration For);
  /// As above, for an agent. Answers to its calls show what was the case when
  /// they were sent.
  void pauseAgent(int Worker, duration For);
  /// Restarts the agent process while its worker keeps running.
  void restartAgent(int Worker);
  /// The worker crashes and starts again under its id. Its agent hears of it
  /// with the next heartbeat.
  void restartWorker(int Worker);
  /// The worker neither receives nor sends anything for a time.
  void cutWorker(int Worker, duration For);
  /// See worker_simulation::setSpeed.
  void setSpeed(int Worker, double Speed);
  /// The worker announces its shutdown, is listed once more, and exits.
  void shutDownWorker(int Worker);
  void drainWorker(int Worker, duration Remaining);
  /// The worker drains for \p DrainTime, then its next instance replaces it.
  void replaceWorker(int Worker, duration DrainTime);
  bool runsOn(int Worker) const;
  /// Disconnects the agent from the scheduler for a time.
  void disconnectAgent(int Worker, duration For);

  void runFor(duration Time);
  /// \returns false if \p Done is not true within \p Limit.
  bool runUntil(const std::function<bool()> &Done, duration Limit);

  job_state state(const job_id &Job) const;
  bool allEnded() const;
  /// Whether a worker has started a task of the job.
  bool hasStarted(const job_id &Job) const;
  time_point now() const { return Now; }
  int workerCount() const { return static_cast<int>(Agents.size()); }
  const worker_description &description(int Worker) const;
  /// Active runs of a worker.
  std::vector<run_ref> runsOf(int Worker) const;
  const standins::worker_simulation &simulatedWorkers() const {
    return SimulatedWorkers;
  }
  const job_registry &registry() const { return Registry; }
  std::uint64_t appends() const { return Appends; }
  /// Decisions of all schedulers with this detail.
  std::size_t decisions(std::string_view Detail) const {
    const auto Found = Decisions.find(Detail);
    return Found == Decisions.end() ? 0 : Found->second;
  }
  const worker_pool &workers() const { return Scheduler->workers(); }
  /// Whether each run of the scheduler is on the list of one worker, whose used
  /// capacity is that of its list.
  bool runsAreListedOnce() const;
  /// Tasks whose end as done was acknowledged and is not in the log.
  std::vector<task_ref> unrecordedEnds() const;
  const job_progress &progress(const job_id &Job) const;

private:
  struct agent {
    std::unique_ptr<run_reconciler> Reconciler;
    /// Number of the agent's session, which is also its fencing token.
    std::uint64_t Session = 0;
    orders_version Known;
    time_point DisconnectedUntil{};
    time_point TimerAt = time_point::max();
    bool ReportWanted = false;
    time_point LastReport{};
    std::optional<time_point> ListAt; ///< answer time of the open listing
    time_point CutUntil{};            ///< the worker is unreachable until then
    time_point PausedUntil{};
  };
  struct delayed {
    time_point At;
    std::function<void()> Action;
  };

  bool chance(int Percent);
  duration delay();
  void schedule(duration After, std::function<void()> Action);
  present_time present() const;
  worker_id workerId(int Worker) const;
  void feedScheduler(const scheduler_event &Event);
  /// Repeats \p Action of the scheduler's process when its pause is over.
  /// \returns false if it is not paused.
  bool deferUntilSchedulerResumes(std::function<void()> Action);
  void handleReport(int Worker, std::uint64_t Session,
                    const worker_report &Report);
  void append(append_progress Command, std::uint64_t Term);
  /// Begins a session of the agent with the present instance of its worker.
  void beginSession(int Worker, earlier_session Earlier);
  void sendHeartbeat(int Worker);
  /// Feeds the answer to a call unless its session has ended.
  void answer(int Worker, std::uint64_t Session, const reconciler_event &Event);
  /// Time until a call that is sent now reaches the worker; nothing if it times
  /// out before.
  std::optional<duration> timeToWorker(int Worker);
  /// Whether the agent's session is with the worker's present instance.
  bool inSession(int Worker) const;
  void feedAgent(int Worker, const reconciler_event &Event);
  void execute(int Worker, const reconciler_command &Command);
  void start(int Worker, const start_run &Command);
  void stop(int Worker, const stop_run &Command);
  void list(int Worker, const list_runs &Command);
  void answerListing(int Worker);
  void sendReport(int Worker);
  void tick();

  std::mt19937 Random;
  const simulation_faults Faults;
  time_point Now{std::chrono::hours(1)};
  standins::worker_simulation SimulatedWorkers;
  queue_directory Queues;
  evacuated_zones Evacuated;
  job_registry Registry;
  std::map<std::string, std::uint64_t> Offsets;
  std::map<job_id, job_spec> Specs;
  std::uint64_t Term = 0;
  std::uint64_t Appends = 0;
  std::map<std::string, std::size_t, std::less<>> Decisions; ///< by detail
  std::unique_ptr<work_scheduler> Scheduler;
  time_point SchedulerTimerAt = time_point::max();
  time_point SchedulerPausedUntil{};
  std::vector<agent> Agents;
  std::set<int> ExitedWorkers; ///< that have shut down
  std::deque<delayed> Queue;
};

} // namespace geraniumpaddle::work::testing
