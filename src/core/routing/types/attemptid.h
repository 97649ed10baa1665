#pragma once

#include "core/base/types/ids.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace geraniumpaddle {

/// Names one attempt of a caller's request for all time: the entry that made
/// it, that entry's run, and a number that rises with each attempt of the run.
struct attempt_id {
  node_id Entry;
  incarnation EntryIncarnation{};
  std::uint64_t Number = 0;

  friend auto operator<=>(const attempt_id &, const attempt_id &) = default;
};

} // namespace geraniumpaddle

template <> struct std::hash<geraniumpaddle::attempt_id> {
  std::size_t operator()(const geraniumpaddle::attempt_id &Id) const noexcept {
    constexpr std::uint64_t Mix = 0x9e3779b97f4a7c15U;
    std::uint64_t Value = std::hash<geraniumpaddle::node_id>{}(Id.Entry);
    Value = (Value ^ geraniumpaddle::raw(Id.EntryIncarnation)) * Mix;
    return (Value ^ Id.Number) * Mix;
  }
};
