#pragma once

#include <chrono>
#include <cstdint>

namespace geraniumpaddle {

/// Tag of the monotonic time line that adapters read and hand to decisions.
struct monotonic_time_line {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name
  static constexpr bool is_steady = true;
};

using duration = std::chrono::microseconds;
/// Present time as decisions see it; only differences mean anything.
using time_point = std::chrono::time_point<monotonic_time_line, duration>;
/// Calendar time for the audit trail; never decides safety.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Whole milliseconds, as messages and logs give them.
constexpr std::int64_t millisecondsOf(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}
/// Milliseconds since 1970.
constexpr std::int64_t millisecondsOf(wall_time Time) {
  return Time.time_since_epoch().count();
}

} // namespace geraniumpaddle
