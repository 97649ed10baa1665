#include "jobagent/workersession.h"

#include "core/base/error.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

namespace {

/// How long the scheduler may hold a report until there are new orders.
constexpr std::uint64_t ReportWaitMs = 900;
/// A worker on this VM refuses connections at once. An attempt that fails later
/// may be due to the network.
constexpr duration RefusedWithin = std::chrono::milliseconds(100);

} // namespace

worker_session::worker_session(ievent_loop &Loop, itask_worker &Worker,
                               scheduler_client &Scheduler,
                               fencing_source &Fencing,
                               const work::reconciler_limits &Limits,
                               std::string Address,
                               work::worker_description Description,
                               work::earlier_session Earlier)
    : Loop(Loop), Worker(Worker), Scheduler(Scheduler),
      Fencing(Fencing), Target{std::move(Address), Description.Instance,
                               Fencing.token()},
      Reconciler(Limits, std::move(Description), Earlier),
      LastHeartbeat(Loop.now()), ReconcilerTimer(Loop), ReportTimer(Loop) {}

void worker_session::start() {
  Log.event("worker_found", {{"worker", instance().Worker.view()},
                             {"born", instance().StartTimeMs},
                             {"address", Target.Address}});
  feed(work::reconciler_timer_expired{});
}

void worker_session::handleHeartbeat(
    const work::worker_description &Description) {
  LastHeartbeat = Loop.now();
  feed(work::description_received{Description});
}

void worker_session::handleShutdown(std::function<void()> Confirm) {
  Log.event("worker_leaves", {{"worker", instance().Worker.view()},
                              {"born", instance().StartTimeMs}});
  // The answer to a listing in flight may be lost when the worker exits.
  Target.FencingToken = Fencing.token();
  Worker.list(Target, Reconciler.finalListing(),
              [this, Alive = Alive,
               Confirm = std::move(Confirm)](const listing_outcome &Outcome) {
                if (*Alive && Outcome.Listing)
                  handleListing(Outcome);
                Confirm();
                if (*Alive)
                  feed(work::shutdown_announced{});
              });
}

void worker_session::feed(const work::reconciler_event &Event) {
  const auto Commands = Reconciler.handle(Event, Loop.now());
  const std::vector<work::reconciler_command> Copy(Commands.begin(),
                                                   Commands.end());
  ReconcilerTimer.cancel();
  for (const work::reconciler_command &Command : Copy)
    std::visit([this](const auto &Each) { execute(Each); }, Command);
  if (std::exchange(ReportWanted, false))
    sendReport();
}

void worker_session::execute(const work::start_run &Command) {
  Target.FencingToken = Fencing.token();
  const work::run_ref Run = Command.Run.Run;
  Log.event("start", {{"job", Run.Task.Job.view()},
                      {"step", Run.Task.Position.Step},
                      {"index", Run.Task.Position.Index},
                      {"run", Run.Run},
                      {"born", instance().StartTimeMs},
                      {"term", KnownVersion.Term},
                      {"orders", KnownVersion.Number},
                      {"lease_end", Command.LeaseEndMs}});
  Worker.start(
      Target, Command,
      [this, Run, Alive = Alive](const start_outcome &Outcome) {
        if (!*Alive)
          return;
        if (Outcome.Reason == work::start_refusal::Fenced &&
            Outcome.Result == work::worker_call_result::Refused) {
          Fencing.raise();
          feed(work::start_answered{Run, work::worker_call_result::Unknown});
          return;
        }
        feed(work::start_answered{Run, Outcome.Result, Outcome.Reason});
      });
}

void worker_session::execute(const work::stop_run &Command) {
  Target.FencingToken = Fencing.token();
  const work::run_ref Run = Command.Run;
  Log.event("stop", {{"job", Run.Task.Job.view()},
                     {"step", Run.Task.Position.Step},
                     {"index", Run.Task.Position.Index},
                     {"run", Run.Run},
                     {"born", instance().StartTimeMs},
                     {"term", KnownVersion.Term},
                     {"orders", KnownVersion.Number}});
  Worker.stop(Target, Run,
              [this, Run, Alive = Alive](work::worker_call_result Result) {
                if (*Alive)
                  feed(work::stop_answered{Run, Result});
              });
}

void worker_session::execute(const work::list_runs &Command) {
  Target.FencingToken = Fencing.token();
  Worker.list(
      Target, Command,
      [this, RequestedAt = Loop.now(), Alive = Alive](listing_outcome Outcome) {
        if (!*Alive)
          return;
        Outcome.ConnectionRefused &= Loop.now() - RequestedAt < RefusedWithin;
        handleListing(Outcome);
      });
}

void worker_session::handleListing(const listing_outcome &Outcome) {
  if (Outcome.Fenced)
    Fencing.raise();
  const bool SameInstance =
      Outcome.Listing && Outcome.Listing->StartTimeMs == instance().StartTimeMs;
  if (SameInstance)
    feed(work::listing_received{*Outcome.Listing});
  else
    feed(work::listing_failed{Outcome.ConnectionRefused});
}

void worker_session::execute(const work::send_report &) { ReportWanted = true; }

void worker_session::execute(const work::set_reconciler_timer &Command) {
  if (ReconcilerTimer.running() && ReconcilerTimerAt <= Command.At)
    return;
  ReconcilerTimerAt = Command.At;
  ReconcilerTimer.startAt(Command.At,
                          [this] { feed(work::reconciler_timer_expired{}); });
}

void worker_session::sendReport() {
  ReportTimer.cancel();
  const work::worker_report Report = Reconciler.report();
  proto::work::WorkerReport Message = work::encodeReport(Report);
  Message.set_known_term(KnownVersion.Term);
  Message.set_known_number(KnownVersion.Number);
  Message.set_wait_ms(ReportWaitMs);
  const auto Clock =
      Report.Listing ? std::optional(Report.Listing->ClockMs) : std::nullopt;
  const std::uint64_t Number = ++LastReport;
  Scheduler.report(Message, [this, Clock, Number, Alive = Alive](
                                const proto::work::WorkerOrders *Orders) {
    if (*Alive)
      handleReportAnswer(Orders, Clock, Number);
  });
}

void worker_session::handleReportAnswer(
    const proto::work::WorkerOrders *Orders,
    std::optional<std::int64_t> ReportedClockMs, std::uint64_t Number) {
  const bool Newest = Number == LastReport;
  if (!Orders) {
    // Unless this was the newest report, a later one is already in flight.
    if (Newest)
      ReportTimer.start(Scheduler.retryDelay(), [this] { sendReport(); });
    return;
  }
  try {
    work::worker_orders Decoded = work::decodeOrders(*Orders);
    if (Decoded.Instance == instance()) {
      KnownVersion = std::max(KnownVersion, Decoded.Version);
      feed(work::orders_received{std::move(Decoded), ReportedClockMs});
    }
  } catch (const malformed_message_error &Problem) {
    Log.warningEvent("orders_unreadable", {{"problem", Problem.what()}});
  }
  // Keeps a report in flight, so that new orders arrive without delay.
  if (Number == LastReport && !Reconciler.workerGone())
    sendReport();
}

} // namespace geraniumpaddle
