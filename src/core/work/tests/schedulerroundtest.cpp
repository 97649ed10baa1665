#include "core/work/tests/workbuilders.h"
#include "core/work/workscheduler.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

TEST_GROUP(SchedulerRound) {
  present_time Present{.Now = time_point(1h), .Wall = wall_time(1h)};
  job_registry Registry;
  queue_directory Queues;
  evacuated_zones Evacuated;
  std::unique_ptr<work_scheduler> Scheduler;
  int Stopped = 0;
  int Placed = 0;
  int Ended = 0;
  std::vector<std::string> LoggedWaits;
  time_point TimerAt = time_point::max();

  void setup() override {
    Queues.replace(testing::makeConfiguration());
    Scheduler = std::make_unique<work_scheduler>(
        1, scheduler_limits{}, Registry, Queues, Evacuated, Present);
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
      if (Decision && Decision->Kind == decision_kind::StepWaiting)
        LoggedWaits.emplace_back(Decision->Detail);
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

// A job of which nothing runs, for which there is room twice over in a service
// of which less than half is in use, starts within 3 s, whatever else speaks
// against the workers that have the room.

TEST_GROUP_BASE(SchedulerStandstill, TEST_GROUP_CppUTestGroupSchedulerRound) {
  static constexpr duration Limit = 2500ms; // leaves time for the start

  void addWorker(std::string_view Id, std::string_view Rack,
                 std::string_view Kind = "plain") {
    worker_report Report{.Description = testing::makeWorker(Id, Rack),
                         .Listing = worker_listing{.StartTimeMs = 1}};
    Report.Description.Kind = std::string(Kind);
    Reports[std::string(Id)] = Report;
    feed(worker_reported{Report});
  }

  /// The runs that the orders of a worker contain.
  std::vector<run_ref> ordered(const std::string &Id) {
    std::vector<run_ref> Ordered;
    const auto Orders = Scheduler->orders(Reports[Id].Description.Instance);
    for (const desired_run &Each : Orders->Runs)
      Ordered.push_back(Each.Run);
    return Ordered;
  }

  /// The worker runs what it was ordered to; one run ends if a reason is given.
  void report(const std::string &Id,
              std::optional<run_end_reason> EndReason = std::nullopt) {
    worker_report &Report = Reports[Id];
    worker_listing &Listing = *Report.Listing;
    Report.Applied = Scheduler->orders(Report.Description.Instance)->Version;
    Listing.ClockMs = millisecondsOf(Present.Now.time_since_epoch());
    Listing.Running.clear();
    for (const run_ref &Run : ordered(Id))
      if (!NotStarting.contains(Id))
        Listing.Running.push_back({.Run = Run, .Percent = Percent});
    if (EndReason) {
      CHECK(!Listing.Running.empty());
      Listing.Finished = {{.Number = ++LastEnd,
                           .Run = Listing.Running.back().Run,
                           .EndReason = *EndReason}};
      Listing.Running.pop_back();
    }
    feed(worker_reported{Report});
  }

  /// Lets time pass; the workers run what they are ordered to.
  void wait(duration Time) {
    constexpr duration ReportInterval = 100ms;
    for (duration Passed{}; Passed < Time; Passed += ReportInterval) {
      runTimers(ReportInterval);
      for (const auto &[Id, Report] : Reports)
        report(Id);
    }
  }

  /// Fails as many runs on a worker as make it suspected.
  void failRuns(const std::string &Id, std::string_view Label) {
    for (const char *Job : {"failing-1", "failing-2", "failing-3"}) {
      job_spec Spec = testing::makeJob(Job);
      Spec.Steps[0].RequiredLabel = std::string(Label);
      submit(Spec);
      wait(100ms);
      report(Id, run_end_reason::Failed);
      feed(job_cancel_requested{Spec.Id});
      report(Id);
      wait(100ms);
    }
    Placed = 0;
  }

  /// Ends of runs are numbered in the whole test, which workers may do as well.
  std::uint64_t LastEnd = 0;
  std::map<std::string, worker_report> Reports;
  std::set<std::string> NotStarting; ///< workers that start nothing
  std::int32_t Percent = 0;          ///< progress of all runs
};

TEST(SchedulerStandstill, ASameRackStepDoesNotWaitForABusyRack) {
  for (const char *Rack : {"r1", "r2", "r3"}) {
    for (const char *Id : {"a", "b", "c"})
      addWorker(std::string(Rack) + Id, Rack);
    job_spec Busy = testing::makeJob(std::string("busy-") + Rack);
    Busy.Steps[0].RequiredLabel = Rack;
    Busy.Steps[0].Estimate = 60s;
    submit(Busy);
  }
  wait(100ms);
  Placed = 0;
  job_spec Spec = testing::makeJob("j1", 3, 8);
  Spec.Steps[0].SameRack = true;
  Spec.Steps[0].Gang = true;
  submit(Spec);
  wait(500ms);
  LONGS_EQUAL(0, Placed);
  wait(Limit - 500ms);
  LONGS_EQUAL(3, Placed);
}

TEST(SchedulerStandstill, ASameRackStepWaitsForItsRackInABusyService) {
  for (const char *Rack : {"r1", "r2"})
    for (const char *Id : {"a", "b"})
      addWorker(std::string(Rack) + Id, Rack);
  for (const char *Rack : {"r1", "r2"}) {
    job_spec Busy = testing::makeJob(std::string("busy-") + Rack, 1, 8);
    Busy.Steps[0].RequiredLabel = Rack;
    Busy.Steps[0].Need.MilliCores = 64000;
    Busy.Steps[0].Estimate = 60s;
    submit(Busy);
  }
  wait(100ms);
  Placed = 0;
  job_spec Spec = testing::makeJob("j1", 2, 8);
  Spec.Steps[0].SameRack = true;
  Spec.Steps[0].Gang = true;
  submit(Spec);
  wait(5s);
  LONGS_EQUAL(0, Placed);
}

TEST(SchedulerStandstill, AStepThatOnlyASuspectedWorkerFitsStarts) {
  addWorker("w1", "r1");
  addWorker("w2", "r1");
  addWorker("rare", "r1", "rare");
  failRuns("rare", "rare");
  job_spec Spec = testing::makeJob("j1");
  Spec.Steps[0].RequiredLabel = "rare";
  submit(Spec);
  wait(500ms);
  LONGS_EQUAL(0, Placed);
  wait(Limit - 500ms);
  LONGS_EQUAL(1, Placed);
}

// Its other task waits all the time, for another worker.
TEST(SchedulerStandstill, ATaskThatFailedOnASuspectedWorkerWaitsAnew) {
  addWorker("w1", "r1", "rare");
  addWorker("w2", "r1");
  failRuns("w1", "rare");
  job_spec Spec = testing::makeJob("j1", 2);
  Spec.Steps[0].RequiredLabel = "rare";
  Spec.Steps[0].MaxPerWorker = 1;
  submit(Spec);
  wait(Limit);
  LONGS_EQUAL(1, ordered("w1").size());
  report("w1", run_end_reason::Failed);
  wait(1s);
  LONGS_EQUAL(0, ordered("w1").size());
  wait(Limit - 1s);
  LONGS_EQUAL(1, ordered("w1").size());
}

TEST(SchedulerStandstill, ASuspectedWorkerIsTheLastChoice) {
  addWorker("w1", "r1");
  addWorker("w2", "r1", "rare");
  failRuns("w2", "rare");
  submit(testing::makeJob("j1", 4));
  wait(Limit);
  LONGS_EQUAL(4, ordered("w1").size());
}

TEST(SchedulerStandstill, AStepStartsBesideALastingTaskOnAWorkerOnProbation) {
  addWorker("w1", "r1");
  addWorker("rare", "r1", "rare");
  failRuns("rare", "rare");
  wait(4s);
  job_spec Lasting = testing::makeJob("lasting");
  Lasting.Steps[0].RequiredLabel = "rare";
  Lasting.Steps[0].LongRunning = true;
  submit(Lasting);
  wait(100ms);
  LONGS_EQUAL(1, Placed);
  report("rare");
  job_spec Spec = testing::makeJob("j1", 2);
  Spec.Steps[0].RequiredLabel = "rare";
  Spec.Steps[0].Gang = true;
  submit(Spec);
  wait(Limit);
  LONGS_EQUAL(3, Placed);
}

TEST(SchedulerStandstill, EachLastingTaskStartsAlthoughOthersOfItsJobRun) {
  addWorker("w1", "r1");
  addWorker("rare", "r1", "rare");
  failRuns("rare", "rare");
  wait(4s);
  job_spec Spec = testing::makeJob("j1", 3);
  Spec.Steps[0].RequiredLabel = "rare";
  Spec.Steps[0].LongRunning = true;
  submit(Spec);
  wait(100ms);
  LONGS_EQUAL(1, Placed);
  report("rare");
  wait(Limit);
  LONGS_EQUAL(3, Placed);
}

TEST(SchedulerStandstill, CapacityReservedForAGangThatWaitsIsUsed) {
  for (const char *Id : {"w1", "w2", "w3", "w4"})
    addWorker(Id, "r1");
  job_spec Busy = testing::makeJob("busy", 1, 8);
  Busy.Steps[0].Estimate = 60s;
  submit(Busy);
  wait(100ms);
  job_spec Gang = testing::makeJob("gang", 4, 8);
  Gang.Steps[0].Gang = true;
  submit(Gang);
  wait(100ms);
  Placed = 0;
  job_spec Long = testing::makeJob("j1", 1, 8);
  Long.Steps[0].Estimate = 200s;
  submit(Long);
  wait(500ms);
  LONGS_EQUAL(0, Placed);
  wait(Limit - 500ms);
  LONGS_EQUAL(1, Placed);
}

// A round plans for a few urgent steps only; the others hold up what could use
// their capacity, but not for ever.
TEST(SchedulerStandstill, UrgentStepsWithoutAPlanHoldNobodyUpForLong) {
  addWorker("w1", "r1");
  for (const char *Id : {"w2", "w3", "w4"})
    addWorker(Id, "r2");
  for (int I = 0; I < 10; ++I) {
    job_spec Urgent = testing::makeJob("urgent-" + std::to_string(I), 1, 8);
    Urgent.Policy.Queue = "urgent";
    Urgent.Policy.Priority = 0;
    Urgent.Customer = customer_id("bolt");
    Urgent.Steps[0].RequiredLabel = "r1";
    Urgent.Steps[0].Estimate = 30s;
    submit(Urgent);
  }
  wait(100ms);
  LONGS_EQUAL(1, Placed);
  submit(testing::makeJob("j1"));
  wait(Limit);
  LONGS_EQUAL(2, Placed);
}

TEST(SchedulerStandstill, AJobThatFailedOnTheOnlyFreeWorkersStarts) {
  for (const char *Id : {"w1", "w2", "w3", "w4"})
    addWorker(Id, Id);
  job_spec Spec = testing::makeJob("j1", 1, 8);
  Spec.Steps[0].RequiredLabel = "w1";
  submit(Spec);
  wait(100ms);
  job_spec Other = testing::makeJob("j2", 1, 4);
  Other.Policy.Queue = "batch";
  submit(Other);
  wait(100ms);
  std::string First;
  for (const char *Id : {"w2", "w3", "w4"})
    if (!ordered(Id).empty())
      First = Id;
  // All but the worker where it failed are taken, with less than half in use.
  for (const char *Id : {"w2", "w3", "w4"}) {
    if (Id == First)
      continue;
    job_spec Busy = testing::makeJob(std::string("busy-") + Id, 1, 5);
    Busy.Steps[0].RequiredLabel = Id;
    Busy.Steps[0].Estimate = 60s;
    Busy.Steps[0].Need.MilliCores = 1000;
    submit(Busy);
  }
  wait(100ms);
  Placed = 0;
  report(First, run_end_reason::Failed);
  wait(Limit);
  LONGS_EQUAL(1, Placed);
}

TEST(SchedulerStandstill, ARunThatItsWorkerDoesNotStartRunsElsewhere) {
  addWorker("w1", "r1");
  addWorker("w2", "r1");
  NotStarting = {"w1", "w2"};
  submit(testing::makeJob("j1"));
  wait(1s);
  LONGS_EQUAL(1, Placed);
  const std::string Next = ordered("w1").empty() ? "w1" : "w2";
  NotStarting.erase(Next);
  wait(1500ms);
  LONGS_EQUAL(2, Placed);
  LONGS_EQUAL(1, ordered(Next).size());
}

TEST(SchedulerStandstill, AGangRunsWithoutAWorkerThatDoesNotStartItsMember) {
  for (const char *Id : {"w1", "w2", "w3"})
    addWorker(Id, "r1");
  NotStarting = {"w1"};
  job_spec Gang = testing::makeJob("gang", 2, 8);
  Gang.Steps[0].Gang = true;
  submit(Gang);
  wait(100ms);
  LONGS_EQUAL(1, ordered("w1").size());
  wait(Limit);
  LONGS_EQUAL(4, Placed);
  CHECK(ordered("w1").empty());
}

// An unhealthy worker may list its runs and refuse every start.
TEST(SchedulerStandstill, ARunThatIsRefusedIsPlacedOnAnotherWorker) {
  addWorker("w1", "r1");
  addWorker("w2", "r1");
  submit(testing::makeJob("j1"));
  runTimers(100ms);
  const std::string First = ordered("w1").empty() ? "w2" : "w1";
  const std::string Other = First == "w1" ? "w2" : "w1";
  NotStarting = {First};
  Reports[First].Refused = {{ordered(First).front(), start_refusal::Unhealthy}};
  report(First);
  runTimers(100ms);
  LONGS_EQUAL(2, Placed);
  CHECK(ordered(First).empty());
  LONGS_EQUAL(1, ordered(Other).size());
}

// Without a listing nothing is known of the run; it may be at work.
TEST(SchedulerStandstill, ARunOfAWorkerThatIsSilentForAWhileIsNotStopped) {
  addWorker("w1", "r1");
  submit(testing::makeJob("j1"));
  runTimers(4s);
  report("w1");
  wait(1s);
  LONGS_EQUAL(0, Stopped);
  LONGS_EQUAL(1, Placed);
}

// A worker that keeps lasting tasks at work is sound, though no run of it ends.
TEST(SchedulerStandstill, ALastingTaskAtWorkEndsTheProbationOfItsWorker) {
  addWorker("w1", "r1");
  addWorker("rare", "r1", "rare");
  failRuns("rare", "rare");
  wait(4s);
  job_spec Lasting = testing::makeJob("lasting");
  Lasting.Steps[0].RequiredLabel = "rare";
  Lasting.Steps[0].LongRunning = true;
  submit(Lasting);
  wait(1s); // it only starts
  Percent = 100;
  wait(3s);
  CHECK(!Scheduler->workers().all().at(worker_id("rare")).reliable());
  wait(2s);
  LONGS_EQUAL(1, Placed);
  job_spec Spec = testing::makeJob("j1", 3);
  Spec.Steps[0].RequiredLabel = "rare";
  submit(Spec);
  wait(100ms);
  LONGS_EQUAL(4, Placed);
}

TEST(SchedulerStandstill, ALongWaitIsLoggedOnceWithItsReason) {
  submit(testing::makeJob("j1"));
  wait(900ms);
  CHECK(LoggedWaits.empty());
  wait(3s);
  CHECK(LoggedWaits == std::vector<std::string>{"no_worker"});
  addWorker("w1", "r1");
  wait(100ms);
  LONGS_EQUAL(1, Placed);
  job_spec Labelled = testing::makeJob("labelled");
  Labelled.Steps[0].RequiredLabel = "none";
  submit(Labelled);
  submit(testing::makeJob("large", 1, 9));
  wait(3s);
  CHECK(LoggedWaits ==
        (std::vector<std::string>{"no_worker", "label", "no_room"}));
}

TEST(SchedulerStandstill, OnlyFailedRunsUseUpTheAttemptsOfATask) {
  addWorker("w1", "r1");
  submit(testing::makeJob("j1"));
  wait(100ms);
  for (const auto EndReason :
       {run_end_reason::Stopped, run_end_reason::LeaseExpired,
        run_end_reason::GangMemberEnded, run_end_reason::GangIncomplete})
    for (int I = 0; I < 3; ++I) {
      report("w1", EndReason);
      wait(100ms);
    }
  LONGS_EQUAL(1, ordered("w1").size());
  report("w1", run_end_reason::Failed);
  wait(100ms);
  LONGS_EQUAL(1, Scheduler->openJobs());
  report("w1", run_end_reason::Failed);
  wait(100ms);
  LONGS_EQUAL(0, Scheduler->openJobs());
}

TEST(SchedulerStandstill, AStepThatFitsNowhereForAWhileIsKept) {
  addWorker("w1", "r1");
  job_spec Spec = testing::makeJob("j1");
  Spec.Steps[0].RequiredLabel = "r2";
  submit(Spec);
  Reports.clear(); // w1 is lost
  runTimers(60s);
  LONGS_EQUAL(1, Scheduler->openJobs());
  addWorker("w2", "r2");
  wait(100ms);
  LONGS_EQUAL(1, Placed);
}

TEST(SchedulerStandstill, NothingIsPlacedOnAnInstanceThatHasASuccessor) {
  addWorker("w1", "r1");
  addWorker("w2", "r1");
  feed(worker_reported{
      {.Description = testing::makeWorker("w1", "r1", 2)}}); // not listed yet
  submit(testing::makeJob("j1"));
  wait(100ms);
  LONGS_EQUAL(1, ordered("w2").size());
}

// Its deadline counts from the end of its last run, not from its submission.
TEST(SchedulerStandstill, ALastingTaskIsRestartedBeforeJobsThatCameLater) {
  addWorker("w1", "r1");
  job_spec Lasting = testing::makeJob("lasting", 1, 8);
  Lasting.Steps[0].LongRunning = true;
  submit(Lasting);
  wait(60s);
  submit(testing::makeJob("first", 1, 8));
  wait(100ms);
  report("w1", run_end_reason::Failed);
  wait(100ms);
  LONGS_EQUAL(2, Placed);
  submit(testing::makeJob("later", 1, 8));
  wait(100ms);
  report("w1", run_end_reason::Done);
  wait(100ms);
  LONGS_EQUAL(3, Placed);
  CHECK(ordered("w1").front().Task.Job == job_id("lasting"));
}
