#include "core/work/tests/schedulerharness.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

/// A gang of three on workers of unequal speed, and a worker that is free.
TEST_GROUP(GangProgress) {
  testing::scheduler_harness Cluster;

  void setup() override {
    for (const char *Id : {"w1", "w2", "w3", "w4"})
      Cluster.addWorker(Id, "a");
    job_spec Spec = testing::makeJob("gang", 3, 8);
    Spec.Steps[0].Gang = true;
    Cluster.submit(Spec);
    Cluster.run(300ms);
    LONGS_EQUAL(0, Cluster.ordered("w4").size());
  }

  std::size_t stalled() const {
    return Cluster.decisions(decision_kind::RunStopped, "stalled");
  }
  bool suspects(std::string_view Id) const {
    return Cluster.Scheduler->workers().all().at(worker_id(Id)).OnProbation;
  }
};

TEST(GangProgress, MembersThatWaitForTheSlowestOneDoNotStandStill) {
  Cluster.Percent = {{"w1", 100}, {"w2", 99}};
  for (std::int32_t Percent = 1; Percent < 100; Percent += 5) {
    Cluster.Percent["w3"] = Percent;
    Cluster.run(2s);
  }
  LONGS_EQUAL(0, stalled());
  LONGS_EQUAL(0,
              Cluster.decisions(decision_kind::RunStopped, "gang_not_ending"));
  LONGS_EQUAL(1, Cluster.ordered("w1").front().Run);
}

TEST(GangProgress, TheSlowestMemberIsFoundIfItStandsStill) {
  Cluster.Percent = {{"w1", 100}, {"w2", 80}, {"w3", 40}};
  Cluster.run(3s);
  LONGS_EQUAL(3, stalled());
  CHECK(suspects("w3"));
  CHECK(!suspects("w1") && !suspects("w2"));
}

TEST(GangProgress, AGangThatDoesNotEndIsStoppedWithoutASuspect) {
  Cluster.Percent = {{"w1", 100}, {"w2", 100}, {"w3", 100}};
  Cluster.run(3s);
  LONGS_EQUAL(3,
              Cluster.decisions(decision_kind::RunStopped, "gang_not_ending"));
  CHECK(!suspects("w1") && !suspects("w2") && !suspects("w3"));
}

// The fast member would end now, the gang does not.
TEST(GangProgress, AllMembersAreExpectedToEndWithTheSlowestOne) {
  Cluster.Percent = {{"w1", 100}, {"w2", 100}, {"w3", 20}};
  Cluster.run(1s);
  const auto &Workers = Cluster.Scheduler->workers().all();
  const live_run &Fast = *Workers.at(worker_id("w1")).Runs.front();
  CHECK(expectedEnd(Fast, Cluster.Present.Now) > Cluster.Present.Now);
}

TEST(GangProgress, ARunThatResumesIsExpectedToDoTheRest) {
  live_run Run{.ExpectedDuration = 10s,
               .Started = true,
               .Percent = 60,
               .StartPercent = 60,
               .StartedAt = time_point(1h),
               .PercentAt = time_point(1h)};
  Run.Pace = {.Percent = 60, .Since = Run.PercentAt};
  CHECK(expectedEnd(Run, time_point(1h)) == time_point(1h) + 4s);
  Run.Pace = {.Percent = 80, .Since = time_point(1h) + 1s};
  CHECK(expectedEnd(Run, time_point(1h) + 1s) == time_point(1h) + 2s);
}
