#include "core/topics/recentagents.h"

namespace geraniumpaddle {

void recent_agents::recordReport(std::string_view Node, time_point Now) {
  const auto Found = LastReport.find(Node);
  if (Found != LastReport.end())
    Found->second = Now;
  else
    LastReport.emplace(Node, Now);
}

std::size_t recent_agents::count(time_point Now) {
  std::erase_if(LastReport,
                [Now](const auto &Each) { return Now - Each.second > Window; });
  return LastReport.size();
}

} // namespace geraniumpaddle
