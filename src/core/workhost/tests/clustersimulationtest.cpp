#include "core/workhost/tests/clustersimulation.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace geraniumpaddle::work::testing;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 4;

void checkNoViolation(const cluster_simulation &Simulation) {
  for (const std::string &Each : Simulation.simulatedWorkers().violations())
    FAIL(Each.c_str());
}

} // namespace

TEST_GROUP(ClusterSimulation) {
  cluster_simulation Simulation{1, Workers, {}};
  job_id Job{"j1"};

  bool reaches(job_state State, duration Limit = 20s) {
    return Simulation.runUntil([&] { return Simulation.state(Job) == State; },
                               Limit);
  }
  void teardown() override { checkNoViolation(Simulation); }
};

TEST(ClusterSimulation, AJobRunsToCompletion) {
  Simulation.submit(jobOf("j1", 5, "1000"));
  CHECK(reaches(job_state::Completed, 3s));
  LONGS_EQUAL(5, Simulation.simulatedWorkers().doneRuns());
}

TEST(ClusterSimulation, StepsRunInOrder) {
  job_spec Spec = jobOf("j1", 2, "500");
  Spec.Steps.push_back(Spec.Steps[0]);
  Spec.Steps[1].After = {0};
  Simulation.submit(Spec);
  CHECK(reaches(job_state::Completed, 4s));
  LONGS_EQUAL(4, Simulation.simulatedWorkers().doneRuns());
}

TEST(ClusterSimulation, AGangRunsTogether) {
  job_spec Spec = jobOf("j1", 3, "1000", 8);
  Spec.Steps[0].Gang = true;
  Simulation.submit(Spec);
  CHECK(reaches(job_state::Completed, 3s));
}

// The fast members stand at the end of their work until the slow one arrives.
TEST(ClusterSimulation, AGangOnWorkersOfUnequalSpeedRunsOnce) {
  Simulation.setSpeed(0, 0.4);
  Simulation.setSpeed(1, 1.25);
  job_spec Spec = jobOf("j1", Workers, "4000", 8);
  Spec.Steps[0].Gang = true;
  Simulation.submit(Spec);
  CHECK(reaches(job_state::Completed, 11s));
  LONGS_EQUAL(1, Simulation.progress(Job).Tasks[0].Run);
  LONGS_EQUAL(0, Simulation.decisions("task_stalled"));
}

TEST(ClusterSimulation, AGangWhoseSlowestMemberHangsMovesOffItsWorker) {
  job_spec Spec = jobOf("j1", Workers - 1, "3000", 8);
  Spec.Steps[0].Gang = true;
  Simulation.submit(Spec);
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == Workers - 1; },
      2s));
  int Hanging = 0;
  while (!Simulation.runsOn(Hanging))
    ++Hanging;
  Simulation.setSpeed(Hanging, 0);
  CHECK(reaches(job_state::Completed, 12s));
  LONGS_EQUAL(1, Simulation.decisions("task_stalled"));
  const worker_id Suspect = Simulation.description(Hanging).Instance.Worker;
  CHECK(Simulation.workers().all().at(Suspect).OnProbation);
}

TEST(ClusterSimulation, AJobThatAlwaysFailsUsesItsAttemptsAndFails) {
  Simulation.submit(jobOf("j1", 1, "300f"));
  CHECK(reaches(job_state::Failed));
  LONGS_EQUAL(2, Simulation.progress(Job).Tasks[0].Failures);
  LONGS_EQUAL(2, Simulation.progress(Job).Tasks[0].Run);
}

TEST(ClusterSimulation, AGangThatAlwaysFailsUsesOneAttemptARun) {
  job_spec Spec = jobOf("j1", 3, "300f", 8);
  Spec.Steps[0].Gang = true;
  Simulation.submit(Spec);
  CHECK(reaches(job_state::Failed));
  LONGS_EQUAL(2, Simulation.progress(Job).Tasks[0].Run);
}

TEST(ClusterSimulation, ACancelledJobStopsRunning) {
  Simulation.submit(jobOf("j1", 4, "60000"));
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == 4; }, 2s));
  Simulation.cancel(Job);
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == 0; }, 1s));
  CHECK(Simulation.state(Job) == job_state::Cancelled);
}

// Each run ends by itself; the job must not count as completed.
TEST(ClusterSimulation, ALastingTaskRunsAgainHoweverItsRunEnds) {
  for (const char *Payload : {"500", "500f"}) {
    for (const bool Gang : {false, true}) {
      cluster_simulation Each{1, Workers, {}};
      job_spec Spec = jobOf("j1", 2, Payload);
      Spec.Steps[0].LongRunning = true;
      Spec.Steps[0].Gang = Gang;
      Each.submit(Spec);
      Each.runFor(6s);
      CHECK(Each.state(Job) == job_state::Running);
      for (const task_progress &Task : Each.progress(Job).Tasks)
        CHECK(Task.Run >= 5);
      Each.cancel(Job);
      CHECK(Each.runUntil(
          [&] { return Each.simulatedWorkers().running() == 0; }, 1s));
      CHECK(Each.state(Job) == job_state::Cancelled);
      checkNoViolation(Each);
    }
  }
}

// Its worker refuses all starts, while its status check is good.
TEST(ClusterSimulation, AJobWhoseStartsAreRefusedIsPending) {
  cluster_simulation Unhealthy{1, Workers, {.UnhealthyStarts = 100}};
  for (const bool Gang : {false, true}) {
    job_spec Spec = jobOf(Gang ? "gang" : "j1", 2, "500");
    Spec.Steps[0].Gang = Gang;
    Unhealthy.submit(Spec);
  }
  for (int I = 0; I < 50; ++I) {
    Unhealthy.runFor(100ms);
    LONGS_EQUAL(2, Unhealthy.registry().pending("batch"));
    CHECK(Unhealthy.state(Job) == job_state::Queued);
  }
  Unhealthy.takeOver();
  Unhealthy.runFor(1s);
  LONGS_EQUAL(2, Unhealthy.registry().pending("batch"));
}

// Also if the term ends before its start is recorded.
TEST(ClusterSimulation, AJobThatRunsIsNotPending) {
  Simulation.submit(jobOf("j1", 2, "3000"));
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == 2; }, 2s));
  Simulation.takeOver();
  Simulation.runFor(500ms);
  LONGS_EQUAL(0, Simulation.registry().pending("batch"));
  CHECK(Simulation.state(Job) == job_state::Running);
}

// The append of its submission was carried out late.
TEST(ClusterSimulation, AJobThatWasCancelledBeforeItsSubmissionNeverRuns) {
  for (const bool TakeOver : {false, true}) {
    cluster_simulation Each{1, Workers, {}};
    Each.cancelBeforeSubmission(jobOf("j1", 2, "500"), 1s);
    Each.runFor(900ms);
    if (TakeOver)
      Each.takeOver();
    Each.runFor(6s);
    CHECK(Each.simulatedWorkers().failedRuns().empty()); // nothing started
    CHECK(ended(Each.progress(Job).State)); // recorded, so that it expires
    checkNoViolation(Each);
  }
}

// Capacity is kept free for urgent jobs like those that came lately. A task
// that one of them preempted must not wait for as long as they keep coming.
TEST(ClusterSimulation, ALastingTaskRunsAgainBetweenUrgentJobs) {
  constexpr int FullWorkers = 7;
  cluster_simulation Each{1, 11, {}};
  for (const int Count : {FullWorkers, 1}) {
    const bool Small = Count == 1;
    job_spec Lasting =
        jobOf(Small ? "j1" : "full", static_cast<std::uint32_t>(Count),
              "600000", Small ? 1 : 8);
    Lasting.Steps[0].LongRunning = true;
    if (!Small)
      Lasting.Steps[0].Need.MilliCores = 64000; // all that a worker has
    Each.submit(Lasting);
    Each.runFor(1s);
  }
  LONGS_EQUAL(FullWorkers + 1, Each.simulatedWorkers().running());
  for (const char *Id : {"u1", "u2", "u3"}) {
    job_spec Urgent = jobOf(Id, 4, "300", 8);
    Urgent.Policy.Queue = "urgent";
    Urgent.Policy.Priority = 0;
    Urgent.Steps[0].Gang = true;
    Each.submit(Urgent);
    CHECK(Each.runUntil(
        [&] { return Each.state(job_id(Id)) == job_state::Completed; }, 3s));
    Each.runFor(3s);
    LONGS_EQUAL(FullWorkers + 1, Each.simulatedWorkers().running());
    Each.runFor(5s);
  }
  checkNoViolation(Each);
}

TEST(ClusterSimulation, ALastingTaskIsNotRestartedByATakeover) {
  job_spec Spec = jobOf("j1", 2, "60000");
  Spec.Steps[0].LongRunning = true;
  Simulation.submit(Spec);
  Simulation.runFor(1s);
  Simulation.takeOver();
  Simulation.runFor(8s);
  for (const task_progress &Task : Simulation.progress(Job).Tasks)
    LONGS_EQUAL(1, Task.Run);
  LONGS_EQUAL(2, Simulation.simulatedWorkers().running());
}

TEST(ClusterSimulation, ANewSchedulerKeepsRunningTasks) {
  Simulation.submit(jobOf("j1", 4, "3000"));
  Simulation.runFor(1s);
  Simulation.takeOver();
  CHECK(reaches(job_state::Completed, 3s));
  LONGS_EQUAL(1, Simulation.progress(Job).Tasks[0].Run);
}

TEST(ClusterSimulation, TakeoversBeforeRecordsAreStoredLoseNothing) {
  Simulation.submit(jobOf("j1", 4, "1000"));
  for (int I = 0; I < 20; ++I) {
    Simulation.runFor(30ms);
    Simulation.takeOver();
  }
  CHECK(reaches(job_state::Completed));
}

TEST(ClusterSimulation, ARestartedAgentKeepsRunningTasks) {
  Simulation.submit(jobOf("j1", 8, "3000"));
  Simulation.runFor(1s);
  for (int Worker = 0; Worker < Workers; ++Worker)
    Simulation.restartAgent(Worker);
  CHECK(reaches(job_state::Completed, 4s));
  for (const task_progress &Task : Simulation.progress(Job).Tasks)
    LONGS_EQUAL(1, Task.Run);
}

TEST(ClusterSimulation, TasksOfARestartedWorkerRunAgainImmediately) {
  Simulation.submit(jobOf("j1", 8, "2000"));
  Simulation.runFor(1s);
  for (int Worker = 0; Worker < Workers; ++Worker)
    Simulation.restartWorker(Worker);
  CHECK(reaches(job_state::Completed, 4s));
}

TEST(ClusterSimulation, TasksOfALostWorkerRunElsewhereOnceItsLeaseExpires) {
  Simulation.submit(jobOf("j1", 32, "4000"));
  Simulation.runFor(1s);
  Simulation.disconnectAgent(0, 60s);
  CHECK(Simulation.runUntil(
      [&] { return Simulation.state(Job) == job_state::Completed; }, 18s));
}

// The agent goes on reporting, but the worker itself gives no sign of life.
TEST(ClusterSimulation,
     TasksOfAnUnreachableWorkerRunElsewhereOnceItsLeaseExpires) {
  Simulation.submit(jobOf("j1", 3, "2000", 8));
  Simulation.runFor(1s);
  for (int Worker = 0; Worker < 2; ++Worker)
    Simulation.cutWorker(Worker, 60s);
  // The remaining lease, two runs in sequence and a second for the messages.
  CHECK(reaches(job_state::Completed, 6420ms + 4s + 1s));
}

TEST(ClusterSimulation,
     TasksOfWorkersThatShutDownRunElsewhereBeforeTheirLeasesExpire) {
  Simulation.submit(jobOf("j1", 3, "3000", 8));
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == 3; }, 2s));
  Simulation.shutDownWorker(0);
  Simulation.shutDownWorker(1);
  // Two runs in sequence; waiting for a lease to expire would add 6 s.
  CHECK(reaches(job_state::Completed, 7s));
}

TEST(ClusterSimulation, TasksWithCheckpointsMoveBeforeTheirWorkerShutsDown) {
  job_spec Spec = jobOf("j1", 2, "5000c", 8);
  Spec.Steps[0].Checkpointing = true;
  Simulation.submit(Spec);
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == 2; }, 2s));
  Simulation.drainWorker(0, 2s);
  Simulation.drainWorker(1, 2s);
  Simulation.runFor(2s);
  CHECK(!Simulation.runsOn(0) && !Simulation.runsOn(1));
  CHECK(reaches(job_state::Completed, 6s));
}

// Workers often run longer than the time that they announce.
TEST(ClusterSimulation, TasksWithoutCheckpointsMayFinishOnADrainingWorker) {
  Simulation.submit(jobOf("j1", 4, "3000", 8));
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == 4; }, 2s));
  Simulation.drainWorker(0, 1s);
  CHECK(reaches(job_state::Completed, 4s));
}

TEST(ClusterSimulation,
     ARunThatIsListedAsFinishedWhileTheWorkerShutsDownCounts) {
  Simulation.submit(jobOf("j1", 4, "1000", 8));
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == 4; }, 2s));
  Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().doneRuns() > 0; }, 2s);
  for (int Worker = 0; Worker < Workers - 1; ++Worker)
    Simulation.shutDownWorker(Worker);
  CHECK(reaches(job_state::Completed, 5s));
}

TEST(ClusterSimulation,
     LeasesReportedByThePreviousTermShortenTheWaitForLostWorkers) {
  Simulation.submit(jobOf("j1", 32, "4000"));
  Simulation.runFor(1s);
  Simulation.disconnectAgent(0, 60s);
  Simulation.runFor(5s);
  Simulation.handOver();
  // Remaining lease and run time.
  CHECK(reaches(job_state::Completed, 7s));
}

TEST(ClusterSimulation, ABrieflyDisconnectedAgentLosesNothing) {
  Simulation.submit(jobOf("j1", 32, "6000"));
  Simulation.runFor(1s);
  Simulation.disconnectAgent(0, 3s);
  CHECK(reaches(job_state::Completed, 8s));
  for (const task_progress &Task : Simulation.progress(Job).Tasks)
    LONGS_EQUAL(1, Task.Run);
}

// The scheduler forgets a worker when its lease has expired, while the agent
// remembers the orders that it had before.
TEST(ClusterSimulation, AWorkerThatReturnsAfterItsLeaseExpiredGetsTasks) {
  Simulation.submit(jobOf("first", 16, "500"));
  Simulation.runFor(2s);
  for (int Worker = 0; Worker < Workers; ++Worker)
    Simulation.disconnectAgent(Worker, 8s);
  Simulation.runFor(8s);
  Simulation.submit(jobOf("j1", Workers, "500", 8));
  CHECK(reaches(job_state::Completed, 2s));
}

// A worker is cut off, crashes and starts again under its id. A start that was
// sent during the cut must not reach the new instance while the task runs
// elsewhere.
TEST(ClusterSimulation, AStartForACutOffWorkerIsNotRepeatedAtItsNextInstance) {
  for (int Cut = 0; Cut < Workers; ++Cut) {
    cluster_simulation Each{1, Workers, {.UnboundStarts = true}};
    Each.runFor(1s);
    Each.cutWorker(Cut, 4700ms);
    Each.submit(jobOf("j1", Workers - 1, "8000", 8));
    Each.runFor(3s);
    Each.restartWorker(Cut);
    CHECK(Each.runUntil([&] { return Each.state(Job) == job_state::Completed; },
                        20s));
    checkNoViolation(Each);
  }
}

TEST(ClusterSimulation, AGuaranteedJobPreemptsOthers) {
  Simulation.submit(jobOf("filler", 32, "60000"));
  Simulation.runFor(1s);
  job_spec Urgent = jobOf("j1", 2, "1000", 4);
  Urgent.Policy.Queue = "urgent";
  Urgent.Policy.Priority = 0;
  Simulation.submit(Urgent);
  CHECK(reaches(job_state::Completed, 4s));
  CHECK(Simulation.state(job_id("filler")) == job_state::Running);
}

// With a burst of urgent jobs that exceeds the capacity, a job that can still
// meet its target must not wait behind one that has already missed it.
TEST(ClusterSimulation, AJobThatCanMeetItsTargetRunsBeforeALateOne) {
  const auto WideJob = [](std::string_view Id, int Milliseconds) {
    job_spec Spec = jobOf(Id, Workers, std::to_string(Milliseconds), 8);
    Spec.Customer = customer_id("bolt"); // has no guarantee
    Spec.Policy.Priority = 0;
    Spec.Policy.SlackFactor = 1;
    Spec.Steps[0].Estimate = std::chrono::milliseconds(Milliseconds);
    return Spec;
  };
  Simulation.submit(WideJob("first", 4000));
  CHECK(Simulation.runUntil(
      [&] { return Simulation.simulatedWorkers().running() == Workers; }, 2s));
  Simulation.submit(WideJob("late", 1000));
  Simulation.runUntil([] { return false; }, 3600ms);
  Simulation.submit(WideJob("fresh", 1000));
  Job = job_id("fresh");
  CHECK(reaches(job_state::Completed, 3s));
  CHECK(Simulation.state(job_id("late")) != job_state::Completed);
  Job = job_id("late");
  CHECK(reaches(job_state::Completed, 3s));
}

TEST(ClusterSimulation, ATaskResumesFromItsCheckpoint) {
  job_spec Spec = jobOf("j1", 32, "8000");
  Spec.Steps[0].Checkpointing = true;
  Simulation.submit(Spec);
  Simulation.runFor(5s);
  for (int Worker = 0; Worker < Workers; ++Worker)
    Simulation.restartWorker(Worker);
  CHECK(reaches(job_state::Completed, 6s));
}
