#include "core/workhost/tests/clustersimulation.h"

#include <rapidcheck.h>

// Redefines new, which the headers above do not survive.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace geraniumpaddle::work::testing;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 4;

job_spec jobOf(std::string_view Id, std::uint32_t Count, std::string Payload,
               std::int32_t Accelerators = 1) {
  job_spec Spec = makeJob(Id, Count, Accelerators);
  Spec.Payload = std::move(Payload);
  return Spec;
}

void checkNoViolation(const work_world &World) {
  for (const std::string &Each : World.field().violations())
    FAIL(Each.c_str());
}

} // namespace

TEST_GROUP(WorkWorld) {
  work_world World{1, Workers, {}};
  job_id Job{"j1"};

  bool becomes(job_state State, duration Limit = 20s) {
    return World.runUntil([&] { return World.state(Job) == State; }, Limit);
  }
  void teardown() override { checkNoViolation(World); }
};

TEST(WorkWorld, AJobRunsToItsEnd) {
  World.submit(jobOf("j1", 5, "1000"));
  CHECK(becomes(job_state::Completed, 3s));
  LONGS_EQUAL(5, World.field().doneRuns());
}

TEST(WorkWorld, StepsRunInTheirOrder) {
  job_spec Spec = jobOf("j1", 2, "500");
  Spec.Steps.push_back(Spec.Steps[0]);
  Spec.Steps[1].After = {0};
  World.submit(Spec);
  CHECK(becomes(job_state::Completed, 4s));
  LONGS_EQUAL(4, World.field().doneRuns());
}

TEST(WorkWorld, AGangRunsTogether) {
  job_spec Spec = jobOf("j1", 3, "1000", 8);
  Spec.Steps[0].Gang = true;
  World.submit(Spec);
  CHECK(becomes(job_state::Completed, 3s));
}

TEST(WorkWorld, AJobThatAlwaysFailsUsesItsAttemptsAndFails) {
  World.submit(jobOf("j1", 1, "300f"));
  CHECK(becomes(job_state::Failed));
  LONGS_EQUAL(2, World.progress(Job).Tasks[0].Failures);
  LONGS_EQUAL(2, World.progress(Job).Tasks[0].Run);
}

TEST(WorkWorld, AGangThatAlwaysFailsUsesOneAttemptARun) {
  job_spec Spec = jobOf("j1", 3, "300f", 8);
  Spec.Steps[0].Gang = true;
  World.submit(Spec);
  CHECK(becomes(job_state::Failed));
  LONGS_EQUAL(2, World.progress(Job).Tasks[0].Run);
}

TEST(WorkWorld, ACancelledJobStopsRunning) {
  World.submit(jobOf("j1", 4, "60000"));
  CHECK(World.runUntil([&] { return World.field().running() == 4; }, 2s));
  World.cancel(Job);
  CHECK(World.runUntil([&] { return World.field().running() == 0; }, 1s));
  CHECK(World.state(Job) == job_state::Cancelled);
}

TEST(WorkWorld, AnotherSchedulerGoesOnWithWhatRuns) {
  World.submit(jobOf("j1", 4, "3000"));
  World.runFor(1s);
  World.takeOver();
  CHECK(becomes(job_state::Completed, 3s));
  LONGS_EQUAL(1, World.progress(Job).Tasks[0].Run);
}

TEST(WorkWorld, ASchedulerThatTakesOverBeforeItsRecordsAreStoredLosesNothing) {
  World.submit(jobOf("j1", 4, "1000"));
  for (int I = 0; I < 20; ++I) {
    World.runFor(30ms);
    World.takeOver();
  }
  CHECK(becomes(job_state::Completed));
}

TEST(WorkWorld, ARestartedAgentGoesOnWithWhatRuns) {
  World.submit(jobOf("j1", 8, "3000"));
  World.runFor(1s);
  for (int Worker = 0; Worker < Workers; ++Worker)
    World.restartAgent(Worker);
  CHECK(becomes(job_state::Completed, 4s));
  for (const task_progress &Task : World.progress(Job).Tasks)
    LONGS_EQUAL(1, Task.Run);
}

TEST(WorkWorld, TasksOfARestartedWorkerRunAgainAtOnce) {
  World.submit(jobOf("j1", 8, "2000"));
  World.runFor(1s);
  for (int Worker = 0; Worker < Workers; ++Worker)
    World.restartWorker(Worker);
  CHECK(becomes(job_state::Completed, 4s));
}

TEST(WorkWorld, TasksOfALostWorkerRunElsewhereOnceItsLeaseIsOver) {
  World.submit(jobOf("j1", 32, "4000"));
  World.runFor(1s);
  World.cutAgent(0, 60s);
  CHECK(World.runUntil([&] { return World.state(Job) == job_state::Completed; },
                       18s));
}

TEST(WorkWorld, TasksOfWorkersThatLeftRunElsewhereBeforeTheirLeasesAreOver) {
  World.submit(jobOf("j1", 3, "3000", 8));
  CHECK(World.runUntil([&] { return World.field().running() == 3; }, 2s));
  World.leave(0);
  World.leave(1);
  // Two runs one after the other; a lease would be waited for 6 s before.
  CHECK(becomes(job_state::Completed, 7s));
}

TEST(WorkWorld, TasksWithCheckpointsGoOnElsewhereBeforeTheirWorkerLeaves) {
  job_spec Spec = jobOf("j1", 2, "5000c", 8);
  Spec.Steps[0].Checkpointing = true;
  World.submit(Spec);
  CHECK(World.runUntil([&] { return World.field().running() == 2; }, 2s));
  World.drain(0, 2s);
  World.drain(1, 2s);
  World.runFor(2s);
  CHECK(!World.runsOn(0) && !World.runsOn(1));
  CHECK(becomes(job_state::Completed, 6s));
}

// Workers often stay longer than they say.
TEST(WorkWorld, TasksWithoutCheckpointsMayEndOnAWorkerThatLeaves) {
  World.submit(jobOf("j1", 4, "3000", 8));
  CHECK(World.runUntil([&] { return World.field().running() == 4; }, 2s));
  World.drain(0, 1s);
  CHECK(becomes(job_state::Completed, 4s));
}

TEST(WorkWorld, AnEndThatIsListedAsTheWorkerLeavesCounts) {
  World.submit(jobOf("j1", 4, "1000", 8));
  CHECK(World.runUntil([&] { return World.field().running() == 4; }, 2s));
  World.runUntil([&] { return World.field().doneRuns() > 0; }, 2s);
  for (int Worker = 0; Worker < Workers - 1; ++Worker)
    World.leave(Worker);
  CHECK(becomes(job_state::Completed, 5s));
}

TEST(WorkWorld, AnEarlierTermThatTellsItsLeasesShortensTheWaitForLostWorkers) {
  World.submit(jobOf("j1", 32, "4000"));
  World.runFor(1s);
  World.cutAgent(0, 60s);
  World.runFor(5s);
  World.handOver();
  // What is left of the lease, and the run itself.
  CHECK(becomes(job_state::Completed, 7s));
}

TEST(WorkWorld, AnAgentThatIsCutOffBrieflyLosesNothing) {
  World.submit(jobOf("j1", 32, "6000"));
  World.runFor(1s);
  World.cutAgent(0, 3s);
  CHECK(becomes(job_state::Completed, 8s));
  for (const task_progress &Task : World.progress(Job).Tasks)
    LONGS_EQUAL(1, Task.Run);
}

TEST(WorkWorld, AGuaranteedJobGetsItsRoomFromOthers) {
  World.submit(jobOf("filler", 32, "60000"));
  World.runFor(1s);
  job_spec Urgent = jobOf("j1", 2, "1000", 4);
  Urgent.Policy.Queue = "urgent";
  Urgent.Policy.Priority = 0;
  World.submit(Urgent);
  CHECK(becomes(job_state::Completed, 4s));
  CHECK(World.state(job_id("filler")) == job_state::Running);
}

// The load: a burst of urgent jobs that the room is not enough for. The one
// that can still be in time goes first; the late one is done after it.
TEST(WorkWorld, AJobThatIsLateAlreadyLetsOneGoFirstThatCanBeInTime) {
  const auto Wide = [](std::string_view Id, int Milliseconds) {
    job_spec Spec = jobOf(Id, Workers, std::to_string(Milliseconds), 8);
    Spec.Customer = customer_id("bolt"); // has no guarantee
    Spec.Policy.Priority = 0;
    Spec.Policy.SlackFactor = 1;
    Spec.Steps[0].Estimate = std::chrono::milliseconds(Milliseconds);
    return Spec;
  };
  World.submit(Wide("first", 4000));
  CHECK(World.runUntil([&] { return World.field().running() == Workers; }, 2s));
  World.submit(Wide("late", 1000));
  World.runUntil([] { return false; }, 3600ms);
  World.submit(Wide("fresh", 1000));
  Job = job_id("fresh");
  CHECK(becomes(job_state::Completed, 3s));
  CHECK(World.state(job_id("late")) != job_state::Completed);
  Job = job_id("late");
  CHECK(becomes(job_state::Completed, 3s));
}

TEST(WorkWorld, ACheckpointedTaskGoesOnFromItsCheckpoint) {
  job_spec Spec = jobOf("j1", 32, "8000");
  Spec.Steps[0].Checkpointing = true;
  World.submit(Spec);
  World.runFor(5s);
  for (int Worker = 0; Worker < Workers; ++Worker)
    World.restartWorker(Worker);
  CHECK(becomes(job_state::Completed, 6s));
}

// Random faults: nothing runs twice, nothing is lost, no worker is overfull.

namespace {

struct world_step {
  int Kind = 0;
  int Target = 0;
  int Amount = 0;
  int WaitMs = 0;
};

std::ostream &operator<<(std::ostream &Out, const world_step &Step) {
  return Out << '{' << Step.Kind << ',' << Step.Target << ',' << Step.Amount
             << ',' << Step.WaitMs << '}';
}

rc::Gen<world_step> anyStep() {
  return rc::gen::build<world_step>(
      rc::gen::set(&world_step::Kind, rc::gen::inRange(0, 9)),
      rc::gen::set(&world_step::Target, rc::gen::inRange(0, Workers)),
      rc::gen::set(&world_step::Amount, rc::gen::inRange(1, 9)),
      rc::gen::set(&world_step::WaitMs, rc::gen::inRange(0, 3000)));
}

class random_day {
public:
  random_day(std::uint32_t Seed, const world_faults &Faults)
      : World(Seed, Workers, Faults) {}

  void play(const world_step &Step) {
    using action = void (random_day::*)(const world_step &);
    static constexpr action Actions[] = {
        &random_day::submit,   &random_day::submit,    &random_day::submitGang,
        &random_day::urgent,   &random_day::cancel,    &random_day::takeOver,
        &random_day::newAgent, &random_day::newWorker, &random_day::cut};
    (this->*Actions[Step.Kind])(Step);
    World.runFor(1ms * Step.WaitMs);
  }

  work_world World;

private:
  job_spec next(const world_step &Step, std::int32_t Accelerators) {
    job_spec Spec = jobOf("job" + std::to_string(++Jobs),
                          static_cast<std::uint32_t>(Step.Amount),
                          std::to_string(400 * Step.Amount), Accelerators);
    Spec.Steps[0].Checkpointing = Step.Amount % 2 == 0;
    Spec.Policy.Attempts = 3;
    return Spec;
  }
  void submit(const world_step &Step) { World.submit(next(Step, 2)); }
  void submitGang(const world_step &Step) {
    job_spec Spec = next(Step, 4);
    Spec.Steps[0].Count = 1 + static_cast<std::uint32_t>(Step.Amount) % 4;
    Spec.Steps[0].Gang = true;
    World.submit(Spec);
  }
  void urgent(const world_step &Step) {
    job_spec Spec = next(Step, 1);
    Spec.Policy.Queue = "urgent";
    Spec.Policy.Priority = 0;
    World.submit(Spec);
  }
  void cancel(const world_step &Step) {
    const job_id Job("job" + std::to_string(Step.Amount));
    if (World.book().find(Job))
      World.cancel(Job);
  }
  void takeOver(const world_step &Step) {
    if (Step.Amount % 2 == 0)
      World.takeOver();
    else
      World.handOver();
  }
  void newAgent(const world_step &Step) { World.restartAgent(Step.Target); }
  void newWorker(const world_step &Step) { World.restartWorker(Step.Target); }
  void cut(const world_step &Step) {
    World.cutAgent(Step.Target, 1s * Step.Amount);
  }

  int Jobs = 0;
};

bool holds(const world_faults &Faults) {
  return rc::check([&] {
    const auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto Steps = *rc::gen::container<std::vector<world_step>>(anyStep());
    random_day Day(Seed, Faults);
    for (const world_step &Step : Steps)
      Day.play(Step);
    const bool Ended =
        Day.World.runUntil([&] { return Day.World.allEnded(); }, 300s);
    for (const std::string &Each : Day.World.field().violations())
      RC_FAIL(Each);
    RC_ASSERT(Ended);
  });
}

} // namespace

TEST_GROUP(WorkWorldProperties){};

TEST(WorkWorldProperties, HoldWithoutLostMessages) { CHECK(holds({})); }

TEST(WorkWorldProperties, HoldWithLostReports) {
  CHECK(holds({.LostReports = 20}));
}

TEST(WorkWorldProperties, HoldWithLostAndLateOrders) {
  CHECK(holds({.LostOrders = 20, .LateOrders = 10}));
}

TEST(WorkWorldProperties, HoldWithASlowLog) {
  CHECK(holds({.LostReports = 5, .LostOrders = 5, .SlowAppends = 50}));
}
