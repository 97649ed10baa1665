#pragma once

#include "core/base/types/time.h"

#include <map>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Agents that recently reported to an entry: a measure of how well the workers
/// can reach it.
class recent_agents {
public:
  /// Agents report at least once a second; the timeout of a report is 1.5 s.
  static constexpr duration Window = std::chrono::seconds(2);

  void recordReport(std::string_view Node, time_point Now);
  std::size_t count(time_point Now);

private:
  std::map<std::string, time_point, std::less<>> LastReport;
};

} // namespace geraniumpaddle
