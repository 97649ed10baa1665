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

/// Runs the scheduler for one term of office: records its progress, and
/// answers the agents' reports with its orders.
class work_driver {
public:
  /// \param TermRecord is repeated while nothing else is recorded, so that a
  ///        scheduler whose term is over learns so.
  /// \param Ended is told of the record that ends a job, once it is in the log.
  /// \param Book and \p Queues are those of the entry and outlive the driver.
  work_driver(ievent_loop &Loop, istore &Store, election_driver &Election,
              metric_registry &Metrics, const work::scheduler_limits &Limits,
              std::uint64_t Term, keyed_value TermRecord,
              const work::job_registry &Registry,
              const work::queue_directory &Queues,
              std::function<void(const keyed_record &)> Ended);
  ~work_driver();
  work_driver(const work_driver &) = delete;
  work_driver &operator=(const work_driver &) = delete;

  void feed(const work::scheduler_event &Event);
  /// Of the first append; the claim and the record of the term come before.
  static constexpr std::uint64_t FirstSequence = 2;

  const work::work_scheduler &scheduler() const { return Scheduler; }
  const work::queue_forecast &forecast() {
    return Scheduler.forecast(present());
  }
  /// Answers now if there are new orders, otherwise when there are or when the
  /// time that the agent waits is over.
  void exchange(const proto::work::WorkerReport &Message,
                peer_responder Respond);

private:
  /// Records for the log, and the scheduler's batch that they are.
  struct progress_batch {
    std::vector<keyed_value> Records;
    std::optional<std::uint64_t> Batch; ///< nothing: the term's record
    std::vector<std::size_t> Ends;      ///< which of the records end a job
    time_point Since{};                 ///< when they were to be stored
  };

  struct pending {
    explicit pending(ievent_loop &Loop) : Limit(Loop) {}
    work::worker_instance Life;
    bool Left = false; ///< it told that the worker is gone
    work::orders_version Known;
    peer_responder Respond;
    timer Limit;
  };

  void execute(work::append_progress &Command);
  void execute(const work::send_orders &Command);
  void execute(const work::wake_at &Command);
  void execute(const work::logged_decision &Command);
  void append(progress_batch Batch);
  void send();
  void appended(const append_outcome &Outcome);
  void stored(const append_outcome &Outcome);
  void repeatTermRecord();
  void answer(const worker_id &Worker);
  work::present_time present() const;

  ievent_loop &Loop;
  istore &Store;
  election_driver &Election;
  metric_registry &Metrics;
  decision_metrics Decisions;
  work::work_scheduler Scheduler;
  std::map<worker_id, pending> Pending;
  const keyed_value TermRecord;
  const std::function<void(const keyed_record &)> Ended;
  std::optional<progress_batch> InFlight;
  std::optional<progress_batch> Next; ///< while the term's record is in flight
  time_point SentAt{};                ///< the last try of the one in flight
  std::uint64_t NextSequence = FirstSequence;
  timer Wake;
  timer AppendRetry;
  timer TermRepeat;
  logger Log{"scheduler"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
