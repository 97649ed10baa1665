#pragma once

#include "core/topics/types/topicevents.h"

#include <set>
#include <string>

namespace geraniumpaddle {

/// Follows one topic: first loads the newest record of each key, then tails the
/// log from the offset at which loading began. If records there are no longer
/// retained, it loads again and delivers keys that have disappeared as deleted.
class topic_follower {
public:
  /// \param ReadPause pause after a read that brought records, so that several
  ///        are read at once.
  explicit topic_follower(duration ReadPause = {}) : ReadPause(ReadPause) {}

  /// \returns commands that are valid until the next call.
  std::span<const topic_command> handle(const topic_event &Event,
                                        time_point Now);

  /// Offset after the last record that was delivered.
  std::uint64_t next() const { return Next; }
  /// True once the topic was loaded, also while it is loaded again.
  bool loaded() const { return Loaded; }
  /// True if all records before offset \p End were delivered.
  bool reached(std::uint64_t End) const {
    return Phase == phase::Tail && Next >= End;
  }
  /// Time of the last successful read.
  time_point lastAnswer() const { return LastAnswer; }

private:
  enum class phase : std::uint8_t { Start, Newest, Tail };

  void onNewest(const newest_page &Event, const time_point &Now);
  void onBatch(const topic_batch &Event, const time_point &Now);
  void onHistoryTruncated(const history_truncated &Event,
                          const time_point &Now);
  void onReadFailed(const topic_read_failed &Event, const time_point &Now);
  void onReadNeeded(const topic_read_needed &Event, const time_point &Now);
  void onTimerExpired(const topic_timer_expired &Event, const time_point &Now);
  void deliver(const keyed_record &Record);
  void deleteMissing();
  void requestNext();

  const duration ReadPause;
  phase Phase = phase::Start;
  std::uint64_t Next = 0;
  std::string PageEnd;
  bool FirstPage = true;
  bool Loaded = false;
  bool ReadPending = false;
  int Failures = 0;
  time_point RetryAt{};
  time_point LastAnswer{};
  std::set<std::string> Keys;     ///< delivered and not deleted
  std::set<std::string> SeenKeys; ///< while loading the newest records
  std::vector<topic_command> Commands;
};

} // namespace geraniumpaddle
