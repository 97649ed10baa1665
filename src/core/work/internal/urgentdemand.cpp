#include "core/work/urgentdemand.h"

#include <algorithm>
#include <vector>

namespace geraniumpaddle::work {

namespace {

/// Urgent jobs that are remembered, and for how long.
constexpr std::size_t RememberedJobs = 8;
constexpr duration RememberedFor = std::chrono::seconds(10);
/// Share of the remembered jobs that the room suffices for.
constexpr double CoveredShare = 0.75;

std::int64_t sizeOf(const urgent_demand::shape &Shape) {
  return std::int64_t{Shape.Step.Count} * Shape.Step.Need.Accelerators;
}

} // namespace

void urgent_demand::arrived(const job_spec &Spec, time_point Now) {
  Recent.push_back({Now, {Spec.Steps.front(), Spec.Policy.Service}});
  if (Recent.size() > RememberedJobs)
    Recent.pop_front();
}

std::optional<urgent_demand::shape>
urgent_demand::roomToKeep(time_point Now) const {
  std::vector<const shape *> Shapes;
  for (const arrival &Each : Recent)
    if (Now - Each.At <= RememberedFor)
      Shapes.push_back(&Each.Shape);
  if (Shapes.empty())
    return std::nullopt;
  std::sort(Shapes.begin(), Shapes.end(), [](const shape *A, const shape *B) {
    return sizeOf(*A) < sizeOf(*B);
  });
  const auto Index = static_cast<std::size_t>(
      static_cast<double>(Shapes.size() - 1) * CoveredShare);
  return *Shapes[Index];
}

} // namespace geraniumpaddle::work
