#include "core/routing/endpointpool.h"
#include "core/routing/fairqueue.h"

#include <map>
#include <string>

// After the standard headers, which do not compile with its macro for new.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

const service_id Service("s");
constexpr incarnation Incarnation{1};

struct endpoint_pool_fixture {
  endpoint_pool Pool{
      {},
      {node_id("e"), Incarnation, region_id("r"), availability_zone_id("z")},
      1};
  time_point Now{100s};

  void announce(const char *Agent, const char *Region, const char *Zone) {
    Pool.announce({node_id(Agent), Incarnation, "address", Service,
                   region_id(Region), availability_zone_id(Zone), 2});
  }
  /// Chooses an endpoint and counts a request there; empty if none has
  /// capacity.
  std::string send(std::uint32_t Bytes = 0) {
    const auto Index = Pool.choose(Service, {{}, Bytes, false}, Now);
    if (!Index)
      return "";
    Pool.start(*Index);
    return Pool.at(*Index).Agent.str();
  }
  bool fail(const char *Agent, int Times) {
    bool Ejected = false;
    for (std::uint32_t I = 0; I < Pool.size(); ++I) {
      const endpoint_index Index{I};
      for (int N = 0; Pool.at(Index).Agent.view() == Agent && N < Times; ++N)
        Ejected |=
            Pool.recordResult(Index, node_id(Agent), Incarnation, true, Now);
    }
    return Ejected;
  }
};

} // namespace

TEST_GROUP(EndpointPool) { endpoint_pool_fixture Fixture; };

TEST(EndpointPool, PrefersTheZoneThenTheRegionThenRemoteRegions) {
  Fixture.announce("far", "other", "y");
  Fixture.announce("near", "r", "z");
  Fixture.announce("middle", "r", "x");
  std::vector<std::string> Order(6);
  for (std::string &Agent : Order)
    Agent = Fixture.send();
  const std::vector<std::string> Expected = {"near",   "near", "middle",
                                             "middle", "far",  "far"};
  CHECK(Order == Expected);
}

TEST(EndpointPool, KeepsLargeRequestsInTheRegionWhileItHasEndpoints) {
  constexpr std::uint32_t Large = 1 << 20;
  Fixture.announce("far", "other", "y");
  Fixture.announce("near", "r", "z");
  for (int I = 0; I < 3; ++I)
    STRCMP_EQUAL("near", Fixture.send(Large).c_str());
  STRCMP_EQUAL("", Fixture.send(Large).c_str());
  Fixture.Pool.removeAgent(node_id("near"), Incarnation);
  STRCMP_EQUAL("far", Fixture.send(Large).c_str());
}

TEST(EndpointPool, SpreadsByLoad) {
  for (const char *Agent : {"a", "b", "c", "d"})
    Fixture.announce(Agent, "r", "z");
  std::map<std::string, int> Sent;
  for (int I = 0; I < 8; ++I)
    ++Sent[Fixture.send()];
  for (const char *Agent : {"a", "b", "c", "d"})
    LONGS_EQUAL(2, Sent[Agent]);
}

TEST(EndpointPool, SendsNothingNewToADrainingOrSuspectedAgent) {
  Fixture.announce("a", "r", "z");
  Fixture.announce("b", "r", "z");
  Fixture.Pool.markDraining(node_id("a"), Incarnation);
  Fixture.Pool.markSuspected(node_id("b"), Incarnation);
  STRCMP_EQUAL("", Fixture.send().c_str());
  Fixture.Pool.reportLoad({node_id("b"), Incarnation, {}, false, true},
                          Fixture.Now);
  STRCMP_EQUAL("b", Fixture.send().c_str());
  Fixture.Pool.reportLoad({node_id("a"), Incarnation, {}, false, true},
                          Fixture.Now);
  STRCMP_EQUAL("b", Fixture.send().c_str());
}

TEST(EndpointPool, EjectsFailingEndpointsUpToMaxEjectedShare) {
  Fixture.announce("a", "r", "z");
  Fixture.announce("b", "r", "z");
  CHECK_FALSE(Fixture.fail("a", 4));
  CHECK(Fixture.fail("a", 1));
  CHECK_FALSE(Fixture.fail("b", 20));
  STRCMP_EQUAL("b", Fixture.send().c_str());
  Fixture.Now += 5s;
  CHECK(Fixture.fail("a", 1));
}

TEST(EndpointPool, ReportedLoadDecays) {
  Fixture.announce("a", "r", "z");
  Fixture.Pool.reportLoad({node_id("a"), Incarnation, {2, 9}, false, true},
                          Fixture.Now);
  STRCMP_EQUAL("", Fixture.send().c_str());
  Fixture.Now += 1s;
  STRCMP_EQUAL("a", Fixture.send().c_str());
}

TEST(EndpointPool, IgnoresAnEarlierIncarnation) {
  Fixture.announce("a", "r", "z");
  Fixture.Pool.removeAgent(node_id("a"), incarnation{0});
  CHECK(Fixture.Pool.serves(Service));
  Fixture.Pool.removeAgent(node_id("a"), Incarnation);
  CHECK_FALSE(Fixture.Pool.serves(Service));
}

TEST_GROUP(FairQueue){};

TEST(FairQueue, ServesCustomersInTurn) {
  fair_queue<int> Queue(8);
  for (const int Value : {1, 2, 3})
    Queue.push(customer_id("many"), Value);
  Queue.push(customer_id("few"), 10);
  LONGS_EQUAL(1, *Queue.pop());
  LONGS_EQUAL(10, *Queue.pop());
  LONGS_EQUAL(2, *Queue.pop());
  CHECK(Queue.remove(customer_id("many"), 3));
  CHECK(Queue.pop() == std::nullopt);
}

TEST(FairQueue, DropsTheNewestItemOfTheCustomerWithTheMost) {
  fair_queue<int> Queue(3);
  for (const int Value : {1, 2, 3})
    Queue.push(customer_id("many"), Value);
  LONGS_EQUAL(3, *Queue.push(customer_id("few"), 10));
  LONGS_EQUAL(4, *Queue.push(customer_id("many"), 4));
}
