#pragma once

#include "core/work/workscheduler.h"
#include "jobentry/decisionmetrics.h"
#include "jobentry/electiondriver.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "platform/istore.h"
#include "transport/ieventloop.h"
#include "transport/ipeerserver.h"
#include "transport/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace geraniumpaddle {

/// Runs the scheduler for one term of leadership: stores its progress records,
/// and answers the reports of agents with its orders.
class job_scheduler_driver {
public:
  /// \param TermRecord stored again while there is no progress to store: the
  ///        append is fenced if another entry has begun a later term.
  /// \param OnJobEnded called with the record that ends a job, when that
  ///        record is in the log.
  /// \param Registry and \p Queues belong to the entry and outlive the driver.
  job_scheduler_driver(ievent_loop &Loop, istore &Store,
                       election_driver &Election, metric_registry &Metrics,
                       const work::scheduler_limits &Limits, std::uint64_t Term,
                       keyed_value TermRecord,
                       const work::job_registry &Registry,
                       const work::queue_directory &Queues,
                       const work::evacuated_zones &Evacuated,
                       std::function<void(const keyed_record &)> OnJobEnded);
  ~job_scheduler_driver();
  job_scheduler_driver(const job_scheduler_driver &) = delete;
  job_scheduler_driver &operator=(const job_scheduler_driver &) = delete;

  void feed(const work::scheduler_event &Event);
  /// Sequence number of the first append; 0 and 1 are used by the claim and the
  /// term record.
  static constexpr std::uint64_t FirstSequence = 2;

  const work::work_scheduler &scheduler() const { return Scheduler; }
  const work::queue_forecast &forecast() {
    return Scheduler.forecast(currentTime());
  }
  /// Answers at once if there are new orders; otherwise when there are, or when
  /// the wait time of the agent expires.
  void handleReport(const proto::work::WorkerReport &Message,
                    peer_responder Respond);

private:
  /// Records to be stored in one append.
  struct progress_batch {
    std::vector<keyed_value> Records;
    std::optional<std::uint64_t> Batch;  ///< empty for the term record
    std::vector<std::size_t> EndRecords; ///< indexes of records of job ends
    time_point RequestedAt{};            ///< when storing them was requested
  };

  /// A report that has not been answered yet.
  struct pending_report {
    explicit pending_report(ievent_loop &Loop) : WaitTimer(Loop) {}
    work::worker_instance Instance;
    bool WorkerLeft = false; ///< the agent reported that the worker is gone
    work::orders_version KnownVersion;
    peer_responder Respond;
    timer WaitTimer;
  };

  void execute(work::append_progress &Command);
  void execute(const work::send_orders &Command);
  void execute(const work::set_scheduler_timer &Command);
  void execute(const work::logged_decision &Command);
  void append(progress_batch Batch);
  void sendInFlight();
  void onAppended(const append_outcome &Outcome);
  void onStored(const append_outcome &Outcome);
  void repeatTermRecord();
  void respond(const worker_id &Worker);
  work::present_time currentTime() const;

  ievent_loop &Loop;
  istore &Store;
  election_driver &Election;
  metric_registry &Metrics;
  decision_metrics Decisions;
  work::work_scheduler Scheduler;
  std::map<worker_id, pending_report> PendingReports;
  const keyed_value TermRecord;
  const std::function<void(const keyed_record &)> OnJobEnded;
  std::optional<progress_batch> InFlight;
  std::optional<progress_batch> Queued; ///< while the term record is in flight
  time_point SentAt{};                  ///< last attempt to store InFlight
  std::uint64_t NextSequence = FirstSequence;
  timer SchedulerTimer;
  timer AppendRetry;
  timer TermRepeatTimer;
  logger Log{"scheduler"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
