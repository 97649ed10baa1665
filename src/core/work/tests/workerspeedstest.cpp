#include "core/work/workerspeeds.h"
#include "core/work/tests/schedulerharness.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

TEST_GROUP(WorkerSpeeds) {
  worker_speeds Speeds;
  const worker_instance Slow{worker_id("slow"), 1};
  const worker_instance Fast{worker_id("fast"), 1};

  /// A job with work of \p Seconds has a task on both workers.
  void runJob(int Number, double Seconds) {
    const step_ref Step{job_id(std::to_string(Number)), 0, 0};
    Speeds.record(Step, Slow, 0.8 / Seconds);
    Speeds.record(Step, Fast, 1.2 / Seconds);
    Speeds.forget(Step.Job);
  }
};

TEST(WorkerSpeeds, NothingIsKnownAtFirst) {
  DOUBLES_EQUAL(1, Speeds.speed(Slow), 0);
}

// The work of the jobs differs by far more than the workers do.
TEST(WorkerSpeeds, TheirRatioIsLearnedFromJobsOfDifferentWork) {
  for (int I = 0; I < 20; ++I)
    runJob(I, 1 + I * 7 % 13);
  DOUBLES_EQUAL(1.5, Speeds.speed(Fast) / Speeds.speed(Slow), 0.05);
}

TEST(WorkerSpeeds, AWorkerThatTurnsSlowIsNoticed) {
  for (int I = 0; I < 20; ++I)
    runJob(I, 5);
  for (int I = 20; I < 30; ++I) {
    const step_ref Step{job_id(std::to_string(I)), 0, 0};
    Speeds.record(Step, Slow, 0.8);
    Speeds.record(Step, Fast, 0.15);
  }
  CHECK(Speeds.speed(Fast) < Speeds.speed(Slow) / 3);
}

TEST(WorkerSpeeds, ARestartedWorkerHasNone) {
  for (int I = 0; I < 20; ++I)
    runJob(I, 5);
  DOUBLES_EQUAL(1, Speeds.speed({Fast.Worker, 2}), 0);
  Speeds.record({job_id("next"), 0, 0}, {Fast.Worker, 2}, 1);
  DOUBLES_EQUAL(1, Speeds.speed({Fast.Worker, 2}), 0);
}

TEST(WorkerSpeeds, UnusableRatesAreIgnored) {
  Speeds.record({job_id("j"), 0, 0}, Fast, 0);
  Speeds.record({job_id("j"), 0, 0}, Fast, -1);
  Speeds.record({job_id("j"), 0, 0}, Fast, std::nan(""));
  DOUBLES_EQUAL(1, Speeds.speed(Fast), 0);
}
