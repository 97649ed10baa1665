#include "jobentry/jobentryrole.h"

#include "core/base/error.h"
#include "core/work/retention.h"
#include "platform/platformdecode.h"
#include "transport/address.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

namespace {

/// A read waits this long for a record; a silent connection is noticed soon
/// after it.
constexpr duration ReadWait = std::chrono::seconds(1);
/// Entries come and go rarely.
constexpr duration EntriesWait = std::chrono::seconds(5);
constexpr duration AnnounceTimeout = std::chrono::seconds(1);
constexpr duration AnnounceRetryDelay = std::chrono::milliseconds(300);
/// A new term waits for the log to be read; then it is tried again.
constexpr duration CatchUpLimit = std::chrono::seconds(1);
/// The balancer asks once a second and needs two misses.
constexpr duration DrainServe = std::chrono::milliseconds(2500);

/// Limit of the question to the scheduler before, and how often it is asked.
constexpr duration EarlierTermTimeout = std::chrono::milliseconds(600);
constexpr int EarlierTermTries = 5;

/// Ended jobs are looked for this often, and dropped a bounded number at once.
constexpr duration RetentionInterval = std::chrono::seconds(10);
constexpr std::size_t MaxDropped = 200;
/// Clocks of entries differ.
constexpr duration RetentionMargin = std::chrono::seconds(10);

work::scheduler_limits limitsFrom(const settings &Settings) {
  work::scheduler_limits Limits;
  Limits.Lease = std::min<duration>(Settings.LeaseDuration, work::MaxLease);
  // Half of the time leaves room to stop the members that wait.
  Limits.GangStart = Settings.GangWait / 2;
  Limits.Reclaim = Settings.ReclaimTime;
  Limits.Stop = Settings.StopTime;
  return Limits;
}

http_response plain(int Code, std::string Body) {
  return {.Code = Code,
          .Headers = {{"Content-Type", "text/plain"}},
          .Body = std::move(Body)};
}

constexpr int Success = 200;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

} // namespace

job_entry_role::job_entry_role(const job_entry_environment &Environment,
                               const settings &Settings,
                               const peer_identity &Self,
                               std::function<void()> Stopped)
    : Environment(Environment), Settings(Settings), Self(Self),
      Limits(limitsFrom(Settings)), Stopped(std::move(Stopped)),
      Operator(Environment.Loop, Environment.Store, store_topic::Operator,
               ReadWait, *this),
      Jobs(Environment.Loop, Environment.Store, store_topic::Jobs, ReadWait,
           *this),
      Progress(Environment.Loop, Environment.Store, store_topic::Progress,
               ReadWait, *this),
      Entries(Environment.Loop, Environment.Store, store_topic::Entries,
              EntriesWait, *this),
      Inquiry(Environment.Peers, Self),
      News(Environment.Peers, Environment.Metrics, Self),
      Office(Environment.Loop, Environment.Store, Self.Node.str(),
             office_limits{}, raw(Self.Incarnation), *this),
      Api(Environment.Loop, Environment.Store, Jobs, Environment.Metrics, Book,
          Queues, Door,
          [this](const keyed_record &Record) { ownRecordStored(Record); }),
      AnnounceRetry(Environment.Loop), DrainTimer(Environment.Loop),
      TermRetry(Environment.Loop), EarlierRetry(Environment.Loop),
      Retention(Environment.Loop) {}

void job_entry_role::start(std::string BoundPeerAddress) {
  PeerAddress = std::move(BoundPeerAddress);
  registerMetrics();
  Environment.Transport.setPeers([this] { return otherEntries(); });
  Log.event("start", {{"node", Self.Node.view()}, {"peer", PeerAddress}});
  announce();
  Operator.start();
  Jobs.start();
  Progress.start();
  Entries.start();
  Office.start();
}

work::entry_present job_entry_role::present() const {
  return {.Node = Self.Node,
          .Region = region_id(Settings.Region),
          .PeerAddress = PeerAddress,
          .StartedMs = raw(Self.Incarnation),
          .Term = Term};
}

void job_entry_role::announce() {
  Environment.Store.append(
      {.Topic = store_topic::Entries,
       .Records = {{work::entryKey(Self.Node), work::encodeRecord(present())}},
       .Timeout = AnnounceTimeout},
      [this, Life = Alive](const append_outcome &Outcome) {
        if (!*Life || Outcome.Status == stored_status::Stored)
          return;
        AnnounceRetry.start(AnnounceRetryDelay, [this] { announce(); });
      });
}

std::vector<std::string> job_entry_role::otherEntries() const {
  std::vector<std::string> Addresses;
  for (const auto &[Node, Entry] : Book.entries())
    if (Node != Self.Node)
      Addresses.push_back(Entry.PeerAddress);
  // Before the entries could be read, those that the settings name.
  if (Addresses.empty())
    for (const std::string &Seed :
         withPortOf(Settings.PeerListen, Settings.EntryAddresses))
      if (Seed != PeerAddress)
        Addresses.push_back(Seed);
  return Addresses;
}

bool job_entry_role::loaded() const {
  return Operator.loaded() && Jobs.loaded() && Progress.loaded();
}

void job_entry_role::registerMetrics() {
  Environment.Metrics.onRender([this] {
    metric_registry &Metrics = Environment.Metrics;
    const auto Age = [this](time_point Since) {
      return std::chrono::duration<double>(Environment.Loop.now() - Since)
          .count();
    };
    Metrics.getGauge("geraniumpaddle_config_version", "Version in force.")
        .set(static_cast<double>(Queues.version()));
    Metrics
        .getGauge("geraniumpaddle_belief_age_seconds",
                  "Time since the store last answered a read of the topic.",
                  {{"topic", "operator"}})
        .set(Age(Operator.lastAnswer()));
    Metrics
        .getGauge("geraniumpaddle_belief_age_seconds",
                  "Time since the store last answered a read of the topic.",
                  {{"topic", "jobs"}})
        .set(Age(Jobs.lastAnswer()));
    Metrics.getGauge("geraniumpaddle_ready", "1 while ready for callers.")
        .set(ready() ? 1 : 0);
  });
}

bool job_entry_role::ready() const {
  return !Draining && loaded() && Queues.version() > 0;
}

// Records.

void job_entry_role::onRecord(store_topic Topic, const keyed_record &Record) {
  if (Topic == store_topic::Operator)
    onOperatorRecord(Record);
  else
    onWorkRecord(Record);
}

void job_entry_role::onOperatorRecord(const keyed_record &Record) {
  if (Record.Key != ConfigurationKey || Record.Dropped)
    return;
  try {
    if (!Queues.replace(decodeConfiguration(Record.Value)))
      return;
  } catch (const error &Problem) {
    Log.problem("configuration_unreadable",
                {{"offset", Record.Offset}, {"problem", Problem.what()}});
    return;
  }
  Log.event("configuration", {{"version", Queues.version()},
                              {"offset", Record.Offset},
                              {"routes", Queues.current().Routes.size()}});
  if (Work)
    Work->feed(work::time_passed{});
}

void job_entry_role::onWorkRecord(const keyed_record &Record) {
  const work::record_position Position{Record.Key, Record.Offset};
  if (Record.Dropped) {
    Book.forget(Position);
    return;
  }
  try {
    const work::work_record Decoded = work::decodeRecord(Record.Value);
    Book.apply(Position, Decoded);
    if (Work)
      tellScheduler(Decoded);
  } catch (const error &Problem) {
    Log.problem("record_unreadable", {{"key", Record.Key},
                                      {"offset", Record.Offset},
                                      {"problem", Problem.what()}});
  }
}

/// A record of this entry's own is in the log.
void job_entry_role::ownRecordStored(const keyed_record &Record) {
  onWorkRecord(Record);
  if (Work)
    learnForecast(Work->forecast());
  News.tell(otherEntries(), Record, [this](const proto::PeerResponse &Answer) {
    if (Answer.has_queue_forecast())
      learnForecast(work::decodeForecast(Answer.queue_forecast()));
  });
}

void job_entry_role::learnForecast(const work::queue_forecast &Forecast) {
  Door.learn(Forecast, Environment.Loop.now());
  for (const auto &[Priority, Wait] : Forecast)
    Environment.Metrics
        .getGauge("geraniumpaddle_queue_wait_seconds",
                  "Least wait of a job that comes now, by the last forecast.",
                  {{"priority", std::to_string(Priority)}})
        .set(std::chrono::duration<double>(Wait).count());
}

void job_entry_role::tellScheduler(const work::work_record &Record) {
  if (const auto *Submitted = std::get_if<work::job_submitted>(&Record)) {
    const work::book_entry *Entry = Book.find(Submitted->Spec.Id);
    if (Entry && !ended(Entry->state()))
      Work->feed(work::job_arrived{Entry->Spec});
  } else if (const auto *Cancelled =
                 std::get_if<work::job_cancelled>(&Record)) {
    Work->feed(work::job_cancel_wanted{Cancelled->Job});
  }
}

void job_entry_role::onLoaded(store_topic Topic) {
  Log.event("topic_loaded", {{"topic", static_cast<int>(Topic)}});
}

// The office.

void job_entry_role::onOfficeWon(std::uint64_t NewTerm,
                                 std::uint64_t TopicEnd) {
  Term = NewTerm;
  TermWonAt = Environment.Loop.now();
  announce();
  catchUp(NewTerm, TopicEnd);
}

void job_entry_role::catchUp(std::uint64_t NewTerm, std::uint64_t TopicEnd) {
  auto Begin = [this, NewTerm, TopicEnd, Life = Alive](bool CaughtUp) {
    if (!*Life || Office.term() != NewTerm || Work)
      return;
    if (CaughtUp) {
      // Read once: a try that seemed to fail may have been stored.
      EarlierTerm = Book.lastTerm();
      recordTerm(NewTerm);
      return;
    }
    TermRetry.start(AnnounceRetryDelay,
                    [this, NewTerm, TopicEnd] { catchUp(NewTerm, TopicEnd); });
  };
  // Every progress that is recorded belongs to a submission before it.
  Progress.whenReached(TopicEnd, CatchUpLimit,
                       [this, Begin, Life = Alive](bool Reached) {
                         if (!*Life)
                           return;
                         if (Reached)
                           Jobs.catchUp(CatchUpLimit, Begin);
                         else
                           Begin(false);
                       });
}

/// The term is recorded before it grants any lease, so that the next one knows
/// whom to ask.
void job_entry_role::recordTerm(std::uint64_t NewTerm) {
  append_call Append{
      .Topic = store_topic::Progress,
      .Records = {termRecord()},
      .Stamp = producer_stamp{NewTerm, work_driver::FirstSequence - 1},
      .Timeout = AnnounceTimeout,
      .Relayable = false};
  Environment.Store.append(
      Append, [this, NewTerm, Life = Alive](const append_outcome &Outcome) {
        if (!*Life || Office.term() != NewTerm || Work)
          return;
        if (Outcome.Status == stored_status::Stored)
          beginTerm(NewTerm);
        else if (Outcome.Status == stored_status::Fenced)
          Office.feed(term_fenced{NewTerm});
        else
          TermRetry.start(AnnounceRetryDelay,
                          [this, NewTerm] { recordTerm(NewTerm); });
      });
}

keyed_value job_entry_role::termRecord() const {
  return {std::string(work::TermKey),
          work::encodeRecord(work::term_holder{Term, present()})};
}

void job_entry_role::beginTerm(std::uint64_t NewTerm) {
  Work = std::make_unique<work_driver>(
      Environment.Loop, Environment.Store, Office, Environment.Metrics, Limits,
      NewTerm, termRecord(), Book, Queues,
      [this](const keyed_record &Record) { ownRecordStored(Record); });
  askEarlierTerm(EarlierTermTries);
  dropExpired();
}

/// The entry in office, or the last one that was, as far as is known here.
work::entry_present job_entry_role::lastHolder() const {
  work::entry_present Last = Book.lastTerm().Entry;
  Last.Term = Book.lastTerm().Term;
  for (const auto &[Node, Entry] : Book.entries())
    if (Entry.Term > Last.Term)
      Last = Entry;
  return Last;
}

void job_entry_role::askHolder(std::function<void(holder_answered)> Done) {
  const work::entry_present Holder = lastHolder();
  if (Holder.Term == 0 || Holder.Node == Self.Node) {
    Done({});
    return;
  }
  Inquiry.ask(Holder.PeerAddress,
              [this, Address = Holder.PeerAddress,
               Done = std::move(Done)](holder_answered Answer) {
                Answer.AgentsHere = agentsHeard();
                if (Answer.State == holder_answered::holder_state::Silent)
                  surveyOthers(Address, Answer, Done);
                else
                  Done(Answer);
              });
}

void job_entry_role::surveyOthers(const std::string &Holder,
                                  const holder_answered &Answer,
                                  std::function<void(holder_answered)> Done) {
  std::vector<std::string> Others = otherEntries();
  std::erase(Others, Holder);
  Inquiry.survey(Others, [Answer, Done = std::move(Done)](bool Answers) {
    holder_answered Surveyed = Answer;
    Surveyed.OthersAnswer = Answers;
    Done(Surveyed);
  });
}

std::size_t job_entry_role::agentsHeard() {
  return Agents.count(Environment.Loop.now());
}

void job_entry_role::answerOfficeAsked(const peer_responder &Respond) {
  const time_point Now = Environment.Loop.now();
  const auto Milliseconds = [Now](time_point Since) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Now - Since)
            .count());
  };
  proto::PeerResponse Response;
  proto::work::OfficeState &State = *Response.mutable_office_state();
  State.set_in_office(Office.term().has_value());
  if (State.in_office()) {
    State.set_since_stored_ms(Milliseconds(Office.lastStored()));
    State.set_since_won_ms(Milliseconds(TermWonAt));
    State.set_agents(static_cast<std::uint32_t>(agentsHeard()));
  }
  Respond(std::move(Response));
}

void job_entry_role::onOfficeLost() {
  EarlierRetry.cancel();
  Retention.cancel();
  if (!Work)
    return;
  EndedTerm = Work->scheduler().term();
  EndedLeases = Work->scheduler().leases();
  Work.reset();
}

void job_entry_role::dropExpired() {
  Retention.start(RetentionInterval, [this] { dropExpired(); });
  const work::expired_jobs Expired =
      work::findExpired(Book, Environment.Loop.wallNow(),
                        Settings.StatusKept + RetentionMargin, MaxDropped);
  append_call Jobs{.Topic = store_topic::Jobs, .Timeout = AnnounceTimeout};
  append_call Progress{.Topic = store_topic::Progress,
                       .Timeout = AnnounceTimeout};
  for (const job_id &Job : Expired.Submissions)
    Jobs.Records.push_back({work::submissionKey(Job), ""});
  for (const job_id &Job : Expired.Leftovers) {
    Jobs.Records.push_back({work::cancellationKey(Job), ""});
    Progress.Records.push_back({work::progressKey(Job), ""});
  }
  for (const append_call *Call : {&Jobs, &Progress}) {
    if (Call->Records.empty())
      continue;
    Log.event("records_dropped", {{"topic", static_cast<int>(Call->Topic)},
                                  {"records", Call->Records.size()}});
    // What was not dropped is found again the next time.
    Environment.Store.append(*Call, [](const append_outcome &) {});
  }
}

/// The scheduler before this one knows which workers may still hold leases;
/// without its answer each may hold one for the longest time.
void job_entry_role::askEarlierTerm(int TriesLeft) {
  if (!Work || EarlierTerm.Term == 0 || TriesLeft == 0)
    return;
  if (EarlierTerm.Entry.Node == Self.Node) {
    // An earlier life of this process left nothing behind.
    if (EarlierTerm.Term == EndedTerm)
      Work->feed(work::earlier_term_ended{EndedLeases});
    return;
  }
  proto::PeerRequest Request = makeRequest(Self);
  Request.mutable_term_begun()->set_term(Term);
  const std::uint64_t Asking = Term;
  Environment.Peers.call(
      EarlierTerm.Entry.PeerAddress, Request, EarlierTermTimeout,
      [this, Life = Alive, Asking, TriesLeft](const peer_result &Result) {
        if (!*Life || !Work || Term != Asking)
          return;
        const proto::work::TermEnded &Ended = Result.Response.term_ended();
        if (Result.Status != call_status::Completed)
          EarlierRetry.start(AnnounceRetryDelay, [this, TriesLeft] {
            askEarlierTerm(TriesLeft - 1);
          });
        else if (Ended.term() == EarlierTerm.Term)
          takeEarlierTerm(Ended);
      });
}

void job_entry_role::takeEarlierTerm(const proto::work::TermEnded &Ended) {
  work::earlier_term_ended Event;
  for (const proto::work::LeaseLeft &Lease : Ended.leases())
    Event.Leases.push_back(
        {.Life = {worker_id(Lease.life().worker()), Lease.life().born()},
         .End = Environment.Loop.now() +
                std::chrono::milliseconds(Lease.left_ms())});
  Log.event("earlier_term_ended",
            {{"term", Ended.term()}, {"leases", Event.Leases.size()}});
  Work->feed(Event);
}

void job_entry_role::answerTermBegun(std::uint64_t NewTerm,
                                     const peer_responder &Respond) {
  if (Work && Work->scheduler().term() < NewTerm)
    Office.feed(term_fenced{Work->scheduler().term()});
  proto::PeerResponse Response;
  proto::work::TermEnded &Ended = *Response.mutable_term_ended();
  const time_point Now = Environment.Loop.now();
  if (EndedTerm < NewTerm) {
    Ended.set_term(EndedTerm);
    for (const work::lease_left &Lease : EndedLeases) {
      if (Lease.End <= Now)
        continue;
      proto::work::LeaseLeft &Left = *Ended.add_leases();
      Left.mutable_life()->set_worker(Lease.Life.Worker.str());
      Left.mutable_life()->set_born(Lease.Life.Born);
      Left.set_left_ms(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(Lease.End - Now)
              .count()));
    }
  }
  Respond(std::move(Response));
}

bool job_entry_role::mayConfirm() const {
  return Environment.Loop.now() - Office.lastStored() < Limits.EarlierTerm;
}

// Interfaces.

void job_entry_role::exchange(const proto::work::WorkerReport &Report,
                              const peer_responder &Respond) {
  if (Work && mayConfirm()) {
    Work->exchange(Report, Respond);
    return;
  }
  proto::PeerResponse Response;
  proto::work::WorkerOrders &Orders = *Response.mutable_worker_orders();
  Orders.set_in_office(false);
  for (const auto &[Node, Entry] : Book.entries())
    *Orders.add_entries() = work::encodeEntry(Entry);
  Respond(std::move(Response));
}

void job_entry_role::handlePeer(const proto::PeerRequest &Request,
                                const peer_responder &Respond) {
  if (Request.has_worker_report()) {
    Agents.heard(Request.node(), Environment.Loop.now());
    try {
      exchange(Request.worker_report(), Respond);
      return;
    } catch (const malformed_message_error &Problem) {
      Log.problem("report_unreadable",
                  {{"node", Request.node()}, {"problem", Problem.what()}});
    }
  }
  if (Request.has_record_stored()) {
    onWorkRecord(decodeNews(Request.record_stored()));
    proto::PeerResponse Response;
    if (Work)
      *Response.mutable_queue_forecast() =
          work::encodeForecast(Work->forecast());
    Respond(std::move(Response));
    return;
  }
  if (Request.has_office_asked()) {
    answerOfficeAsked(Respond);
    return;
  }
  if (Request.has_term_begun()) {
    answerTermBegun(Request.term_begun().term(), Respond);
    return;
  }
  if (Request.has_store_call()) {
    Environment.Transport.serve(Request.store_call(), Respond);
    return;
  }
  proto::PeerResponse Response;
  Response.set_refusal(proto::REFUSAL_INVALID);
  Respond(std::move(Response));
}

void job_entry_role::handleFront(
    const http_request_view &Request,
    const std::shared_ptr<ihttp_responder> &Responder) {
  if (!loaded()) {
    Responder->respond(encodeError(Unavailable, "not_ready",
                                   "the jobs are being read", AnnounceTimeout));
    return;
  }
  Api.handle(Request, Responder);
}

void job_entry_role::handleReadiness(
    const http_request_view &,
    const std::shared_ptr<ihttp_responder> &Responder) {
  if (ready() && !EverReady) {
    EverReady = true;
    Log.event("ready", {{"config", Queues.version()}});
  }
  Responder->respond(ready() ? plain(Success, "ready\n")
                             : plain(Unavailable, "not ready\n"));
}

void job_entry_role::handleHttp(
    const http_request_view &Request,
    const std::shared_ptr<ihttp_responder> &Responder) {
  if (Request.Path == "/metrics")
    Responder->respond(plain(Success, Environment.Metrics.render()));
  else if (Request.Path == "/healthz")
    Responder->respond(plain(Success, "ok\n"));
  else
    Responder->respond(plain(NotFound, "not found\n"));
}

void job_entry_role::drain() {
  if (Draining)
    return;
  Draining = true;
  Log.event("drain_begins", {});
  Office.feed(retire{});
  DrainTimer.start(DrainServe, [this] { Stopped(); });
}

} // namespace geraniumpaddle
