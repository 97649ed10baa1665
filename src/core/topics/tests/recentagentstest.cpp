#include "core/topics/recentagents.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

TEST_GROUP(RecentAgents) {
  recent_agents Agents;
  time_point Now{std::chrono::hours(1)};
};

TEST(RecentAgents, CountsEachAgentOnce) {
  Agents.recordReport("side-1", Now);
  Agents.recordReport("side-2", Now);
  Agents.recordReport("side-1", Now + 1s);
  LONGS_EQUAL(2, Agents.count(Now + 1s));
}

TEST(RecentAgents, ForgetsAnAgentThatNoLongerReports) {
  Agents.recordReport("side-1", Now);
  Agents.recordReport("side-2", Now + 1500ms);
  LONGS_EQUAL(1, Agents.count(Now + 2500ms));
  Agents.recordReport("side-1", Now + 2600ms);
  LONGS_EQUAL(2, Agents.count(Now + 2600ms));
}
