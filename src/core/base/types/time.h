#pragma once

#include <chrono>
#include <cstdint>

namespace geraniumpaddle {

/// Clock tag of time_point. The core never reads a clock: the code around it
/// reads a monotonic clock and passes the time in.
struct monotonic_clock_tag {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  // NOLINTNEXTLINE(readability-identifier-naming): name required by std::chrono
  static constexpr bool is_steady = true;
};

using duration = std::chrono::microseconds;
/// Monotonic time; only differences between two values are meaningful.
using time_point = std::chrono::time_point<monotonic_clock_tag, duration>;
/// Calendar time for the audit trail; correctness never depends on it.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// \p Time in whole milliseconds, as used in messages and logs.
constexpr std::int64_t millisecondsOf(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}
/// Milliseconds since the Unix epoch.
constexpr std::int64_t millisecondsOf(wall_time Time) {
  return Time.time_since_epoch().count();
}

} // namespace geraniumpaddle
