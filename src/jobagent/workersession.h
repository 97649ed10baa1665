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

/// Number that fences the orders of earlier runs of this agent at its worker.
class fencing_source {
public:
  explicit fencing_source(std::uint64_t First) : Token(First) {}
  std::uint64_t token() const { return Token; }
  /// A higher token was seen at the worker.
  void raise() { Token += Step; }

private:
  /// Past the starts of agents whose clocks were ahead, in milliseconds.
  static constexpr std::uint64_t Step = 60'000;
  std::uint64_t Token;
};

/// Serves one life of the worker: carries out what the run_host decides.
class worker_session {
public:
  worker_session(ievent_loop &Loop, itask_worker &Worker, scheduler_link &Link,
                 fencing_source &Fencing, const work::host_limits &Limits,
                 std::string Address, work::worker_description Description);
  ~worker_session() { *Alive = false; }
  worker_session(const worker_session &) = delete;
  worker_session &operator=(const worker_session &) = delete;

  void start();
  void described(const work::worker_description &Description);
  /// The worker is about to end. Calls \p Confirm once its last ends are known
  /// here, or can't be.
  void leaves(std::function<void()> Confirm);
  const work::worker_instance &life() const { return Host.description().Life; }
  const std::string &address() const { return Target.Address; }
  time_point lastHeartbeat() const { return LastHeartbeat; }

private:
  void feed(const work::host_event &Event);
  void execute(const work::start_run &Command);
  void execute(const work::stop_run &Command);
  void execute(const work::list_runs &Command);
  void execute(const work::report_now &Command);
  void execute(const work::host_wake_at &Command);
  void listed(const listing_outcome &Outcome);
  void sendReport();
  void reported(const proto::work::WorkerOrders *Orders,
                std::optional<std::int64_t> ReportedClockMs,
                std::uint64_t Number);

  ievent_loop &Loop;
  itask_worker &Worker;
  scheduler_link &Link;
  fencing_source &Fencing;
  worker_target Target;
  work::run_host Host;
  work::orders_version Known;
  time_point LastHeartbeat{};
  std::uint64_t LastReport = 0; ///< number of the newest report
  bool ReportWanted = false;
  timer Wake;
  time_point WakeAt{};
  timer ReportTimer;
  logger Log{"session"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
