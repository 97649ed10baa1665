#include "entry/entrymembers.h"

#include "core/base/membertable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration HeartbeatTimeout = std::chrono::milliseconds(1500);
/// Entries that are not alive get a heartbeat only once in this many rounds.
constexpr std::uint64_t UnreachableRetryRounds = 10;
constexpr duration StateTimeout = std::chrono::seconds(5);

} // namespace

/// A fetch of a ledger image in progress, chunk by chunk.
struct entry_members::state_fetch {
  log_offset Beyond{};
  std::vector<std::string> Sources;
  std::uint64_t Covered = 0;
  std::uint32_t Index = 0;
  std::string Payload;
  std::function<void(const std::string &)> Done;
};

entry_members::entry_members(ievent_loop &Loop, ipeer_client &Peers,
                             const peer_identity &Self, entry_rank &Rank,
                             const region_id &Region, duration Interval,
                             std::span<const std::string> SeedPeers,
                             ientry_members_delegate &Delegate)
    : Loop(Loop), Peers(Peers), Self(Self), Rank(Rank), Region(Region),
      Interval(Interval), SeedPeers(SeedPeers.begin(), SeedPeers.end()),
      Delegate(Delegate), Liveness(liveness_settings{}), LivenessTimer(Loop),
      HeartbeatTimer(Loop) {
  updateRank();
}

void entry_members::start(const iproposer &Source) {
  Log = &Source;
  sendHeartbeats();
}

void entry_members::setDraining() {
  Draining = true;
  updateRank();
  sendHeartbeats();
}

void entry_members::sendHeartbeats() {
  HeartbeatTimer.start(Interval, [this] { sendHeartbeats(); });
  bool IncludeUnreachable = HeartbeatRounds++ % UnreachableRetryRounds == 0;
  for (const entry_member &Entry : Log->state().entries())
    if (Entry.Node != Self.Node &&
        (IncludeUnreachable || LiveEntries.contains(Entry.Node)))
      sendHeartbeat(Entry);
}

void entry_members::sendHeartbeat(const entry_member &Entry) {
  proto::PeerRequest Request = makeRequest(Self);
  *Request.mutable_entry_heartbeat() =
      Delegate.makeHeartbeat(Entry.Region != Region);
  Request.mutable_entry_heartbeat()->set_draining(Draining);
  Peers.call(Entry.PeerAddress, Request, HeartbeatTimeout,
             [this, Node = Entry.Node, Address = Entry.PeerAddress,
              Alive = Alive](const peer_result &Result) {
               if (*Alive && Result.Status != call_status::Completed &&
                   LiveEntries.contains(Node))
                 Peers.reconnect(Address);
             });
}

void entry_members::onHeartbeat(const node_id &Node, incarnation Incarnation,
                                const proto::EntryHeartbeat &Heartbeat) {
  if (Node == Self.Node)
    return;
  pushLiveness(heartbeat_received{Node, Incarnation, Interval});
  updateLiveEntry(Node, Incarnation, region_id(Heartbeat.entry().region()),
                  Heartbeat.draining());
  Delegate.onEntryHeartbeat(Node, Heartbeat);
}

void entry_members::updateLiveEntry(const node_id &Node, incarnation,
                                    const region_id &EntryRegion,
                                    bool IsDraining) {
  live_entry Entry{Node, EntryRegion, IsDraining};
  auto [Found, Inserted] = LiveEntries.try_emplace(Node, Entry);
  if (!Inserted && Found->second == Entry)
    return;
  Found->second = Entry;
  updateRank();
}

void entry_members::updateRank() {
  std::vector<live_entry> Entries;
  for (const auto &[Node, Entry] : LiveEntries)
    Entries.push_back(Entry);
  Entries.push_back({Self.Node, Region, Draining});
  Rank.setLive(Entries);
  if (Log)
    Delegate.onMembersChanged();
}

void entry_members::pushLiveness(liveness_event Event) {
  using table =
      member_table<&entry_members::onSuspected, &entry_members::onRecovered,
                   &entry_members::onLost, &entry_members::onSelfSuspicion,
                   &entry_members::onSetTimer>;
  LivenessEvents.push(std::move(Event), [this](const liveness_event &Next) {
    for (const liveness_command &Command : Liveness.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

/// Another entry takes over at once, on suspicion alone: it is safe that both
/// act, since their work is idempotent.
void entry_members::onSuspected(const node_suspected &Command) {
  if (LiveEntries.erase(Command.Node) > 0)
    updateRank();
}

void entry_members::onRecovered(const node_recovered &) {}

void entry_members::onLost(const node_lost &Command) {
  Logger.warning("entry lost: " + Command.Node.str());
  if (LiveEntries.erase(Command.Node) > 0)
    updateRank();
  Delegate.onEntryLost(Command.Node);
}

void entry_members::onSelfSuspicion(const self_suspicion_changed &Command) {
  Logger.warning(Command.Suspected ? "heartbeats of most entries are missing"
                                   : "heartbeats of entries arrive again");
}

void entry_members::onSetTimer(const set_liveness_timer &Command) {
  LivenessTimer.startAt(Command.At,
                        [this] { pushLiveness(liveness_timer_expired{}); });
}

std::vector<std::string> entry_members::stateSources() const {
  std::vector<std::string> Sources = SeedPeers;
  if (!Log)
    return Sources;
  for (const entry_member &Entry : Log->state().entries())
    if (Entry.Node != Self.Node &&
        std::find(Sources.begin(), Sources.end(), Entry.PeerAddress) ==
            Sources.end())
      Sources.push_back(Entry.PeerAddress);
  return Sources;
}

void entry_members::fetch(log_offset Beyond,
                          std::function<void(const std::string &)> Done) {
  auto Fetch = std::make_shared<state_fetch>();
  Fetch->Beyond = Beyond;
  Fetch->Sources = stateSources();
  Fetch->Done = std::move(Done);
  if (Fetch->Sources.empty())
    Loop.startTimer(duration::zero(), [Fetch] { Fetch->Done(""); });
  else
    fetchNext(Fetch);
}

void entry_members::fetchNext(const std::shared_ptr<state_fetch> &Fetch) {
  proto::PeerRequest Request = makeRequest(Self);
  Request.mutable_fetch_state()->set_index(Fetch->Index);
  Request.mutable_fetch_state()->set_covered(Fetch->Covered);
  Peers.call(Fetch->Sources.back(), Request, StateTimeout,
             [this, Fetch, Alive = Alive](const peer_result &Result) {
               if (*Alive)
                 onChunk(Fetch, Result);
             });
}

/// If a peer fails or has no newer state, the fetch starts over with the next.
void entry_members::onChunk(const std::shared_ptr<state_fetch> &Fetch,
                            const peer_result &Result) {
  const proto::SnapshotChunk &Chunk = Result.Response.state();
  bool Usable =
      Result.Status == call_status::Completed && Result.Response.has_state() &&
      Chunk.covered() > raw(Fetch->Beyond) && Chunk.index() == Fetch->Index &&
      (Fetch->Index == 0 || Chunk.covered() == Fetch->Covered);
  if (!Usable) {
    Fetch->Sources.pop_back();
    Fetch->Covered = Fetch->Index = 0;
    Fetch->Payload.clear();
    return Fetch->Sources.empty() ? Fetch->Done("") : fetchNext(Fetch);
  }
  Fetch->Payload += Chunk.payload();
  Fetch->Covered = Chunk.covered();
  if (++Fetch->Index < Chunk.count())
    return fetchNext(Fetch);
  Fetch->Done(Fetch->Payload);
}

} // namespace geraniumpaddle
