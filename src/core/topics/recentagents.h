#pragma once

#include "core/base/types/time.h"

#include <map>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Which agents have reported to an entry lately: a measure of how well the
/// workers can reach it.
class recent_agents {
public:
  /// An agent reports at least once a second, and waits 1.5 s for an entry that
  /// went silent.
  static constexpr duration Window = std::chrono::seconds(2);

  void recordReport(std::string_view Node, time_point Now);
  std::size_t count(time_point Now);

private:
  std::map<std::string, time_point, std::less<>> LastReport;
};

} // namespace geraniumpaddle
