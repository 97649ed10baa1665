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
    Appends.clear();
    for (const scheduler_command &Each : Scheduler->handle(Event, Present))
      if (const auto *Append = std::get_if<append_progress>(&Each))
        Appends.push_back(*Append);
  }

  /// The later instance of w1 lists \p Running and \p Finished.
  void reportLaterInstance(std::vector<running_run> Running,
                           std::vector<finished_run> Finished = {},
                           bool EndsComplete = true) {
    feed(worker_reported{
        {.Description = testing::makeWorker("w1", "r1", Later.StartTimeMs),
         .Listing = worker_listing{.StartTimeMs = Later.StartTimeMs,
                                   .ClockMs = ClockMs += 1000,
                                   .Running = std::move(Running),
                                   .Finished = std::move(Finished),
                                   .EndsComplete = EndsComplete},
         .Applied =
             Scheduler->orders(Later).value_or(worker_orders{}).Version}});
  }

  /// The log has a run of \p Job on the earlier instance of w1, which its start
  /// has left for the later one, and a run of \p Other on the later instance.
  void takeOverWithRunsOfTwoInstances(std::string_view Job,
                                      std::string_view Other) {
    Registry = {};
    recordRunning(Job, Earlier);
    recordRunning(Other, Later);
    takeOver();
  }

  std::uint64_t acknowledgedEnds() const {
    return Scheduler->orders(Later)->AcknowledgedEnds;
  }

  const worker_instance Earlier{worker_id("w1"), 1};
  const worker_instance Later{worker_id("w1"), 2};
  std::int64_t ClockMs = 0;
  std::vector<append_progress> Appends; ///< of the last event
};

// TWICE: a scheduler took over while a run that had reached the next instance
// of its worker was being stopped. Its end was acknowledged and not recorded.
TEST(SchedulerTakeover, TheEndOfARunOnTheNextInstanceIsRecordedFirst) {
  for (const auto &[Job, Other] : {std::pair("j1", "j2"), {"j3", "j0"}}) {
    takeOverWithRunsOfTwoInstances(Job, Other);
    const run_ref Run{{job_id(Job), {}}, 1};
    const run_ref OtherRun{{job_id(Other), {}}, 1};
    LONGS_EQUAL(2, Scheduler->workers().all().at(Later.Worker).Runs.size());
    reportLaterInstance({{.Run = Run}, {.Run = OtherRun}});
    reportLaterInstance({{.Run = OtherRun}}, {{.Number = 1, .Run = Run}});
    LONGS_EQUAL(0, acknowledgedEnds());
    LONGS_EQUAL(1, Appends.size());
    CHECK(Appends[0].Records[0].Job == Run.Task.Job);
    CHECK(Appends[0].Records[0].Progress.State == job_state::Completed);
    feed(progress_stored{Appends[0].Batch});
    LONGS_EQUAL(1, acknowledgedEnds());
  }
}

// LOST: as above, and the run was stopped. Its job went on as running with
// nothing running.
TEST(SchedulerTakeover, ARunStoppedOnTheNextInstanceIsPlacedAgain) {
  for (const auto &[Job, Other] : {std::pair("j1", "j2"), {"j3", "j0"}}) {
    takeOverWithRunsOfTwoInstances(Job, Other);
    const run_ref Run{{job_id(Job), {}}, 1};
    const run_ref OtherRun{{job_id(Other), {}}, 1};
    reportLaterInstance(
        {{.Run = OtherRun}},
        {{.Number = 1, .Run = Run, .EndReason = run_end_reason::Stopped},
         {.Number = 2, .Run = OtherRun}});
    feed(scheduler_timer_expired{});
    const auto &Runs = Scheduler->workers().all().at(Later.Worker).Runs;
    LONGS_EQUAL(1, Runs.size());
    CHECK(Runs.front()->Run.Task.Job == Run.Task.Job);
    LONGS_EQUAL(2, Runs.front()->Run.Run);
  }
}

// TWICE: a run was given up with the lease of its worker, which had ended it as
// done. The end was acknowledged, and the task was started again.
TEST(SchedulerTakeover, ATaskDoneByALostRunIsNotStartedAgain) {
  recordRunning("j1", Later);
  takeOver();
  feed(previous_term_ended{});
  LONGS_EQUAL(0, Scheduler->runningRuns());
  const run_ref Run{{job_id("j1"), {}}, 1};
  reportLaterInstance({}, {{.Number = 1, .Run = Run}});
  LONGS_EQUAL(0, Scheduler->openJobs());
  LONGS_EQUAL(0, Scheduler->runningRuns());
  LONGS_EQUAL(0, acknowledgedEnds()); // the records are not stored yet
}

// TWICE: as above, with the task placed elsewhere and not started there yet.
TEST(SchedulerTakeover, ATaskDoneByALostRunIsStoppedElsewhere) {
  recordRunning("j1", Later);
  takeOver();
  const worker_instance Elsewhere{worker_id("w2"), 1};
  feed(worker_reported{
      {.Description = testing::makeWorker("w2"),
       .Listing = worker_listing{.StartTimeMs = 1, .ClockMs = 1}}});
  feed(previous_term_ended{});
  feed(progress_stored{1});
  LONGS_EQUAL(1, Scheduler->orders(Elsewhere)->Runs.size());
  const run_ref Run{{job_id("j1"), {}}, 1};
  reportLaterInstance({}, {{.Number = 1, .Run = Run}});
  LONGS_EQUAL(0, Scheduler->orders(Elsewhere)->Runs.size());
  LONGS_EQUAL(0, Scheduler->openJobs());
}

// TWICE: as above, with the lost run listed once more before its end.
TEST(SchedulerTakeover, ATaskDoneByALostRunThatIsListedAgainIsNotStartedAgain) {
  recordRunning("j1", Later);
  takeOver();
  const worker_instance Elsewhere{worker_id("w2"), 1};
  feed(worker_reported{
      {.Description = testing::makeWorker("w2"),
       .Listing = worker_listing{.StartTimeMs = 1, .ClockMs = 1}}});
  feed(previous_term_ended{});
  const run_ref Run{{job_id("j1"), {}}, 1};
  reportLaterInstance({{.Run = Run}});
  reportLaterInstance({}, {{.Number = 1, .Run = Run}});
  feed(progress_stored{1});
  LONGS_EQUAL(0, Scheduler->orders(Elsewhere)->Runs.size());
  LONGS_EQUAL(0, Scheduler->openJobs());
}

// TWICE: the next instance of a worker is known and can't be listed yet, while
// the lease of the earlier one ends. A late report of it renews nothing.
TEST(SchedulerTakeover, RunsWaitForTheLeaseOfAnInstanceThatIsNotListedYet) {
  recordRunning("j1", Earlier);
  takeOver();
  const worker_report Unlisted{
      .Description = testing::makeWorker("w1", "r1", Later.StartTimeMs)};
  feed(previous_term_ended{{{.Instance = Earlier, .End = Present.Now + 2s}}});
  feed(worker_reported{Unlisted});
  const time_point LeaseEnd = Scheduler->workers().leaseEnd(Present.Now);
  Present.Now += 3s;
  feed(worker_reported{Unlisted});
  LONGS_EQUAL(1, Scheduler->runningRuns());
  Present.Now = LeaseEnd;
  feed(scheduler_timer_expired{});
  LONGS_EQUAL(0, Scheduler->runningRuns());
}

// TWICE: a run of the earlier instance that is in neither list may have ended
// on the later one, as long as the listing lacks ends.
TEST(SchedulerTakeover, AListingThatLacksEndsLosesNoRunOfTheEarlierInstance) {
  takeOverWithRunsOfTwoInstances("j1", "j2");
  const run_ref Run{{job_id("j1"), {}}, 1};
  const run_ref OtherRun{{job_id("j2"), {}}, 1};
  constexpr bool EndsComplete = false;
  reportLaterInstance({}, {{.Number = 1, .Run = OtherRun}}, EndsComplete);
  LONGS_EQUAL(1, Scheduler->runningRuns());
  CHECK(Scheduler->orders(Later)->Runs.empty()); // it is not to be started
  reportLaterInstance({}, {{.Number = 2, .Run = Run}});
  LONGS_EQUAL(0, Scheduler->openJobs());
}

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
