#include "core/work/tests/schedulerharness.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

/// Two zones with a worker each, on which a task of 8 accelerators fills one.
TEST_GROUP(Evacuation) {
  testing::scheduler_harness Cluster;
  const availability_zone_id ZoneA{"a"};
  const availability_zone_id ZoneB{"b"};

  void setup() override {
    Cluster.addWorker("wa", "a");
    Cluster.addWorker("wb", "b");
  }

  void evacuate(const availability_zone_id &Zone) {
    CHECK(Cluster.Evacuated.evacuate(Zone));
    Cluster.feed(evacuations_changed{});
  }
  void restore(const availability_zone_id &Zone) {
    CHECK(Cluster.Evacuated.restore(Zone));
    Cluster.feed(evacuations_changed{});
  }
  static job_spec urgentJob() {
    job_spec Spec = testing::makeJob("urgent", 1, 8);
    Spec.Policy.Queue = "urgent";
    Spec.Policy.Priority = 0;
    return Spec;
  }
  static job_spec gang(std::uint32_t Count) {
    job_spec Spec = testing::makeJob("gang", Count, 8);
    Spec.Steps[0].Gang = true;
    return Spec;
  }
};

TEST(Evacuation, NothingIsPlacedThereUntilItIsTakenBack) {
  evacuate(ZoneA);
  Cluster.submit(testing::makeJob("j1", 2, 8));
  Cluster.run(2s); // long enough for steps that stand still
  LONGS_EQUAL(0, Cluster.ordered("wa").size());
  LONGS_EQUAL(1, Cluster.ordered("wb").size());
  restore(ZoneA);
  Cluster.run(100ms);
  LONGS_EQUAL(1, Cluster.ordered("wa").size());
}

TEST(Evacuation, TasksThatRunThereGoOn) {
  Cluster.submit(testing::makeJob("j1", 2, 8));
  Cluster.run(200ms);
  evacuate(ZoneA);
  Cluster.run(2s);
  LONGS_EQUAL(1, Cluster.ordered("wa").size());
  LONGS_EQUAL(0,
              Cluster.decisions(decision_kind::RunStopped, "zone_evacuated"));
}

// Its start may be without an answer.
TEST(Evacuation, ARunThatWasOrderedButNotListedIsTakenBack) {
  Cluster.NotStarting = true;
  Cluster.submit(gang(2));
  Cluster.run(100ms);
  LONGS_EQUAL(1, Cluster.ordered("wa").size());
  evacuate(ZoneA);
  CHECK(Cluster.ordered("wa").empty());
  CHECK(Cluster.ordered("wb").empty()); // it would wait for the other member
  Cluster.run(4s);
  CHECK(Cluster.ordered("wb").empty());
  restore(ZoneA);
  Cluster.NotStarting = false;
  Cluster.run(300ms);
  LONGS_EQUAL(1, Cluster.ordered("wa").size());
  LONGS_EQUAL(1, Cluster.ordered("wb").size());
}

// The previous scheduler ended between reading the request and deciding.
TEST(Evacuation, TheNextSchedulerTakesBackWhatItsWorkerHasNotStarted) {
  Cluster.NotStarting = true;
  Cluster.submit(testing::makeJob("j1", 2, 8));
  Cluster.run(100ms);
  Cluster.Evacuated.evacuate(ZoneA);
  Cluster.takeOver();
  Cluster.run(100ms);
  CHECK(Cluster.ordered("wa").empty());
  LONGS_EQUAL(1, Cluster.ordered("wb").size());
}

TEST(Evacuation, TheNextSchedulerKeepsWhatRunsThere) {
  Cluster.submit(testing::makeJob("j1", 2, 8));
  Cluster.run(100ms);
  Cluster.Evacuated.evacuate(ZoneA);
  Cluster.takeOver();
  Cluster.feed(evacuations_changed{}); // before its worker has reported
  Cluster.run(1s);
  LONGS_EQUAL(1, Cluster.ordered("wa").size());
}

// Taken back while no scheduler led.
TEST(Evacuation, TheNextSchedulerUsesAZoneThatWasTakenBackBeforeItsTerm) {
  evacuate(ZoneA);
  Cluster.submit(testing::makeJob("j1", 2, 8));
  Cluster.run(200ms);
  Cluster.Evacuated.restore(ZoneA);
  Cluster.takeOver();
  Cluster.run(200ms);
  LONGS_EQUAL(1, Cluster.ordered("wa").size());
}

TEST(Evacuation, WithAllZonesEvacuatedEverythingWaits) {
  evacuate(ZoneA);
  evacuate(ZoneB);
  Cluster.submit(urgentJob());
  Cluster.run(5s);
  CHECK(Cluster.ordered("wa").empty() && Cluster.ordered("wb").empty());
  restore(ZoneB);
  Cluster.run(100ms);
  LONGS_EQUAL(1, Cluster.ordered("wb").size());
}

// A guaranteed job takes capacity where it may run.
TEST(Evacuation, NothingIsPreemptedThereForAnUrgentJob) {
  Cluster.submit(testing::makeJob("j1", 2, 8));
  Cluster.run(200ms);
  evacuate(ZoneA);
  Cluster.submit(urgentJob());
  Cluster.run(500ms);
  LONGS_EQUAL(1, Cluster.decisions(decision_kind::RunStopped, "preempted"));
  CHECK(Cluster.ordered("wb").front().Task.Job == urgentJob().Id);
}

// A task that lasts goes on there, and runs elsewhere after it has ended.
TEST(Evacuation, ALastingTaskThatEndsThereIsStartedElsewhere) {
  Cluster.submit(testing::makeJob("filler", 1, 8));
  job_spec Lasting = testing::makeJob("lasting", 1, 8);
  Lasting.Steps[0].LongRunning = true;
  Cluster.submit(Lasting);
  Cluster.run(200ms);
  const bool OnA = Cluster.ordered("wa").front().Task.Job == Lasting.Id;
  const std::string_view Home = OnA ? "wa" : "wb";
  const std::string_view Away = OnA ? "wb" : "wa";
  evacuate(OnA ? ZoneA : ZoneB);
  Cluster.feed(job_cancel_requested{job_id("filler")});
  Cluster.run(200ms);
  LONGS_EQUAL(1, Cluster.ordered(Home).size());
  Cluster.report(Home, {{.Number = 1,
                         .Run = Cluster.ordered(Home).front(),
                         .EndReason = run_end_reason::Failed}});
  Cluster.run(200ms);
  CHECK(Cluster.ordered(Home).empty());
  LONGS_EQUAL(1, Cluster.ordered(Away).size());
}

// What is left is half as much, so the same work takes twice as long.
TEST(Evacuation, TheForecastLeavesOutTheRoomThere) {
  for (int I = 0; I < 6; ++I)
    Cluster.submit(testing::makeJob("j" + std::to_string(I), 2, 8));
  Cluster.run(1s);
  const duration Before = Cluster.Scheduler->forecast(Cluster.Present).at(1);
  evacuate(ZoneA);
  Cluster.run(1s);
  CHECK(Cluster.Scheduler->forecast(Cluster.Present).at(1) > Before * 3 / 2);
}
