#include "core/topics/topicfollower.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Retry delay after a failed read, per failure in a row.
constexpr duration RetryStep = std::chrono::milliseconds(50);
constexpr int MaxRetrySteps = 6;

} // namespace

std::span<const topic_command> topic_follower::handle(const topic_event &Event,
                                                      time_point Now) {
  Commands.clear();
  using table =
      member_table<&topic_follower::onNewest, &topic_follower::onBatch,
                   &topic_follower::onHistoryTruncated,
                   &topic_follower::onReadFailed, &topic_follower::onReadNeeded,
                   &topic_follower::onTimerExpired>;
  table::dispatch(*this, Event, Now);
  return Commands;
}

void topic_follower::requestNext() {
  ReadPending = true;
  if (Phase == phase::Tail)
    Commands.emplace_back(read_topic{Next});
  else
    Commands.emplace_back(read_newest{PageEnd});
}

void topic_follower::onTimerExpired(const topic_timer_expired &,
                                    const time_point &Now) {
  if (ReadPending)
    return;
  if (Phase == phase::Start) {
    Phase = phase::Newest;
    FirstPage = true;
    PageEnd.clear();
    SeenKeys.clear();
  }
  if (Now < RetryAt)
    Commands.emplace_back(set_topic_timer{RetryAt});
  else
    requestNext();
}

void topic_follower::deliver(const keyed_record &Record) {
  if (Record.Deleted)
    Keys.erase(Record.Key);
  else
    Keys.insert(Record.Key);
  Commands.emplace_back(deliver_record{Record});
}

void topic_follower::onNewest(const newest_page &Event, const time_point &Now) {
  ReadPending = false;
  if (Phase != phase::Newest)
    return;
  Failures = 0;
  LastAnswer = Now;
  // Records appended while the pages are read are read again from the log, and
  // a page may show an earlier state than the one before.
  Next = FirstPage ? Event.End : std::min(Next, Event.End);
  FirstPage = false;
  for (const keyed_record &Record : Event.Records) {
    SeenKeys.insert(Record.Key);
    deliver(Record);
    PageEnd = Record.Key;
  }
  if (!Event.HasMore || Event.Records.empty()) {
    deleteMissing();
    Phase = phase::Tail;
    Loaded = true;
    Commands.emplace_back(topic_loaded{});
  }
  requestNext();
}

void topic_follower::deleteMissing() {
  std::vector<std::string> Missing;
  std::set_difference(Keys.begin(), Keys.end(), SeenKeys.begin(),
                      SeenKeys.end(), std::back_inserter(Missing));
  for (const std::string &Key : Missing)
    deliver({.Key = Key, .Deleted = true, .Offset = Next});
}

void topic_follower::onBatch(const topic_batch &Event, const time_point &Now) {
  ReadPending = false;
  if (Phase != phase::Tail)
    return;
  Failures = 0;
  LastAnswer = Now;
  for (const keyed_record &Record : Event.Records) {
    if (Record.Offset < Next)
      continue;
    deliver(Record);
    Next = Record.Offset + 1;
  }
  Next = std::max(Next, Event.Next);
  if (Event.Records.empty() || ReadPause == duration{}) {
    requestNext();
    return;
  }
  RetryAt = Now + ReadPause;
  Commands.emplace_back(set_topic_timer{RetryAt});
}

void topic_follower::onReadNeeded(const topic_read_needed &,
                                  const time_point &) {
  if (Phase == phase::Tail && !ReadPending && Failures == 0)
    requestNext();
}

void topic_follower::onHistoryTruncated(const history_truncated &,
                                        const time_point &Now) {
  ReadPending = false;
  Phase = phase::Start;
  onTimerExpired({}, Now);
}

void topic_follower::onReadFailed(const topic_read_failed &,
                                  const time_point &Now) {
  ReadPending = false;
  Failures = std::min(Failures + 1, MaxRetrySteps);
  RetryAt = Now + RetryStep * Failures;
  Commands.emplace_back(set_topic_timer{RetryAt});
}

} // namespace geraniumpaddle
