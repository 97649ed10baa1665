#include "core/membership/workerhealth.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

TEST_GROUP(WorkerHealth) {
  worker_health_limits Limits;
  worker_health Health{Limits};
  time_point Now{100h};
  int LastJob = 0;

  void setup() override {
    for (int Index = 0; Index < 20; ++Index)
      Health.onRegistered(worker(Index));
  }
  static worker_id worker(int Index) {
    return worker_id("w" + std::to_string(Index));
  }
  std::size_t fail(int Worker, const char *Customer,
                   const char *Job = nullptr) {
    Now += 1min;
    job_ended Ended;
    Ended.Job = job_id(Job ? Job : "job" + std::to_string(++LastJob));
    Ended.Outcome = job_outcome::Failed;
    Ended.BlamedWorker = worker(Worker);
    return Health.onJobEnded(Ended, customer_id(Customer), {}, Now).size();
  }
  void succeed(int Worker, const char *Customer) {
    Now += 1min;
    const worker_id RanOn[] = {worker(Worker)};
    Health.onJobEnded({job_id("good"), {}, job_outcome::Succeeded, {}, {}},
                      customer_id(Customer), RanOn, Now);
  }
  std::size_t changeState(int Worker, worker_state State, state_cause Cause) {
    return Health.onStateChanged({worker(Worker), {}, State, Cause}, Now)
        .size();
  }
  void quarantine(int Worker) {
    changeState(Worker, worker_state::Quarantined, state_cause::TaskFailures);
  }
  template <typename Command>
  static bool isOne(worker_health::commands Commands) {
    return Commands.size() == 1 &&
           std::holds_alternative<Command>(Commands.front());
  }
};

TEST(WorkerHealth, QuarantinesAWorkerAfterAFewFailedJobs) {
  succeed(1, "a");
  succeed(2, "b");
  UNSIGNED_LONGS_EQUAL(0, fail(0, "a"));
  UNSIGNED_LONGS_EQUAL(0, fail(0, "b"));
  UNSIGNED_LONGS_EQUAL(1, fail(0, "a"));
}

TEST(WorkerHealth, OneBadJobQuarantinesNoWorker) {
  succeed(1, "a");
  for (int Time = 0; Time < 50; ++Time)
    UNSIGNED_LONGS_EQUAL(0, fail(0, "a", "bad"));
}

TEST(WorkerHealth, OneBadCustomerQuarantinesNoWorker) {
  succeed(1, "good");
  for (int Time = 0; Time < 50; ++Time)
    UNSIGNED_LONGS_EQUAL(0, fail(0, "bad"));
}

TEST(WorkerHealth, FailuresOfOneCustomerCountIfItsJobsSucceedElsewhere) {
  succeed(1, "other");
  for (int Time = 0; Time < 5; ++Time) {
    UNSIGNED_LONGS_EQUAL(0, fail(0, "a"));
    succeed(2, "a");
  }
  UNSIGNED_LONGS_EQUAL(1, fail(0, "a"));
}

TEST(WorkerHealth, ASuccessOnTheWorkerResetsTheCount) {
  for (int Time = 0; Time < 10; ++Time) {
    UNSIGNED_LONGS_EQUAL(0, fail(0, "a"));
    UNSIGNED_LONGS_EQUAL(0, fail(0, "b"));
    succeed(0, "a");
  }
}

TEST(WorkerHealth, OldFailuresDoNotCount) {
  fail(0, "a");
  fail(0, "b");
  Now += Limits.FailureWindow;
  UNSIGNED_LONGS_EQUAL(0, fail(0, "a"));
}

TEST(WorkerHealth, AFaultOnAllWorkersQuarantinesOnlyTheAllowedShare) {
  std::size_t Proposed = 0;
  for (int Round = 0; Round < 5; ++Round) {
    for (int Worker = 0; Worker < 20; ++Worker)
      Proposed += fail(Worker, Round % 2 == 0 ? "a" : "b");
  }
  UNSIGNED_LONGS_EQUAL(2, Proposed);
}

TEST(WorkerHealth, AWorkerBeyondTheShareIsQuarantinedWhenAnotherIsReleased) {
  for (int Worker = 0; Worker < 3; ++Worker) {
    fail(Worker, "a");
    fail(Worker, "b");
    fail(Worker, "a");
    if (Worker < 2)
      quarantine(Worker);
  }
  UNSIGNED_LONGS_EQUAL(
      1, changeState(0, worker_state::Active, state_cause::ProbeSucceeded));
}

TEST(WorkerHealth, ProbesWithABackOffThatDoublesUpToALimit) {
  quarantine(0);
  duration BackOff = Limits.FirstBackOff;
  for (int Probe = 0; Probe < 10; ++Probe) {
    UNSIGNED_LONGS_EQUAL(0, Health.onTimerExpired(Now + BackOff - 1ms).size());
    Now += BackOff;
    CHECK(isOne<probe_worker>(Health.onTimerExpired(Now)));
    CHECK(
        isOne<quarantine_worker>(Health.onProbeEnded({worker(0), false}, Now)));
    quarantine(0);
    BackOff = std::min(2 * BackOff, Limits.MaxBackOff);
  }
}

TEST(WorkerHealth, ASuccessfulProbeActivatesTheWorker) {
  quarantine(0);
  CHECK(Health.quarantined(worker(0)));
  Now += Limits.FirstBackOff;
  Health.onTimerExpired(Now);
  CHECK(isOne<activate_worker>(Health.onProbeEnded({worker(0), true}, Now)));
  Now += Limits.RepeatInterval;
  CHECK(isOne<activate_worker>(Health.onTimerExpired(Now)));
  changeState(0, worker_state::Active, state_cause::ProbeSucceeded);
  CHECK_FALSE(Health.quarantined(worker(0)));
  CHECK(Health.nextTimerAt() == time_point::max());
}

TEST(WorkerHealth, DoesNotProbeAWorkerThatAnOperatorDrains) {
  quarantine(0);
  changeState(0, worker_state::Draining, state_cause::OperatorRequest);
  CHECK(Health.nextTimerAt() == time_point::max());
}

TEST(WorkerHealth, ANewQuarantineSoonAfterActivationDoublesTheBackOff) {
  quarantine(0);
  changeState(0, worker_state::Active, state_cause::ProbeSucceeded);
  Now += 1h;
  quarantine(0);
  CHECK(Health.nextTimerAt() == Now + 2 * Limits.FirstBackOff);
}

TEST(WorkerHealth, AProbeThatTimesOutIsRepeated) {
  quarantine(0);
  Now += Limits.FirstBackOff;
  Health.onTimerExpired(Now);
  Now += Limits.ProbeTimeout;
  CHECK(isOne<quarantine_worker>(Health.onTimerExpired(Now)));
  Now += Limits.FirstBackOff;
  CHECK(isOne<probe_worker>(Health.onTimerExpired(Now)));
}

TEST(WorkerHealth, StateIsRebuiltFromTheSameRecords) {
  worker_health Rebuilt{Limits};
  quarantine(0);
  Rebuilt.onStateChanged(
      {worker(0), {}, worker_state::Quarantined, state_cause::TaskFailures},
      Now);
  CHECK(Rebuilt.quarantined(worker(0)));
  CHECK(Rebuilt.nextTimerAt() == Health.nextTimerAt());
}
