#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// The read in flight brought items with consecutive offsets, or none.
struct read_completed {
  log_offset First{}; ///< of the first item; 0 if there is none
  std::size_t Count = 0;
  log_offset Head{}; ///< last record of the log
  log_offset Oldest{};
};

/// The read in flight failed or timed out.
struct read_failed {};

/// The wanted offset is no longer retained.
struct read_truncated {
  log_offset Head{};
  log_offset Oldest{};
};

/// A whole state is at hand: from a snapshot in the log or from a peer.
struct state_offered {
  log_offset Covered{};
  config_version Version{};
};

/// No state is at hand now: no peer answered and the log holds no snapshot.
struct state_unavailable {};

/// The wake-up time has come, or the follower starts.
struct follower_woken {};

using follower_event =
    std::variant<read_completed, read_failed, read_truncated, state_offered,
                 state_unavailable, follower_woken>;

/// Reads the log; read_completed, read_failed or read_truncated follows.
struct read_log {
  log_offset From{};
  std::uint32_t Limit = 0; ///< records
  duration Wait{};         ///< how long the log may hold the read open
};

/// Folds \p Count items of the read, from index \p First.
struct fold_items {
  std::size_t First = 0;
  std::size_t Count = 0;
};

/// Hands \p Count items, from index \p First, to the snapshot assembler only;
/// they are not folded.
struct scan_items {
  std::size_t First = 0;
  std::size_t Count = 0;
};

/// Looks for a state that covers more than \p Beyond: the newest snapshot that
/// was scanned, else a peer's. state_offered or state_unavailable follows.
struct find_state {
  log_offset Beyond{};
};

/// Replaces the ledger by the offered state.
struct install_state {};

/// Everything up to the head seen at start is folded, or a peer's state was
/// taken while the log is down.
struct become_ready {};

using follower_command = std::variant<read_log, fold_items, scan_items,
                                      find_state, install_state, become_ready>;

struct follower_settings {
  std::uint32_t ReadLimit = 512; ///< records in one read
  duration ReadWait = std::chrono::seconds(10);
  duration FirstRetryDelay = std::chrono::milliseconds(100);
  duration MaxRetryDelay = std::chrono::seconds(5);
  /// Shortest time between a read that brought nothing and the next one.
  duration MinPollInterval = std::chrono::milliseconds(100);
  /// Failed reads before a process that is not ready asks a peer.
  std::uint32_t FailuresBeforePeer = 3;
};

/// Decides which offset of the log is read next and where state comes from.
///
/// Never asks for a record that is folded already and never installs a state
/// that is older than the folded one or below a version that was shown.
class log_follower {
public:
  explicit log_follower(follower_settings Settings);

  /// Takes one event and returns what has to be done, in order. The span is
  /// valid until the next call.
  std::span<const follower_command> handle(const follower_event &Event,
                                           time_point Now);
  /// Notes a configuration version that was shown to somebody.
  void noteShown(config_version Version);

  /// When follower_woken is next wanted; empty: not at all.
  std::optional<time_point> wakeUpAt() const { return WakeUpAt; }
  bool ready() const { return Ready; }
  /// False after a failed read until one succeeds.
  bool logReachable() const { return Failures == 0; }
  log_offset folded() const { return Folded; }
  /// Last head that the log reported.
  log_offset head() const { return Head; }
  /// Oldest retained offset that the log last reported.
  log_offset oldest() const { return Oldest; }

private:
  enum class mode : std::uint8_t {
    Folding,
    Scanning, ///< the tail is gone; looking for a snapshot in what is left
  };

  void onCompleted(const read_completed &Read, time_point Now);
  void onFailed(const read_failed &Failure, time_point Now);
  void onTruncated(const read_truncated &Read, time_point Now);
  void onOffered(const state_offered &Offer, time_point Now);
  void onUnavailable(const state_unavailable &None, time_point Now);
  void onWoken(const follower_woken &Woken, time_point Now);

  void noteLog(log_offset NewHead, log_offset NewOldest);
  void fold(const read_completed &Read);
  void scan(const read_completed &Read, time_point Now);
  void onGap(time_point Now);
  void startScan(time_point Now);
  void read(log_offset From, time_point Now);
  void readOn(time_point Now);
  void retryLater(time_point Now);
  void becomeReady();
  void becomeReadyIfCaughtUp();
  void findState();

  follower_settings Settings;
  mode Mode = mode::Folding;
  bool Ready = false;
  bool Reading = false;
  bool FindingState = false;
  std::uint32_t Failures = 0;
  duration RetryDelay{};
  time_point ReadSentAt;
  log_offset Folded{};
  log_offset ScanNext{};
  log_offset Head{};
  log_offset Oldest{};
  std::optional<log_offset> HeadAtStart;
  config_version Shown{};
  std::optional<time_point> WakeUpAt;
  std::vector<follower_command> Commands;
};

} // namespace geraniumpaddle
