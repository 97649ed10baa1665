#include "core/work/types/job.h"

#include <algorithm>

namespace geraniumpaddle::work {

resources reservedResources(const step_spec &Step) {
  resources Need = Step.Need;
  if (Step.BestEffortCpu)
    Need.MilliCores = 0;
  return Need;
}

bool hasMoreTasksThan(const job_spec &Spec, std::uint64_t Max) {
  std::uint64_t Count = 0;
  for (const step_spec &Step : Spec.Steps)
    Count += Step.Count;
  // The product could overflow.
  return Count > Max / std::max(Spec.Occurrences, 1U);
}

task_layout::task_layout(const job_spec &Spec) {
  std::uint32_t Start = 0;
  for (const step_spec &Step : Spec.Steps) {
    Starts.push_back(Start);
    Start += Step.Count;
  }
  Starts.push_back(Start);
  PerOccurrence = Start;
  Total = PerOccurrence * Spec.Occurrences;
}

std::size_t task_layout::ordinal(const task_position &Position) const {
  return Position.Occurrence * PerOccurrence + Starts[Position.Step] +
         Position.Index;
}

bool task_layout::contains(const task_position &Position) const {
  return PerOccurrence > 0 && Position.Step + 1 < Starts.size() &&
         Position.Index < Starts[Position.Step + 1] - Starts[Position.Step] &&
         Position.Occurrence < Total / PerOccurrence;
}

task_position task_layout::position(std::size_t Ordinal) const {
  const auto Inside = static_cast<std::uint32_t>(Ordinal % PerOccurrence);
  const auto After = std::upper_bound(Starts.begin(), Starts.end(), Inside);
  const auto Step =
      static_cast<std::uint32_t>(std::distance(Starts.begin(), After) - 1);
  return {static_cast<std::uint32_t>(Ordinal / PerOccurrence), Step,
          Inside - Starts[Step]};
}

} // namespace geraniumpaddle::work
