#include "core/topics/topicfollower.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;

TEST_GROUP(TopicFollower) {
  std::optional<topic_follower> Follower{std::in_place};
  time_point Now{std::chrono::hours(1)};
  std::vector<keyed_record> Delivered;
  std::optional<std::uint64_t> ReadFrom;
  std::optional<std::string> NewestAfter;
  bool Loaded = false;

  void feed(const topic_event &Event) {
    ReadFrom.reset();
    NewestAfter.reset();
    for (const topic_command &Each : Follower->handle(Event, Now)) {
      if (const auto *Record = std::get_if<deliver_record>(&Each))
        Delivered.push_back(Record->Record);
      if (const auto *Read = std::get_if<read_topic>(&Each))
        ReadFrom = Read->From;
      if (const auto *Newest = std::get_if<read_newest>(&Each))
        NewestAfter = Newest->After;
      Loaded |= std::holds_alternative<topic_loaded>(Each);
    }
  }

  static keyed_record record(const char *Key, std::uint64_t Offset) {
    return {.Key = Key, .Value = "v", .Offset = Offset};
  }
};

TEST(TopicFollower,
     LoadsTheNewestRecordsThenTailsTheLogFromTheEndOfTheFirstPage) {
  feed(topic_timer_expired{});
  STRCMP_EQUAL("", NewestAfter->c_str());
  feed(newest_page{.Records = {record("a", 3)}, .HasMore = true, .End = 5});
  STRCMP_EQUAL("a", NewestAfter->c_str());
  CHECK(!Loaded);
  // A later page may hold a record past the end that the first page gave.
  feed(newest_page{.Records = {record("b", 6)}, .HasMore = false, .End = 7});
  CHECK(Loaded);
  LONGS_EQUAL(5, *ReadFrom);
  feed(topic_batch{
      .From = 5, .End = 7, .Records = {record("c", 5), record("b", 6)}});
  LONGS_EQUAL(4, Delivered.size());
  LONGS_EQUAL(7, *ReadFrom);
}

// Otherwise a record that an old page lacks is never read, and its job counts
// as unknown.
TEST(TopicFollower, APageOfAnEarlierStateIsReadAgainFromTheLog) {
  feed(topic_timer_expired{});
  feed(newest_page{.Records = {record("a", 90)}, .HasMore = true, .End = 100});
  feed(newest_page{.Records = {record("b", 3)}, .HasMore = false, .End = 60});
  LONGS_EQUAL(60, *ReadFrom);
  CHECK(!Follower->reached(100));
}

// A new scheduler that starts before the last page is there takes tasks that
// are done for waiting ones.
TEST(TopicFollower, AnOffsetIsReachedOnlyAfterTheLastPageOfAReload) {
  feed(topic_timer_expired{});
  feed(newest_page{.Records = {record("a", 3)}, .End = 5});
  CHECK(Follower->reached(5));
  feed(history_truncated{});
  CHECK(!Follower->reached(5));
  feed(newest_page{.Records = {record("a", 3)}, .HasMore = true, .End = 9});
  CHECK(!Follower->reached(9));
  CHECK(Follower->loaded());
  feed(newest_page{.Records = {record("b", 8)}, .End = 9});
  CHECK(Follower->reached(9));
}

// Each of many entries would otherwise call the store for every record.
TEST(TopicFollower, PausesAfterARecordUnlessSomebodyWaits) {
  Follower.emplace(std::chrono::milliseconds(200));
  feed(topic_timer_expired{});
  feed(newest_page{.End = 5});
  feed(topic_batch{.From = 5, .End = 6, .Records = {record("a", 5)}});
  CHECK(!ReadFrom);
  Now += std::chrono::milliseconds(100);
  feed(topic_timer_expired{});
  CHECK(!ReadFrom);
  Now += std::chrono::milliseconds(100);
  feed(topic_timer_expired{});
  LONGS_EQUAL(6, *ReadFrom);
  feed(topic_batch{.From = 6, .End = 7, .Records = {record("b", 6)}});
  feed(topic_read_needed{});
  LONGS_EQUAL(7, *ReadFrom);
  feed(topic_read_needed{});
  CHECK(!ReadFrom);
}

TEST(TopicFollower, ReadsOnPastUnreadableRecords) {
  feed(topic_timer_expired{});
  feed(newest_page{.End = 5});
  feed(topic_batch{.From = 5, .End = 7, .Next = 7});
  LONGS_EQUAL(7, *ReadFrom);
}

TEST(TopicFollower, TruncatedHistoryReloadsTheTopicAndDeletesMissingKeys) {
  feed(topic_timer_expired{});
  feed(newest_page{.Records = {record("a", 0), record("b", 1)}, .End = 2});
  feed(history_truncated{});
  CHECK(NewestAfter.has_value());
  feed(newest_page{.Records = {record("b", 9)}, .End = 10});
  LONGS_EQUAL(4, Delivered.size());
  STRCMP_EQUAL("a", Delivered.back().Key.c_str());
  CHECK(Delivered.back().Deleted);
  LONGS_EQUAL(10, *ReadFrom);
}

TEST(TopicFollower, RetriesAfterAFailure) {
  feed(topic_timer_expired{});
  feed(topic_read_failed{});
  CHECK(!NewestAfter);
  Now += std::chrono::milliseconds(10);
  feed(topic_timer_expired{});
  CHECK(!NewestAfter);
  Now += std::chrono::milliseconds(50);
  feed(topic_timer_expired{});
  CHECK(NewestAfter.has_value());
}

TEST(TopicFollower, DeliversARecordOfTheLogOnlyOnce) {
  feed(topic_timer_expired{});
  feed(newest_page{.End = 0});
  feed(topic_batch{
      .From = 0, .End = 2, .Records = {record("a", 0), record("a", 1)}});
  feed(topic_batch{
      .From = 0, .End = 2, .Records = {record("a", 0), record("a", 1)}});
  LONGS_EQUAL(2, Delivered.size());
}

TEST(TopicFollower, IgnoresABatchThatArrivesWhileTheNewestRecordsAreLoaded) {
  feed(topic_timer_expired{});
  feed(newest_page{.End = 4});
  feed(history_truncated{});
  feed(topic_batch{.From = 4, .End = 5, .Records = {record("a", 4)}});
  LONGS_EQUAL(0, Delivered.size());
}
