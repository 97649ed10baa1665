#pragma once

#include <compare>
#include <cstdint>

namespace geraniumpaddle {

/// Resources that a task needs or a worker has.
struct resources {
  std::int32_t Accelerators = 0;
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;

  friend auto operator<=>(const resources &, const resources &) = default;

  resources &operator+=(const resources &Other) {
    Accelerators += Other.Accelerators;
    MilliCores += Other.MilliCores;
    MemoryMb += Other.MemoryMb;
    return *this;
  }
  resources &operator-=(const resources &Other) {
    Accelerators -= Other.Accelerators;
    MilliCores -= Other.MilliCores;
    MemoryMb -= Other.MemoryMb;
    return *this;
  }
  /// True if no component of \p Need exceeds the one here.
  bool covers(const resources &Need) const {
    return Need.Accelerators <= Accelerators && Need.MilliCores <= MilliCores &&
           Need.MemoryMb <= MemoryMb;
  }
};

} // namespace geraniumpaddle
