#include "core/membership/entryrank.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

const region_id Home("home");
const region_id Remote("remote");

entry_rank rankOf(const char *Self, std::span<const live_entry> Live) {
  entry_rank Rank(node_id(Self), Home, 500ms);
  Rank.setLive(Live);
  return Rank;
}

} // namespace

TEST_GROUP(EntryRank){};

TEST(EntryRank, RanksEntriesInTheRegionOfTheLogFirst) {
  const std::vector<live_entry> Live = {{node_id("a"), Remote, false},
                                        {node_id("c"), Home, false},
                                        {node_id("b"), Home, false}};
  CHECK(rankOf("b", Live).proposesFirst());
  CHECK(rankOf("c", Live).proposalDelay() == duration(500ms));
  LONGS_EQUAL(2, rankOf("a", Live).rank());
  CHECK(rankOf("a", Live).ownsLink(Remote));
  CHECK(rankOf("c", Live).linkOwner(Home) == node_id("b"));
}

TEST(EntryRank, DoesNotDependOnTheOrderOfTheEntries) {
  std::vector<live_entry> Live = {{node_id("a"), Remote, false},
                                  {node_id("b"), Home, false}};
  const std::size_t Before = rankOf("a", Live).rank();
  std::swap(Live[0], Live[1]);
  LONGS_EQUAL(Before, rankOf("a", Live).rank());
}

TEST(EntryRank, RanksDrainingEntriesLast) {
  const std::vector<live_entry> Live = {{node_id("a"), Home, true},
                                        {node_id("b"), Home, false}};
  CHECK(rankOf("b", Live).proposesFirst());
  CHECK(rankOf("b", Live).ownsLink(Home));
}

TEST(EntryRank, RanksAnUnknownEntryLast) {
  const std::vector<live_entry> Live = {{node_id("a"), Home, false}};
  const entry_rank Rank = rankOf("z", Live);
  LONGS_EQUAL(1, Rank.rank());
  CHECK_FALSE(Rank.ownsLink(Home));
  CHECK(Rank.linkOwner(Remote) == std::nullopt);
}
