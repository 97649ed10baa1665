#include "routingsimulation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration Timeout = 5s;
constexpr duration SettleTime = 20s;

outcome_kind onlyOutcome(const routing_simulation &Simulation,
                         std::size_t Request) {
  LONGS_EQUAL(1, Simulation.at(Request).Outcomes.size());
  return Simulation.at(Request).Outcomes.front().Kind;
}

/// A fault during one request and the outcome that its caller must get.
struct fault_case {
  const char *Name;
  std::vector<transmission> Transmissions;
  void (*InjectBefore)(routing_simulation &);
  /// Called while the endpoint runs the request.
  void (*InjectDuring)(routing_simulation &);
  outcome_kind Idempotent;
  outcome_kind NonIdempotent;
};

void noFault(routing_simulation &) {}

constexpr auto Answered = outcome_kind::Answered;
constexpr auto NotRun = outcome_kind::NotRun;
constexpr auto Undetermined = outcome_kind::Undetermined;

const fault_case SingleAgentCases[] = {
    {"no fault", {}, noFault, noFault, Answered, Answered},
    {"request lost on the way to the agent",
     {transmission::Drop, transmission::Deliver, transmission::Deliver,
      transmission::Deliver, transmission::Deliver},
     noFault,
     noFault,
     Answered,
     Answered},
    {"answer lost on the way back",
     {transmission::Deliver, transmission::Drop, transmission::Deliver,
      transmission::Deliver},
     noFault,
     noFault,
     Answered,
     Answered},
    {"request delayed until after it was barred",
     {transmission::Late, transmission::Deliver, transmission::Deliver,
      transmission::Deliver, transmission::Deliver, transmission::Deliver},
     noFault,
     noFault,
     Answered,
     Answered},
    {"request duplicated",
     {transmission::Duplicate, transmission::Deliver, transmission::Deliver},
     noFault,
     noFault,
     Answered,
     Answered},
    {"agent killed while the request runs",
     {},
     noFault,
     [](routing_simulation &Simulation) { Simulation.killAgent(0); },
     Undetermined,
     Undetermined},
    {"agent restarted while the request runs",
     {},
     noFault,
     [](routing_simulation &Simulation) { Simulation.restartAgent(0, 10ms); },
     Answered,
     Undetermined},
    {"agent paused while the request runs",
     {},
     noFault,
     [](routing_simulation &Simulation) { Simulation.pauseAgent(0, 2s); },
     Answered,
     Answered},
    {"connection drops all data, new connections work",
     {},
     [](routing_simulation &Simulation) { Simulation.blackholeLink(0, 0); },
     noFault,
     Answered,
     Answered},
    {"truncated answer from the endpoint",
     {},
     [](routing_simulation &Simulation) {
       Simulation.setEndpoint(0, endpoint_fault::HalfBody);
     },
     noFault,
     Undetermined,
     Undetermined},
    {"endpoint does not answer",
     {},
     [](routing_simulation &Simulation) {
       Simulation.setEndpoint(0, endpoint_fault::Stuck);
     },
     noFault,
     Undetermined,
     Undetermined},
    {"endpoint down",
     {},
     [](routing_simulation &Simulation) {
       Simulation.setEndpoint(0, endpoint_fault::Down);
     },
     noFault,
     NotRun,
     NotRun},
    {"agent killed before the request",
     {},
     [](routing_simulation &Simulation) { Simulation.killAgent(0); },
     noFault,
     NotRun,
     NotRun},
    {"agent restarted, not yet announced to the entry",
     {},
     [](routing_simulation &Simulation) { Simulation.restartAgent(0, 3s); },
     noFault,
     Answered,
     Undetermined},
};

void checkCase(const fault_case &Case, bool Idempotent, outcome_kind Expected) {
  routing_simulation Simulation(1, 1);
  Simulation.Service = 200ms;
  Case.InjectBefore(Simulation);
  Simulation.Transmissions = Case.Transmissions;
  const std::size_t Request = Simulation.request(0, Idempotent, Timeout);
  Simulation.run(50ms);
  Case.InjectDuring(Simulation);
  Simulation.run(SettleTime);
  STRCMP_EQUAL_TEXT("", Simulation.violation().c_str(), Case.Name);
  CHECK_TEXT(onlyOutcome(Simulation, Request) == Expected, Case.Name);
  LONGS_EQUAL_TEXT(0, Simulation.router(0).openRequests(), Case.Name);
}

} // namespace

TEST_GROUP(RoutingFaults){};

TEST(RoutingFaults, CallersGetTheExpectedOutcome) {
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
  static constexpr incarnation AgentIncarnation{1};

  void setup() override {
    customers_configured Customers;
    Customers.Customers.emplace_back().Id = customer_id("c1");
    Router.handle(Customers, time_point{});
    Router.handle(endpoint_announced{Agent, AgentIncarnation, "10.0.0.1:1",
                                     service_id("s"), region_id("r"),
                                     availability_zone_id("z"), 8},
                  time_point{});
  }
};

TEST(LostAgent, PendingRequestsEndAsUndeterminedAtOnce) {
  Router.handle(request_arrived{request_handle{1}, customer_id("c1"),
                                service_id("s"), false, 0, 30s},
                time_point{});
  std::vector<request_outcome> Outcomes;
  for (const router_command &Command :
       Router.handle(endpoint_lost{Agent, AgentIncarnation}, time_point{} + 1s))
    if (const auto *Answer = std::get_if<answer_caller>(&Command))
      Outcomes.push_back(Answer->Outcome);
  LONGS_EQUAL(1, Outcomes.size());
  CHECK(Outcomes.front().Kind == outcome_kind::Undetermined);
  LONGS_EQUAL(0, Router.openRequests());
}

TEST(LostAgent, ARequestQueuedLongerThanMaxQueueTimeIsNotRun) {
  // More than 8 slots accept, even with over-commit.
  constexpr std::uint64_t Requests = 16;
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
  Count(Router.handle(router_timer_expired{}, time_point{} + Limit));
  LONGS_EQUAL(0, Shed);
  Count(Router.handle(router_timer_expired{}, time_point{} + Limit + 100ms));
  LONGS_EQUAL(Requests - Sent, Shed);
  CHECK(Shed > 0);
}
