#include "core/work/types/worker.h"

#include <array>

namespace geraniumpaddle::work {

namespace {

template <typename Enum, std::size_t Size>
std::string_view nameIn(const std::array<std::string_view, Size> &Names,
                        Enum Value) {
  return Names.at(static_cast<std::size_t>(Value));
}

} // namespace

std::string_view name(job_state State) {
  static constexpr std::array<std::string_view, 5> Names{
      "queued", "running", "completed", "failed", "cancelled"};
  return nameIn(Names, State);
}

std::string_view name(run_end_reason End) {
  static constexpr std::array<std::string_view, 6> Names{
      "done", "failed", "stopped", "lapsed", "broken", "alone"};
  return nameIn(Names, End);
}

std::string_view name(start_refusal Refusal) {
  static constexpr std::array<std::string_view, 7> Names{
      "stale", "fenced", "late", "no_room", "unhealthy", "invalid", "draining"};
  return nameIn(Names, Refusal);
}

} // namespace geraniumpaddle::work
