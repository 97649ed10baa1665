#include "jobentry/jobschedulerdriver.h"

#include "core/base/error.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Limit of one append, and the pause before it is repeated.
constexpr duration AppendTimeout = std::chrono::milliseconds(1200);
constexpr duration AppendRetryDelay = std::chrono::milliseconds(50);
/// How long the log may stay without a record of the term. A candidate takes
/// over when it is silent for more than twice as long.
constexpr duration TermRepeatInterval = std::chrono::milliseconds(500);
/// An agent may not keep its report waiting longer than this.
constexpr std::uint64_t MaxWaitMs = 5000;

std::string taskText(const work::task_position &Position) {
  return std::to_string(Position.Occurrence) + "." +
         std::to_string(Position.Step) + "." + std::to_string(Position.Index);
}

} // namespace

work_driver::work_driver(ievent_loop &Loop, istore &Store,
                         election_driver &Election, metric_registry &Metrics,
                         const work::scheduler_limits &Limits,
                         std::uint64_t Term, keyed_value TermRecord,
                         const work::job_registry &Registry,
                         const work::queue_directory &Queues,
                         std::function<void(const keyed_record &)> Ended)
    : Loop(Loop), Store(Store), Election(Election), Metrics(Metrics),
      Decisions(Metrics), Scheduler(Term, Limits, Registry, Queues, present()),
      TermRecord(std::move(TermRecord)), Ended(std::move(Ended)), Wake(Loop),
      AppendRetry(Loop), TermRepeat(Loop) {
  Log.event("term_started", {{"term", Term},
                             {"jobs", Scheduler.openJobs()},
                             {"runs", Scheduler.runningRuns()}});
  feed(work::time_passed{});
  repeatTermRecord();
}

void work_driver::repeatTermRecord() {
  TermRepeat.start(TermRepeatInterval / 2, [this] { repeatTermRecord(); });
  if (!InFlight && Loop.now() - Election.lastStored() >= TermRepeatInterval)
    append({.Records = {TermRecord}, .Since = Loop.now()});
}

work_driver::~work_driver() {
  *Alive = false;
  // The agents ask elsewhere at once.
  for (auto &[Worker, Waiting] : Pending) {
    proto::PeerResponse Response;
    Response.mutable_worker_orders()->set_in_office(false);
    Waiting.Respond(Response);
  }
}

work::present_time work_driver::present() const {
  return {Loop.now(), Loop.wallNow()};
}

void work_driver::feed(const work::scheduler_event &Event) {
  const auto Commands = Scheduler.handle(Event, present());
  std::vector<work::scheduler_command> Copy(Commands.begin(), Commands.end());
  for (work::scheduler_command &Command : Copy)
    std::visit([this](auto &Each) { execute(Each); }, Command);
}

void work_driver::execute(work::append_progress &Command) {
  progress_batch Batch{.Batch = Command.Batch, .Since = Loop.now()};
  for (work::job_progressed &Record : Command.Records) {
    if (work::ended(Record.Progress.State))
      Batch.Ends.push_back(Batch.Records.size());
    Batch.Records.push_back(
        {work::progressKey(Record.Job), work::encodeRecord(std::move(Record))});
  }
  if (InFlight)
    Next = std::move(Batch);
  else
    append(std::move(Batch));
}

void work_driver::append(progress_batch Batch) {
  InFlight = std::move(Batch);
  send();
}

void work_driver::send() {
  SentAt = Loop.now();
  Store.append({.Topic = store_topic::Progress,
                .Records = InFlight->Records,
                .Stamp = producer_stamp{Scheduler.term(), NextSequence},
                .Timeout = AppendTimeout},
               [this, Life = Alive](const append_outcome &Outcome) {
                 if (*Life)
                   appended(Outcome);
               });
}

void work_driver::appended(const append_outcome &Outcome) {
  switch (Outcome.Status) {
  case stored_status::Stored:
    stored(Outcome);
    return;
  case stored_status::Fenced:
    Log.problem("term_fenced", {{"term", Scheduler.term()}});
    Election.feed(term_fenced{Scheduler.term()}); // destroys this driver
    return;
  case stored_status::OutOfSequence:
    Log.problem("append_out_of_sequence",
                {{"sent", NextSequence}, {"expected", Outcome.Sequence}});
    NextSequence = Outcome.Sequence;
    break;
  case stored_status::Refused:
  case stored_status::Unknown:
    break;
  }
  // The sequence number makes a repeat of a stored append harmless.
  AppendRetry.start(AppendRetryDelay, [this] { send(); });
}

void work_driver::stored(const append_outcome &Outcome) {
  Election.confirmed(SentAt);
  Metrics
      .getHistogram("geraniumpaddle_progress_append_seconds",
                    "From a record of progress to its place in the log.",
                    latencyBounds())
      .observe(
          std::chrono::duration<double>(Loop.now() - InFlight->Since).count());
  ++NextSequence;
  const progress_batch Stored = *std::exchange(InFlight, std::nullopt);
  if (Next)
    append(*std::exchange(Next, std::nullopt));
  for (const std::size_t End : Stored.Ends)
    Ended({.Key = Stored.Records[End].Key,
           .Value = Stored.Records[End].Value,
           .Offset = Outcome.Offset + End});
  if (Stored.Batch)
    feed(work::progress_stored{*Stored.Batch});
}

void work_driver::execute(const work::wake_at &Command) {
  Wake.startAt(Command.At, [this] { feed(work::time_passed{}); });
}

void work_driver::execute(const work::send_orders &Command) {
  answer(Command.Worker);
}

void work_driver::execute(const work::logged_decision &Command) {
  Decisions.observe(Command, Loop.now());
  Log.event(name(Command.Kind), {{"job", Command.Run.Task.Job.view()},
                                 {"task", taskText(Command.Run.Task.Position)},
                                 {"run", Command.Run.Run},
                                 {"worker", Command.Worker.Worker.view()},
                                 {"born", Command.Worker.StartTimeMs},
                                 {"detail", Command.Detail}});
}

void work_driver::exchange(const proto::work::WorkerReport &Message,
                           peer_responder Respond) {
  const work::worker_report Report = work::decodeReport(Message);
  const worker_id Worker = Report.Description.Life.Worker;
  // An agent asks again when it has news; the earlier question is answered.
  if (Pending.contains(Worker))
    answer(Worker);
  auto [Added, IsNew] = Pending.try_emplace(Worker, Loop);
  pending &Waiting = Added->second;
  Waiting.Life = Report.Description.Life;
  Waiting.Left = Report.Left;
  Waiting.Known = {Message.known_term(), Message.known_number()};
  Waiting.Respond = std::move(Respond);
  const auto WaitMs = std::min(Message.wait_ms(), MaxWaitMs);
  Waiting.Limit.start(std::chrono::milliseconds(WaitMs),
                      [this, Worker] { answer(Worker); });
  feed(work::worker_reported{Report});
  if (Report.Left)
    answer(Worker);
  const auto Still = Pending.find(Worker);
  if (Still == Pending.end())
    return;
  const auto Orders = Scheduler.orders(Still->second.Life);
  if (!Orders || Orders->Version != Still->second.Known)
    answer(Worker);
}

void work_driver::answer(const worker_id &Worker) {
  auto Found = Pending.extract(Worker);
  if (Found.empty())
    return;
  proto::PeerResponse Response;
  proto::work::WorkerOrders &Message = *Response.mutable_worker_orders();
  const auto Orders = Scheduler.orders(Found.mapped().Life);
  // A life that is over gets no orders, from the scheduler nevertheless.
  Message.set_in_office(Orders || Found.mapped().Left);
  if (Orders)
    work::encodeOrders(*Orders, Message);
  Found.mapped().Respond(std::move(Response));
}

} // namespace geraniumpaddle
