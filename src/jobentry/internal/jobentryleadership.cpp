// The office of the scheduler: taking it, keeping it and giving it up.

#include "jobentry/jobentryrole.h"

#include "core/work/retention.h"
#include "workcodec/workcodec.h"

#include <utility>

namespace geraniumpaddle {

namespace {

/// A new term waits for the log to be read; then it is tried again.
constexpr duration CatchUpLimit = std::chrono::seconds(1);

/// Limit of the question to the scheduler before, and how often it is asked.
constexpr duration EarlierTermTimeout = std::chrono::milliseconds(600);
constexpr int EarlierTermTries = 5;

/// Ended jobs are looked for this often, and dropped a bounded number at once.
constexpr duration RetentionInterval = std::chrono::seconds(10);
constexpr std::size_t MaxDropped = 200;
/// Clocks of entries differ.
constexpr duration RetentionMargin = std::chrono::seconds(10);

} // namespace

void job_entry_role::onLeadershipAcquired(std::uint64_t NewTerm,
                                          std::uint64_t TopicEnd) {
  Term = NewTerm;
  TermWonAt = Environment.Loop.now();
  announce();
  catchUp(NewTerm, TopicEnd);
}

void job_entry_role::catchUp(std::uint64_t NewTerm, std::uint64_t TopicEnd) {
  auto Begin = [this, NewTerm, TopicEnd, Life = Alive](bool CaughtUp) {
    if (!*Life || Election.term() != NewTerm || Work)
      return;
    if (CaughtUp) {
      // Read once: a try that seemed to fail may have been stored.
      EarlierTerm = Registry.lastTerm();
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
        if (!*Life || Election.term() != NewTerm || Work)
          return;
        if (Outcome.Status == stored_status::Stored)
          beginTerm(NewTerm);
        else if (Outcome.Status == stored_status::Fenced)
          Election.feed(term_fenced{NewTerm});
        else
          TermRetry.start(AnnounceRetryDelay,
                          [this, NewTerm] { recordTerm(NewTerm); });
      });
}

keyed_value job_entry_role::termRecord() const {
  return {std::string(work::TermKey),
          work::encodeRecord(work::term_leader{Term, present()})};
}

void job_entry_role::beginTerm(std::uint64_t NewTerm) {
  Work = std::make_unique<work_driver>(
      Environment.Loop, Environment.Store, Election, Environment.Metrics,
      Limits, NewTerm, termRecord(), Registry, Queues,
      [this](const keyed_record &Record) { ownRecordStored(Record); });
  askEarlierTerm(EarlierTermTries);
  dropExpired();
}

/// The entry in office, or the last one that was, as far as is known here.
work::entry_record job_entry_role::lastLeader() const {
  work::entry_record Last = Registry.lastTerm().Entry;
  Last.Term = Registry.lastTerm().Term;
  for (const auto &[Node, Entry] : Registry.entries())
    if (Entry.Term > Last.Term)
      Last = Entry;
  return Last;
}

void job_entry_role::queryLeader(std::function<void(leader_status)> Done) {
  const work::entry_record Holder = lastLeader();
  if (Holder.Term == 0 || Holder.Node == Self.Node) {
    Done({});
    return;
  }
  LeaderProbe.ask(Holder.PeerAddress, otherEntries(),
                  [this, Done = std::move(Done)](leader_status Answer) {
                    Answer.CandidateAgents = recentAgentCount();
                    Done(Answer);
                  });
}

std::size_t job_entry_role::recentAgentCount() {
  return Agents.count(Environment.Loop.now());
}

void job_entry_role::answerLeaderQuery(const peer_responder &Respond) {
  const time_point Now = Environment.Loop.now();
  proto::PeerResponse Response;
  proto::work::OfficeState &State = *Response.mutable_office_state();
  State.set_in_office(Election.term().has_value());
  if (State.in_office()) {
    State.set_since_stored_ms(millisecondsOf(Now - Election.lastStored()));
    State.set_since_won_ms(millisecondsOf(Now - TermWonAt));
    State.set_agents(static_cast<std::uint32_t>(recentAgentCount()));
  }
  Respond(std::move(Response));
}

void job_entry_role::onLeadershipLost() {
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
      work::findExpired(Registry, Environment.Loop.wallNow(),
                        Settings.StatusKept + RetentionMargin, MaxDropped);
  append_call Jobs{.Topic = store_topic::Jobs, .Timeout = AnnounceTimeout};
  append_call Progress{.Topic = store_topic::Progress,
                       .Timeout = AnnounceTimeout};
  for (const job_id &Job : Expired.Submissions)
    Jobs.Records.push_back({work::submissionKey(Job), ""});
  for (const job_id &Job : Expired.WithoutSubmission) {
    Jobs.Records.push_back({work::cancellationKey(Job), ""});
    Progress.Records.push_back({work::progressKey(Job), ""});
  }
  for (const append_call *Call : {&Jobs, &Progress}) {
    if (Call->Records.empty())
      continue;
    Log.event("records_deleted", {{"topic", static_cast<int>(Call->Topic)},
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
      Work->feed(work::previous_term_ended{EndedLeases});
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
  work::previous_term_ended Event;
  for (const proto::work::LeaseLeft &Lease : Ended.leases())
    Event.Leases.push_back(
        {.Life = {worker_id(Lease.life().worker()), Lease.life().born()},
         .End = Environment.Loop.now() +
                std::chrono::milliseconds(Lease.left_ms())});
  Log.event("previous_term_ended",
            {{"term", Ended.term()}, {"leases", Event.Leases.size()}});
  Work->feed(Event);
}

void job_entry_role::answerTermBegun(std::uint64_t NewTerm,
                                     const peer_responder &Respond) {
  if (Work && Work->scheduler().term() < NewTerm)
    Election.feed(term_fenced{Work->scheduler().term()});
  proto::PeerResponse Response;
  proto::work::TermEnded &Ended = *Response.mutable_term_ended();
  const time_point Now = Environment.Loop.now();
  if (EndedTerm < NewTerm) {
    Ended.set_term(EndedTerm);
    for (const work::outstanding_lease &Lease : EndedLeases) {
      if (Lease.End <= Now)
        continue;
      proto::work::LeaseLeft &Left = *Ended.add_leases();
      Left.mutable_life()->set_worker(Lease.Life.Worker.str());
      Left.mutable_life()->set_born(Lease.Life.StartTimeMs);
      Left.set_left_ms(millisecondsOf(Lease.End - Now));
    }
  }
  Respond(std::move(Response));
}

bool job_entry_role::mayConfirm() const {
  return Environment.Loop.now() - Election.lastStored() < Limits.EarlierTerm;
}

} // namespace geraniumpaddle
