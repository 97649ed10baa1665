#include "entry/entrymembers.h"

#include "core/base/membertable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration HeartbeatTimeout = std::chrono::milliseconds(1500);
/// An entry that is not heard is tried only once in this many heartbeats.
constexpr std::uint64_t BeatsBetweenTries = 10;
constexpr duration StateTimeout = std::chrono::seconds(5);

} // namespace

/// One image in the course of being fetched, chunk by chunk.
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
                             ientry_content &Content)
    : Loop(Loop), Peers(Peers), Self(Self), Rank(Rank), Region(Region),
      Interval(Interval), SeedPeers(SeedPeers.begin(), SeedPeers.end()),
      Content(Content), Liveness(liveness_settings{}), LivenessTimer(Loop),
      BeatTimer(Loop) {
  updateRank();
}

void entry_members::start(const iproposer &Source) {
  Log = &Source;
  beat();
}

void entry_members::setDraining() {
  Draining = true;
  updateRank();
  beat();
}

void entry_members::beat() {
  BeatTimer.start(Interval, [this] { beat(); });
  bool TryAll = Beats++ % BeatsBetweenTries == 0;
  for (const entry_member &Entry : Log->state().entries())
    if (Entry.Node != Self.Node && (TryAll || Live.contains(Entry.Node)))
      sendTo(Entry);
}

void entry_members::sendTo(const entry_member &Entry) {
  proto::PeerRequest Request = makeRequest(Self);
  *Request.mutable_entry_heartbeat() =
      Content.heartbeat(Entry.Region != Region);
  Request.mutable_entry_heartbeat()->set_draining(Draining);
  Peers.call(Entry.PeerAddress, Request, HeartbeatTimeout,
             [this, Node = Entry.Node, Address = Entry.PeerAddress,
              Alive = Alive](const peer_result &Result) {
               if (*Alive && Result.Status != call_status::Completed &&
                   Live.contains(Node))
                 Peers.reconnect(Address);
             });
}

void entry_members::onHeartbeat(const node_id &Node, incarnation Run,
                                const proto::EntryHeartbeat &Heartbeat) {
  if (Node == Self.Node)
    return;
  pushLiveness(heartbeat_received{Node, Run, Interval});
  noteAlive(Node, Run, region_id(Heartbeat.entry().region()),
            Heartbeat.draining());
  Content.learnHeartbeat(Node, Heartbeat);
}

void entry_members::noteAlive(const node_id &Node, incarnation,
                              const region_id &EntryRegion, bool IsDraining) {
  live_entry Entry{Node, EntryRegion, IsDraining};
  auto [Found, New] = Live.try_emplace(Node, Entry);
  if (!New && Found->second == Entry)
    return;
  Found->second = Entry;
  updateRank();
}

void entry_members::updateRank() {
  std::vector<live_entry> Entries;
  for (const auto &[Node, Entry] : Live)
    Entries.push_back(Entry);
  Entries.push_back({Self.Node, Region, Draining});
  Rank.setLive(Entries);
  if (Log)
    Content.membersChanged();
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

/// Another entry takes over at once: what both do is idempotent.
void entry_members::onSuspected(const node_suspected &Command) {
  if (Live.erase(Command.Node) > 0)
    updateRank();
}

void entry_members::onRecovered(const node_recovered &) {}

void entry_members::onLost(const node_lost &Command) {
  Logger.warning("entry lost: " + Command.Node.str());
  if (Live.erase(Command.Node) > 0)
    updateRank();
  Content.entryLost(Command.Node);
}

void entry_members::onSelfSuspicion(const self_suspicion_changed &Command) {
  Logger.warning(Command.Suspected ? "most entries are silent"
                                   : "entries are heard again");
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

/// A peer that fails or has nothing newer gives way to the next one.
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
