#pragma once

#include "core/base/eventqueue.h"
#include "core/ledger/logfollower.h"
#include "core/ledger/snapshot.h"
#include "entry/ilogobserver.h"
#include "entry/iproposer.h"
#include "entry/istatesource.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "platform/ilogservice.h"
#include "transport/ieventloop.h"
#include "transport/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

struct log_driver_settings {
  appender_settings Appender;
  follower_settings Follower;
  snapshot_settings Snapshot;
  std::size_t SnapshotChunkBytes = 64UL * 1024;
};

/// Maintains the ledger of an entry: follows the log, applies its records,
/// appends proposals in batches, and publishes snapshots.
class log_driver final : public iproposer {
public:
  log_driver(ievent_loop &Loop, ilog_service &Log, istate_source &Peers,
             const peer_identity &Self, const log_driver_settings &Settings);
  ~log_driver() override { *Alive = false; }
  log_driver(const log_driver &) = delete;
  log_driver &operator=(const log_driver &) = delete;

  /// Notifies \p Observer of every change from now on. It must outlive this.
  void observe(ilog_observer &Observer) { Observers.push_back(&Observer); }
  /// \p ReadyCallback is called once, when the ledger has caught up with the
  /// log.
  void start(std::function<void()> ReadyCallback);
  /// Refuses new proposals; those that are still undecided are completed.
  void close();
  /// Sets the rank among the live entries; the first publishes snapshots.
  void setRank(std::uint32_t NewRank) { Rank = NewRank; }

  const ledger &state() const override { return *Ledger; }
  bool ready() const override { return Follower.ready(); }
  bool logReachable() const { return Follower.logReachable(); }
  bool idle() const { return Appender.idle(); }
  std::size_t queued() const { return Appender.queued(); }
  void propose(const actor_id &Actor, record_body Body, duration Timeout,
               std::function<void(const proposal_answered &)> Done) override;

private:
  void pushFollower(const follower_event &Event);
  void onRead(const read_log &Command);
  void onApplyRecords(const apply_records &Command);
  void onScan(const scan_records &Command);
  void onFindState(const find_state &Command);
  void onInstall(const install_state &Command);
  void onBecomeReady(const become_ready &Command);
  void onReadDone(const read_result &Result);

  void pushAppender(appender_event Event);
  void onAppend(const append_records &Command);
  void onAnswered(const proposal_answered &Command);

  void applyItem(const log_item &Item);
  void collectChunk(const log_item &Item);
  bool offerState(const std::string &Payload);
  void onPeerState(const std::string &Payload);
  void maybePublishSnapshot();
  void publishSnapshot();
  void armTimers();

  ievent_loop &Loop;
  ilog_service &Log;
  istate_source &Peers;
  const peer_identity Self;
  const log_driver_settings Settings;
  std::unique_ptr<ledger> Ledger;
  record_appender Appender;
  log_follower Follower;
  snapshot_assembler Assembler;
  snapshot_policy Policy;
  std::unique_ptr<ledger> OfferedState;
  std::vector<log_item> Items;
  std::vector<ilog_observer *> Observers;
  std::function<void()> ReadyCallback;
  std::map<proposal_id, std::function<void(const proposal_answered &)>>
      PendingProposals;
  std::uint64_t LastProposal = 0;
  std::uint32_t Rank = 0;
  event_queue<follower_event> FollowerEvents;
  event_queue<appender_event> AppenderEvents;
  timer FollowerTimer;
  timer AppenderTimer;
  timer SnapshotTimer;
  logger Logger{"log"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
