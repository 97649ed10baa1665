#include "core/gang/tests/gangworld.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

TEST_GROUP(GangWhole) {
  gang_world World;

  void teardown() override {
    const auto Violation = World.violation();
    if (Violation)
      FAIL(Violation->c_str());
  }
  bool runs(fencing_token Token, duration Limit = 2s) {
    return World.runUntil([&] { return World.allRun(Token); }, Limit);
  }
  bool ends(fencing_token Token, duration Limit) {
    return World.runUntil([&] { return World.gang(Token).Ended.has_value(); },
                          Limit);
  }
};

TEST(GangWhole, RunsOnEveryMemberAndEnds) {
  const fencing_token Token = World.place("job", {0, 1, 2}, 0b11);
  CHECK(runs(Token, 500ms));
  CHECK(ends(Token, gang_world::RunTime + 10s));
  CHECK(World.gang(Token).Ended->Outcome == job_outcome::Succeeded);
  CHECK(World.longestPartial(Token) < 100ms);
  UNSIGNED_LONGS_EQUAL(3, World.starts(Token));
}
