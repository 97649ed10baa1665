// Measures the routing core alone: decisions per second of real time, and
// goodput in virtual time at loads up to three times the capacity.

#include "core/routing/tests/routingsimulation.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <string>

namespace geraniumpaddle {
namespace {

using namespace std::chrono_literals;
using testing::routing_simulation;

constexpr std::uint32_t Slots = 8;
constexpr std::size_t AgentCount = 11;
constexpr std::size_t EntryCount = 2;
constexpr duration ServiceTime = 20ms;
constexpr double Capacity = Slots * AgentCount / 0.020; // requests per second

struct offered_load {
  std::string Customer;
  double Share; ///< of the requests
};

const offered_load Loads[] = {{"c1", 0.8}, {"c2", 0.1}, {"c3", 0.1}};

std::string pickCustomer(double Draw) {
  for (const offered_load &Load : Loads) {
    if (Draw < Load.Share)
      return Load.Customer;
    Draw -= Load.Share;
  }
  return Loads[0].Customer;
}

struct goodput_result {
  double Goodput = 0; ///< requests answered in time relative to the capacity
  std::map<std::string, double> AnsweredShare; ///< of each customer's requests
  double NotRunShare = 0;
  double UndeterminedShare = 0;
  std::string Violation;
};

goodput_result measureGoodput(double Overload, const router_settings &Router,
                              const attempt_settings &Table) {
  constexpr duration Length = 3s;
  routing_simulation Simulation(EntryCount, AgentCount, Router, Table);
  Simulation.Service = ServiceTime;
  Simulation.ServiceSpread = 0.5;
  std::mt19937_64 Random(1);
  std::exponential_distribution<double> Gap(Capacity * Overload);
  std::uniform_real_distribution<double> Unit(0, 1);
  std::vector<std::string> Customers;
  const time_point End = Simulation.now() + Length;
  while (Simulation.now() < End) {
    const std::string Customer = pickCustomer(Unit(Random));
    Customers.push_back(Customer);
    Simulation.request(Customers.size() % EntryCount, Unit(Random) < 0.5, 1s,
                       Customer);
    Simulation.run(duration(std::chrono::microseconds(
        static_cast<std::int64_t>(Gap(Random) * 1e6))));
  }
  Simulation.run(5s);

  goodput_result Result;
  std::map<std::string, double> Requested;
  const double Total = static_cast<double>(Simulation.callers());
  for (std::size_t I = 0; I < Simulation.callers(); ++I) {
    Requested[Customers[I]] += 1;
    const outcome_kind Kind = Simulation.at(I).Outcomes.front().Kind;
    if (Kind == outcome_kind::Answered)
      Result.AnsweredShare[Customers[I]] += 1;
    Result.NotRunShare += Kind == outcome_kind::NotRun ? 1 / Total : 0;
    Result.UndeterminedShare +=
        Kind == outcome_kind::Undetermined ? 1 / Total : 0;
  }
  const double Seconds = std::chrono::duration<double>(Length).count();
  for (auto &[Customer, Answered] : Result.AnsweredShare) {
    Result.Goodput += Answered / (Capacity * Seconds);
    Answered /= Requested[Customer];
  }
  Result.Violation = Simulation.violation();
  return Result;
}

void printGoodput(const char *Policy, double Overload,
                  const router_settings &Router,
                  const attempt_settings &Table) {
  goodput_result Result = measureGoodput(Overload, Router, Table);
  std::printf("goodput %-12s load %.1fx: %5.1f%% of capacity; answered c1 "
              "%5.1f%% c2 %5.1f%% c3 %5.1f%%; not run %5.1f%%, undetermined "
              "%5.1f%% %s\n",
              Policy, Overload, 100 * Result.Goodput,
              100 * Result.AnsweredShare["c1"],
              100 * Result.AnsweredShare["c2"],
              100 * Result.AnsweredShare["c3"], 100 * Result.NotRunShare,
              100 * Result.UndeterminedShare, Result.Violation.c_str());
}

/// Disables load shedding: queues are unbounded, and all requests are sent to
/// agents.
void withoutShedding(router_settings &Router, attempt_settings &Table) {
  constexpr std::size_t Unbounded = 1000000;
  Router.QueueLimit = Unbounded;
  Router.OverCommit = Unbounded;
  Table.QueueLimit = Unbounded;
  Table.MaxRetainedAttempts = Unbounded;
}

/// Measures how many requests per second one router routes, each with one
/// attempt.
void printDecisions(std::size_t Agents) {
  constexpr int Requests = 200000;
  constexpr std::uint64_t InFlight = 64;
  const router_identity Self{node_id("e0"), incarnation{1}, region_id("r"),
                             availability_zone_id("z0")};
  request_router Router({}, Self, 1);
  time_point Now{1s};
  customers_configured Customers;
  Customers.Customers.emplace_back().Id = customer_id("c1");
  Router.handle(Customers, Now);
  for (std::size_t A = 0; A < Agents; ++A)
    Router.handle(endpoint_announced{node_id("a" + std::to_string(A)),
                                     incarnation{1}, "address", service_id("s"),
                                     region_id("r"), availability_zone_id("z0"),
                                     Slots},
                  Now);
  const auto Start = std::chrono::steady_clock::now();
  for (std::uint64_t I = 1; I <= Requests; ++I) {
    Now += 100us;
    Router.handle(request_arrived{request_handle{I}, customer_id("c1"),
                                  service_id("s"), true, 100, 1s},
                  Now);
    if (I > InFlight)
      Router.handle(attempt_reported{I - InFlight,
                                     attempt_state::Answered,
                                     attempt_refusal::None,
                                     false,
                                     {4, 0}},
                    Now);
  }
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  std::printf("decisions: %4zu endpoints: %8.0f requests/s on one core, "
              "%.2f us each\n",
              Agents, Requests / Elapsed.count(),
              1e6 * Elapsed.count() / Requests);
}

void runAll() {
  router_settings Router;
  attempt_settings Table;
  Table.Slots = Slots;
  for (const double Overload : {0.7, 1.0, 3.0})
    printGoodput("shedding", Overload, Router, Table);
  withoutShedding(Router, Table);
  for (const double Overload : {0.7, 1.5, 3.0})
    printGoodput("no shedding", Overload, Router, Table);
  printDecisions(AgentCount);
  printDecisions(850);
}

} // namespace
} // namespace geraniumpaddle

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  geraniumpaddle::runAll();
  return 0;
}
