#include "core/work/livejobs.h"
#include "core/work/runforecast.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;

TEST_GROUP(LiveJobs) {
  job_spec Spec = testing::makeJob("j1", 3);
  time_point Now{std::chrono::hours(1)};
  wall_time Wall{std::chrono::hours(100)};

  live_job make() {
    return {std::make_shared<const job_spec>(Spec), job_progress{}, Now};
  }
};

TEST(LiveJobs, LayoutMapsBothWays) {
  Spec.Steps.push_back({.Count = 2});
  Spec.Occurrences = 2;
  const task_layout Layout(Spec);
  LONGS_EQUAL(10, Layout.size());
  for (std::size_t I = 0; I < Layout.size(); ++I)
    LONGS_EQUAL(I, Layout.ordinal(Layout.position(I)));
  CHECK(Layout.contains({1, 1, 1}));
  CHECK(!Layout.contains({0, 1, 2}));
  CHECK(!Layout.contains({2, 0, 0}));
  CHECK(!Layout.contains({0, 2, 0}));
}

TEST(LiveJobs, AStepWaitsForAllTasksOfItsDependencies) {
  Spec.Steps.push_back({.Count = 1, .After = {0}});
  live_job Job = make();
  const step_ref First{Spec.Id, 0, 0};
  const step_ref Second{Spec.Id, 0, 1};
  CHECK(Job.ready(First, Wall));
  for (std::uint32_t I = 0; I < 3; ++I) {
    CHECK(!Job.ready(Second, Wall));
    Job.setDone({0, 0, I});
  }
  CHECK(Job.ready(Second, Wall));
  CHECK(!Job.allDone());
  Job.setDone({0, 1, 0});
  CHECK(Job.allDone());
}

TEST(LiveJobs, AnOccurrenceWaitsForItsStartTime) {
  Spec.Scheduled = true;
  Spec.Occurrences = 2;
  Spec.FirstStart = Wall;
  Spec.Interval = std::chrono::seconds(2);
  const live_job Job = make();
  CHECK(!Job.ready({Spec.Id, 0, 0}, Wall - std::chrono::milliseconds(1)));
  CHECK(Job.ready({Spec.Id, 0, 0}, Wall));
  CHECK(!Job.ready({Spec.Id, 1, 0}, Wall));
  CHECK(Job.ready({Spec.Id, 1, 0}, Wall + std::chrono::seconds(2)));
}

TEST(LiveJobs, CountsWaitingTasks) {
  live_job Job = make();
  const step_ref Step{Spec.Id, 0, 0};
  LONGS_EQUAL(3, Job.waitingCount(Step));
  Job.setRunning({0, 0, 1}, 1, {worker_id("w"), 1});
  LONGS_EQUAL(2, Job.waitingCount(Step));
  LONGS_EQUAL(2, Job.waiting(Step).size());
  Job.setWaiting({0, 0, 1});
  LONGS_EQUAL(3, Job.waitingCount(Step));
  Job.setDone({0, 0, 2});
  Job.setDone({0, 0, 2});
  LONGS_EQUAL(2, Job.waitingCount(Step));
}

// Other tasks of a lasting step that end meanwhile must not prolong the wait of
// the one that is not placed.
TEST(LiveJobs, ALastingTaskGoesOnWaitingWhenAnotherOneEnds) {
  const auto WaitingSince = [this](bool LongRunning) {
    Spec.Steps[0].LongRunning = LongRunning;
    live_job Job = make();
    const step_ref Step{Spec.Id, 0, 0};
    Job.setRunning({0, 0, 0}, 1, {});
    Job.noteWaiting(Step, Now);
    Job.setWaiting({0, 0, 0});
    return Job.noteWaiting(Step, Now + std::chrono::seconds(1));
  };
  CHECK(WaitingSince(true) == Now);
  CHECK(WaitingSince(false) == Now + std::chrono::seconds(1));
}

TEST(LiveJobs, AGangCountsOneFailureForEachRun) {
  Spec.Steps[0].Gang = true;
  live_job Job = make();
  LONGS_EQUAL(1, Job.countFailure({0, 0, 1}, 1));
  LONGS_EQUAL(1, Job.countFailure({0, 0, 2}, 1));
  LONGS_EQUAL(2, Job.countFailure({0, 0, 1}, 2));
}

TEST(LiveJobs, ForecastMovesFromTheEstimateToMeasuredTimes) {
  run_forecast Forecast;
  const step_spec &Step = Spec.Steps[0];
  CHECK(Forecast.expectedDuration(Spec.Policy, Step) == Step.Estimate);
  for (int I = 0; I < 20; ++I)
    Forecast.recordRun(Spec.Policy, Step, Step.Estimate * 2);
  const duration ExpectedDuration =
      Forecast.expectedDuration(Spec.Policy, Step);
  CHECK(ExpectedDuration > Step.Estimate * 19 / 10);
  CHECK(ExpectedDuration < Step.Estimate * 21 / 10);
}

TEST(LiveJobs, TheCriticalPathFollowsDependentSteps) {
  run_forecast Forecast;
  Spec.Steps.push_back({.Estimate = std::chrono::seconds(9)});
  Spec.Steps.push_back({.Estimate = std::chrono::seconds(6), .After = {0}});
  CHECK(Forecast.criticalPath(Spec) == std::chrono::seconds(10));
}
