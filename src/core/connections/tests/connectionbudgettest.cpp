#include "core/connections/connectionbudget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

TEST_GROUP(ConnectionBudget) {
  time_point Now{1h};
  connection_budget Budget{{.MaxConnections = 10, .MaxHeldBytes = 1000}};

  connection_id open() {
    Now += 10ms;
    return Budget.open(Now);
  }
  connection_id openWith(std::size_t Bytes) {
    const connection_id Id = open();
    Budget.setBuffered(Id, Bytes);
    return Id;
  }
  std::vector<connection_id> openAll() {
    std::vector<connection_id> Ids(10);
    std::generate(Ids.begin(), Ids.end(), [this] { return open(); });
    return Ids;
  }
  void answer(connection_id Id) {
    Budget.setAwaitingResponse(Id, true, Now);
    Budget.setAwaitingResponse(Id, false, Now);
  }
  bool takes(std::initializer_list<connection_id> Ids) {
    const auto Excess = Budget.takeExcess();
    return std::set(Excess.begin(), Excess.end()) == std::set(Ids);
  }
};

TEST(ConnectionBudget, NothingIsClosedWithinTheLimits) {
  for (int I = 0; I < 10; ++I)
    openWith(100);
  CHECK(takes({}));
  CHECK(Budget.beginHandling(0));
}

// A crowd of large bodies beside ordinary callers.
TEST(ConnectionBudget, TheConnectionsThatHoldMostAreClosed) {
  openWith(20);
  const connection_id Large = openWith(500);
  openWith(30);
  const connection_id Larger = openWith(800);
  CHECK(takes({Larger}));
  Budget.setBuffered(Large, 990);
  CHECK(takes({Large}));
  LONGS_EQUAL(50, Budget.counts().BufferedBytes);
  LONGS_EQUAL(2, Budget.counts().ClosedForBytes);
}

TEST(ConnectionBudget, BytesAreReleasedWithTheirConnection) {
  const connection_id Id = openWith(900);
  Budget.close(Id);
  Budget.setBuffered(Id, 500); // a late event
  openWith(900);
  CHECK(takes({}));
  LONGS_EQUAL(900, Budget.counts().BufferedBytes);
}

// Many whole bodies while the store is slow.
TEST(ConnectionBudget, RequestsAreRefusedWhileThoseInHandHoldTooMuch) {
  CHECK(Budget.beginHandling(300));
  CHECK(!Budget.beginHandling(300));
  CHECK(Budget.beginHandling(200));
  Budget.endHandling(300);
  CHECK(Budget.beginHandling(300));
  LONGS_EQUAL(1, Budget.counts().RefusedRequests);
}

TEST(ConnectionBudget, ASingleRequestIsHandledWhateverItsSize) {
  CHECK(Budget.beginHandling(900));
  Budget.endHandling(900);
  CHECK(Budget.beginHandling(900));
}

// Slow senders and silent callers on all places.
TEST(ConnectionBudget, ANewConnectionReplacesTheOldestThatNeverCompleted) {
  const connection_id Ordinary = open();
  answer(Ordinary);
  const connection_id Silent = open();
  for (int I = 0; I < 8; ++I)
    open();
  CHECK(Budget.acceptsConnections());
  open();
  CHECK(takes({Silent}));
  LONGS_EQUAL(10, Budget.counts().Open);
}

TEST(ConnectionBudget, AmongAnsweredOnesTheOneQuietLongestIsReplaced) {
  const std::vector<connection_id> Ids = openAll();
  for (const std::size_t I : {3, 0, 1, 2, 4, 5, 6, 7, 8, 9}) {
    Now += 1s;
    answer(Ids[I]);
  }
  open();
  CHECK(takes({Ids[3]}));
}

TEST(ConnectionBudget, AConnectionThatAwaitsItsResponseIsNotReplaced) {
  const std::vector<connection_id> Ids = openAll();
  for (const connection_id Id : Ids)
    Budget.setAwaitingResponse(Id, true, Now);
  CHECK(!Budget.acceptsConnections());
  open();
  CHECK(takes({}));
  Budget.setAwaitingResponse(Ids[4], false, Now);
  CHECK(takes({Ids[4]}));
}
