#pragma once

#include "core/workhost/runreconciler.h"
#include "jobagent/schedulerclient.h"
#include "logging/logging.h"
#include "platform/itaskworker.h"
#include "transport/ieventloop.h"
#include "transport/timer.h"

#include <functional>
#include <memory>

namespace geraniumpaddle {

/// Source of the fencing token, by which workers refuse calls of earlier
/// sessions and of earlier runs of this agent.
class fencing_source {
public:
  explicit fencing_source(std::uint64_t First) : Token(First) {}
  std::uint64_t token() const { return Token; }
  /// Called when a session begins: once its first call has arrived, the worker
  /// refuses calls of earlier sessions.
  void advance() { ++Token; }
  /// Called after a worker refused the token, since it had seen a higher one.
  void raise() { Token += Step; }

private:
  /// Tokens begin at the agent's start time in milliseconds. The step skips
  /// tokens of earlier runs whose clocks were ahead.
  static constexpr std::uint64_t Step = 60'000;
  std::uint64_t Token;
};

/// Session with one worker instance: executes the commands of the
/// run_reconciler.
class worker_session {
public:
  worker_session(ievent_loop &Loop, itask_worker &Worker,
                 scheduler_client &Scheduler, fencing_source &Fencing,
                 const work::reconciler_limits &Limits, std::string Address,
                 work::worker_description Description,
                 work::earlier_session Earlier);
  ~worker_session() { *Alive = false; }
  worker_session(const worker_session &) = delete;
  worker_session &operator=(const worker_session &) = delete;

  void start();
  void handleHeartbeat(const work::worker_description &Description);
  /// The worker is about to shut down. Calls \p Confirm once its last finished
  /// runs were received, or can't be.
  void handleShutdown(std::function<void()> Confirm);
  const work::worker_instance &instance() const {
    return Reconciler.description().Instance;
  }
  const std::string &address() const { return Target.Address; }
  time_point lastHeartbeat() const { return LastHeartbeat; }

private:
  void feed(const work::reconciler_event &Event);
  void execute(const work::start_run &Command);
  void execute(const work::stop_run &Command);
  void execute(const work::list_runs &Command);
  void execute(const work::send_report &Command);
  void execute(const work::set_reconciler_timer &Command);
  void handleListing(const listing_outcome &Outcome);
  void sendReport();
  void handleReportAnswer(const proto::work::WorkerOrders *Orders,
                          std::optional<std::int64_t> ReportedClockMs,
                          std::uint64_t Number);

  ievent_loop &Loop;
  itask_worker &Worker;
  scheduler_client &Scheduler;
  fencing_source &Fencing;
  worker_target Target;
  work::run_reconciler Reconciler;
  work::orders_version KnownVersion;
  time_point LastHeartbeat{};
  std::uint64_t LastReport = 0; ///< number of the newest report
  bool ReportWanted = false;
  timer ReconcilerTimer;
  time_point ReconcilerTimerAt{};
  timer ReportTimer;
  logger Log{"session"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
