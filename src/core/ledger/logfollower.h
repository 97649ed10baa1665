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

/// The read in flight returned records with consecutive offsets, or none.
struct read_completed {
  log_offset First{}; ///< of the first record; 0 if there is none
  std::size_t Count = 0;
  log_offset Head{}; ///< last record of the log
  log_offset Oldest{};
};

/// The read in flight failed or timed out.
struct read_failed {};

/// The requested offset is no longer retained.
struct read_truncated {
  log_offset Head{};
  log_offset Oldest{};
};

/// A complete state was found, in a snapshot in the log or at a peer.
struct state_offered {
  log_offset Covered{};
  config_version Version{};
};

/// No state was found: the log has no newer snapshot and no peer answered.
struct state_unavailable {};

/// The time of nextTimerAt() has been reached, or the follower starts.
struct follower_timer_expired {};

using follower_event =
    std::variant<read_completed, read_failed, read_truncated, state_offered,
                 state_unavailable, follower_timer_expired>;

/// Command: read the log; read_completed, read_failed or read_truncated
/// follows.
struct read_log {
  log_offset From{};
  std::uint32_t Limit = 0; ///< records
  duration Wait{};         ///< longest wait for new records (long poll)
};

/// Command: apply Count records of the read, from index First.
struct apply_records {
  std::size_t First = 0;
  std::size_t Count = 0;
};

/// Command: pass Count records, from index First, to the snapshot assembler
/// without applying them.
struct scan_records {
  std::size_t First = 0;
  std::size_t Count = 0;
};

/// Command: find a state that covers more than Beyond, in the newest snapshot
/// that was scanned or else at a peer. state_offered or state_unavailable
/// follows.
struct find_state {
  log_offset Beyond{};
};

/// Command: replace the ledger with the offered state.
struct install_state {};

/// Everything up to the head seen at start has been applied, or a peer's state
/// was installed while the log is unreachable.
struct become_ready {};

using follower_command = std::variant<read_log, apply_records, scan_records,
                                      find_state, install_state, become_ready>;

struct follower_settings {
  std::uint32_t ReadLimit = 512; ///< records in one read
  duration ReadWait = std::chrono::seconds(10);
  duration FirstRetryDelay = std::chrono::milliseconds(100);
  duration MaxRetryDelay = std::chrono::seconds(5);
  /// Shortest time between an empty read and the next one.
  duration MinPollInterval = std::chrono::milliseconds(100);
  /// Consecutive failed reads before a process that is not ready asks a peer.
  std::uint32_t FailuresBeforePeer = 3;
};

/// Decides which offset of the log is read next and when a state is installed.
///
/// Never applies a record twice and never installs a state that is older than
/// the current one or has a lower configuration version than one that was
/// served to a client (monotonic reads).
class log_follower {
public:
  explicit log_follower(follower_settings Settings);

  /// Handles one event and returns the commands to execute, in order. The span
  /// is valid until the next call.
  std::span<const follower_command> handle(const follower_event &Event,
                                           time_point Now);
  /// Records that a configuration version was served to a client.
  void noteServedVersion(config_version Version);

  /// When follower_timer_expired is due next; empty: no timer is needed.
  std::optional<time_point> nextTimerAt() const { return TimerAt; }
  bool ready() const { return Ready; }
  /// False after a failed read until the log answers again.
  bool logReachable() const { return Failures == 0; }
  log_offset lastApplied() const { return LastApplied; }
  /// Last record of the log, as reported by it.
  log_offset head() const { return Head; }
  /// Oldest retained record of the log, as reported by it.
  log_offset oldest() const { return Oldest; }

private:
  enum class mode : std::uint8_t {
    Applying,
    Scanning, ///< the next record was deleted; searches the log for a snapshot
  };

  void onCompleted(const read_completed &Read, time_point Now);
  void onFailed(const read_failed &Failure, time_point Now);
  void onTruncated(const read_truncated &Read, time_point Now);
  void onOffered(const state_offered &Offer, time_point Now);
  void onUnavailable(const state_unavailable &None, time_point Now);
  void onTimerExpired(const follower_timer_expired &Expired, time_point Now);

  void updateLogBounds(log_offset NewHead, log_offset NewOldest);
  void applyRead(const read_completed &Read);
  void scanRead(const read_completed &Read, time_point Now);
  void onGap(time_point Now);
  void startScan(time_point Now);
  void read(log_offset From, time_point Now);
  void readNext(time_point Now);
  void retryLater(time_point Now);
  void becomeReady();
  void becomeReadyIfCaughtUp();
  void findState();

  follower_settings Settings;
  mode Mode = mode::Applying;
  bool Ready = false;
  bool Reading = false;
  bool FindingState = false;
  std::uint32_t Failures = 0;
  duration RetryDelay{};
  time_point ReadSentAt;
  log_offset LastApplied{};
  log_offset NextScanOffset{};
  log_offset Head{};
  log_offset Oldest{};
  std::optional<log_offset> HeadAtStart;
  config_version ServedVersion{};
  std::optional<time_point> TimerAt;
  std::vector<follower_command> Commands;
};

} // namespace geraniumpaddle
