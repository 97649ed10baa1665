#include "core/ledger/snapshot.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

producer producerOf(std::string_view Node, std::uint64_t Incarnation = 1) {
  return {node_id(Node), incarnation{Incarnation}, 1};
}

/// A snapshot in five chunks whose payload consists of \p Fill.
std::vector<snapshot_chunk> chunks(std::uint64_t Covered, char Fill) {
  return splitSnapshot(log_offset{Covered}, std::string(50, Fill), 10);
}

} // namespace

TEST_GROUP(SnapshotAssembler) {
  snapshot_assembler Assembler;
  std::uint64_t Offset = 1000;

  chunk_result add(const snapshot_chunk &Chunk, std::string_view Node = "e1",
                   std::uint64_t Incarnation = 1) {
    return Assembler.add(producerOf(Node, Incarnation), log_offset{Offset++},
                         Chunk);
  }
  std::uint64_t newest() const {
    return Assembler.newest() == nullptr ? 0 : raw(Assembler.newest()->Covered);
  }
};

TEST(SnapshotAssembler, AssemblesChunksInAnyOrder) {
  auto Chunks = chunks(7, 'a');
  LONGS_EQUAL(5, Chunks.size());
  for (int Index : {3, 0, 4, 1})
    CHECK(add(Chunks[Index]) == chunk_result::Stored);
  CHECK(add(Chunks[2]) == chunk_result::Completed);
  LONGS_EQUAL(7, newest());
  LONGS_EQUAL(1000, raw(Assembler.newest()->FirstChunk));
  CHECK(Assembler.newest()->Payload == std::string(50, 'a'));
}

TEST(SnapshotAssembler, AnEmptyPayloadIsOneChunk) {
  auto Chunks = splitSnapshot(log_offset{7}, "", 10);
  LONGS_EQUAL(1, Chunks.size());
  CHECK(add(Chunks[0]) == chunk_result::Completed);
}

TEST(SnapshotAssembler, ALostChunkKeepsThePreviousSnapshot) {
  for (const snapshot_chunk &Chunk : chunks(7, 'a'))
    add(Chunk);
  auto Incomplete = chunks(9, 'b');
  for (int Index : {0, 1, 3, 4})
    CHECK(add(Incomplete[Index]) == chunk_result::Stored);
  LONGS_EQUAL(7, newest());
}

TEST(SnapshotAssembler, ADamagedChunkFailsTheChecksum) {
  auto Chunks = chunks(7, 'a');
  Chunks[2].Payload[0] = 'x';
  for (int Index : {0, 1, 2, 3})
    add(Chunks[Index]);
  CHECK(add(Chunks[4]) == chunk_result::ChecksumMismatch);
  CHECK(Assembler.newest() == nullptr);
  for (const snapshot_chunk &Chunk : chunks(7, 'a'))
    add(Chunk);
  LONGS_EQUAL(7, newest());
}

TEST(SnapshotAssembler, ChunksOfConcurrentProducersAreNotMixed) {
  auto First = chunks(7, 'a');
  auto Second = chunks(8, 'b');
  for (int Index = 0; Index < 5; ++Index) {
    add(First[Index], "e1");
    add(Second[Index], "e2");
  }
  LONGS_EQUAL(8, newest());
  CHECK(Assembler.newest()->Payload == std::string(50, 'b'));
}

TEST(SnapshotAssembler, ChunksOfOneProducerWithDifferentChecksumsAreNotMixed) {
  auto First = chunks(7, 'a');
  auto Second = chunks(7, 'b');
  for (int Index : {0, 1, 2})
    add(First[Index], "e1", 1);
  for (int Index : {3, 4})
    CHECK(add(Second[Index], "e1", 1) == chunk_result::Stored);
  for (int Index : {0, 1})
    add(Second[Index], "e1", 1);
  CHECK(add(Second[2], "e1", 1) == chunk_result::Completed);
  CHECK(Assembler.newest()->Payload == std::string(50, 'b'));
}

TEST(SnapshotAssembler, RejectsSupersededDuplicateAndInvalidChunks) {
  auto Chunks = chunks(7, 'a');
  add(Chunks[0]);
  CHECK(add(Chunks[0]) == chunk_result::Invalid);
  for (int Index : {1, 2, 3, 4})
    add(Chunks[Index]);
  CHECK(add(chunks(7, 'b')[0]) == chunk_result::Superseded);
  CHECK(add(chunks(6, 'b')[0]) == chunk_result::Superseded);
  CHECK(add({log_offset{9}, 5, 5, 0, ""}) == chunk_result::Invalid);
  CHECK(add({log_offset{9}, 0, 0, 0, ""}) == chunk_result::Invalid);
  CHECK(add({log_offset{9}, 0, 5000, 0, ""}) == chunk_result::Invalid);
  CHECK(add({log_offset{99999}, 0, 1, 0, ""}) == chunk_result::Invalid);
}

TEST(SnapshotAssembler, KeepsOnlyTheLatestPartialSnapshots) {
  auto First = chunks(7, 'a');
  add(First[0], "e0");
  for (int Entry = 1; Entry <= 4; ++Entry)
    add(chunks(7, 'a')[0], "e" + std::to_string(Entry));
  for (int Index : {1, 2, 3, 4})
    add(First[Index], "e0");
  CHECK(Assembler.newest() == nullptr);
}

TEST_GROUP(SnapshotPolicy) {
  snapshot_settings Settings;
  snapshot_policy Policy{Settings};
  time_point Now{};
  snapshot_conditions Conditions{log_offset{10'000}, log_offset{10'000},
                                 log_offset{1},      log_offset{9'500},
                                 log_offset{9'501},  0};

  bool decide(duration After = 1s) {
    Now += After;
    return Policy.shouldPublish(Conditions, Now);
  }
};

TEST(SnapshotPolicy, DecidesByConditions) {
  struct {
    snapshot_conditions Conditions;
    bool Expected;
  } Cases[] = {
      {{{}, {}, log_offset{1}, {}, {}, 0}, false},
      {{log_offset{5}, log_offset{5}, log_offset{1}, {}, {}, 0}, true},
      {Conditions, false},
      // The first chunk of the newest snapshot is no longer retained.
      {{log_offset{10'000}, log_offset{10'000}, log_offset{9'502},
        log_offset{9'500}, log_offset{9'501}, 0},
       true},
      // Just below and at MaxTailPercent of the retained records.
      {{log_offset{12'000}, log_offset{12'000}, log_offset{1},
        log_offset{9'001}, log_offset{9'002}, 0},
       false},
      {{log_offset{12'001}, log_offset{12'000}, log_offset{1},
        log_offset{9'001}, log_offset{9'002}, 0},
       true},
      {{log_offset{900'000}, log_offset{900'000}, log_offset{1},
        log_offset{850'000}, log_offset{850'001}, 0},
       true},
  };
  for (const auto &Case : Cases) {
    snapshot_policy Fresh{Settings};
    CHECK_EQUAL(Case.Expected, Fresh.shouldPublish(Case.Conditions, Now));
  }
}

TEST(SnapshotPolicy, RepublishesByAgeOnAnIdleLog) {
  CHECK(!decide());
  CHECK(!decide(9min));
  CHECK(decide(1min));
}

TEST(SnapshotPolicy, HigherRanksWaitForLowerOnes) {
  Conditions.Covered = {};
  Conditions.Rank = 2;
  CHECK(!decide());
  CHECK(!decide(9s));
  CHECK(decide(1s));
}

TEST(SnapshotPolicy, RepublishesOnlyIfTheSnapshotWasNotReadBack) {
  Conditions.Covered = {};
  CHECK(decide());
  Policy.notePublished(Now);
  CHECK(!decide(29s));
  CHECK(decide(1s));
  Policy.notePublished(Now);
  Conditions.Covered = log_offset{9'999};
  Conditions.FirstChunk = log_offset{10'001};
  CHECK(!decide(60s));
}
