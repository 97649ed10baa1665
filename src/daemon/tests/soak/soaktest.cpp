// Randomized soak test with fault injection: runs the real programs as
// processes, injects faults into processes, connections and the store, and then
// checks the system's guarantees from what callers and workers observed.
//
//   GP_SOAK_SEEDS=FIRST-LAST  seeds to run; default: RegressionSeeds
//   GP_SOAK_SECONDS=N         duration of the faults for each seed; default 12

#include "daemon/tests/processcluster.h"
#include "daemon/tests/soak/faultproxy.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <set>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

namespace {

constexpr int EntryCount = 3;
constexpr int AgentCount = 4;
/// Every accepted job must be completed within this time after the last fault.
/// It covers the expiry of leases, a change of the leader and the run of the
/// job several times over.
constexpr duration SettleTimeout = 60s;

/// Seeds that run in CI. Every seed that has failed is added with the cause.
constexpr std::array<unsigned, 1> RegressionSeeds{20261204}; // initial seed

std::string entryName(int Number) {
  return "entry-" + std::to_string(Number + 1);
}
std::string agentName(int Number) {
  return "agent-" + std::to_string(Number + 1);
}

/// The run of one seed: its processes, callers and the responses they got.
class soak_run {
public:
  soak_run(unsigned Seed, duration FaultDuration)
      : Random(Seed), Seed(Seed), FaultDuration(FaultDuration) {
    Cluster.startStore();
    Cluster.putConfiguration(1);
    for (int I = 0; I < EntryCount + AgentCount; ++I)
      Proxies.push_back(std::make_unique<fault_proxy>(
          Cluster.loop(), Cluster.address("store")));
    for (int I = 0; I < EntryCount; ++I)
      startEntry(I);
    std::vector<std::string> Names;
    for (int I = 0; I < AgentCount; ++I) {
      Cluster.startJobAgent(agentName(I), Proxies[EntryCount + I]->address());
      Names.push_back(agentName(I));
    }
    Cluster.startTaskWorkers(Names);
  }

  void run() {
    CHECK_TEXT(Cluster.waitFor([this] { return ready(entryName(0)); }),
               withSeed("no entry became ready").c_str());
    const time_point End = Cluster.loop().now() + FaultDuration;
    while (Cluster.loop().now() < End) {
      runRandomAction();
      Cluster.waitFor([] { return false; }, 1ms * (Random() % 500));
    }
    clearFaults();
    checkInvariants();
  }

private:
  using action = void (soak_run::*)();

  std::string withSeed(const std::string &What) const {
    return "seed " + std::to_string(Seed) + ": " + What;
  }
  int randomBelow(int Count) { return static_cast<int>(Random() % Count); }
  std::string randomEntry() { return entryName(randomBelow(EntryCount)); }

  void startEntry(int Number) {
    Cluster.startJobEntry(entryName(Number),
                          Proxies[static_cast<std::size_t>(Number)]->address());
  }

  bool ready(const std::string &Entry) {
    return Cluster.get(Cluster.address(Entry + ".readiness"), "/api/readyz")
               .Code == 200;
  }

  void runRandomAction() {
    static constexpr std::array<action, 12> Actions{
        &soak_run::submit,        &soak_run::submit,
        &soak_run::submit,        &soak_run::submit,
        &soak_run::cancel,        &soak_run::killEntry,
        &soak_run::pauseProcess,  &soak_run::drainEntry,
        &soak_run::setProxyFault, &soak_run::breakConnections,
        &soak_run::setStoreFault, &soak_run::clearOneFault};
    (this->*Actions[static_cast<std::size_t>(randomBelow(Actions.size()))])();
  }

  // Callers.

  void submit() {
    char Id[17];
    std::snprintf(Id, sizeof Id, "%016x", ++Jobs);
    const std::string Path = std::string("/batch/") + Id;
    const bool Gang = randomBelow(4) == 0;
    const int Count = Gang ? 2 : 1 + randomBelow(4);
    const std::string Body =
        R"({"Spec":"{\"ms\":)" + std::to_string(200 + 100 * randomBelow(20)) +
        R"(,\"needs\":2)" + (Gang ? R"(,\"gang\":2)" : "") +
        R"(}","Steps":[{"Count":)" + std::to_string(Count) +
        R"(,"Cpu":1000,"MemMb":10,"Gpu":2,"EstimatedMs":1000)" +
        (Gang ? R"(,"Gang":true)" : "") + "}]}";
    recordOutcome(Path, Cluster.jobCall(randomEntry(), "POST", Path, Body));
  }

  void recordOutcome(const std::string &Path, const http_result &Result) {
    if (Result.ok())
      Accepted.insert(Path);
    else if (Result.Status == call_status::Completed && Result.Code == 503)
      Refused.insert(Path);
    else
      Unknown.insert(Path);
  }

  void cancel() {
    if (Accepted.empty())
      return;
    auto Which = Accepted.begin();
    std::advance(Which, randomBelow(static_cast<int>(Accepted.size())));
    Cancelled.insert(*Which); // possibly not, if the response is lost
    Cluster.jobCall(randomEntry(), "DELETE", *Which);
  }

  // Faults.

  void killEntry() {
    const int Number = randomBelow(EntryCount);
    Cluster.process(entryName(Number)).kill();
    startEntry(Number);
  }

  void pauseProcess() {
    const int Number = randomBelow(EntryCount + AgentCount);
    const std::string Name = Number < EntryCount
                                 ? entryName(Number)
                                 : agentName(Number - EntryCount);
    Cluster.process(Name).signal(SIGSTOP);
    Cluster.waitFor([] { return false; }, 1ms * (Random() % 4000));
    Cluster.process(Name).signal(SIGCONT);
  }

  void drainEntry() {
    const int Number = randomBelow(EntryCount);
    child_process &Process = Cluster.process(entryName(Number));
    Process.signal(SIGTERM);
    CHECK_TEXT(
        Cluster.waitFor([&] { return Process.exitCode().has_value(); }, 10s),
        withSeed("the draining entry did not exit").c_str());
    LONGS_EQUAL_TEXT(0, *Process.exitCode(), withSeed("exit code").c_str());
    startEntry(Number);
  }

  fault_proxy &randomProxy() {
    return *Proxies[static_cast<std::size_t>(
        randomBelow(EntryCount + AgentCount))];
  }

  void setProxyFault() {
    static constexpr std::array<network_fault, 4> Faults{
        network_fault::Delay, network_fault::Silent, network_fault::OneWay,
        network_fault::Refuse};
    randomProxy().setFault(
        Faults[static_cast<std::size_t>(randomBelow(Faults.size()))]);
  }

  void breakConnections() {
    fault_proxy &Proxy = randomProxy();
    if (randomBelow(2) == 0)
      Proxy.resetConnections();
    else
      Proxy.silenceConnections();
  }

  void setStoreFault() {
    static constexpr std::array<const char *, 6> Modes{
        R"({"mode":"slow","delay_ms":200})",
        R"({"mode":"refuse"})",
        R"({"mode":"silent"})",
        R"({"mode":"lose_answer"})",
        R"({"mode":"down"})",
        R"({"mode":"none"})"};
    Cluster.setFault("store", Modes[static_cast<std::size_t>(randomBelow(6))]);
    if (randomBelow(3) == 0)
      Cluster.post(Cluster.address("store"), "/compact", "");
  }

  void clearOneFault() {
    randomProxy().setFault(network_fault::None);
    Cluster.setFault("store", R"({"mode":"none"})");
  }

  void clearFaults() {
    Cluster.setFault("store", R"({"mode":"none"})");
    for (const auto &Proxy : Proxies)
      Proxy->setFault(network_fault::None);
  }

  // Invariants.

  /// State of the job as an entry that can read the log reports it.
  std::string jobState(const std::string &Path) {
    http_result Result;
    CHECK_TEXT(Cluster.waitFor(
                   [&] {
                     Result = Cluster.jobCall(randomEntry(), "GET", Path);
                     return Result.Code == 200 || Result.Code == 410;
                   },
                   SettleTimeout),
               withSeed(Path + ": " + Result.Body).c_str());
    return Result.Code == 410 ? "unknown" : Result.Body;
  }

  void checkInvariants() {
    for (const std::string &Path : Accepted) {
      const bool MayBeCancelled = Cancelled.contains(Path);
      std::string Last;
      const bool Ended = Cluster.waitFor(
          [&] {
            Last = jobState(Path);
            return Last.find("completed") != Last.npos ||
                   (MayBeCancelled && Last.find("cancelled") != Last.npos);
          },
          SettleTimeout);
      CHECK_TEXT(
          Ended,
          withSeed(std::string(Path).append(" is ").append(Last)).c_str());
    }
    for (const std::string &Path : Refused)
      STRCMP_EQUAL_TEXT("unknown", jobState(Path).c_str(),
                        withSeed(Path + " was refused").c_str());
    STRCMP_EQUAL_TEXT("", Cluster.process("workers").errors().c_str(),
                      withSeed("violations that the workers detected").c_str());
    std::printf("seed %u: %zu accepted, %zu refused, %zu unknown\n", Seed,
                Accepted.size(), Refused.size(), Unknown.size());
  }

  std::mt19937 Random;
  const unsigned Seed;
  const duration FaultDuration;
  process_cluster Cluster;
  /// Proxies to the store: one per entry, then one per agent.
  std::vector<std::unique_ptr<fault_proxy>> Proxies;
  unsigned Jobs = 0;
  std::set<std::string> Accepted;
  std::set<std::string> Refused;
  std::set<std::string> Unknown;
  std::set<std::string> Cancelled;
};

duration faultDuration() {
  const char *Text = std::getenv("GP_SOAK_SECONDS");
  constexpr int DefaultSeconds = 12;
  return std::chrono::seconds(Text ? std::atoi(Text) : DefaultSeconds);
}

} // namespace

TEST_GROUP(Soak){};

TEST(Soak, InvariantsHoldUnderFaultInjection) {
  std::vector<unsigned> Seeds(RegressionSeeds.begin(), RegressionSeeds.end());
  unsigned First = 0;
  unsigned Last = 0;
  const char *Range = std::getenv("GP_SOAK_SEEDS");
  if (Range && std::sscanf(Range, "%u-%u", &First, &Last) == 2) {
    Seeds.clear();
    for (unsigned Seed = First; Seed <= Last; ++Seed)
      Seeds.push_back(Seed);
  }
  for (const unsigned Seed : Seeds)
    soak_run(Seed, faultDuration()).run();
}
