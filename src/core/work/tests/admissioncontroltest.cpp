#include "core/work/admissioncontrol.h"
#include "core/work/backlog.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace geraniumpaddle::work::testing;
using namespace std::chrono_literals;

// The load: more comes than can be done within three times its objective.
TEST_GROUP(Door) {
  admission_control Door;
  backlog Backlog;
  time_point Now{1h};
  job_spec Job = makeJob("j1"); // priority 1, objective 3 x 4 s + 1 s

  void setup() override {
    for (int I = 0; I < 4; ++I)
      Backlog.addCapacity(makeWorker("w").Capacity); // 32 accelerators
  }
  /// Tasks of one accelerator and 4 s.
  void ahead(std::uint32_t Priority, std::uint32_t Tasks) {
    Backlog.add(Priority, Job.Steps[0].Need, Tasks, 4s);
    Door.updateForecast(Backlog.forecast(), Now);
  }
};

TEST(Door, LetsJobsInWhileNothingIsKnown) { CHECK(!Door.retryAfter(Job, Now)); }

TEST(Door, LetsJobsInThatWaitButCanStillEarn) {
  ahead(1, 300); // 37.5 s of work, worthless after 39 s
  CHECK(!Door.retryAfter(Job, Now));
}

TEST(Door, TurnsAwayWhatCouldNotEarnAnyMoreUntilItCould) {
  ahead(1, 400); // 50 s
  const auto RetryAfter = Door.retryAfter(Job, Now);
  CHECK(RetryAfter.has_value());
  LONGS_EQUAL(
      11,
      std::chrono::duration_cast<std::chrono::seconds>(*RetryAfter).count());
}

TEST(Door, CountsOnlyWhatGoesFirst) {
  ahead(2, 4000);
  CHECK(!Door.retryAfter(Job, Now));
  ahead(0, 400);
  CHECK(Door.retryAfter(Job, Now).has_value());
}

TEST(Door, ForgetsAForecastThatIsOld) {
  ahead(1, 400);
  CHECK(!Door.retryAfter(Job, Now + 3s));
}

TEST(Door, LetsJobsInThatStartAtATimeOfTheirOwn) {
  ahead(1, 400);
  Job.Scheduled = true;
  CHECK(!Door.retryAfter(Job, Now));
}

TEST(Door, LetsJobsInWhileNoWorkerIsKnown) {
  Backlog = {};
  ahead(1, 4000);
  CHECK(!Door.retryAfter(Job, Now));
}
