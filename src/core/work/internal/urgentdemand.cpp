#include "core/work/urgentdemand.h"

#include <algorithm>
#include <vector>

namespace geraniumpaddle::work {

namespace {

/// Urgent jobs that are taken into account, by number and by age.
constexpr std::size_t WindowJobs = 8;
constexpr duration WindowDuration = std::chrono::seconds(10);
/// Quantile of the demand of these jobs that the reservation covers.
constexpr double CoveredQuantile = 0.75;

std::int64_t sizeOf(const urgent_demand::demand_shape &Shape) {
  return std::int64_t{Shape.Step.Count} * Shape.Step.Need.Accelerators;
}

} // namespace

void urgent_demand::recordArrival(const job_spec &Spec, time_point Now) {
  Recent.push_back({Now, {Spec.Steps.front(), Spec.Policy.Service}});
  if (Recent.size() > WindowJobs)
    Recent.pop_front();
}

std::optional<urgent_demand::demand_shape>
urgent_demand::capacityToReserve(time_point Now) const {
  std::vector<const demand_shape *> Shapes;
  for (const arrival &Each : Recent)
    if (Now - Each.At <= WindowDuration)
      Shapes.push_back(&Each.Shape);
  if (Shapes.empty())
    return std::nullopt;
  std::sort(Shapes.begin(), Shapes.end(),
            [](const demand_shape *A, const demand_shape *B) {
              return sizeOf(*A) < sizeOf(*B);
            });
  const auto Index = static_cast<std::size_t>(
      static_cast<double>(Shapes.size() - 1) * CoveredQuantile);
  return *Shapes[Index];
}

} // namespace geraniumpaddle::work
