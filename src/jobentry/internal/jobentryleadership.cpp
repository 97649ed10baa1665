// Leadership: acquiring it, starting a term, and losing it.

#include "jobentry/jobentryrole.h"

#include "core/work/retention.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Limit of one attempt to read the whole log before a new term starts.
constexpr duration CatchUpTimeout = std::chrono::seconds(1);

/// Timeout and number of the queries to the leader of the previous term.
constexpr duration PreviousTermTimeout = std::chrono::milliseconds(600);
constexpr int PreviousTermAttempts = 5;

/// Expired jobs are removed from the log at this interval, a limited number at
/// once.
constexpr duration RetentionInterval = std::chrono::seconds(10);
constexpr std::size_t MaxDeletedJobs = 200;
/// Allows for clock skew between entries.
constexpr duration RetentionMargin = std::chrono::seconds(10);

} // namespace

void job_entry_role::onLeadershipAcquired(std::uint64_t NewTerm,
                                          std::uint64_t TopicEnd) {
  Term = NewTerm;
  ElectedAt = Environment.Loop.now();
  announce();
  catchUp(NewTerm, TopicEnd);
}

void job_entry_role::catchUp(std::uint64_t NewTerm, std::uint64_t TopicEnd) {
  auto Begin = [this, NewTerm, TopicEnd, Alive = Alive](bool CaughtUp) {
    if (!*Alive || Election.term() != NewTerm || SchedulerDriver)
      return;
    if (CaughtUp) {
      // Read only once: an append of the term record that seemed to fail may
      // have been stored, and would then be read back as the last term.
      PreviousTerm = Registry.lastTerm();
      recordTerm(NewTerm);
      return;
    }
    TermRetry.start(AnnounceRetryDelay,
                    [this, NewTerm, TopicEnd] { catchUp(NewTerm, TopicEnd); });
  };
  // Progress is read first: the submissions that it belongs to were stored
  // earlier, so the jobs read afterwards include them.
  Progress.waitForOffset(TopicEnd, CatchUpTimeout,
                         [this, Begin, Alive = Alive](bool Reached) {
                           if (!*Alive)
                             return;
                           if (Reached)
                             catchUpRequests(Begin);
                           else
                             Begin(false);
                         });
}

/// Reads the jobs and what operators ask for. Submissions that this misses
/// arrive later.
void job_entry_role::catchUpRequests(std::function<void(bool)> Done) {
  Jobs.readToEnd(CatchUpTimeout,
                 [this, Alive = Alive, Done = std::move(Done)](bool CaughtUp) {
                   if (!*Alive)
                     return;
                   if (CaughtUp)
                     Operator.readToEnd(CatchUpTimeout, Done);
                   else
                     Done(false);
                 });
}

/// Stores the term record before any lease is granted, so that the leader of
/// the next term knows which entry to query for leases.
void job_entry_role::recordTerm(std::uint64_t NewTerm) {
  append_call Append{
      .Topic = store_topic::Progress,
      .Records = {termRecord()},
      .Stamp = producer_stamp{NewTerm, job_scheduler_driver::FirstSequence - 1},
      .Timeout = AnnounceTimeout,
      .Relayable = false};
  Environment.Store.append(
      Append, [this, NewTerm, Alive = Alive](const append_outcome &Outcome) {
        if (!*Alive || Election.term() != NewTerm || SchedulerDriver)
          return;
        if (Outcome.Status == store_append_status::Stored)
          beginTerm(NewTerm);
        else if (Outcome.Status == store_append_status::Fenced)
          Election.feed(term_fenced{NewTerm});
        else
          TermRetry.start(AnnounceRetryDelay,
                          [this, NewTerm] { recordTerm(NewTerm); });
      });
}

keyed_value job_entry_role::termRecord() const {
  return {std::string(work::TermKey),
          work::encodeRecord(work::term_leader{Term, ownEntry()})};
}

void job_entry_role::beginTerm(std::uint64_t NewTerm) {
  SchedulerDriver = std::make_unique<job_scheduler_driver>(
      Environment.Loop, Environment.Store, Election, Environment.Metrics,
      Limits, NewTerm, termRecord(), Registry, Queues, Evacuated,
      [this](const keyed_record &Record) { onOwnRecordStored(Record); });
  queryPreviousTerm(PreviousTermAttempts);
  deleteExpired();
}

/// The entry with the highest term that is known here.
work::entry_record job_entry_role::lastLeader() const {
  work::entry_record Last = Registry.lastTerm().Entry;
  Last.Term = Registry.lastTerm().Term;
  for (const auto &[Node, Entry] : Registry.entries())
    if (Entry.Term > Last.Term)
      Last = Entry;
  return Last;
}

void job_entry_role::compareStrength() {
  const auto &Known = Registry.entries();
  const auto Stronger =
      std::count_if(Known.begin(), Known.end(), [this](const auto &Each) {
        return Each.second.CpuMilliCores > CpuMilliCores;
      });
  Election.feed(strength_compared{static_cast<std::size_t>(Stronger)});
}

void job_entry_role::queryLeader(std::function<void(leader_status)> Done) {
  const work::entry_record Leader = lastLeader();
  if (Leader.Term == 0 || Leader.Node == Self.Node) {
    Done({.Term = Leader.Term});
    return;
  }
  LeaderProbe.run(Leader.PeerAddress, otherEntries(),
                  [this, Leader, Done = std::move(Done)](leader_status Answer) {
                    Answer.Term = Leader.Term;
                    Answer.CandidateAgents = recentAgentCount();
                    Answer.Weaker = Leader.CpuMilliCores < CpuMilliCores;
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
    State.set_since_won_ms(millisecondsOf(Now - ElectedAt));
    State.set_agents(static_cast<std::uint32_t>(recentAgentCount()));
  }
  Respond(std::move(Response));
}

void job_entry_role::onLeadershipLost() {
  PreviousTermRetry.cancel();
  Retention.cancel();
  if (!SchedulerDriver)
    return;
  EndedTerm = SchedulerDriver->scheduler().term();
  EndedLeases = SchedulerDriver->scheduler().leases();
  SchedulerDriver.reset();
}

void job_entry_role::deleteExpired() {
  Retention.start(RetentionInterval, [this] { deleteExpired(); });
  const work::expired_jobs Expired = work::findExpired(
      Registry, Environment.Loop.wallNow(),
      Settings.StatusRetention + RetentionMargin, MaxDeletedJobs);
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
    // No retry: what was not removed is found again at the next interval.
    Environment.Store.append(*Call, [](const append_outcome &) {});
  }
}

/// Asks the leader of the previous term which workers may still hold leases.
/// Without its answer every worker may hold one for the longest lease time.
void job_entry_role::queryPreviousTerm(int AttemptsLeft) {
  if (!SchedulerDriver || PreviousTerm.Term == 0 || AttemptsLeft == 0)
    return;
  if (PreviousTerm.Entry.Node == Self.Node) {
    // The leases are known only if this process itself led that term; an
    // earlier process on this node has left no record of them.
    if (PreviousTerm.Term == EndedTerm)
      SchedulerDriver->feed(work::previous_term_ended{EndedLeases});
    return;
  }
  proto::PeerRequest Request = makeRequest(Self);
  Request.mutable_term_begun()->set_term(Term);
  const std::uint64_t QueryTerm = Term;
  Environment.Peers.call(
      PreviousTerm.Entry.PeerAddress, Request, PreviousTermTimeout,
      [this, Alive = Alive, QueryTerm,
       AttemptsLeft](const peer_result &Result) {
        if (!*Alive || !SchedulerDriver || Term != QueryTerm)
          return;
        const proto::work::TermEnded &Ended = Result.Response.term_ended();
        if (Result.Status != call_status::Completed)
          PreviousTermRetry.start(AnnounceRetryDelay, [this, AttemptsLeft] {
            queryPreviousTerm(AttemptsLeft - 1);
          });
        else if (Ended.term() == PreviousTerm.Term)
          onPreviousTermEnded(Ended);
      });
}

void job_entry_role::onPreviousTermEnded(const proto::work::TermEnded &Ended) {
  work::previous_term_ended Event;
  for (const proto::work::LeaseLeft &Lease : Ended.leases())
    Event.Leases.push_back(
        {.Instance = {worker_id(Lease.life().worker()), Lease.life().born()},
         .End = Environment.Loop.now() +
                work::boundedMilliseconds(Lease.left_ms())});
  Log.event("previous_term_ended",
            {{"term", Ended.term()}, {"leases", Event.Leases.size()}});
  SchedulerDriver->feed(Event);
}

void job_entry_role::answerTermBegun(std::uint64_t NewTerm,
                                     const peer_responder &Respond) {
  if (SchedulerDriver && SchedulerDriver->scheduler().term() < NewTerm)
    Election.feed(term_fenced{SchedulerDriver->scheduler().term()});
  proto::PeerResponse Response;
  proto::work::TermEnded &Ended = *Response.mutable_term_ended();
  const time_point Now = Environment.Loop.now();
  if (EndedTerm < NewTerm) {
    Ended.set_term(EndedTerm);
    for (const work::outstanding_lease &Lease : EndedLeases) {
      if (Lease.End <= Now)
        continue;
      proto::work::LeaseLeft &Left = *Ended.add_leases();
      Left.mutable_life()->set_worker(Lease.Instance.Worker.str());
      Left.mutable_life()->set_born(Lease.Instance.StartTimeMs);
      Left.set_left_ms(millisecondsOf(Lease.End - Now));
    }
  }
  Respond(std::move(Response));
}

bool job_entry_role::isLeadershipConfirmed() const {
  return Environment.Loop.now() - Election.lastStored() < Limits.LeaderLease;
}

} // namespace geraniumpaddle
