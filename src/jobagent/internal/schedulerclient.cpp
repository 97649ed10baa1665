#include "jobagent/schedulerclient.h"

#include "core/base/error.h"
#include "workcodec/workcodec.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Timeout beyond the time for which the entry may hold the report: round trip
/// and delay of a slow entry.
constexpr duration AnswerGrace = std::chrono::milliseconds(600);
/// Pause before a report is sent to the next entry.
constexpr duration RetryDelay = std::chrono::milliseconds(60);
/// Interval at which the entries are read from the store while no scheduler is
/// known, and while one is.
constexpr duration DiscoveryInterval = std::chrono::milliseconds(1500);
constexpr duration RefreshInterval = std::chrono::seconds(20);

} // namespace

scheduler_client::scheduler_client(ievent_loop &Loop, ipeer_client &Peers,
                                   istore &Store, const peer_identity &Self,
                                   std::vector<std::string> Seeds)
    : Loop(Loop), Peers(Peers), Store(Store), Self(Self),
      EntryAddresses(std::move(Seeds)), RefreshTimer(Loop) {
  if (!EntryAddresses.empty())
    CurrentAddress = EntryAddresses.front();
}

void scheduler_client::start() { readEntries(); }

void scheduler_client::addSeeds(std::span<const std::string> Seeds) {
  for (const std::string &Seed : Seeds)
    if (std::find(EntryAddresses.begin(), EntryAddresses.end(), Seed) ==
        EntryAddresses.end())
      EntryAddresses.push_back(Seed);
}

duration scheduler_client::retryDelay() const { return RetryDelay; }

void scheduler_client::readEntries() {
  RefreshTimer.start(SchedulerFound ? RefreshInterval : DiscoveryInterval,
                     [this] { readEntries(); });
  Store.newest(store_topic::Entries, "",
               [this, Alive = Alive](const newest_outcome &Outcome) {
                 if (!*Alive)
                   return;
                 for (const keyed_record &Record : Outcome.Page.Records) {
                   if (Record.Deleted)
                     continue;
                   try {
                     const auto Decoded = work::decodeRecord(Record.Value);
                     if (const auto *Entry =
                             std::get_if<work::entry_record>(&Decoded))
                       updateEntry(*Entry);
                   } catch (const error &Problem) {
                     Log.warningEvent(
                         "record_unreadable",
                         {{"key", Record.Key}, {"problem", Problem.what()}});
                   }
                 }
               });
}

void scheduler_client::updateEntry(const work::entry_record &Entry) {
  work::entry_record &Known = Entries[Entry.Node];
  const bool IsNewer =
      Entry.StartedMs > Known.StartedMs ||
      (Entry.StartedMs == Known.StartedMs && Entry.Term >= Known.Term);
  if (!IsNewer)
    return;
  if (Known.PeerAddress != Entry.PeerAddress)
    std::erase(EntryAddresses, Known.PeerAddress);
  Known = Entry;
  const auto Found = std::find(EntryAddresses.begin(), EntryAddresses.end(),
                               Entry.PeerAddress);
  if (Found == EntryAddresses.end())
    EntryAddresses.push_back(Entry.PeerAddress);
  if (Entry.Term > HighestTerm) {
    HighestTerm = Entry.Term;
    if (!SchedulerFound)
      CurrentAddress = Entry.PeerAddress;
  }
  if (CurrentAddress.empty())
    CurrentAddress = Entry.PeerAddress;
}

void scheduler_client::report(
    const proto::work::WorkerReport &Report,
    std::function<void(const proto::work::WorkerOrders *)> Done) {
  if (CurrentAddress.empty()) {
    Done(nullptr);
    return;
  }
  proto::PeerRequest Request = makeRequest(Self);
  *Request.mutable_worker_report() = Report;
  const duration Limit =
      std::chrono::milliseconds(Report.wait_ms()) + AnswerGrace;
  Peers.call(CurrentAddress, Request, Limit,
             [this, Alive = Alive, Address = CurrentAddress,
              Done = std::move(Done)](const peer_result &Result) {
               if (*Alive)
                 handleAnswer(Address, Result, Done);
             });
}

void scheduler_client::handleAnswer(
    const std::string &Address, const peer_result &Result,
    const std::function<void(const proto::work::WorkerOrders *)> &Done) {
  if (Result.Status != call_status::Completed) {
    // The connection may be broken although the entry is running.
    Peers.reconnect(Address);
    selectNext(Address);
    Done(nullptr);
    return;
  }
  const proto::work::WorkerOrders &Orders = Result.Response.worker_orders();
  if (!Result.Response.has_worker_orders() || !Orders.in_office()) {
    selectNext(Address);
    updateEntries(Orders);
    Done(nullptr);
    return;
  }
  if (!SchedulerFound || CurrentAddress != Address)
    Log.event("scheduler_found",
              {{"address", Address}, {"term", Orders.term()}});
  CurrentAddress = Address;
  SchedulerFound = true;
  HighestTerm = std::max(HighestTerm, Orders.term());
  Done(&Orders);
}

void scheduler_client::updateEntries(const proto::work::WorkerOrders &Orders) {
  for (const proto::work::EntryPresent &Entry : Orders.entries())
    updateEntry(work::decodeEntry(Entry));
}

void scheduler_client::selectNext(const std::string &Failed) {
  if (CurrentAddress != Failed)
    return; // already changed after an earlier failure
  if (SchedulerFound) {
    Log.event("scheduler_lost", {{"address", Failed}, {"term", HighestTerm}});
    SchedulerFound = false;
    readEntries();
  }
  const auto Found =
      std::find(EntryAddresses.begin(), EntryAddresses.end(), Failed);
  if (EntryAddresses.empty())
    return;
  const auto Next =
      Found == EntryAddresses.end() ? EntryAddresses.begin() : std::next(Found);
  CurrentAddress =
      Next == EntryAddresses.end() ? EntryAddresses.front() : *Next;
}

} // namespace geraniumpaddle
