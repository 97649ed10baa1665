#include "core/work/runforecast.h"

#include <algorithm>
#include <cmath>

namespace geraniumpaddle::work {

namespace {

/// Weight of the newest run in the mean.
constexpr double NewestWeight = 0.1;
/// Runs after which what was learned counts as much as the declaration.
constexpr std::uint32_t TrustAfter = 5;
/// Used for steps that declare nothing, until runs have ended.
constexpr double UnknownSeconds = 3;

double secondsOf(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void run_forecast::updateForecast(const queue_policy &Policy,
                                  const step_spec &Step, duration Actual) {
  if (Step.LongRunning || Actual <= duration{})
    return;
  learned &Known = ByQueue[Policy.Queue];
  const double Seconds = secondsOf(Actual);
  const double Declared = secondsOf(Step.Estimate);
  const double Ratio = Declared > 0 ? Seconds / Declared : 1;
  const double Weight =
      std::max(NewestWeight, 1.0 / static_cast<double>(Known.Runs + 1));
  Known.Seconds += Weight * (Seconds - Known.Seconds);
  Known.Ratio += Weight * (Ratio - Known.Ratio);
  ++Known.Runs;
}

duration run_forecast::expected(const queue_policy &Policy,
                                const step_spec &Step) const {
  const double Declared =
      Step.Estimate > duration{} ? secondsOf(Step.Estimate) : UnknownSeconds;
  const auto Found = ByQueue.find(Policy.Queue);
  if (Found == ByQueue.end())
    return fromSeconds(Declared);
  const learned &Known = Found->second;
  const double Trust =
      static_cast<double>(std::min(Known.Runs, TrustAfter)) / TrustAfter / 2;
  const double Corrected = Step.Estimate > duration{}
                               ? Declared * std::clamp(Known.Ratio, 0.5, 2.0)
                               : Known.Seconds;
  return fromSeconds(std::pow(Known.Seconds, Trust) *
                     std::pow(Corrected, 1 - Trust));
}

duration run_forecast::longestChain(const job_spec &Spec) const {
  std::vector<duration> EndOf;
  duration Longest{};
  for (const step_spec &Step : Spec.Steps) {
    duration Start{};
    for (const std::uint32_t Earlier : Step.After)
      Start = std::max(Start, EndOf[Earlier]);
    EndOf.push_back(Start + expected(Spec.Policy, Step));
    Longest = std::max(Longest, EndOf.back());
  }
  return Longest;
}

duration run_forecast::objective(const job_spec &Spec) const {
  const double Factor = std::max(Spec.Policy.SlackFactor, 1.0);
  return std::chrono::duration_cast<duration>(longestChain(Spec) * Factor) +
         Spec.Policy.TargetLatency;
}

} // namespace geraniumpaddle::work
