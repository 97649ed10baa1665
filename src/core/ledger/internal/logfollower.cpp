#include "core/ledger/logfollower.h"
#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

log_follower::log_follower(follower_settings Settings) : Settings(Settings) {}

std::span<const follower_command>
log_follower::handle(const follower_event &Event, time_point Now) {
  using table =
      member_table<&log_follower::onCompleted, &log_follower::onFailed,
                   &log_follower::onTruncated, &log_follower::onOffered,
                   &log_follower::onUnavailable, &log_follower::onTimerExpired>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  return Commands;
}

void log_follower::noteServedVersion(config_version Version) {
  ServedVersion = std::max(ServedVersion, Version);
}

void log_follower::updateLogBounds(log_offset NewHead, log_offset NewOldest) {
  Head = std::max(Head, NewHead);
  Oldest = std::max(Oldest, NewOldest);
  Failures = 0;
  if (!HeadAtStart)
    HeadAtStart = NewHead;
}

void log_follower::onCompleted(const read_completed &Read, time_point Now) {
  Reading = false;
  updateLogBounds(Read.Head, Read.Oldest);
  if (Mode == mode::Scanning) {
    scanRead(Read, Now);
    return;
  }
  if (Read.Count > 0 && Read.First > next(LastApplied)) {
    onGap(Now);
    return;
  }
  applyRead(Read);
  becomeReadyIfCaughtUp();
  // A log that answers empty reads immediately must not cause a busy loop.
  if (Read.Count == 0 && Now < ReadSentAt + Settings.MinPollInterval) {
    TimerAt = ReadSentAt + Settings.MinPollInterval;
    return;
  }
  readNext(Now);
}

void log_follower::onGap(time_point Now) {
  // The read was sent while scanning, or the log has deleted records since.
  if (next(LastApplied) >= Oldest)
    retryLater(Now);
  else
    startScan(Now);
}

void log_follower::applyRead(const read_completed &Read) {
  if (Read.Count == 0)
    return;
  const std::uint64_t AlreadyApplied = raw(next(LastApplied)) - raw(Read.First);
  if (AlreadyApplied >= Read.Count)
    return;
  const std::size_t First = AlreadyApplied;
  Commands.emplace_back(apply_records{First, Read.Count - First});
  LastApplied = log_offset{raw(Read.First) + Read.Count - 1};
  RetryDelay = {};
}

void log_follower::scanRead(const read_completed &Read, time_point Now) {
  if (Read.Count > 0) {
    Commands.emplace_back(scan_records{0, Read.Count});
    NextScanOffset = log_offset{raw(Read.First) + Read.Count};
  }
  if (Read.Count == 0 || NextScanOffset > Head)
    findState();
  else
    read(NextScanOffset, Now);
}

void log_follower::startScan(time_point Now) {
  Mode = mode::Scanning;
  NextScanOffset = Oldest;
  if (NextScanOffset > Head)
    findState();
  else
    read(NextScanOffset, Now);
}

void log_follower::onTruncated(const read_truncated &Read, time_point Now) {
  Reading = false;
  updateLogBounds(Read.Head, Read.Oldest);
  startScan(Now);
}

void log_follower::onFailed(const read_failed & /*Failure*/, time_point Now) {
  Reading = false;
  ++Failures;
  if (!Ready && Failures >= Settings.FailuresBeforePeer)
    findState();
  retryLater(Now);
}

void log_follower::findState() {
  if (FindingState)
    return;
  FindingState = true;
  Commands.emplace_back(find_state{LastApplied});
}

void log_follower::onOffered(const state_offered &Offer, time_point Now) {
  FindingState = false;
  const bool Newer = Offer.Covered > LastApplied;
  const bool Usable = Newer && Offer.Version >= ServedVersion &&
                      (Mode == mode::Applying || next(Offer.Covered) >= Oldest);
  if (!Usable) {
    retryLater(Now);
    return;
  }
  Commands.emplace_back(install_state{});
  LastApplied = Offer.Covered;
  Mode = mode::Applying;
  becomeReadyIfCaughtUp();
  // While the log is unreachable, a peer's state is the newest available.
  if (!Ready && !logReachable())
    becomeReady();
  readNext(Now);
}

void log_follower::onUnavailable(const state_unavailable & /*None*/,
                                 time_point Now) {
  FindingState = false;
  retryLater(Now);
}

void log_follower::onTimerExpired(const follower_timer_expired & /*Expired*/,
                                  time_point Now) {
  if (TimerAt && Now < *TimerAt)
    return;
  TimerAt.reset();
  readNext(Now);
}

void log_follower::readNext(time_point Now) {
  read(Mode == mode::Scanning ? NextScanOffset : next(LastApplied), Now);
}

void log_follower::read(log_offset From, time_point Now) {
  if (Reading)
    return;
  Reading = true;
  ReadSentAt = Now;
  TimerAt.reset();
  Commands.emplace_back(
      read_log{From, Settings.ReadLimit,
               From > Head && Ready ? Settings.ReadWait : duration{}});
}

void log_follower::retryLater(time_point Now) {
  RetryDelay = RetryDelay == duration{}
                   ? Settings.FirstRetryDelay
                   : std::min(RetryDelay * 2, Settings.MaxRetryDelay);
  if (!Reading)
    TimerAt = Now + RetryDelay;
}

void log_follower::becomeReady() {
  Ready = true;
  Commands.emplace_back(become_ready{});
}

void log_follower::becomeReadyIfCaughtUp() {
  if (!Ready && HeadAtStart && LastApplied >= *HeadAtStart)
    becomeReady();
}

} // namespace geraniumpaddle
