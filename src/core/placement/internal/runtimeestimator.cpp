#include "core/placement/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace geraniumpaddle {

namespace {

/// Factor on the weight of all earlier observations when one is added.
constexpr double DecayFactor = 0.95;
/// Weight of the customer's overall mean in the estimate of one class, in
/// observations.
constexpr double PriorWeight = 2;
/// An attempt that exceeds its estimate is expected to run on for this fraction
/// of the elapsed time.
constexpr double OverrunShare = 0.5;
/// Assumed for jobs that declare no run time.
constexpr std::chrono::seconds DefaultRunTime{3600};

std::chrono::seconds declaredOrDefault(std::chrono::seconds Declared) {
  return Declared.count() > 0 ? Declared : DefaultRunTime;
}

} // namespace

void run_time_estimator::decayed_log_ratio::add(double Value) {
  Weight = Weight * DecayFactor + 1;
  Sum = Sum * DecayFactor + Value;
}

std::size_t run_time_estimator::declaredClassOf(std::chrono::seconds Declared) {
  double Power = std::log2(static_cast<double>(Declared.count())) / 2;
  return std::min(static_cast<std::size_t>(Power), DeclaredClasses - 1);
}

void run_time_estimator::observe(const run_observation &Observation) {
  std::chrono::seconds Declared = declaredOrDefault(Observation.Declared);
  std::chrono::seconds Actual =
      std::max(Observation.Actual, std::chrono::seconds{1});
  double Ratio = std::log(static_cast<double>(Actual.count()) /
                          static_cast<double>(Declared.count()));
  customer_history &History = Histories[Observation.Customer];
  History.All.add(Ratio);
  History.ByDeclared[declaredClassOf(Declared)].add(Ratio);
}

std::chrono::seconds
run_time_estimator::estimate(const customer_id &Customer,
                             std::chrono::seconds Declared) const {
  Declared = declaredOrDefault(Declared);
  auto Found = Histories.find(Customer);
  if (Found == Histories.end())
    return Declared;
  const customer_history &History = Found->second;
  const decayed_log_ratio &ClassHistory =
      History.ByDeclared[declaredClassOf(Declared)];
  double Prior = PriorWeight * History.All.Sum / (History.All.Weight + 1);
  double Mean =
      (ClassHistory.Sum + Prior) / (ClassHistory.Weight + PriorWeight);
  double Expected = static_cast<double>(Declared.count()) * std::exp(Mean);
  return std::chrono::seconds{
      std::max(std::int64_t{1}, static_cast<std::int64_t>(Expected))};
}

std::chrono::seconds
run_time_estimator::remaining(const customer_id &Customer,
                              std::chrono::seconds Declared,
                              std::chrono::seconds Elapsed) const {
  std::chrono::seconds Remaining = estimate(Customer, Declared) - Elapsed;
  std::chrono::seconds Overrun{static_cast<std::int64_t>(
      OverrunShare * static_cast<double>(Elapsed.count()))};
  if (Remaining.count() > 0)
    return Remaining;
  return std::max(Overrun, std::chrono::seconds{1});
}

} // namespace geraniumpaddle
