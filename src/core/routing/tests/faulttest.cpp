#include "routingsimulation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration Timeout = 5s;
constexpr duration Settled = 20s;

outcome_kind onlyOutcome(const routing_simulation &World, std::size_t Request) {
  LONGS_EQUAL(1, World.at(Request).Outcomes.size());
  return World.at(Request).Outcomes.front().Kind;
}

/// One fault on the way of one request, and what its caller is told.
struct fault_case {
  const char *Name;
  std::vector<fate> Fates;
  void (*Before)(routing_simulation &);
  void (*During)(routing_simulation &); ///< while the endpoint runs the request
  outcome_kind Idempotent;
  outcome_kind NonIdempotent;
};

void nothing(routing_simulation &) {}

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
     [](routing_simulation &World) { World.killAgent(0); },
     Undetermined,
     Undetermined},
    {"agent restarted while it runs",
     {},
     nothing,
     [](routing_simulation &World) { World.restartAgent(0, 10ms); },
     Answered,
     Undetermined},
    {"agent paused while it runs",
     {},
     nothing,
     [](routing_simulation &World) { World.pauseAgent(0, 2s); },
     Answered,
     Answered},
    {"link silent while new connections work",
     {},
     [](routing_simulation &World) { World.silenceLink(0, 0); },
     nothing,
     Answered,
     Answered},
    {"half a body from the endpoint",
     {},
     [](routing_simulation &World) {
       World.setEndpoint(0, endpoint_fault::HalfBody);
     },
     nothing,
     Undetermined,
     Undetermined},
    {"endpoint stuck",
     {},
     [](routing_simulation &World) {
       World.setEndpoint(0, endpoint_fault::Stuck);
     },
     nothing,
     Undetermined,
     Undetermined},
    {"endpoint down",
     {},
     [](routing_simulation &World) {
       World.setEndpoint(0, endpoint_fault::Down);
     },
     nothing,
     NotRun,
     NotRun},
    {"agent gone before the request",
     {},
     [](routing_simulation &World) { World.killAgent(0); },
     nothing,
     NotRun,
     NotRun},
    {"agent restarted, unknown to the entry",
     {},
     [](routing_simulation &World) { World.restartAgent(0, 3s); },
     nothing,
     Answered,
     Undetermined},
};

void checkCase(const fault_case &Case, bool Idempotent, outcome_kind Expected) {
  routing_simulation World(1, 1);
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

TEST_GROUP(LostAgent) {
  request_router Router{router_settings{},
                        router_identity{node_id("e1"), incarnation{1},
                                        region_id("r"),
                                        availability_zone_id("z")},
                        7};
  const node_id Agent{"a1"};
  static constexpr incarnation Run{1};

  void setup() override {
    customers_configured Customers;
    Customers.Customers.emplace_back().Id = customer_id("c1");
    Router.handle(Customers, time_point{});
    Router.handle(endpoint_announced{Agent, Run, "10.0.0.1:1", service_id("s"),
                                     region_id("r"), availability_zone_id("z"),
                                     8},
                  time_point{});
  }
};

TEST(LostAgent, ItsCallersAreToldAtOnceThatTheOutcomeIsOpen) {
  Router.handle(request_arrived{request_handle{1}, customer_id("c1"),
                                service_id("s"), false, 0, 30s},
                time_point{});
  std::vector<request_outcome> Outcomes;
  for (const router_command &Command :
       Router.handle(endpoint_lost{Agent, Run}, time_point{} + 1s))
    if (const auto *Answer = std::get_if<answer_caller>(&Command))
      Outcomes.push_back(Answer->Outcome);
  LONGS_EQUAL(1, Outcomes.size());
  CHECK(Outcomes.front().Kind == outcome_kind::Undetermined);
  LONGS_EQUAL(0, Router.openRequests());
}

TEST(LostAgent, ARequestThatWaitsTooLongForASlotIsNotRun) {
  constexpr std::uint64_t Requests = 16; // more than eight slots take
  std::uint64_t Sent = 0;
  std::uint64_t Shed = 0;
  auto Count = [&](std::span<const router_command> Commands) {
    for (const router_command &Command : Commands) {
      Sent += std::holds_alternative<send_attempt>(Command);
      const auto *Answer = std::get_if<answer_caller>(&Command);
      if (Answer) {
        ++Shed;
        CHECK(Answer->Outcome.Reason == not_run_reason::Overloaded);
      }
    }
  };
  for (std::uint64_t I = 1; I <= Requests; ++I)
    Count(Router.handle(request_arrived{request_handle{I}, customer_id("c1"),
                                        service_id("s"), false, 0, 30s},
                        time_point{}));
  const duration Limit = router_settings{}.MaxQueueTime;
  Count(Router.handle(router_timer_fired{}, time_point{} + Limit));
  LONGS_EQUAL(0, Shed);
  Count(Router.handle(router_timer_fired{}, time_point{} + Limit + 100ms));
  LONGS_EQUAL(Requests - Sent, Shed);
  CHECK(Shed > 0);
}
