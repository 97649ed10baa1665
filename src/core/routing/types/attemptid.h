#pragma once

#include "core/base/types/ids.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace geraniumpaddle {

/// Globally unique identifier of one attempt of a caller's request: the entry
/// that made it, the entry's incarnation, and a number that increases with each
/// attempt of that incarnation. Never reused.
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
