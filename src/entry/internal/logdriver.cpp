#include "entry/logdriver.h"

#include "codec/imagecodec.h"
#include "codec/recordcodec.h"
#include "core/base/error.h"
#include "core/base/membertable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration SnapshotInterval = std::chrono::seconds(5);
constexpr duration SnapshotTimeout = std::chrono::seconds(30);

append_status statusOf(const append_result &Result) {
  if (Result.Status == call_status::NotSent || Result.Refused)
    return append_status::NotAppended;
  if (Result.Status == call_status::Completed)
    return append_status::Appended;
  return append_status::Unknown;
}

} // namespace

log_driver::log_driver(ievent_loop &Loop, ilog_service &Log,
                       istate_source &Peers, const peer_identity &Self,
                       const log_driver_settings &Settings)
    : Loop(Loop), Log(Log), Peers(Peers), Self(Self), Settings(Settings),
      Ledger(std::make_unique<ledger>()),
      Appender(Self.Node, Self.Incarnation, Settings.Appender),
      Follower(Settings.Follower), Policy(Settings.Snapshot),
      FollowerTimer(Loop), AppenderTimer(Loop), SnapshotTimer(Loop) {}

void log_driver::start(std::function<void()> Callback) {
  ReadyCallback = std::move(Callback);
  pushFollower(follower_timer_expired{});
}

void log_driver::close() { pushAppender(appender_closed{}); }

void log_driver::propose(const actor_id &Actor, record_body Body,
                         duration Timeout,
                         std::function<void(const proposal_answered &)> Done) {
  proposal_id Id{++LastProposal};
  PendingProposals.emplace(Id, std::move(Done));
  pushAppender(
      proposal_made{Id, Actor, Loop.wallNow(), std::move(Body), Timeout});
}

void log_driver::pushFollower(const follower_event &Event) {
  using table =
      member_table<&log_driver::onRead, &log_driver::onApplyRecords,
                   &log_driver::onScan, &log_driver::onFindState,
                   &log_driver::onInstall, &log_driver::onBecomeReady>;
  FollowerEvents.push(Event, [this](const follower_event &Next) {
    for (const follower_command &Command : Follower.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
  armTimers();
}

void log_driver::onRead(const read_log &Command) {
  Log.read(Command.From, Command.Limit, Command.Wait,
           [this, Alive = Alive](const read_result &Result) {
             if (*Alive)
               onReadDone(Result);
           });
}

void log_driver::onReadDone(const read_result &Result) {
  if (Result.Status != call_status::Completed)
    return pushFollower(read_failed{});
  if (Result.Truncated)
    return pushFollower(read_truncated{Result.Head, Result.Oldest});
  Items = Result.Items;
  log_offset First = Items.empty() ? log_offset{} : Items.front().Offset;
  pushFollower(read_completed{First, Items.size(), Result.Head, Result.Oldest});
}

void log_driver::onApplyRecords(const apply_records &Command) {
  for (std::size_t I = 0; I < Command.Count; ++I)
    applyItem(Items[Command.First + I]);
  for (ilog_observer *Observer : Observers)
    Observer->onBatchApplied();
  maybePublishSnapshot();
}

void log_driver::applyItem(const log_item &Item) {
  record Record;
  try {
    Record = decodeRecord(Item.Payload);
  } catch (const malformed_message_error &Failure) {
    Ledger->skip(Item.Offset, Failure.what());
    return Logger.warning(Failure.what(), {.Offset = raw(Item.Offset)});
  }
  verdict Verdict = Ledger->apply(Item.Offset, Record);
  if (const auto *Chunk = std::get_if<snapshot_chunk>(&Record.Body))
    Assembler.add(Record.Producer, Item.Offset, *Chunk);
  if (Record.Producer.Node == Self.Node)
    pushAppender(record_applied{Record.Producer, Item.Offset, Verdict});
  for (ilog_observer *Observer : Observers)
    Observer->onRecordApplied(Item.Offset, Record, Verdict);
}

void log_driver::onScan(const scan_records &Command) {
  for (std::size_t I = 0; I < Command.Count; ++I)
    collectChunk(Items[Command.First + I]);
}

void log_driver::collectChunk(const log_item &Item) {
  try {
    record Record = decodeRecord(Item.Payload);
    if (const auto *Chunk = std::get_if<snapshot_chunk>(&Record.Body))
      Assembler.add(Record.Producer, Item.Offset, *Chunk);
  } catch (const malformed_message_error &) {
    // Counted as malformed when it is applied, if it ever is.
  }
}

void log_driver::onFindState(const find_state &Command) {
  const assembled_snapshot *Newest = Assembler.newest();
  if (Newest && Newest->Covered > Command.Beyond && offerState(Newest->Payload))
    return;
  Peers.fetch(Command.Beyond,
              [this, Alive = Alive](const std::string &Payload) {
                if (*Alive)
                  onPeerState(Payload);
              });
}

void log_driver::onPeerState(const std::string &Payload) {
  if (Payload.empty() || !offerState(Payload))
    pushFollower(state_unavailable{});
}

/// \returns false if \p Payload is not a valid ledger image.
bool log_driver::offerState(const std::string &Payload) {
  try {
    OfferedState = std::make_unique<ledger>(decodeImage(Payload));
  } catch (const error &Failure) {
    Logger.error(Failure.what());
    return false;
  }
  pushFollower(
      state_offered{OfferedState->lastApplied(), OfferedState->version()});
  return true;
}

void log_driver::onInstall(const install_state &) {
  Ledger = std::move(OfferedState);
  Assembler.releasePayload();
  Logger.info("ledger replaced by a newer state",
              {.Offset = raw(Ledger->lastApplied())});
  for (ilog_observer *Observer : Observers)
    Observer->onStateReplaced();
}

void log_driver::onBecomeReady(const become_ready &) {
  Logger.info("ready", {.Offset = raw(Ledger->lastApplied())});
  maybePublishSnapshot();
  ReadyCallback();
}

void log_driver::pushAppender(appender_event Event) {
  using table = member_table<&log_driver::onAppend, &log_driver::onAnswered>;
  AppenderEvents.push(std::move(Event), [this](const appender_event &Next) {
    for (const appender_command &Command : Appender.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
  armTimers();
}

void log_driver::onAppend(const append_records &Command) {
  std::vector<std::string> Payloads;
  for (const record &Record : Command.Records)
    Payloads.push_back(encodeRecord(Record));
  Log.append(Payloads, [this, Alive = Alive](const append_result &Result) {
    if (*Alive)
      pushAppender(append_finished{statusOf(Result)});
  });
}

void log_driver::onAnswered(const proposal_answered &Command) {
  auto Found = PendingProposals.extract(Command.Id);
  if (!Found.empty())
    Found.mapped()(Command);
}

void log_driver::maybePublishSnapshot() {
  SnapshotTimer.start(SnapshotInterval, [this] { maybePublishSnapshot(); });
  if (!Follower.ready())
    return;
  const assembled_snapshot *Newest = Assembler.newest();
  snapshot_conditions Conditions{Ledger->lastApplied(),
                                 Follower.head(),
                                 Follower.oldest(),
                                 Newest ? Newest->Covered : log_offset{},
                                 Newest ? Newest->FirstChunk : log_offset{},
                                 Rank};
  if (Policy.shouldPublish(Conditions, Loop.now()))
    publishSnapshot();
}

void log_driver::publishSnapshot() {
  Policy.notePublished(Loop.now());
  std::string Payload = encodeImage(Ledger->image());
  auto Chunks = splitSnapshot(Ledger->lastApplied(), Payload,
                              Settings.SnapshotChunkBytes);
  Logger.info("snapshot published", {.Offset = raw(Ledger->lastApplied())});
  for (snapshot_chunk &Chunk : Chunks)
    propose(actor_id(Self.Node.view()), std::move(Chunk), SnapshotTimeout,
            [](const proposal_answered &) {});
}

void log_driver::armTimers() {
  auto Delay = [this](time_point At) {
    return std::max(At - Loop.now(), duration::zero());
  };
  if (auto At = Follower.nextTimerAt())
    FollowerTimer.start(Delay(*At),
                        [this] { pushFollower(follower_timer_expired{}); });
  else
    FollowerTimer.cancel();
  if (auto At = Appender.nextTimerAt())
    AppenderTimer.start(Delay(*At),
                        [this] { pushAppender(appender_timer_expired{}); });
  else
    AppenderTimer.cancel();
}

} // namespace geraniumpaddle
