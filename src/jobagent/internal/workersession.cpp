#include "jobagent/workersession.h"

#include "core/base/error.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

namespace {

/// How long the scheduler may keep a report until there are new orders.
constexpr std::uint64_t ReportWaitMs = 900;
/// A connection that fails later was not refused: the way may be cut. The
/// worker is on this VM.
constexpr duration RefusedWithin = std::chrono::milliseconds(100);

} // namespace

worker_session::worker_session(ievent_loop &Loop, itask_worker &Worker,
                               scheduler_link &Link, fencing_source &Fencing,
                               const work::host_limits &Limits,
                               std::string Address,
                               work::worker_description Description)
    : Loop(Loop), Worker(Worker), Link(Link),
      Fencing(Fencing), Target{std::move(Address), Description.Life.Worker,
                               Fencing.token()},
      Host(Limits, std::move(Description)), LastHeartbeat(Loop.now()),
      Wake(Loop), ReportTimer(Loop) {}

void worker_session::start() {
  Log.event("worker_found", {{"worker", life().Worker.view()},
                             {"born", life().StartTimeMs},
                             {"address", Target.Address}});
  feed(work::host_time_passed{});
}

void worker_session::described(const work::worker_description &Description) {
  LastHeartbeat = Loop.now();
  feed(work::worker_described{Description});
}

void worker_session::leaves(std::function<void()> Confirm) {
  Log.event("worker_leaves",
            {{"worker", life().Worker.view()}, {"born", life().StartTimeMs}});
  // Its answer to the listing that is open may be lost as it ends.
  Target.FencingToken = Fencing.token();
  Worker.list(Target, Host.lastListing(),
              [this, Life = Alive,
               Confirm = std::move(Confirm)](const listing_outcome &Outcome) {
                if (*Life && Outcome.Listing)
                  listed(Outcome);
                Confirm();
                if (*Life)
                  feed(work::worker_leaves{});
              });
}

void worker_session::feed(const work::host_event &Event) {
  const auto Commands = Host.handle(Event, Loop.now());
  const std::vector<work::host_command> Copy(Commands.begin(), Commands.end());
  Wake.cancel();
  for (const work::host_command &Command : Copy)
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
                      {"lease_end", Command.LeaseEndMs}});
  Worker.start(
      Target, Command, [this, Run, Life = Alive](const start_outcome &Outcome) {
        if (!*Life)
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
                     {"run", Run.Run}});
  Worker.stop(Target, Run,
              [this, Run, Life = Alive](work::worker_call_result Result) {
                if (*Life)
                  feed(work::stop_answered{Run, Result});
              });
}

void worker_session::execute(const work::list_runs &Command) {
  Target.FencingToken = Fencing.token();
  Worker.list(
      Target, Command,
      [this, Asked = Loop.now(), Life = Alive](listing_outcome Outcome) {
        if (!*Life)
          return;
        Outcome.ConnectionRefused &= Loop.now() - Asked < RefusedWithin;
        listed(Outcome);
      });
}

void worker_session::listed(const listing_outcome &Outcome) {
  if (Outcome.Fenced)
    Fencing.raise();
  const bool Ours =
      Outcome.Listing && Outcome.Listing->StartTimeMs == life().StartTimeMs;
  if (Ours)
    feed(work::listing_arrived{*Outcome.Listing});
  else
    feed(work::listing_failed{Outcome.ConnectionRefused});
}

void worker_session::execute(const work::report_now &) { ReportWanted = true; }

void worker_session::execute(const work::host_wake_at &Command) {
  if (Wake.running() && WakeAt <= Command.At)
    return;
  WakeAt = Command.At;
  Wake.startAt(Command.At, [this] { feed(work::host_time_passed{}); });
}

void worker_session::sendReport() {
  ReportTimer.cancel();
  const work::worker_report Report = Host.report();
  proto::work::WorkerReport Message = work::encodeReport(Report);
  Message.set_known_term(Known.Term);
  Message.set_known_number(Known.Number);
  Message.set_wait_ms(ReportWaitMs);
  const auto Clock =
      Report.Listing ? std::optional(Report.Listing->ClockMs) : std::nullopt;
  const std::uint64_t Number = ++LastReport;
  Link.report(Message, [this, Clock, Number,
                        Life = Alive](const proto::work::WorkerOrders *Orders) {
    if (*Life)
      reported(Orders, Clock, Number);
  });
}

void worker_session::reported(const proto::work::WorkerOrders *Orders,
                              std::optional<std::int64_t> ReportedClockMs,
                              std::uint64_t Number) {
  const bool Newest = Number == LastReport;
  if (!Orders) {
    // A later report is on its way already, unless this was the newest.
    if (Newest)
      ReportTimer.start(Link.retryDelay(), [this] { sendReport(); });
    return;
  }
  try {
    work::worker_orders Decoded = work::decodeOrders(*Orders);
    if (Decoded.Life == life()) {
      Known = std::max(Known, Decoded.Version);
      feed(work::orders_arrived{std::move(Decoded), ReportedClockMs});
    }
  } catch (const malformed_message_error &Problem) {
    Log.problem("orders_unreadable", {{"problem", Problem.what()}});
  }
  // Keep a question open, so that orders arrive when they are decided.
  if (Number == LastReport && !Host.left())
    sendReport();
}

} // namespace geraniumpaddle
