#include "core/topics/storeroute.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

TEST_GROUP(StoreRoute) {
  store_route Route;
  time_point Now{std::chrono::hours(1)};

  bool relays() const { return Route.choose() == store_route::way::Relay; }
};

TEST(StoreRoute, CallsTheStoreDirectlyAtFirst) { CHECK(!relays()); }

TEST(StoreRoute, RelaysOnceADirectCallIsRejected) {
  Route.directEnded(route_outcome::TurnedAway, Now);
  CHECK(relays());
}

TEST(StoreRoute, RelaysAfterTwoUnansweredCallsInARow) {
  Route.directEnded(route_outcome::Silent, Now);
  CHECK(!relays());
  Route.directEnded(route_outcome::Answered, Now);
  Route.directEnded(route_outcome::Silent, Now);
  CHECK(!relays());
  Route.directEnded(route_outcome::Silent, Now);
  CHECK(relays());
}

TEST(StoreRoute, ProbesTheDirectPathAndReturnsToIt) {
  Route.directEnded(route_outcome::TurnedAway, Now);
  CHECK(!Route.probeDue(Now));
  Now += std::chrono::seconds(1);
  CHECK(Route.probeDue(Now));
  Route.probeSent(Now);
  CHECK(!Route.probeDue(Now));
  Route.directEnded(route_outcome::Answered, Now);
  CHECK(!relays());
  CHECK(!Route.probeDue(Now + std::chrono::hours(1)));
}

TEST(StoreRoute, SelectsTheNextRelayAfterAFailure) {
  const std::size_t First = Route.relay(3);
  Route.relayEnded(route_outcome::Answered);
  LONGS_EQUAL(First, Route.relay(3));
  Route.relayEnded(route_outcome::Silent);
  LONGS_EQUAL((First + 1) % 3, Route.relay(3));
}
