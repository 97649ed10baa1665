#include "routingworld.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration Timeout = 5s;
constexpr duration Settled = 20s;

outcome_kind onlyOutcome(const routing_world &World, std::size_t Request) {
  LONGS_EQUAL(1, World.at(Request).Outcomes.size());
  return World.at(Request).Outcomes.front().Kind;
}

/// One fault on the way of one request, and what its caller is told.
struct fault_case {
  const char *Name;
  std::vector<fate> Fates;
  void (*Before)(routing_world &);
  void (*During)(routing_world &); ///< while the endpoint runs the request
  outcome_kind Idempotent;
  outcome_kind NonIdempotent;
};

void nothing(routing_world &) {}

constexpr auto Answered = outcome_kind::Answered;
constexpr auto NotRun = outcome_kind::NotRun;
constexpr auto Undetermined = outcome_kind::Undetermined;

const fault_case SingleAgentCases[] = {
    {"no fault", {}, nothing, nothing, Answered, Answered},
    {"request lost before the agent",
     {fate::Drop, fate::Deliver, fate::Deliver, fate::Deliver, fate::Deliver},
     nothing,
     nothing,
     Answered,
     Answered},
    {"answer lost after the run",
     {fate::Deliver, fate::Drop, fate::Deliver, fate::Deliver},
     nothing,
     nothing,
     Answered,
     Answered},
    {"request late, after it was barred",
     {fate::Late, fate::Deliver, fate::Deliver, fate::Deliver, fate::Deliver,
      fate::Deliver},
     nothing,
     nothing,
     Answered,
     Answered},
    {"request duplicated",
     {fate::Duplicate, fate::Deliver, fate::Deliver},
     nothing,
     nothing,
     Answered,
     Answered},
    {"agent killed while it runs",
     {},
     nothing,
     [](routing_world &World) { World.killAgent(0); },
     Undetermined,
     Undetermined},
    {"agent restarted while it runs",
     {},
     nothing,
     [](routing_world &World) { World.restartAgent(0, 10ms); },
     Answered,
     Undetermined},
    {"agent paused while it runs",
     {},
     nothing,
     [](routing_world &World) { World.pauseAgent(0, 2s); },
     Answered,
     Answered},
    {"link silent while new connections work",
     {},
     [](routing_world &World) { World.silenceLink(0, 0); },
     nothing,
     Answered,
     Answered},
    {"half a body from the endpoint",
     {},
     [](routing_world &World) {
       World.setEndpoint(0, endpoint_fault::HalfBody);
     },
     nothing,
     Undetermined,
     Undetermined},
    {"endpoint stuck",
     {},
     [](routing_world &World) { World.setEndpoint(0, endpoint_fault::Stuck); },
     nothing,
     Undetermined,
     Undetermined},
    {"endpoint down",
     {},
     [](routing_world &World) { World.setEndpoint(0, endpoint_fault::Down); },
     nothing,
     NotRun,
     NotRun},
    {"agent gone before the request",
     {},
     [](routing_world &World) { World.killAgent(0); },
     nothing,
     NotRun,
     NotRun},
    {"agent restarted, unknown to the entry",
     {},
     [](routing_world &World) { World.restartAgent(0, 3s); },
     nothing,
     Answered,
     Undetermined},
};

void checkCase(const fault_case &Case, bool Idempotent, outcome_kind Expected) {
  routing_world World(1, 1);
  World.Service = 200ms;
  Case.Before(World);
  World.Fates = Case.Fates;
  const std::size_t Request = World.request(0, Idempotent, Timeout);
  World.run(50ms);
  Case.During(World);
  World.run(Settled);
  STRCMP_EQUAL_TEXT("", World.violation().c_str(), Case.Name);
  CHECK_TEXT(onlyOutcome(World, Request) == Expected, Case.Name);
  LONGS_EQUAL_TEXT(0, World.router(0).openRequests(), Case.Name);
}

} // namespace

TEST_GROUP(RoutingFaults){};

TEST(RoutingFaults, CallersAreToldTheTruth) {
  for (const fault_case &Case : SingleAgentCases) {
    checkCase(Case, true, Case.Idempotent);
    checkCase(Case, false, Case.NonIdempotent);
  }
}
