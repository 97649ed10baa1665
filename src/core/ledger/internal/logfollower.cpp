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
                   &log_follower::onUnavailable, &log_follower::onWoken>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  return Commands;
}

void log_follower::noteShown(config_version Version) {
  Shown = std::max(Shown, Version);
}

void log_follower::noteLog(log_offset NewHead, log_offset NewOldest) {
  Head = std::max(Head, NewHead);
  Oldest = std::max(Oldest, NewOldest);
  Failures = 0;
  if (!HeadAtStart)
    HeadAtStart = NewHead;
}

void log_follower::onCompleted(const read_completed &Read, time_point Now) {
  Reading = false;
  noteLog(Read.Head, Read.Oldest);
  if (Mode == mode::Scanning) {
    scan(Read, Now);
    return;
  }
  if (Read.Count > 0 && Read.First > next(Folded)) {
    onGap(Now);
    return;
  }
  fold(Read);
  becomeReadyIfCaughtUp();
  // A log that answers empty reads at once must not make the reader spin.
  if (Read.Count == 0 && Now < ReadSentAt + Settings.MinPollInterval) {
    WakeUpAt = ReadSentAt + Settings.MinPollInterval;
    return;
  }
  readOn(Now);
}

void log_follower::onGap(time_point Now) {
  // The read was sent while scanning, or the log has forgotten records since.
  if (next(Folded) >= Oldest)
    retryLater(Now);
  else
    startScan(Now);
}

void log_follower::fold(const read_completed &Read) {
  if (Read.Count == 0)
    return;
  const std::uint64_t Known = raw(next(Folded)) - raw(Read.First);
  if (Known >= Read.Count)
    return;
  const std::size_t First = Known;
  Commands.emplace_back(fold_items{First, Read.Count - First});
  Folded = log_offset{raw(Read.First) + Read.Count - 1};
  RetryDelay = {};
}

void log_follower::scan(const read_completed &Read, time_point Now) {
  if (Read.Count > 0) {
    Commands.emplace_back(scan_items{0, Read.Count});
    ScanNext = log_offset{raw(Read.First) + Read.Count};
  }
  if (Read.Count == 0 || ScanNext > Head)
    findState();
  else
    read(ScanNext, Now);
}

void log_follower::startScan(time_point Now) {
  Mode = mode::Scanning;
  ScanNext = Oldest;
  if (ScanNext > Head)
    findState();
  else
    read(ScanNext, Now);
}

void log_follower::onTruncated(const read_truncated &Read, time_point Now) {
  Reading = false;
  noteLog(Read.Head, Read.Oldest);
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
  Commands.emplace_back(find_state{Folded});
}

void log_follower::onOffered(const state_offered &Offer, time_point Now) {
  FindingState = false;
  const bool Newer = Offer.Covered > Folded;
  const bool Usable = Newer && Offer.Version >= Shown &&
                      (Mode == mode::Folding || next(Offer.Covered) >= Oldest);
  if (!Usable) {
    retryLater(Now);
    return;
  }
  Commands.emplace_back(install_state{});
  Folded = Offer.Covered;
  Mode = mode::Folding;
  becomeReadyIfCaughtUp();
  // While the log is down nothing newer than a peer's state can be had.
  if (!Ready && !logReachable())
    becomeReady();
  readOn(Now);
}

void log_follower::onUnavailable(const state_unavailable & /*None*/,
                                 time_point Now) {
  FindingState = false;
  retryLater(Now);
}

void log_follower::onWoken(const follower_woken & /*Woken*/, time_point Now) {
  if (WakeUpAt && Now < *WakeUpAt)
    return;
  WakeUpAt.reset();
  readOn(Now);
}

void log_follower::readOn(time_point Now) {
  read(Mode == mode::Scanning ? ScanNext : next(Folded), Now);
}

void log_follower::read(log_offset From, time_point Now) {
  if (Reading)
    return;
  Reading = true;
  ReadSentAt = Now;
  WakeUpAt.reset();
  Commands.emplace_back(
      read_log{From, Settings.ReadLimit,
               From > Head && Ready ? Settings.ReadWait : duration{}});
}

void log_follower::retryLater(time_point Now) {
  RetryDelay = RetryDelay == duration{}
                   ? Settings.FirstRetryDelay
                   : std::min(RetryDelay * 2, Settings.MaxRetryDelay);
  if (!Reading)
    WakeUpAt = Now + RetryDelay;
}

void log_follower::becomeReady() {
  Ready = true;
  Commands.emplace_back(become_ready{});
}

void log_follower::becomeReadyIfCaughtUp() {
  if (!Ready && HeadAtStart && Folded >= *HeadAtStart)
    becomeReady();
}

} // namespace geraniumpaddle
