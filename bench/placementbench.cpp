#include "placementbaselines.h"
#include "placementreplay.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <span>
#include <vector>

// Replays generated job arrivals in virtual time and compares, with the weights
// of each user, the project's scheduler with two baselines on the same
// workload.
//   gp_placementbench [small|target] [seeds]

using namespace geraniumpaddle;
using namespace geraniumpaddle::bench;

namespace {

constexpr std::uint64_t FirstSeed = 20'261'204;

struct user {
  const char *Name;
  std::int64_t MilliCores;
  objective Objective;
  double CompletionWeight;
};

constexpr user Users[] = {
    {"swan-coast", 128'000, objective::CompletionTime, 0.7},
    {"notti", 64'000, objective::Fragmentation, 0.3},
};

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Share * Last)];
}

void print(const char *Name, const replay_result &Result) {
  std::printf("  %-10s completion mean %6.2f h p99 %7.2f h | fragmentation "
              "%.3f blocked %.3f | large gangs wait mean %6.2f h max %6.1f h | "
              "lost %6.1f acc h, %4d preempted | used %.3f | jobs %d, "
              "refused %d\n",
              Name, Result.MeanCompletionHours, Result.P99CompletionHours,
              Result.Fragmentation, Result.BlockedByFragmentation,
              Result.LargeGangMeanWaitHours, Result.LargeGangMaxWaitHours,
              Result.LostWorkHours, Result.Preemptions, Result.Utilisation,
              Result.Completed, Result.Rejected);
}

/// Accelerator time that all jobs need as a share of the cluster's accelerator
/// time while jobs arrive.
double offeredLoad(const workload &Load) {
  double Wanted = 0;
  for (const replay_job &Job : Load.Jobs) {
    double Accelerators = 0;
    for (const resources &Need : Job.Needs)
      Accelerators += Need.Accelerators;
    Wanted += Accelerators * static_cast<double>(Job.RunTime.count());
  }
  double Cluster = 0;
  for (const worker_info &Worker : Load.Workers)
    Cluster += Worker.Capacity.Accelerators;
  std::chrono::duration<double> Span =
      Load.Jobs.back().Arrival.time_since_epoch();
  return Wanted / (Cluster * Span.count());
}

/// The user's weighted measure of \p Own relative to \p Other; smaller is
/// better, 1 is equal.
double weightedRatio(const user &User, const replay_result &Own,
                     const replay_result &Other) {
  double Completion = Own.MeanCompletionHours / Other.MeanCompletionHours;
  double Fragmentation = Own.Fragmentation / Other.Fragmentation;
  return User.CompletionWeight * Completion +
         (1 - User.CompletionWeight) * Fragmentation;
}

struct comparison {
  double Weighted = 0;
  double Completion = 0;
  double Fragmentation = 0;
};

/// Compares \p Own with the baseline that is better by the user's measure.
comparison compare(const user &User, const replay_result &Own,
                   const replay_result &FirstFit,
                   const replay_result &BestFit) {
  const replay_result &Better =
      weightedRatio(User, FirstFit, BestFit) < 1 ? FirstFit : BestFit;
  return {weightedRatio(User, Own, Better),
          Own.MeanCompletionHours / Better.MeanCompletionHours,
          Own.Fragmentation / Better.Fragmentation};
}

void runSmall(int Seeds) {
  for (const user &User : Users) {
    comparison Sum;
    for (int Number = 0; Number < Seeds; ++Number) {
      std::uint64_t Seed = FirstSeed + static_cast<std::uint64_t>(Number);
      workload Load = smallWorkload(User.Name, User.MilliCores, Seed);
      scheduler Own(User.Objective);
      scheduler First(makeFirstFit());
      scheduler Best(makeBestFitBackfill());
      replay_result OwnResult = placement_replay(Load, Own, true).run();
      replay_result FirstResult = placement_replay(Load, First, false).run();
      replay_result BestResult = placement_replay(Load, Best, false).run();
      comparison Ratio = compare(User, OwnResult, FirstResult, BestResult);
      std::printf("%s seed %llu, offered load %.2f\n", User.Name,
                  static_cast<unsigned long long>(Seed), offeredLoad(Load));
      print("own", OwnResult);
      print("first-fit", FirstResult);
      print("best-fit", BestResult);
      std::printf("  to the better baseline: weighted %.3f, completion %.3f, "
                  "fragmentation %.3f\n",
                  Ratio.Weighted, Ratio.Completion, Ratio.Fragmentation);
      Sum.Weighted += Ratio.Weighted / Seeds;
      Sum.Completion += Ratio.Completion / Seeds;
      Sum.Fragmentation += Ratio.Fragmentation / Seeds;
    }
    std::printf("%s, mean of %d seeds: weighted %.3f, completion %.3f, "
                "fragmentation %.3f of the better baseline\n\n",
                User.Name, Seeds, Sum.Weighted, Sum.Completion,
                Sum.Fragmentation);
  }
}

void printTimes(const char *Name, const replay_result &Result) {
  std::printf(
      "%-10s decisions %zu: p50 %.3f ms, p99 %.3f ms, max %.3f ms; "
      "claim p50 %.1f us, p99 %.1f us; most tasks held %zu; used "
      "%.3f\n",
      Name, Result.DecisionMs.size(), percentile(Result.DecisionMs, 0.5),
      percentile(Result.DecisionMs, 0.99), percentile(Result.DecisionMs, 1),
      percentile(Result.ClaimUs, 0.5), percentile(Result.ClaimUs, 0.99),
      Result.MaxTasks, Result.Utilisation);
}

void runTarget() {
  workload Load = targetWorkload(FirstSeed);
  scheduler Own(objective::CompletionTime);
  scheduler First(makeFirstFit());
  replay_result OwnResult = placement_replay(Load, Own, true).run();
  replay_result FirstResult = placement_replay(Load, First, false).run();
  std::printf("target size: %zu workers, %zu customers, %zu jobs\n",
              Load.Workers.size(), Load.Customers.size(), Load.Jobs.size());
  printTimes("own", OwnResult);
  printTimes("first-fit", FirstResult);
  std::printf("p99 own / first-fit: %.2f\n",
              percentile(OwnResult.DecisionMs, 0.99) /
                  percentile(FirstResult.DecisionMs, 0.99));
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const char *Mode = ArgumentCount > 1 ? Arguments[1] : "small";
  int Seeds = ArgumentCount > 2 ? std::atoi(Arguments[2]) : 5;
  if (std::strcmp(Mode, "target") == 0)
    runTarget();
  else
    runSmall(std::max(Seeds, 1));
  return EXIT_SUCCESS;
}
