#pragma once

#include "core/base/eventqueue.h"
#include "core/membership/entryrank.h"
#include "core/membership/liveness.h"
#include "entry/iproposer.h"
#include "entry/istatesource.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Fills the heartbeats to other entries and handles those that arrive.
class ientry_members_delegate {
public:
  virtual ~ientry_members_delegate() = default;

  /// \param AcrossRegions whether the receiver is in another region.
  virtual proto::EntryHeartbeat makeHeartbeat(bool AcrossRegions) = 0;
  virtual void onEntryHeartbeat(const node_id &Entry,
                                const proto::EntryHeartbeat &Heartbeat) = 0;
  virtual void onEntryLost(const node_id &Entry) = 0;
  /// The set of live entries, or their order, changed.
  virtual void onMembersChanged() = 0;
};

/// Exchanges heartbeats with the entries that are announced in the log, and
/// maintains the rank order of the live ones.
class entry_members final : public istate_source {
public:
  /// \param SeedPeers peer addresses from which to fetch the state before any
  /// entry is known from the log.
  entry_members(ievent_loop &Loop, ipeer_client &Peers,
                const peer_identity &Self, entry_rank &Rank,
                const region_id &Region, duration Interval,
                std::span<const std::string> SeedPeers,
                ientry_members_delegate &Delegate);
  ~entry_members() override { *Alive = false; }

  /// Starts sending heartbeats to the entries in the ledger of \p Log.
  void start(const iproposer &Log);
  void setDraining();
  /// Handles a heartbeat of another entry.
  void onHeartbeat(const node_id &Node, incarnation Incarnation,
                   const proto::EntryHeartbeat &Heartbeat);
  void fetch(log_offset Beyond,
             std::function<void(const std::string &)> Done) override;

private:
  struct state_fetch;

  void pushLiveness(liveness_event Event);
  void onSuspected(const node_suspected &Command);
  void onRecovered(const node_recovered &Command);
  void onLost(const node_lost &Command);
  void onSelfSuspicion(const self_suspicion_changed &Command);
  void onSetTimer(const set_liveness_timer &Command);

  void sendHeartbeats();
  void sendHeartbeat(const entry_member &Entry);
  void updateLiveEntry(const node_id &Node, incarnation Incarnation,
                       const region_id &EntryRegion, bool IsDraining);
  void updateRank();
  std::vector<std::string> stateSources() const;
  void fetchNext(const std::shared_ptr<state_fetch> &Fetch);
  void onChunk(const std::shared_ptr<state_fetch> &Fetch,
               const peer_result &Result);

  ievent_loop &Loop;
  ipeer_client &Peers;
  const peer_identity Self;
  entry_rank &Rank;
  const region_id Region;
  const duration Interval;
  const std::vector<std::string> SeedPeers;
  ientry_members_delegate &Delegate;
  const iproposer *Log = nullptr;
  liveness Liveness;
  event_queue<liveness_event> LivenessEvents;
  timer LivenessTimer;
  timer HeartbeatTimer;
  std::map<node_id, live_entry> LiveEntries;
  std::uint64_t HeartbeatRounds = 0;
  bool Draining = false;
  logger Logger{"entries"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
