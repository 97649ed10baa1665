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
constexpr incarnation Run{1};

struct driven_pool {
  endpoint_pool Pool{
      {}, {node_id("e"), Run, region_id("r"), availability_zone_id("z")}, 1};
  time_point Now{100s};

  void announce(const char *Agent, const char *Region, const char *Zone) {
    Pool.announce({node_id(Agent), Run, "address", Service, region_id(Region),
                   availability_zone_id(Zone), 2});
  }
  /// Chooses and starts; empty if there is no room.
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
        Ejected |= Pool.recordResult(Index, node_id(Agent), Run, true, Now);
    }
    return Ejected;
  }
};

} // namespace

TEST_GROUP(EndpointPool) { driven_pool Driven; };

TEST(EndpointPool, PrefersTheZoneThenTheRegionThenTheLink) {
  Driven.announce("far", "other", "y");
  Driven.announce("near", "r", "z");
  Driven.announce("middle", "r", "x");
  std::vector<std::string> Order(6);
  for (std::string &Agent : Order)
    Agent = Driven.send();
  const std::vector<std::string> Expected = {"near",   "near", "middle",
                                             "middle", "far",  "far"};
  CHECK(Order == Expected);
}

TEST(EndpointPool, KeepsLargeRequestsOffTheLinkWhileTheRegionLives) {
  constexpr std::uint32_t Large = 1 << 20;
  Driven.announce("far", "other", "y");
  Driven.announce("near", "r", "z");
  for (int I = 0; I < 3; ++I)
    STRCMP_EQUAL("near", Driven.send(Large).c_str());
  STRCMP_EQUAL("", Driven.send(Large).c_str());
  Driven.Pool.lose(node_id("near"), Run);
  STRCMP_EQUAL("far", Driven.send(Large).c_str());
}

TEST(EndpointPool, SpreadsByLoad) {
  for (const char *Agent : {"a", "b", "c", "d"})
    Driven.announce(Agent, "r", "z");
  std::map<std::string, int> Sent;
  for (int I = 0; I < 8; ++I)
    ++Sent[Driven.send()];
  for (const char *Agent : {"a", "b", "c", "d"})
    LONGS_EQUAL(2, Sent[Agent]);
}

TEST(EndpointPool, SendsNothingNewToADrainingOrSuspectedAgent) {
  Driven.announce("a", "r", "z");
  Driven.announce("b", "r", "z");
  Driven.Pool.drain(node_id("a"), Run);
  Driven.Pool.suspect(node_id("b"), Run);
  STRCMP_EQUAL("", Driven.send().c_str());
  Driven.Pool.reportLoad({node_id("b"), Run, {}, false, true}, Driven.Now);
  STRCMP_EQUAL("b", Driven.send().c_str());
  Driven.Pool.reportLoad({node_id("a"), Run, {}, false, true}, Driven.Now);
  STRCMP_EQUAL("b", Driven.send().c_str());
}

TEST(EndpointPool, EjectsFailingEndpointsUpToItsBound) {
  Driven.announce("a", "r", "z");
  Driven.announce("b", "r", "z");
  CHECK_FALSE(Driven.fail("a", 4));
  CHECK(Driven.fail("a", 1));
  CHECK_FALSE(Driven.fail("b", 20));
  STRCMP_EQUAL("b", Driven.send().c_str());
  Driven.Now += 5s;
  CHECK(Driven.fail("a", 1));
}

TEST(EndpointPool, ForgetsAReportedLoadInTime) {
  Driven.announce("a", "r", "z");
  Driven.Pool.reportLoad({node_id("a"), Run, {2, 9}, false, true}, Driven.Now);
  STRCMP_EQUAL("", Driven.send().c_str());
  Driven.Now += 1s;
  STRCMP_EQUAL("a", Driven.send().c_str());
}

TEST(EndpointPool, IgnoresAnEarlierRun) {
  Driven.announce("a", "r", "z");
  Driven.Pool.lose(node_id("a"), incarnation{0});
  CHECK(Driven.Pool.serves(Service));
  Driven.Pool.lose(node_id("a"), Run);
  CHECK_FALSE(Driven.Pool.serves(Service));
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

TEST(FairQueue, TakesTheRoomFromTheCustomerWithTheMost) {
  fair_queue<int> Queue(3);
  for (const int Value : {1, 2, 3})
    Queue.push(customer_id("many"), Value);
  LONGS_EQUAL(3, *Queue.push(customer_id("few"), 10));
  LONGS_EQUAL(4, *Queue.push(customer_id("many"), 4));
}
