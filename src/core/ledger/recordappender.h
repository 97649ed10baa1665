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

/// Names one proposal between the appender and its caller.
enum class proposal_id : std::uint64_t {};

/// Somebody wants a record appended and its verdict.
struct proposal_made {
  proposal_id Id{};
  actor_id Actor;
  wall_time At{};
  record_body Body;
  duration Timeout{}; ///< how long the proposer waits for the verdict
};

/// How the log answered an append.
enum class append_status : std::uint8_t {
  Appended,
  NotAppended, ///< never sent, or the service says that it did not act
  Unknown,     ///< the answer was lost
};

/// The append that is in flight came to its end.
struct append_finished {
  append_status Status = append_status::Unknown;
};

/// A record of this producer was read back and judged.
struct record_folded {
  producer Producer;
  log_offset Offset{};
  verdict Verdict;
};

/// The wake-up time has come.
struct appender_woken {};

/// The process shuts down: new proposals are refused, undecided ones go on.
struct appender_closed {};

using appender_event =
    std::variant<proposal_made, append_finished, record_folded, appender_woken,
                 appender_closed>;

/// Appends \p Records in order as one batch; append_finished follows.
struct append_records {
  std::vector<record> Records;
};

enum class proposal_outcome : std::uint8_t {
  Decided,      ///< the record was read back; Verdict says how it was judged
  NotRun,       ///< certainly not in the log, now or later
  Undetermined, ///< may be in the log; ask again with the same id
};

enum class not_run_cause : std::uint8_t {
  None,
  QueueFull,
  LogUnavailable,
  ShuttingDown,
};

/// Answers one proposal; sent exactly once for each.
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
  std::size_t MaxUndecided = 128; ///< appended, not yet read back
  duration MinAppendInterval = std::chrono::milliseconds(10);
  duration FirstRetryDelay = std::chrono::milliseconds(100);
  duration MaxRetryDelay = std::chrono::seconds(2);
  /// Appended but not read back for this long: append again.
  duration ReadBackTimeout = std::chrono::seconds(5);
};

/// Decides when to append proposed records and what to answer the proposers.
///
/// At most one append is in flight. A record keeps its sequence through every
/// repetition, so that the fold drops repeats. A proposer is told NotRun only
/// if no append that may have happened contained its record.
class record_appender {
public:
  /// \param Node, \p Run identify the producer of every record.
  record_appender(node_id Node, incarnation Run, appender_settings Settings);

  /// Takes one event and returns what has to be done, in order. The span is
  /// valid until the next call.
  std::span<const appender_command> handle(const appender_event &Event,
                                           time_point Now);

  /// When appender_woken is next wanted; empty: not at all.
  std::optional<time_point> wakeUpAt() const;
  /// Records that may be in the log and were not read back yet.
  std::vector<producer> undecided() const;
  /// True if every proposal was answered and no append is in flight.
  bool idle() const;
  std::size_t queued() const { return Queue.size(); }

private:
  struct item {
    proposal_id Id{};
    record Record;
    time_point Deadline;
    time_point AppendedAt;
    bool InFlight = false;
    bool MayBeInLog = false;
    bool Confirmed = false; ///< the log said that it appended the record
  };

  void onProposal(const proposal_made &Proposal, time_point Now);
  void onAppendFinished(const append_finished &Finished, time_point Now);
  void onRecordFolded(const record_folded &Folded, time_point Now);
  void onWoken(const appender_woken &Woken, time_point Now);
  void onClosed(const appender_closed &Closed, time_point Now);

  void answer(const item &Item, proposal_outcome Outcome, not_run_cause Cause);
  void expire(time_point Now);
  void returnToQueue();
  void appendNext(time_point Now);
  void addRetries(std::vector<record> &Batch, time_point Now);
  void addQueued(std::vector<record> &Batch, time_point Now);
  bool due(const item &Item, time_point Now) const;

  node_id Node;
  incarnation Run;
  appender_settings Settings;
  std::uint64_t NextSequence = 1;
  bool Closed = false;
  bool AppendInFlight = false;
  duration RetryDelay{};
  time_point NextAppendAt;
  std::deque<item> Queue;   ///< certainly not in the log
  std::deque<item> Pending; ///< in flight, or may be in the log
  std::vector<appender_command> Commands;
};

} // namespace geraniumpaddle
