#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/ledger/types/record.h"
#include "core/ledger/types/verdict.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// Identifies a proposal between the appender and its caller.
enum class proposal_id : std::uint64_t {};

/// Requests that a record is appended and its verdict reported.
struct proposal_made {
  proposal_id Id{};
  actor_id Actor;
  wall_time At{};
  record_body Body;
  duration Timeout{}; ///< until the proposal is answered without a verdict
};

/// Result of an append request.
enum class append_status : std::uint8_t {
  Appended,
  NotAppended, ///< not sent, or rejected by the log service
  Unknown,     ///< no response; the records may have been appended
};

/// The append in flight has finished.
struct append_finished {
  append_status Status = append_status::Unknown;
};

/// A record of this producer was read back from the log and applied.
struct record_applied {
  producer Producer;
  log_offset Offset{};
  verdict Verdict;
};

/// The time of nextTimerAt() has been reached.
struct appender_timer_expired {};

/// The process is shutting down: new proposals are refused, pending ones are
/// still completed.
struct appender_closed {};

using appender_event =
    std::variant<proposal_made, append_finished, record_applied,
                 appender_timer_expired, appender_closed>;

/// Command: append Records in order as one batch; append_finished follows.
struct append_records {
  std::vector<record> Records;
};

enum class proposal_outcome : std::uint8_t {
  Decided,      ///< the record was read back and applied
  NotRun,       ///< the record is not in the log and will not be
  Undetermined, ///< the record may be in the log; retry with the same id
};

enum class not_run_cause : std::uint8_t {
  None,
  QueueFull,
  LogUnavailable,
  ShuttingDown,
};

/// Command: report the outcome of a proposal; exactly one for each.
struct proposal_answered {
  proposal_id Id{};
  proposal_outcome Outcome = proposal_outcome::Undetermined;
  not_run_cause Cause = not_run_cause::None; ///< only if NotRun
  log_offset Offset{};                       ///< only if Decided
  verdict Verdict;                           ///< only if Decided
};

using appender_command = std::variant<append_records, proposal_answered>;

struct appender_settings {
  std::size_t MaxQueued = 1024;   ///< proposals not yet appended
  std::size_t MaxBatch = 64;      ///< records in one append
  std::size_t MaxUndecided = 128; ///< sent to the log, not yet read back
  duration MinAppendInterval = std::chrono::milliseconds(10);
  duration FirstRetryDelay = std::chrono::milliseconds(100);
  duration MaxRetryDelay = std::chrono::seconds(2);
  /// An appended record that is not read back within this time is appended
  /// again.
  duration ReadBackTimeout = std::chrono::seconds(5);
};

/// Idempotent producer: decides when proposed records are appended and which
/// outcome the proposers get.
///
/// At most one append is in flight. A record keeps its sequence number in every
/// retry, so that duplicates are rejected when they are applied. The outcome is
/// NotRun only if no append that may have succeeded contained the record.
class record_appender {
public:
  /// \param Node, \p Incarnation identify this producer in every record.
  record_appender(node_id Node, incarnation Incarnation,
                  appender_settings Settings);

  /// Handles one event and returns the commands to execute, in order. The span
  /// is valid until the next call.
  std::span<const appender_command> handle(const appender_event &Event,
                                           time_point Now);

  /// When appender_timer_expired is due next; empty: no timer is needed.
  std::optional<time_point> nextTimerAt() const;
  /// Records that may be in the log but were not read back yet.
  std::vector<producer> undecided() const;
  /// True if all proposals were answered and no append is in flight.
  bool idle() const;
  std::size_t queued() const { return Queue.size(); }

private:
  struct proposal {
    proposal_id Id{};
    record Record;
    time_point Deadline;
    time_point AppendedAt;
    bool InFlight = false;
    bool MayBeInLog = false;
    bool Confirmed = false; ///< the latest append of the record succeeded
  };

  void onProposal(const proposal_made &Request, time_point Now);
  void onAppendFinished(const append_finished &Result, time_point Now);
  void onRecordApplied(const record_applied &Applied, time_point Now);
  void onTimerExpired(const appender_timer_expired &Expired, time_point Now);
  void onClosed(const appender_closed &Closed, time_point Now);

  void answer(const proposal &Proposal, proposal_outcome Outcome,
              not_run_cause Cause);
  void expireProposals(time_point Now);
  void requeueNotAppended();
  void appendNext(time_point Now);
  void addRetries(std::vector<record> &Batch, time_point Now);
  void addQueued(std::vector<record> &Batch, time_point Now);
  bool needsAppend(const proposal &Proposal, time_point Now) const;

  node_id Node;
  incarnation Incarnation;
  appender_settings Settings;
  std::uint64_t NextSequence = 1;
  bool Closed = false;
  bool AppendInFlight = false;
  duration RetryDelay{};
  time_point NextAppendAt;
  std::deque<proposal> Queue;     ///< not in the log
  std::deque<proposal> Undecided; ///< in flight, or may be in the log
  std::vector<appender_command> Commands;
};

} // namespace geraniumpaddle
