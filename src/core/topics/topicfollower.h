#pragma once

#include "core/topics/types/topicevents.h"

#include <set>
#include <string>

namespace geraniumpaddle {

/// Follows one topic: first the newest record of each key, then the log from
/// where that reading began. A gap in the log starts it anew; keys that are
/// not there any more are then delivered as dropped.
class topic_follower {
public:
  /// \returns commands that are valid until the next call.
  std::span<const topic_command> handle(const topic_event &Event,
                                        time_point Now);

  /// Offset after the last record that was delivered.
  std::uint64_t next() const { return Next; }
  bool loaded() const { return Loaded; }
  /// When a read last succeeded.
  time_point lastAnswer() const { return LastAnswer; }

private:
  enum class phase : std::uint8_t { Start, Newest, Tail };

  void onNewest(const newest_page &Event, const time_point &Now);
  void onBatch(const topic_batch &Event, const time_point &Now);
  void onGone(const history_truncated &Event, const time_point &Now);
  void onFailed(const topic_read_failed &Event, const time_point &Now);
  void onTimePassed(const topic_timer_expired &Event, const time_point &Now);
  void deliver(const keyed_record &Record);
  void dropMissing();
  void readOn();

  phase Phase = phase::Start;
  std::uint64_t Next = 0;
  std::string PageEnd;
  bool FirstPage = true;
  bool Loaded = false;
  bool Reading = false;
  int Failures = 0;
  time_point RetryAt{};
  time_point LastAnswer{};
  std::set<std::string> Keys;     ///< that have a value
  std::set<std::string> SeenKeys; ///< in the reading of the newest records
  std::vector<topic_command> Commands;
};

} // namespace geraniumpaddle
