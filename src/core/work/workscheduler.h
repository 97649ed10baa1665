#pragma once

#include "core/work/backlog.h"
#include "core/work/jobregistry.h"
#include "core/work/livejobs.h"
#include "core/work/placementround.h"
#include "core/work/queuedirectory.h"
#include "core/work/runforecast.h"
#include "core/work/runtable.h"
#include "core/work/types/limits.h"
#include "core/work/types/schedulerevents.h"
#include "core/work/urgentdemand.h"
#include "core/work/workerpool.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace geraniumpaddle::work {

/// Decides which task runs where, for one term of office.
///
/// A run is recorded before its worker is told of it, and an end before it is
/// acknowledged. Each worker gets the whole list of what it shall run, so a
/// repeated or lost message changes nothing, and a scheduler that takes office
/// goes on from the log and from what the agents report.
class work_scheduler {
public:
  /// \param Book has every record up to the start of the term; it outlives the
  ///        scheduler.
  /// \param Queues the configuration in force; outlives the scheduler.
  work_scheduler(std::uint64_t Term, const scheduler_limits &Limits,
                 const job_registry &Book, const queue_directory &Queues,
                 present_time Present);

  /// \returns commands that are valid until the next call.
  std::span<const scheduler_command> handle(const scheduler_event &Event,
                                            present_time Present);

  std::uint64_t term() const { return Term; }
  /// What \p Worker shall run now; nothing for a life that is not known.
  std::optional<worker_orders> orders(const worker_instance &Worker) const;

  /// Workers that may hold leases of this or an earlier term.
  std::vector<outstanding_lease> leases() const;

  /// What is ahead of a job that comes now; a little old at most.
  const queue_forecast &forecast(const present_time &Present);

  std::size_t runningRuns() const { return Runs.size(); }
  std::size_t openJobs() const { return Jobs.size(); }
  const worker_pool &workers() const { return Pool; }

private:
  /// A step with tasks that wait, and how urgent it is.
  struct candidate {
    step_ref Step;
    std::uint32_t Priority = 0;
    bool Guaranteed = false;
    bool Worthless = false;   ///< too late to earn anything
    time_point LatestStart{}; ///< to be done within the objective
    bool Late = false;        ///< that moment is over
    time_point ReclaimBy{};   ///< for a guaranteed one

    auto order() const {
      return std::tuple(!Guaranteed, Worthless, Priority, Late, LatestStart,
                        Step);
    }
  };

  void onArrived(const job_arrived &Event, const present_time &Present);
  void onCancel(const job_cancel_requested &Event, const present_time &Present);
  void onReported(const worker_reported &Event, const present_time &Present);
  void onEarlierEnded(const previous_term_ended &Event,
                      const present_time &Present);
  void onStored(const progress_stored &Event, const present_time &Present);
  void onTimePassed(const time_passed &Event, const present_time &Present);

  // Taking office and bookkeeping: workscheduler.cpp.
  void adoptBook(const present_time &Present);
  void adoptRuns(const live_job &Job, const present_time &Present);
  live_job *findJob(const job_id &Job);
  const live_job *findJob(const job_id &Job) const;
  live_run makeRun(const live_job &Job, const queue_policy &Policy,
                   const task_position &Position, time_point Now) const;
  void addRun(const live_run &Run);
  void eraseRun(const run_ref &Run);
  void markChanged(const job_id &Job);
  void ordersChanged(pool_worker &Worker);
  void acknowledge();
  void flush();
  void askWake(time_point At);
  void note(decision_kind Kind, const run_ref &Run,
            const worker_instance &Worker, std::string_view Detail = {});
  const queue_policy &termsOf(const live_job &Job) const;
  void endJob(const job_id &Job, job_state State, const present_time &Present);
  void stopRun(const run_ref &Run, std::string_view Why);
  void stopGang(const run_ref &Member, std::string_view Why);

  // What workers report: workerreports.cpp.
  void workerLeft(pool_worker &Worker, const worker_report &Report,
                  const present_time &Present);
  void takeListing(pool_worker &Worker, const worker_report &Report,
                   const present_time &Present);
  void takeRunning(pool_worker &Worker, const running_run &Row,
                   const present_time &Present);
  void takeForeign(pool_worker &Worker, const running_run &Row,
                   const present_time &Present);
  void takeFinished(pool_worker &Worker, const finished_run &Row,
                    const present_time &Present);
  void dropUnlisted(pool_worker &Worker, const worker_report &Report,
                    const present_time &Present);
  void learnFrom(pool_worker &Worker, const live_run &Run,
                 run_end_reason EndReason, const present_time &Present);
  void suspect(pool_worker &Worker, std::string_view Why,
               const present_time &Present);
  void runOver(const live_run &Run, run_end_reason EndReason,
               const std::string &Checkpoint, const present_time &Present);
  void taskDone(live_job &Job, const run_ref &Run, const present_time &Present);
  void taskFailed(live_job &Job, const run_ref &Run,
                  const present_time &Present);
  void runLost(const run_ref &Run, decision_kind Kind, std::string_view Why,
               const present_time &Present);
  void loseAll(pool_worker &Worker, std::string_view Why,
               const present_time &Present);
  void releaseTask(live_job &Job, const run_ref &Run,
                   const std::string &Checkpoint);

  // Rounds of placement: scheduledecisions.cpp.
  void decide(const present_time &Present);
  void placeAll(const present_time &Present);
  void expireWorkers(const present_time &Present);
  void expireGangs(const present_time &Present);
  void clearLeaving(const pool_worker &Worker, const present_time &Present);
  std::vector<candidate> readySteps(const present_time &Present);
  candidate candidateFor(const live_job &Job, const step_ref &Step,
                         const present_time &Present) const;
  std::set<customer_id> guaranteedCustomers() const;
  bool lastAttempt(const live_job &Job,
                   std::span<const task_position> Tasks) const;
  placement_request requestFor(const live_job &Job, const step_ref &Step,
                               std::span<const task_position> Tasks,
                               std::vector<const live_run *> &Siblings) const;
  void startRuns(live_job &Job, const step_ref &Step,
                 std::span<const assignment> Assignments,
                 const present_time &Present);
  void keepRoomForUrgent(placement_round &Round, const present_time &Present);
  void makeRoom(placement_round &Round, const candidate &Step,
                const placement_request &Request, const present_time &Present);
  bool worthPreempting(const candidate &Step, const placement_request &Request,
                       const preemption &Plan,
                       const present_time &Present) const;

  const std::uint64_t Term;
  const scheduler_limits Limits;
  const job_registry &Book;
  const queue_directory &Queues;
  std::unordered_map<job_id, live_job> Jobs;
  std::unordered_set<job_id> EndedJobs; ///< in this term
  std::set<job_id> Waiting;             ///< jobs with tasks that wait
  std::unordered_map<job_id, std::set<worker_id>> FailedOn;
  run_table Runs;
  worker_pool Pool;
  run_forecast Forecast;
  queue_forecast LastForecast;
  time_point ForecastAt{};
  urgent_demand Urgent;
  std::map<step_ref, time_point> StartingGangs; ///< and when they are given up

  std::map<job_id, job_progress> Changed; ///< to be recorded
  std::uint64_t NextBatch = 1;   ///< that takes the changes from now on
  std::uint64_t StoredBatch = 0; ///< the last one in the log
  bool Appending = false;
  /// Runs and ends that wait for a batch to be stored.
  std::deque<std::pair<std::uint64_t, run_ref>> WaitingRuns;
  struct waiting_end {
    std::uint64_t Batch = 0;
    worker_instance Worker;
    std::uint64_t Number = 0;
  };
  std::deque<waiting_end> WaitingEnds;

  bool RoundWanted = true; ///< something changed that placement depends on
  time_point NextRound{};
  time_point NextExpiry{};
  std::optional<time_point> Wake;
  std::vector<scheduler_command> Commands;
};

} // namespace geraniumpaddle::work
