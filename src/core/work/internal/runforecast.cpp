#include "core/work/runforecast.h"

#include <algorithm>
#include <cmath>

namespace geraniumpaddle::work {

namespace {

/// Weight of the newest run in the mean.
constexpr double NewestWeight = 0.1;
/// Completed runs after which measured times weigh as much as the estimate.
constexpr std::uint32_t FullTrustRuns = 5;
/// Assumed for steps without an estimate until runs have completed.
constexpr double DefaultSeconds = 3;

double secondsOf(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// About a tenth of what a duration can hold.
constexpr double MaxSeconds = 1e12;

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::min(Seconds, MaxSeconds)));
}

} // namespace

void run_forecast::recordRun(const queue_policy &Policy, const step_spec &Step,
                             duration Actual) {
  if (Step.LongRunning || Actual <= duration{})
    return;
  run_history &History = ByQueue[Policy.Queue];
  const double Seconds = secondsOf(Actual);
  const double Declared = secondsOf(Step.Estimate);
  const double Ratio = Declared > 0 ? Seconds / Declared : 1;
  const double Weight =
      std::max(NewestWeight, 1.0 / static_cast<double>(History.Runs + 1));
  History.Seconds += Weight * (Seconds - History.Seconds);
  History.Ratio += Weight * (Ratio - History.Ratio);
  ++History.Runs;
}

duration run_forecast::expectedDuration(const queue_policy &Policy,
                                        const step_spec &Step) const {
  const double Declared =
      Step.Estimate > duration{} ? secondsOf(Step.Estimate) : DefaultSeconds;
  const auto Found = ByQueue.find(Policy.Queue);
  if (Found == ByQueue.end())
    return fromSeconds(Declared);
  const run_history &History = Found->second;
  const double HistoryWeight =
      static_cast<double>(std::min(History.Runs, FullTrustRuns)) /
      FullTrustRuns / 2;
  const double Corrected = Step.Estimate > duration{}
                               ? Declared * std::clamp(History.Ratio, 0.5, 2.0)
                               : History.Seconds;
  return fromSeconds(std::pow(History.Seconds, HistoryWeight) *
                     std::pow(Corrected, 1 - HistoryWeight));
}

duration run_forecast::criticalPath(const job_spec &Spec) const {
  std::vector<duration> EndOf;
  duration Longest{};
  for (const step_spec &Step : Spec.Steps) {
    duration Start{};
    for (const std::uint32_t Dependency : Step.After)
      Start = std::max(Start, EndOf[Dependency]);
    EndOf.push_back(Start + expectedDuration(Spec.Policy, Step));
    Longest = std::max(Longest, EndOf.back());
  }
  return Longest;
}

duration run_forecast::objective(const job_spec &Spec) const {
  const double Factor = std::max(Spec.Policy.SlackFactor, 1.0);
  return fromSeconds(secondsOf(criticalPath(Spec)) * Factor) +
         Spec.Policy.TargetLatency;
}

} // namespace geraniumpaddle::work
