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

/// Keeps the ledger of an entry: follows the log, folds its records, appends
/// proposals in batches, and publishes snapshots.
class log_driver final : public iproposer {
public:
  log_driver(ievent_loop &Loop, ilog_service &Log, istate_source &Peers,
             const peer_identity &Self, const log_driver_settings &Settings);
  ~log_driver() override { *Alive = false; }
  log_driver(const log_driver &) = delete;
  log_driver &operator=(const log_driver &) = delete;

  /// \p Observer is told of every fold from now on; it must outlive this.
  void observe(ifold_observer &Observer) { Observers.push_back(&Observer); }
  /// \p Ready is called once, when the state is fit to be used.
  void start(std::function<void()> Ready);
  /// New proposals are refused; undecided ones go on.
  void close();
  /// Position among the live entries; the first publishes snapshots.
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
  void onFold(const apply_records &Command);
  void onScan(const scan_records &Command);
  void onFindState(const find_state &Command);
  void onInstall(const install_state &Command);
  void onBecomeReady(const become_ready &Command);
  void onReadDone(const read_result &Result);

  void pushAppender(appender_event Event);
  void onAppend(const append_records &Command);
  void onAnswered(const proposal_answered &Command);

  void foldItem(const log_item &Item);
  void assemble(const log_item &Item);
  bool offer(const std::string &Payload);
  void offerFromPeer(const std::string &Payload);
  void considerSnapshot();
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
  std::unique_ptr<ledger> Offered;
  std::vector<log_item> Items;
  std::vector<ifold_observer *> Observers;
  std::function<void()> Ready;
  std::map<proposal_id, std::function<void(const proposal_answered &)>> Waiting;
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
