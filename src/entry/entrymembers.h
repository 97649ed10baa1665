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

/// What the heartbeats to other entries carry besides their own fields.
class ientry_content {
public:
  virtual ~ientry_content() = default;

  /// \param AcrossRegions the receiver is in another region.
  virtual proto::EntryHeartbeat heartbeat(bool AcrossRegions) = 0;
  virtual void learnHeartbeat(const node_id &Entry,
                              const proto::EntryHeartbeat &Heartbeat) = 0;
  virtual void entryLost(const node_id &Entry) = 0;
  /// The live entries, or their order, changed.
  virtual void membersChanged() = 0;
};

/// Heartbeats between the entries that announced themselves in the log, and
/// the order of those that are alive.
class entry_members final : public istate_source {
public:
  /// \param SeedPeers peer addresses to ask for the state before any entry is
  /// known from the log.
  entry_members(ievent_loop &Loop, ipeer_client &Peers,
                const peer_identity &Self, entry_rank &Rank,
                const region_id &Region, duration Interval,
                std::span<const std::string> SeedPeers,
                ientry_content &Content);
  ~entry_members() override { *Alive = false; }

  /// Begins heartbeats to the entries in \p Log.
  void start(const iproposer &Log);
  void setDraining();
  /// A heartbeat arrived from another entry.
  void onHeartbeat(const node_id &Node, incarnation Run,
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

  void beat();
  void sendTo(const entry_member &Entry);
  void noteAlive(const node_id &Node, incarnation Run,
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
  ientry_content &Content;
  const iproposer *Log = nullptr;
  liveness Liveness;
  event_queue<liveness_event> LivenessEvents;
  timer LivenessTimer;
  timer BeatTimer;
  std::map<node_id, live_entry> Live;
  std::uint64_t Beats = 0;
  bool Draining = false;
  logger Logger{"entries"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
