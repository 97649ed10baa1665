#include "core/work/tests/workbuilders.h"
#include "core/work/workscheduler.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

TEST_GROUP(SchedulerRound) {
  present_time Present{.Now = time_point(1h), .Wall = wall_time(1h)};
  job_registry Registry;
  queue_directory Queues;
  std::unique_ptr<work_scheduler> Scheduler;
  int Stopped = 0;
  int Placed = 0;
  int Ended = 0;
  time_point TimerAt = time_point::max();

  void setup() override {
    Queues.replace(testing::makeConfiguration());
    Scheduler = std::make_unique<work_scheduler>(1, scheduler_limits{},
                                                 Registry, Queues, Present);
  }

  /// Feeds \p Event and stores what the scheduler appends.
  void feed(const scheduler_event &Event) {
    std::vector<std::uint64_t> Batches;
    TimerAt = time_point::max();
    for (const scheduler_command &Each : Scheduler->handle(Event, Present)) {
      if (const auto *Timer = std::get_if<set_scheduler_timer>(&Each))
        TimerAt = Timer->At;
      if (const auto *Append = std::get_if<append_progress>(&Each))
        Batches.push_back(Append->Batch);
      const auto *Decision = std::get_if<logged_decision>(&Each);
      Stopped += Decision && Decision->Kind == decision_kind::RunStopped;
      Ended += Decision && Decision->Kind == decision_kind::RunEnded;
      Placed += Decision && Decision->Kind == decision_kind::RunPlaced;
    }
    for (const std::uint64_t Batch : Batches)
      feed(progress_stored{Batch});
  }

  void runRounds(int Rounds) {
    for (int I = 0; I < Rounds; ++I) {
      Present.Now += 50ms;
      feed(scheduler_timer_expired{});
    }
  }

  void pass(duration Time) {
    Present.Now += Time;
    Present.Wall += std::chrono::duration_cast<wall_time::duration>(Time);
  }

  /// Lets \p Time pass without any event but the timers that were set.
  void runTimers(duration Time) {
    const time_point End = Present.Now + Time;
    while (TimerAt <= End) {
      pass(std::max(TimerAt - Present.Now, duration{}));
      feed(scheduler_timer_expired{});
    }
    pass(End - Present.Now);
  }

  void addWorkers(int Count) {
    for (int I = 0; I < Count; ++I)
      feed(worker_reported{
          {.Description = testing::makeWorker("w" + std::to_string(I)),
           .Listing = worker_listing{.StartTimeMs = 1}}});
  }

  void submit(job_spec Spec) {
    Spec.SubmittedAt = Present.Wall;
    feed(job_arrived{std::make_shared<const job_spec>(Spec)});
  }

  void submit(int Jobs, std::uint32_t Priority, duration Estimate) {
    for (int I = 0; I < Jobs; ++I) {
      job_spec Spec = testing::makeJob(
          std::to_string(Priority) + "-" + std::to_string(I), 1, 8);
      Spec.Policy.Queue = Priority == 0 ? "urgent" : "batch";
      Spec.Policy.Priority = Priority;
      Spec.Steps[0].Estimate = Estimate;
      Spec.SubmittedAt = Present.Wall;
      feed(job_arrived{std::make_shared<const job_spec>(Spec)});
    }
  }
};

// A round plans preemption for a few steps only. Those that wait for runs that
// are being stopped already must not keep later ones from their plan.
TEST(SchedulerRound, ABurstOfUrgentJobsPreemptsForAllOfThem) {
  constexpr int Count = 20;
  for (int I = 0; I < Count; ++I)
    feed(worker_reported{
        {.Description = testing::makeWorker("w" + std::to_string(I)),
         .Listing = worker_listing{.StartTimeMs = 1}}});
  submit(Count, 1, 60s);
  runRounds(5);
  LONGS_EQUAL(Count, Placed);
  submit(Count, 0, 4s);
  runRounds(10);
  LONGS_EQUAL(Count, Stopped);
}

// Orders that the agent applied before its worker's lease expired don't show
// that it has stopped a run of later ones.
TEST(SchedulerRound, OrdersFromBeforeALeaseExpiredDoNotEndARunOfLaterOnes) {
  const auto Report = [this](std::uint64_t Applied, std::int64_t ClockMs) {
    feed(worker_reported{
        {.Description = testing::makeWorker("w1"),
         .Listing = worker_listing{.StartTimeMs = 1, .ClockMs = ClockMs},
         .Applied = {1, Applied}}});
  };
  const worker_instance Instance{worker_id("w1"), 1};
  Report(0, 1000);
  submit(8, 1, 60s);
  runRounds(5);
  const std::uint64_t Before = Scheduler->orders(Instance)->Version.Number;
  Present.Now += 60s;
  runRounds(1);
  CHECK(!Scheduler->orders(Instance));
  Report(Before, 61000);
  runRounds(5);
  CHECK(Scheduler->orders(Instance)->Version.Number > Before);
  LONGS_EQUAL(1, Scheduler->orders(Instance)->Runs.size());
  Ended = 0;
  for (int I = 0; I < 8; ++I)
    feed(job_cancel_requested{job_id("1-" + std::to_string(I))});
  Report(Before, 62000);
  LONGS_EQUAL(0, Ended);
}

// The new instance runs a start that was sent to the earlier one. Its task must
// not run elsewhere before that run has ended.
TEST(SchedulerRound, ARunThatTheNextInstanceListsHoldsItsTask) {
  const auto Report = [this](std::uint64_t StartTimeMs,
                             std::optional<worker_listing> Listing) {
    feed(worker_reported{
        {.Description = testing::makeWorker("w1", "r1", StartTimeMs),
         .Listing = std::move(Listing)}});
  };
  Report(1, worker_listing{.StartTimeMs = 1});
  submit(1, 1, 4s);
  runRounds(2);
  LONGS_EQUAL(1, Placed);
  feed(worker_reported{{.Description = testing::makeWorker("w2"),
                        .Listing = worker_listing{.StartTimeMs = 1}}});
  const run_ref Run{{job_id("1-0"), {}}, 1};
  Report(2, std::nullopt); // its runs are not known yet
  runRounds(2);
  LONGS_EQUAL(1, Placed);
  const worker_instance Next{worker_id("w1"), 2};
  CHECK(Scheduler->orders(Next) && Scheduler->orders(Next)->Runs.empty());
  Report(2, worker_listing{.StartTimeMs = 2, .Running = {{.Run = Run}}});
  runRounds(2);
  LONGS_EQUAL(1, Placed);
  LONGS_EQUAL(1, Stopped);
  Report(2,
         worker_listing{.StartTimeMs = 2,
                        .ClockMs = 1,
                        .Finished = {{.Number = 1,
                                      .Run = Run,
                                      .EndReason = run_end_reason::Stopped}}});
  runRounds(2);
  LONGS_EQUAL(2, Placed);
}

// An agent that repeats a listing, or that can't reach its worker, knows
// nothing of the worker that would extend the lease.
TEST(SchedulerRound, OnlyAListingOfTheWorkerItselfExtendsItsLease) {
  worker_report Report{.Description = testing::makeWorker("w1"),
                       .Listing =
                           worker_listing{.StartTimeMs = 1, .ClockMs = 1000}};
  feed(worker_reported{Report});
  const time_point LeaseEnd = Scheduler->leases().front().End;
  Present.Now += 3s;
  feed(worker_reported{Report});
  CHECK(Scheduler->leases().front().End == LeaseEnd);
  Report.Listing.reset();
  Report.Reachable = false;
  feed(worker_reported{Report});
  CHECK(Scheduler->leases().front().End == LeaseEnd);
  Report.Listing = worker_listing{.StartTimeMs = 1, .ClockMs = 4000};
  Report.Reachable = true;
  feed(worker_reported{Report});
  CHECK(Scheduler->leases().front().End == LeaseEnd + 3s);
}

// A batch that is stored in between must not drop the timer of the occurrence.
TEST(SchedulerRound, AnOccurrenceStartsAtItsTimeWithoutAnyOtherEvent) {
  addWorkers(2);
  job_spec Spec = testing::makeJob("timed");
  Spec.Scheduled = true;
  Spec.FirstStart = Present.Wall + 3s;
  submit(Spec);
  runTimers(1s);
  submit(1, 1, 4s);
  runTimers(1500ms);
  LONGS_EQUAL(1, Placed);
  runTimers(600ms);
  LONGS_EQUAL(2, Placed);
}

// The room that was reserved for it is free again.
TEST(SchedulerRound, ACancelledJobThatNeverRanLetsOthersStart) {
  addWorkers(2);
  submit(1, 1, 4s);
  runTimers(100ms);
  job_spec Gang = testing::makeJob("gang", 2, 8);
  Gang.Steps[0].Gang = true;
  submit(Gang);
  runTimers(100ms);
  job_spec Long = testing::makeJob("long", 1, 8);
  Long.Steps[0].Estimate = 5s;
  submit(Long);
  runTimers(100ms);
  LONGS_EQUAL(1, Placed);
  feed(job_cancel_requested{job_id("gang")});
  runTimers(100ms);
  LONGS_EQUAL(2, Placed);
}
