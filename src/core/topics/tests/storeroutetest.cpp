#include "core/topics/storeroute.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

TEST_GROUP(StoreRoute) {
  store_route Route;
  time_point Now{std::chrono::hours(1)};

  bool relays() const { return Route.choose() == store_route::path::Relay; }
};

TEST(StoreRoute, CallsTheStoreDirectlyAtFirst) { CHECK(!relays()); }

TEST(StoreRoute, RelaysOnceADirectCallIsRejected) {
  Route.onDirectResult(route_outcome::Rejected, Now);
  CHECK(relays());
}

TEST(StoreRoute, RelaysAfterTwoUnansweredCallsInARow) {
  Route.onDirectResult(route_outcome::NoAnswer, Now);
  CHECK(!relays());
  Route.onDirectResult(route_outcome::Answered, Now);
  Route.onDirectResult(route_outcome::NoAnswer, Now);
  CHECK(!relays());
  Route.onDirectResult(route_outcome::NoAnswer, Now);
  CHECK(relays());
}

TEST(StoreRoute, ProbesTheDirectPathAndReturnsToIt) {
  Route.onDirectResult(route_outcome::Rejected, Now);
  CHECK(!Route.probeDue(Now));
  Now += std::chrono::seconds(1);
  CHECK(Route.probeDue(Now));
  Route.probeSent(Now);
  CHECK(!Route.probeDue(Now));
  Route.onDirectResult(route_outcome::Answered, Now);
  CHECK(!relays());
  CHECK(!Route.probeDue(Now + std::chrono::hours(1)));
}

TEST(StoreRoute, SelectsTheNextRelayAfterAFailure) {
  const std::size_t First = Route.relay(3);
  Route.onRelayResult(route_outcome::Answered);
  LONGS_EQUAL(First, Route.relay(3));
  Route.onRelayResult(route_outcome::NoAnswer);
  LONGS_EQUAL((First + 1) % 3, Route.relay(3));
}
