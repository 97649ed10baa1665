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
#include "core/work/workerspeeds.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace geraniumpaddle::work {

/// Assigns tasks to workers for one leadership term.
///
/// A run is recorded before it is sent to its worker, and an end before it is
/// acknowledged. Each worker gets its complete desired state, so lost and
/// repeated messages are harmless, and a newly elected scheduler continues from
/// the log and from the reports of the agents.
class work_scheduler {
public:
  /// \param Registry contains every record up to the start of the term;
  ///        outlives the scheduler.
  /// \param Queues the active configuration; outlives the scheduler.
  /// \param Evacuated outlives the scheduler.
  work_scheduler(std::uint64_t Term, const scheduler_limits &Limits,
                 const job_registry &Registry, const queue_directory &Queues,
                 const evacuated_zones &Evacuated, present_time Present);

  /// \returns commands that are valid until the next call.
  std::span<const scheduler_command> handle(const scheduler_event &Event,
                                            present_time Present);

  std::uint64_t term() const { return Term; }
  /// Current desired state of \p Instance; empty if it is unknown.
  std::optional<worker_orders> orders(const worker_instance &Instance) const;

  /// Workers that may hold leases of this or an earlier term.
  std::vector<outstanding_lease> leases() const;

  /// Forecast for a job that arrives now; cached for a short time.
  const queue_forecast &forecast(const present_time &Present);

  std::size_t runningRuns() const { return Runs.size(); }
  std::size_t openJobs() const { return Jobs.size(); }
  const worker_pool &workers() const { return Pool; }

private:
  /// A step with waiting tasks, and its urgency.
  struct candidate {
    step_ref Step;
    std::uint32_t Priority = 0;
    bool Guaranteed = false;
    bool PastDeadline = false;  ///< cannot end before its deadline
    time_point LatestStart{};   ///< latest start to meet the objective
    bool PastObjective = false; ///< LatestStart has passed
    time_point ReclaimBy{};     ///< latest start if Guaranteed
    time_point WaitingSince{};  ///< when its tasks were first ready to run

    auto order() const {
      return std::tuple(!Guaranteed, PastDeadline, Priority, PastObjective,
                        LatestStart, Step);
    }
  };

  /// A step that a round places, and the request for its tasks.
  struct waiting_step {
    const candidate &Step;
    std::vector<task_position> Tasks;
    std::vector<const live_run *> Siblings;
    std::optional<placement_request> Request; ///< refers to the two above
  };

  /// What the steps of one round have used up of its limits.
  struct round_use {
    int Reservations = 0;
    int Plans = 0;
    int LoggedWaits = 0;
    bool UrgentReserved = false;
  };

  void onJobArrived(const job_arrived &Event, const present_time &Present);
  void onCancelRequested(const job_cancel_requested &Event,
                         const present_time &Present);
  void onWorkerReported(const worker_reported &Event,
                        const present_time &Present);
  void onPreviousTermEnded(const previous_term_ended &Event,
                           const present_time &Present);
  void onProgressStored(const progress_stored &Event,
                        const present_time &Present);
  void onEvacuationsChanged(const evacuations_changed &Event,
                            const present_time &Present);
  void onTimerExpired(const scheduler_timer_expired &Event,
                      const present_time &Present);

  // Recovery from the log and bookkeeping: workscheduler.cpp.
  void recoverJobs(const present_time &Present);
  void recoverRuns(const live_job &Job, const present_time &Present);
  live_job *findJob(const job_id &Job);
  const live_job *findJob(const job_id &Job) const;
  live_run makeRun(const live_job &Job, const queue_policy &Policy,
                   const task_position &Position, time_point Now) const;
  void addRun(const live_run &Run);
  void eraseRun(const run_ref &Run);
  void markChanged(const job_id &Job);
  void ordersChanged(pool_worker &Worker);
  void acknowledge();
  void emitCommands();
  void requestTimer(time_point At);
  void logDecision(decision_kind Kind, const run_ref &Run,
                   const worker_instance &Worker, std::string_view Detail = {});
  const queue_policy &policyOf(const live_job &Job) const;
  void endJob(const job_id &Job, job_state State, const present_time &Present);
  void stopRun(const run_ref &Run, std::string_view Reason);
  void stopGang(const run_ref &Member, std::string_view Reason);

  // Reports of the workers: workerreports.cpp.
  void noteSuccessor(pool_worker &Worker, const worker_instance &Next,
                     const present_time &Present);
  void resolveEarlierRuns(pool_worker &Worker, const worker_report &Report,
                          const present_time &Present);
  void workerLeft(pool_worker &Worker, const worker_report &Report,
                  const present_time &Present);
  void applyListing(pool_worker &Worker, const worker_report &Report,
                    const present_time &Present);
  void applyRunning(pool_worker &Worker, const running_run &Row,
                    const present_time &Present);
  void recordProgress(live_run &Run, std::int32_t Percent, time_point Now);
  void sampleSpeed(live_run &Run, std::int32_t Percent, std::int64_t ClockMs);
  std::vector<live_run *> gangMembers(live_run &Run) const;
  void stopStalled(pool_worker &Worker, live_run &Run,
                   const present_time &Present);
  void stopEvacuated(const pool_worker &Worker);
  bool hasStarted(const live_run &Run) const;
  void jobStarted(live_job &Job);
  void addUnwantedRun(pool_worker &Worker, const run_ref &Run, bool Listed,
                      const present_time &Present);
  void applyFinished(pool_worker &Worker, const finished_run &Row,
                     const present_time &Present);
  void applyEndOfLostRun(const pool_worker &Worker, const finished_run &Row,
                         const present_time &Present);
  void stopUnstarted(pool_worker &Worker, const present_time &Present);
  void endNeverStarted(pool_worker &Worker, const worker_report &Report,
                       const present_time &Present);
  void recordOutcome(pool_worker &Worker, const live_run &Run,
                     run_end_reason EndReason, const present_time &Present);
  void restoreTrust(pool_worker &Worker, const live_run &Run,
                    const present_time &Present);
  void suspect(pool_worker &Worker, std::string_view Reason,
               const present_time &Present);
  void finishRun(const live_run &Run, run_end_reason EndReason,
                 const std::string &Checkpoint, const present_time &Present);
  void taskDone(live_job &Job, const run_ref &Run, const present_time &Present);
  void taskFailed(live_job &Job, const run_ref &Run,
                  const present_time &Present);
  void runLost(const run_ref &Run, decision_kind Kind, std::string_view Reason,
               const present_time &Present);
  void loseWorkerRuns(pool_worker &Worker, std::string_view Reason,
                      const present_time &Present);
  void releaseTask(live_job &Job, const run_ref &Run,
                   const std::string &Checkpoint);

  // Placement rounds: scheduledecisions.cpp.
  void decide(const present_time &Present);
  std::size_t placeAll(const present_time &Present);
  speed_ranks speedRanks() const;
  void placeStep(placement_round &Round, round_use &Use, const candidate &Step,
                 const present_time &Present);
  const placement_request &currentRequest(placement_round &Round,
                                          waiting_step &Waiting) const;
  bool placeTasks(placement_round &Round, waiting_step &Waiting,
                  placement_scope Scope, const present_time &Present);
  bool standsStill(placement_round &Round, const candidate &Step,
                   const present_time &Present) const;
  void planFor(placement_round &Round, round_use &Use, waiting_step &Waiting,
               const present_time &Present);
  void logWait(placement_round &Round, round_use &Use, waiting_step &Waiting,
               const present_time &Present);
  void expireWorkers(const present_time &Present);
  void expireGangs(const present_time &Present);
  void evacuateDraining(const pool_worker &Worker, const present_time &Present);
  std::vector<candidate> readySteps(const present_time &Present);
  candidate candidateFor(const live_job &Job, const step_ref &Step,
                         time_point WaitingSince,
                         const present_time &Present) const;
  std::set<customer_id> guaranteedCustomers() const;
  bool isLastAttempt(const live_job &Job,
                     std::span<const task_position> Tasks) const;
  /// Preferences that no worker can meet are left out.
  placement_request requestFor(placement_round &Round, const live_job &Job,
                               const step_ref &Step,
                               std::span<const task_position> Tasks,
                               std::vector<const live_run *> &Siblings) const;
  void startRuns(live_job &Job, const step_ref &Step,
                 std::span<const assignment> Assignments, placement_scope Scope,
                 const present_time &Present);
  void reserveForUrgent(placement_round &Round, const present_time &Present);
  void reserveOrPreempt(placement_round &Round, const candidate &Step,
                        const placement_request &Request,
                        const present_time &Present);
  bool worthPreempting(const candidate &Step, const placement_request &Request,
                       const preemption &Plan,
                       const present_time &Present) const;

  const std::uint64_t Term;
  const scheduler_limits Limits;
  const job_registry &Registry;
  const queue_directory &Queues;
  std::unordered_map<job_id, live_job> Jobs;
  std::unordered_set<job_id> EndedJobs; ///< in this term
  std::set<job_id> Waiting;             ///< jobs with waiting tasks
  /// Workers on which runs of a job failed or did not start.
  std::unordered_map<job_id, std::set<worker_id>> FailedOn;
  run_table Runs;
  worker_pool Pool;
  run_forecast Forecast;
  worker_speeds Speeds;
  queue_forecast LastForecast;
  time_point ForecastAt{};
  urgent_demand Urgent;
  std::map<step_ref, time_point> StartingGangs; ///< and their start limit

  std::map<job_id, job_progress> Changed; ///< to append to the log
  std::uint64_t NextBatch = 1;            ///< the batch for new changes
  std::uint64_t StoredBatch = 0;          ///< the last one in the log
  bool Appending = false;
  /// Runs and ends that wait for a batch to be stored.
  std::deque<std::pair<std::uint64_t, run_ref>> UnstoredRuns;
  struct unstored_end {
    std::uint64_t Batch = 0;
    worker_instance Worker;
    std::uint64_t Number = 0;
  };
  std::deque<unstored_end> UnstoredEnds;

  bool RoundNeeded = true; ///< something changed that placement depends on
  time_point NextRound{};  ///< earliest time for a round
  time_point NextReview{}; ///< placement may differ from then on by time alone
  time_point NextExpiry{};
  std::optional<time_point> TimerAt;
  std::vector<scheduler_command> Commands;
};

} // namespace geraniumpaddle::work
