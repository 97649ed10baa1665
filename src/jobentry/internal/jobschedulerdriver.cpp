#include "jobentry/jobschedulerdriver.h"

#include "core/base/error.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Timeout of one append, and the delay before it is retried.
constexpr duration AppendTimeout = std::chrono::milliseconds(1200);
constexpr duration AppendRetryDelay = std::chrono::milliseconds(50);
/// Longest time without an append of the term. A candidate takes over when the
/// leader has stored nothing for more than twice this time.
constexpr duration TermRepeatInterval = std::chrono::milliseconds(500);
/// Upper bound of the wait time that an agent may ask for.
constexpr std::uint64_t MaxReportWaitMs = 5000;

std::string formatTaskPosition(const work::task_position &Position) {
  return std::to_string(Position.Occurrence) + "." +
         std::to_string(Position.Step) + "." + std::to_string(Position.Index);
}

} // namespace

job_scheduler_driver::job_scheduler_driver(
    ievent_loop &Loop, istore &Store, election_driver &Election,
    metric_registry &Metrics, const work::scheduler_limits &Limits,
    std::uint64_t Term, keyed_value TermRecord,
    const work::job_registry &Registry, const work::queue_directory &Queues,
    const work::evacuated_zones &Evacuated,
    std::function<void(const keyed_record &)> OnJobEnded)
    : Loop(Loop), Store(Store), Election(Election), Metrics(Metrics),
      Decisions(Metrics),
      Scheduler(Term, Limits, Registry, Queues, Evacuated, currentTime()),
      TermRecord(std::move(TermRecord)), OnJobEnded(std::move(OnJobEnded)),
      SchedulerTimer(Loop), AppendRetry(Loop), TermRepeatTimer(Loop) {
  Log.event("term_started", {{"term", Term},
                             {"jobs", Scheduler.openJobs()},
                             {"runs", Scheduler.runningRuns()}});
  feed(work::scheduler_timer_expired{});
  repeatTermRecord();
}

void job_scheduler_driver::repeatTermRecord() {
  TermRepeatTimer.start(TermRepeatInterval / 2, [this] { repeatTermRecord(); });
  if (!InFlight && Loop.now() - Election.lastStored() >= TermRepeatInterval)
    append({.Records = {TermRecord}, .RequestedAt = Loop.now()});
}

job_scheduler_driver::~job_scheduler_driver() {
  *Alive = false;
  // Answered at once, so that the agents look for the new leader.
  for (auto &[Worker, Pending] : PendingReports) {
    proto::PeerResponse Response;
    Response.mutable_worker_orders()->set_in_office(false);
    Pending.Respond(Response);
  }
}

work::present_time job_scheduler_driver::currentTime() const {
  return {Loop.now(), Loop.wallNow()};
}

void job_scheduler_driver::feed(const work::scheduler_event &Event) {
  const auto Commands = Scheduler.handle(Event, currentTime());
  std::vector<work::scheduler_command> Issued(Commands.begin(), Commands.end());
  for (work::scheduler_command &Command : Issued)
    std::visit([this](auto &Each) { execute(Each); }, Command);
}

void job_scheduler_driver::execute(work::append_progress &Command) {
  progress_batch Batch{.Batch = Command.Batch, .RequestedAt = Loop.now()};
  for (work::job_progressed &Record : Command.Records) {
    if (work::ended(Record.Progress.State))
      Batch.EndRecords.push_back(Batch.Records.size());
    Batch.Records.push_back(
        {work::progressKey(Record.Job), work::encodeRecord(std::move(Record))});
  }
  if (InFlight)
    Queued = std::move(Batch);
  else
    append(std::move(Batch));
}

void job_scheduler_driver::append(progress_batch Batch) {
  InFlight = std::move(Batch);
  sendInFlight();
}

void job_scheduler_driver::sendInFlight() {
  SentAt = Loop.now();
  Store.append({.Topic = store_topic::Progress,
                .Records = InFlight->Records,
                .Stamp = producer_stamp{Scheduler.term(), NextSequence},
                .Timeout = AppendTimeout},
               [this, Alive = Alive](const append_outcome &Outcome) {
                 if (*Alive)
                   onAppended(Outcome);
               });
}

void job_scheduler_driver::onAppended(const append_outcome &Outcome) {
  switch (Outcome.Status) {
  case store_append_status::Stored:
    onStored(Outcome);
    return;
  case store_append_status::Fenced:
    Log.warningEvent("term_fenced", {{"term", Scheduler.term()}});
    Election.feed(term_fenced{Scheduler.term()}); // destroys this driver
    return;
  case store_append_status::OutOfSequence:
    Log.warningEvent("append_out_of_sequence",
                     {{"sent", NextSequence}, {"expected", Outcome.Sequence}});
    NextSequence = Outcome.Sequence;
    break;
  case store_append_status::Refused:
  case store_append_status::Unknown:
    break;
  }
  // The sequence number makes the retry idempotent.
  AppendRetry.start(AppendRetryDelay, [this] { sendInFlight(); });
}

void job_scheduler_driver::onStored(const append_outcome &Outcome) {
  Election.onAppendStored(SentAt);
  Metrics
      .getHistogram("geraniumpaddle_progress_append_seconds",
                    "From a record of progress to its place in the log.",
                    latencyBounds())
      .observe(std::chrono::duration<double>(Loop.now() - InFlight->RequestedAt)
                   .count());
  ++NextSequence;
  const progress_batch Stored = *std::exchange(InFlight, std::nullopt);
  if (Queued)
    append(*std::exchange(Queued, std::nullopt));
  for (const std::size_t End : Stored.EndRecords)
    OnJobEnded({.Key = Stored.Records[End].Key,
                .Value = Stored.Records[End].Value,
                .Offset = Outcome.Offset + End});
  if (Stored.Batch)
    feed(work::progress_stored{*Stored.Batch});
}

void job_scheduler_driver::execute(const work::set_scheduler_timer &Command) {
  SchedulerTimer.startAt(Command.At,
                         [this] { feed(work::scheduler_timer_expired{}); });
}

void job_scheduler_driver::execute(const work::send_orders &Command) {
  respond(Command.Worker);
}

void job_scheduler_driver::execute(const work::logged_decision &Command) {
  Decisions.observe(Command, Loop.now());
  Log.event(name(Command.Kind),
            {{"job", Command.Run.Task.Job.view()},
             {"task", formatTaskPosition(Command.Run.Task.Position)},
             {"run", Command.Run.Run},
             {"worker", Command.Worker.Worker.view()},
             {"born", Command.Worker.StartTimeMs},
             {"detail", Command.Detail}});
}

void job_scheduler_driver::handleReport(
    const proto::work::WorkerReport &Message, peer_responder Respond) {
  const work::worker_report Report = work::decodeReport(Message);
  const worker_id Worker = Report.Description.Instance.Worker;
  // An agent sends the next report early when its state changes; the earlier
  // report gets its answer first.
  if (PendingReports.contains(Worker))
    respond(Worker);
  auto [Added, IsNew] = PendingReports.try_emplace(Worker, Loop);
  pending_report &Pending = Added->second;
  Pending.Instance = Report.Description.Instance;
  Pending.WorkerLeft = Report.Left;
  Pending.KnownVersion = {Message.known_term(), Message.known_number()};
  Pending.Respond = std::move(Respond);
  const auto WaitMs = std::min(Message.wait_ms(), MaxReportWaitMs);
  Pending.WaitTimer.start(std::chrono::milliseconds(WaitMs),
                          [this, Worker] { respond(Worker); });
  feed(work::worker_reported{Report});
  if (Report.Left)
    respond(Worker);
  const auto Unanswered = PendingReports.find(Worker);
  if (Unanswered == PendingReports.end())
    return;
  const auto Orders = Scheduler.orders(Unanswered->second.Instance);
  if (!Orders || Orders->Version != Unanswered->second.KnownVersion)
    respond(Worker);
}

void job_scheduler_driver::respond(const worker_id &Worker) {
  auto Found = PendingReports.extract(Worker);
  if (Found.empty())
    return;
  proto::PeerResponse Response;
  proto::work::WorkerOrders &Message = *Response.mutable_worker_orders();
  const auto Orders = Scheduler.orders(Found.mapped().Instance);
  // A worker that has left gets no orders, but its agent must see that the
  // report was taken by the leader.
  Message.set_in_office(Orders || Found.mapped().WorkerLeft);
  if (Orders)
    work::encodeOrders(*Orders, Message);
  Found.mapped().Respond(std::move(Response));
}

} // namespace geraniumpaddle
