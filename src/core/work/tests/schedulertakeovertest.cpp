#include "core/work/tests/workbuilders.h"
#include "core/work/workscheduler.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

/// A scheduler whose term begins with what earlier terms have recorded.
TEST_GROUP(SchedulerTakeover) {
  present_time Present{.Now = time_point(1h), .Wall = wall_time(1h)};
  job_registry Registry;
  queue_directory Queues;
  evacuated_zones Evacuated;
  std::optional<work_scheduler> Scheduler;

  void setup() override { Queues.replace(testing::makeConfiguration()); }

  /// Records a job of one task that runs on \p Instance.
  void recordRunning(std::string_view Job, const worker_instance &Instance) {
    const job_spec Spec = testing::makeJob(Job, 1, 8);
    Registry.apply({submissionKey(Spec.Id), 0}, job_submitted{Spec});
    job_progress Progress{.State = job_state::Running};
    Progress.Tasks = {
        {.State = task_state::Running, .Run = 1, .LastWorker = Instance}};
    Registry.apply({progressKey(Spec.Id), 0},
                   job_progressed{Spec.Id, Progress});
  }

  void takeOver() {
    Scheduler.emplace(2, scheduler_limits{}, Registry, Queues, Evacuated,
                      Present);
    feed(scheduler_timer_expired{});
  }

  void feed(const scheduler_event &Event) {
    Present.Now += 50ms;
    Scheduler->handle(Event, Present);
  }
};

// The previous term knew that a run which is recorded for the earlier instance
// is on the later one; only the worker's report shows whether it still is.
TEST(SchedulerTakeover, TheLeaseOfALaterInstanceKeepsRunsOfTheEarlierOne) {
  recordRunning("j1", {worker_id("w1"), 1});
  takeOver();
  feed(previous_term_ended{
      {{.Instance = {worker_id("w1"), 2}, .End = Present.Now + 5s}}});
  LONGS_EQUAL(1, Scheduler->runningRuns());
  feed(worker_reported{
      {.Description = testing::makeWorker("w1", "r1", 2),
       .Listing = worker_listing{.StartTimeMs = 2, .ClockMs = 1000}}});
  const auto &Runs = Scheduler->workers().all().at(worker_id("w1")).Runs;
  LONGS_EQUAL(1, Runs.size());
  LONGS_EQUAL(2, Runs.front()->Run.Run); // placed again
}

TEST(SchedulerTakeover, AWorkerWithoutALeaseOfThePreviousTermIsGone) {
  recordRunning("j1", {worker_id("w1"), 1});
  takeOver();
  feed(previous_term_ended{});
  LONGS_EQUAL(0, Scheduler->runningRuns());
}

// The run of a cancelled job is still being stopped when the term begins, and
// the worker's listing is older than its start.
TEST(SchedulerTakeover, AnUnlistedRunOccupiesItsWorkerUntilItIsOver) {
  const worker_instance Instance{worker_id("w1"), 1};
  const job_spec Cancelled = testing::makeJob("old", 1, 8);
  Registry.apply({submissionKey(Cancelled.Id), 0}, job_submitted{Cancelled});
  Registry.apply({progressKey(Cancelled.Id), 0},
                 job_progressed{Cancelled.Id, {.State = job_state::Cancelled}});
  takeOver();
  const auto Report = [&](std::int64_t ClockMs, std::vector<run_ref> Unlisted,
                          orders_version Applied) {
    feed(worker_reported{
        {.Description = testing::makeWorker("w1"),
         .Listing = worker_listing{.StartTimeMs = 1, .ClockMs = ClockMs},
         .Unlisted = std::move(Unlisted),
         .Applied = Applied}});
  };
  const auto Job =
      std::make_shared<const job_spec>(testing::makeJob("j", 1, 8));
  Report(1000, {{{Cancelled.Id, {}}, 1}}, {1, 7});
  feed(job_arrived{Job});
  feed(scheduler_timer_expired{});
  const auto &Runs = Scheduler->workers().all().at(Instance.Worker).Runs;
  LONGS_EQUAL(1, Runs.size());
  CHECK(Runs.front()->Run.Task.Job == Cancelled.Id);
  Report(2000, {}, Scheduler->orders(Instance)->Version);
  feed(scheduler_timer_expired{});
  LONGS_EQUAL(1, Runs.size());
  CHECK(Runs.front()->Run.Task.Job == Job->Id);
}
