#include "core/work/tests/workbuilders.h"
#include "core/work/workscheduler.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

/// What a scheduler concludes from the reports of one worker. A job of one task
/// runs on it, and its records are stored at once.
TEST_GROUP(WorkerReport) {
  present_time Present{.Now = time_point(1h), .Wall = wall_time(1h)};
  job_registry Registry;
  queue_directory Queues;
  evacuated_zones Evacuated;
  std::unique_ptr<work_scheduler> Scheduler;
  const worker_instance Instance{worker_id("w1"), 1};
  const run_ref Run{{job_id("j1"), {}}, 1};
  std::int64_t ClockMs = 1000;
  int Placed = 0;
  int Ended = 0;

  void setup() override {
    Queues.replace(testing::makeConfiguration());
    Scheduler = std::make_unique<work_scheduler>(
        1, scheduler_limits{}, Registry, Queues, Evacuated, Present);
    report({});
    feed(job_arrived{
        std::make_shared<const job_spec>(testing::makeJob("j1", 1, 8))});
    feed(scheduler_timer_expired{});
    LONGS_EQUAL(1, Placed);
  }

  void feed(const scheduler_event &Event) {
    std::vector<std::uint64_t> Batches;
    Present.Now += 50ms;
    for (const scheduler_command &Each : Scheduler->handle(Event, Present)) {
      if (const auto *Append = std::get_if<append_progress>(&Each))
        Batches.push_back(Append->Batch);
      const auto *Decision = std::get_if<logged_decision>(&Each);
      Placed += Decision && Decision->Kind == decision_kind::RunPlaced;
      Ended += Decision && Decision->Kind == decision_kind::RunEnded;
    }
    for (const std::uint64_t Batch : Batches)
      feed(progress_stored{Batch});
  }

  void report(worker_listing Listing, std::vector<refused_start> Refused = {}) {
    Listing.StartTimeMs = Instance.StartTimeMs;
    Listing.ClockMs = ClockMs += 1000;
    const auto Orders = Scheduler->orders(Instance);
    feed(worker_reported{
        {.Description = testing::makeWorker("w1"),
         .Listing = std::move(Listing),
         .Refused = std::move(Refused),
         .Applied = Orders ? Orders->Version : orders_version{}}});
    feed(scheduler_timer_expired{});
  }

  worker_listing finished(run_end_reason Reason) const {
    return {.Finished = {{.Number = 1, .Run = Run, .EndReason = Reason}}};
  }
};

// A report may name a run both as refused and as running, while the worker
// stops it. Its capacity and its task must wait for its end.
TEST(WorkerReport, ARefusalDoesNotEndARunThatIsListedAsRunning) {
  const refused_start Refused{Run, start_refusal::Draining};
  report({.Running = {{.Run = Run}}}, {Refused});
  LONGS_EQUAL(1, Scheduler->runningRuns());
  LONGS_EQUAL(1, Placed);
  report(finished(run_end_reason::Stopped), {Refused});
  LONGS_EQUAL(2, Placed);
}

// The end of a run that was stopped may be beyond those that its worker lists;
// its checkpoint, or that it was done, would be lost.
TEST(WorkerReport, AListingThatLacksEndsDoesNotEndAStoppedRun) {
  report({.Running = {{.Run = Run}}});
  feed(job_cancel_requested{Run.Task.Job});
  report({.EndsComplete = false});
  LONGS_EQUAL(1, Scheduler->runningRuns());
  LONGS_EQUAL(0, Ended);
  report(finished(run_end_reason::Done));
  LONGS_EQUAL(1, Ended);
  LONGS_EQUAL(0, Scheduler->runningRuns());
}

TEST(WorkerReport, ARunIsNotStoppedAsUnstartedByAListingThatLacksEnds) {
  for (int I = 0; I < 4; ++I) {
    Present.Now += 1s;
    report({.EndsComplete = false});
  }
  LONGS_EQUAL(1, Scheduler->orders(Instance)->Runs.size());
  report(finished(run_end_reason::Done));
  LONGS_EQUAL(1, Placed);
}
