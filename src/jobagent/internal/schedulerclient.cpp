#include "jobagent/schedulerclient.h"

#include "core/base/error.h"
#include "workcodec/workcodec.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// An answer takes the time that the report may wait, and the way there and
/// back; an entry may be slow.
constexpr duration AnswerGrace = std::chrono::milliseconds(600);
/// Pause before the next entry is asked; several are asked in turn.
constexpr duration RetryDelay = std::chrono::milliseconds(60);
/// How often the entries are read from the store: while there is no scheduler,
/// and while there is one.
constexpr duration SearchInterval = std::chrono::milliseconds(1500);
constexpr duration IdleInterval = std::chrono::seconds(20);

} // namespace

scheduler_link::scheduler_link(ievent_loop &Loop, ipeer_client &Peers,
                               istore &Store, const peer_identity &Self,
                               std::vector<std::string> Seeds)
    : Loop(Loop), Peers(Peers), Store(Store), Self(Self),
      Candidates(std::move(Seeds)), Refresh(Loop) {
  if (!Candidates.empty())
    Current = Candidates.front();
}

void scheduler_link::start() { readEntries(); }

void scheduler_link::addSeeds(std::span<const std::string> Seeds) {
  for (const std::string &Seed : Seeds)
    if (std::find(Candidates.begin(), Candidates.end(), Seed) ==
        Candidates.end())
      Candidates.push_back(Seed);
}

duration scheduler_link::retryDelay() const { return RetryDelay; }

void scheduler_link::readEntries() {
  Refresh.start(InOffice ? IdleInterval : SearchInterval,
                [this] { readEntries(); });
  Store.newest(
      store_topic::Entries, "",
      [this, Life = Alive](const newest_outcome &Outcome) {
        if (!*Life)
          return;
        for (const keyed_record &Record : Outcome.Page.Records) {
          if (Record.Deleted)
            continue;
          try {
            const auto Decoded = work::decodeRecord(Record.Value);
            if (const auto *Entry = std::get_if<work::entry_record>(&Decoded))
              learn(*Entry);
          } catch (const error &Problem) {
            Log.problem("record_unreadable",
                        {{"key", Record.Key}, {"problem", Problem.what()}});
          }
        }
      });
}

void scheduler_link::learn(const work::entry_record &Entry) {
  work::entry_record &Stored = Known[Entry.Node];
  const bool Newer =
      Entry.StartedMs > Stored.StartedMs ||
      (Entry.StartedMs == Stored.StartedMs && Entry.Term >= Stored.Term);
  if (!Newer)
    return;
  if (Stored.PeerAddress != Entry.PeerAddress)
    std::erase(Candidates, Stored.PeerAddress);
  Stored = Entry;
  const auto Found =
      std::find(Candidates.begin(), Candidates.end(), Entry.PeerAddress);
  if (Found == Candidates.end())
    Candidates.push_back(Entry.PeerAddress);
  if (Entry.Term > HighestTerm) {
    HighestTerm = Entry.Term;
    if (!InOffice)
      Current = Entry.PeerAddress;
  }
  if (Current.empty())
    Current = Entry.PeerAddress;
}

void scheduler_link::report(
    const proto::work::WorkerReport &Report,
    std::function<void(const proto::work::WorkerOrders *)> Done) {
  if (Current.empty()) {
    Done(nullptr);
    return;
  }
  proto::PeerRequest Request = makeRequest(Self);
  *Request.mutable_worker_report() = Report;
  const duration Limit =
      std::chrono::milliseconds(Report.wait_ms()) + AnswerGrace;
  Peers.call(Current, Request, Limit,
             [this, Life = Alive, Address = Current,
              Done = std::move(Done)](const peer_result &Result) {
               if (*Life)
                 answered(Address, Result, Done);
             });
}

void scheduler_link::answered(
    const std::string &Address, const peer_result &Result,
    const std::function<void(const proto::work::WorkerOrders *)> &Done) {
  if (Result.Status != call_status::Completed) {
    // The connection may be silent although the entry lives.
    Peers.reconnect(Address);
    tryNext(Address);
    Done(nullptr);
    return;
  }
  const proto::work::WorkerOrders &Orders = Result.Response.worker_orders();
  if (!Result.Response.has_worker_orders() || !Orders.in_office()) {
    tryNext(Address);
    follow(Orders);
    Done(nullptr);
    return;
  }
  if (!InOffice || Current != Address)
    Log.event("scheduler_found",
              {{"address", Address}, {"term", Orders.term()}});
  Current = Address;
  InOffice = true;
  HighestTerm = std::max(HighestTerm, Orders.term());
  Done(&Orders);
}

void scheduler_link::follow(const proto::work::WorkerOrders &Orders) {
  for (const proto::work::EntryPresent &Entry : Orders.entries())
    learn(work::decodeEntry(Entry));
}

void scheduler_link::tryNext(const std::string &Failed) {
  if (Current != Failed)
    return; // an earlier failure has moved on already
  if (InOffice) {
    Log.event("scheduler_lost", {{"address", Failed}, {"term", HighestTerm}});
    InOffice = false;
    readEntries();
  }
  const auto Found = std::find(Candidates.begin(), Candidates.end(), Failed);
  if (Candidates.empty())
    return;
  const auto Next =
      Found == Candidates.end() ? Candidates.begin() : std::next(Found);
  Current = Next == Candidates.end() ? Candidates.front() : *Next;
}

} // namespace geraniumpaddle
