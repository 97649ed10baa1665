#include "daemon/tests/soak/soakrun.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <unistd.h>

namespace geraniumpaddle::tests {

namespace {

using namespace std::chrono_literals;

/// Bound of the platform's rules from the end of the last fault on.
constexpr duration FinishTime = 14s;
/// Every accepted job must have ended within this time after the last fault.
constexpr duration SettleTimeout = 60s;
constexpr duration SnapshotInterval = 200ms;
/// Lasting jobs are watched for this time; longer than they may stand still.
constexpr duration LastingJobsWatch = 4s;
/// Jobs are submitted for this time after the last fault.
constexpr duration TrafficAfterFaults = 3s;

} // namespace

soak_run::soak_run(unsigned Seed, duration FaultDuration,
                   const std::string &Daemon)
    : Seed(Seed), FaultDuration(FaultDuration),
      LogDirectory("/tmp/gp-soak-" + std::to_string(Seed) + "-" +
                   std::to_string(getpid())),
      Site(LogDirectory, Daemon),
      Callers(Site.cluster(), Site.checker(), Site.entries(), Seed),
      Actions(Site, Seed, static_cast<soak_mix>(Seed % 4)), Random(Seed) {}

bool soak_run::run() {
  if (!Site.runUntil([this] { return ready(); }, SettleTimeout))
    Site.checker().violation("no entry became ready");
  Callers.start();
  Site.runFor(2s);
  static constexpr std::array<int, 3> PausesMs{300, 900, 2500};
  const int LongestPause = PausesMs[Random() % PausesMs.size()];
  const time_point End = Site.cluster().loop().now() + FaultDuration;
  while (Site.cluster().loop().now() < End) {
    Actions.runNext();
    Site.runFor(1ms * (Random() % LongestPause));
  }
  Actions.runLast();
  Actions.clear();
  Site.runFor(TrafficAfterFaults);
  Callers.stopSubmitting();
  finish();
  return report();
}

bool soak_run::ready() {
  return Site.cluster()
             .get(Site.cluster().address("entry-1.readiness"), "/api/readyz")
             .Code == 200;
}

std::string soak_run::workerControl(const std::string &Target) {
  return Site.cluster().get(Site.cluster().address("workers"), Target).Body;
}

void soak_run::finish() {
  soak_checker &Checker = Site.checker();
  const bool Lasting = Checker.hasLastingJobs();
  Site.runUntil([&] { return Checker.allSettled() && !Lasting; }, FinishTime);
  askForEachJob();
  const time_point End = Site.cluster().loop().now() + SettleTimeout;
  while (!Checker.allSettled() && Site.cluster().loop().now() < End) {
    Checker.onSnapshot(snapshot());
    Site.runFor(SnapshotInterval);
  }
  for (duration Watched{}; Lasting && Watched < LastingJobsWatch;
       Watched += SnapshotInterval) {
    Checker.onSnapshot(snapshot());
    Site.runFor(SnapshotInterval);
  }
  Checker.checkEnds();
  std::map<std::string, unsigned> Tasks;
  const auto Started = nlohmann::json::parse(workerControl("/started"));
  for (const auto &[Task, Failures] : Started.items())
    Tasks[Task] = Failures;
  Checker.checkStarted(Tasks);
  const std::string Errors = Site.cluster().process("workers").errors();
  if (!Errors.empty())
    Checker.violation("detected by the workers: " + Errors);
}

void soak_run::askForEachJob() {
  for (auto &[Path, Job] : Site.checker().jobs()) {
    if (!Job.AcceptedAt && !Job.refused())
      continue;
    const std::string &Entry = Site.entries()[Random() % Site.entries().size()];
    const http_result Result = Site.cluster().jobCall(Entry, "GET", Path);
    const int Expected = Job.AcceptedAt ? 200 : 410;
    if (Result.Code != Expected)
      Site.checker().violation(
          std::string(Path)
              .append(" is answered ")
              .append(std::to_string(Result.Code))
              .append(" by " + Entry + " after the end, expected ")
              .append(std::to_string(Expected)));
  }
}

worker_snapshot soak_run::snapshot() {
  worker_snapshot Snapshot;
  int Capacity = 0;
  int Used = 0;
  const auto State = nlohmann::json::parse(workerControl("/state"));
  for (const auto &Worker : State.at("Workers")) {
    Capacity += Worker.at("Up").get<bool>() ? Worker.at("Gpu").get<int>() : 0;
    Used += Worker.at("UsedGpu").get<int>();
    for (const std::string Task : Worker.at("Running"))
      Snapshot.RunningJobs.push_back(Task.substr(0, Task.find('.')));
  }
  Snapshot.UnderHalfUsed = 2 * Used < Capacity;
  return Snapshot;
}

bool soak_run::report() {
  soak_checker &Checker = Site.checker();
  std::printf("seed %u: %s\n", Seed, Checker.summary().c_str());
  std::fflush(stdout);
  if (Checker.violations().empty()) {
    std::filesystem::remove_all(LogDirectory);
    return true;
  }
  std::ofstream Stream(LogDirectory + "/soak.txt");
  for (const std::string &Line : Checker.actions())
    Stream << Line << '\n';
  for (const std::string &Line : Checker.violations())
    Stream << "violation: " << Line << '\n';
  std::printf("seed %u: logs are kept in %s\n", Seed, LogDirectory.c_str());
  std::fflush(stdout);
  return false;
}

} // namespace geraniumpaddle::tests
