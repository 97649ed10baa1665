#include "core/workhost/tests/clustersimulation.h"
#include "core/workhost/tests/standstillmonitor.h"

#include <rapidcheck.h>

// Must come last: it redefines new, which breaks the headers above.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace geraniumpaddle::work::testing;
using namespace std::chrono_literals;

// Under random faults no task runs twice, no job is lost and no worker exceeds
// its capacity.

namespace {

constexpr int Workers = 4;

struct simulation_step {
  int Kind = 0;
  int Target = 0;
  int Amount = 0;
  int WaitMs = 0;
};

std::ostream &operator<<(std::ostream &Out, const simulation_step &Step) {
  return Out << '{' << Step.Kind << ',' << Step.Target << ',' << Step.Amount
             << ',' << Step.WaitMs << '}';
}

/// Number of kinds of steps.
constexpr int Kinds = 14;
constexpr int Submit = 0;
constexpr int SubmitGang = 2;
constexpr int ReplaceWorker = 13;

rc::Gen<simulation_step> stepOfKind(rc::Gen<int> Kind) {
  return rc::gen::build<simulation_step>(
      rc::gen::set(&simulation_step::Kind, std::move(Kind)),
      rc::gen::set(&simulation_step::Target, rc::gen::inRange(0, Workers)),
      rc::gen::set(&simulation_step::Amount, rc::gen::inRange(1, 9)),
      rc::gen::set(&simulation_step::WaitMs, rc::gen::inRange(0, 3000)));
}

rc::Gen<simulation_step> anyStep(int KindCount = Kinds) {
  return stepOfKind(rc::gen::inRange(0, KindCount));
}

/// Mostly jobs, on workers that are drained and replaced one after the other.
rc::Gen<simulation_step> stepOfARollingReplacement() {
  return stepOfKind(
      rc::gen::element(Submit, Submit, SubmitGang, ReplaceWorker));
}

class random_scenario {
public:
  random_scenario(std::uint32_t Seed, const simulation_faults &Faults,
                  int WorkerCount = Workers)
      : Simulation(Seed, WorkerCount, Faults) {}

  void apply(const simulation_step &Step) {
    using action = void (random_scenario::*)(const simulation_step &);
    static constexpr action Actions[] = {
        &random_scenario::submit,           &random_scenario::submit,
        &random_scenario::submitGang,       &random_scenario::urgent,
        &random_scenario::cancel,           &random_scenario::takeOver,
        &random_scenario::restartAgent,     &random_scenario::restartWorker,
        &random_scenario::disconnect,       &random_scenario::cutWorker,
        &random_scenario::restartCutWorker, &random_scenario::pauseScheduler,
        &random_scenario::pauseAgent,       &random_scenario::replaceWorker};
    static_assert(std::size(Actions) == Kinds);
    constexpr int FirstDisturbance = 5; // takeOver
    (this->*Actions[Step.Kind])(Step);
    if (Step.Kind >= FirstDisturbance)
      DisturbedUntil =
          std::max(DisturbedUntil, Simulation.now() + 1s * Step.Amount);
    Simulation.runFor(1ms * Step.WaitMs);
  }

  /// Submits a job of one of the shapes that limit where it may run.
  void submitShaped(const simulation_step &Step) {
    constexpr int FirstFailingKind = 9;
    if (Step.Kind >= FirstFailingKind)
      return submitFailing(Step);
    job_spec Spec = next(Step, 1 + Step.WaitMs % 8);
    step_spec &Shape = Spec.Steps[0];
    Shape.Count = 1 + static_cast<std::uint32_t>(Step.Amount) % 4;
    Shape.Gang = Step.Kind % 2 == 0;
    Shape.SameRack = Step.Kind % 3 == 0;
    Shape.LongRunning = Step.Kind % 4 == 1;
    if (Shape.LongRunning)
      Shape.Need.Accelerators = 1; // most of the capacity is to stay idle
    if (Step.Target < 2)
      Shape.RequiredLabel = Step.Target == 0 ? "r1" : "r2";
    Simulation.submit(Spec);
  }
  /// Submits what fails often enough on each worker to set it aside.
  void submitFailing(const simulation_step &Step) {
    constexpr int FailuresToSuspect = 3;
    for (int I = 0; I < FailuresToSuspect; ++I) {
      job_spec Spec = next(Step, 1);
      Spec.Payload = "100f";
      Spec.Steps[0].MaxPerWorker = 1;
      Spec.Steps[0].Count =
          static_cast<std::uint32_t>(Simulation.workerCount());
      Simulation.submit(Spec);
    }
  }
  /// Lets the disturbances end, and what depends on leases of that time.
  void calmDown() {
    constexpr duration StableTime = 4s;
    constexpr duration LeaseTime = 7s;
    const time_point CalmAt = DisturbedUntil + StableTime + LeaseTime;
    Simulation.runFor(std::max(CalmAt - Simulation.now(), duration{}));
  }

  cluster_simulation Simulation;

private:
  job_spec next(const simulation_step &Step, std::int32_t Accelerators) {
    job_spec Spec = jobOf("job" + std::to_string(++Jobs),
                          static_cast<std::uint32_t>(Step.Amount),
                          std::to_string(400 * Step.Amount), Accelerators);
    Spec.Steps[0].Checkpointing = Step.Amount % 2 == 0;
    Spec.Policy.Attempts = 3;
    return Spec;
  }
  void submit(const simulation_step &Step) { Simulation.submit(next(Step, 2)); }
  void submitGang(const simulation_step &Step) {
    job_spec Spec = next(Step, 4);
    Spec.Steps[0].Count = 1 + static_cast<std::uint32_t>(Step.Amount) % 4;
    Spec.Steps[0].Gang = true;
    Simulation.submit(Spec);
  }
  void urgent(const simulation_step &Step) {
    job_spec Spec = next(Step, 1);
    Spec.Policy.Queue = "urgent";
    Spec.Policy.Priority = 0;
    Simulation.submit(Spec);
  }
  void cancel(const simulation_step &Step) {
    const job_id Job("job" + std::to_string(Step.Amount));
    if (Simulation.registry().find(Job))
      Simulation.cancel(Job);
  }
  void takeOver(const simulation_step &Step) {
    if (Step.Amount % 2 == 0)
      Simulation.takeOver();
    else
      Simulation.handOver();
  }
  void pauseScheduler(const simulation_step &Step) {
    Simulation.pauseScheduler(1s * Step.Amount);
  }
  void pauseAgent(const simulation_step &Step) {
    Simulation.pauseAgent(Step.Target, 1s * Step.Amount);
  }
  void restartAgent(const simulation_step &Step) {
    Simulation.restartAgent(Step.Target);
  }
  void restartWorker(const simulation_step &Step) {
    Simulation.restartWorker(Step.Target);
  }
  void replaceWorker(const simulation_step &Step) {
    Simulation.replaceWorker(Step.Target, 500ms * Step.Amount);
  }
  void disconnect(const simulation_step &Step) {
    Simulation.disconnectAgent(Step.Target, 1s * Step.Amount);
  }

  void cutWorker(const simulation_step &Step) {
    Simulation.cutWorker(Step.Target, 1s * Step.Amount);
  }
  void restartCutWorker(const simulation_step &Step) {
    cutWorker(Step);
    Simulation.runFor(250ms * Step.Amount);
    Simulation.restartWorker(Step.Target);
  }

  int Jobs = 0;
  time_point DisturbedUntil{};
};

bool invariantsHold(const simulation_faults &Faults,
                    const rc::Gen<simulation_step> &Step = anyStep()) {
  return rc::check([&] {
    const auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto Steps = *rc::gen::container<std::vector<simulation_step>>(Step);
    random_scenario Scenario(Seed, Faults);
    for (const simulation_step &Each : Steps) {
      Scenario.apply(Each);
      RC_ASSERT(Scenario.Simulation.runsAreListedOnce());
      RC_ASSERT(Scenario.Simulation.unrecordedEnds().empty());
    }
    const bool Ended = Scenario.Simulation.runUntil(
        [&] { return Scenario.Simulation.allEnded(); }, 300s);
    for (const std::string &Each :
         Scenario.Simulation.simulatedWorkers().violations())
      RC_FAIL(Each);
    RC_ASSERT(Ended);
  });
}

/// No job is shown as running, and left out of the pending ones, before a
/// worker has started one of its tasks.
bool noJobBeginsBeforeItsTasks(const simulation_faults &Faults) {
  return rc::check([&] {
    random_scenario Scenario(*rc::gen::arbitrary<std::uint32_t>(), Faults);
    const cluster_simulation &Simulation = Scenario.Simulation;
    for (const simulation_step &Each :
         *rc::gen::container<std::vector<simulation_step>>(anyStep())) {
      Scenario.apply(Each);
      std::size_t NotStarted = 0;
      for (const auto &[Job, Entry] : Simulation.registry().jobs()) {
        const bool Started = Simulation.hasStarted(Job);
        RC_ASSERT(Started || Entry.state() != job_state::Running);
        NotStarted += !Started && !ended(Entry.state()) ? 1 : 0;
      }
      RC_ASSERT(Simulation.registry().pending("batch") +
                    Simulation.registry().pending("urgent") >=
                NotStarted);
    }
  });
}

/// Whatever has happened before, no job stands still for long once the machines
/// are calm, while most of the capacity is idle.
bool nothingStandsStill(const simulation_faults &Faults) {
  return rc::check([&] {
    constexpr int WorkerCount = 2 * Workers;
    // Full ranges in each case: a short scenario is not a mild one.
    const auto Step = rc::gen::resize(rc::kNominalSize, anyStep());
    const auto StepsUpTo = [&](int Most) {
      return *rc::gen::container<std::vector<simulation_step>>(
          static_cast<std::size_t>(*rc::gen::inRange(0, Most + 1)), Step);
    };
    random_scenario Scenario(*rc::gen::arbitrary<std::uint32_t>(), Faults,
                             WorkerCount);
    for (const simulation_step &Each : StepsUpTo(10))
      Scenario.apply(Each);
    for (const simulation_step &Each : StepsUpTo(5))
      Scenario.submitShaped(Each);
    Scenario.calmDown();
    standstill_monitor Monitor(Scenario.Simulation);
    for (const simulation_step &Each : StepsUpTo(10)) {
      Scenario.submitShaped(Each);
      Monitor.runFor(1ms * Each.WaitMs);
    }
    Monitor.runFor(4s);
    for (const std::string &Each : Monitor.violations())
      RC_FAIL(Each);
    for (const std::string &Each :
         Scenario.Simulation.simulatedWorkers().violations())
      RC_FAIL(Each);
  });
}

/// On sound workers no run is stopped for standing still, whatever the speeds
/// of the workers are.
bool soundGangsRunOnce() {
  return rc::check([&] {
    cluster_simulation Simulation(*rc::gen::arbitrary<std::uint32_t>(), Workers,
                                  {});
    for (int Worker = 0; Worker < Workers; ++Worker)
      Simulation.setSpeed(Worker, *rc::gen::inRange(30, 300) / 100.0);
    const auto Sizes = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange(1U, Workers + 1U));
    int Jobs = 0;
    for (const std::uint32_t Size : Sizes) {
      job_spec Spec = jobOf("job" + std::to_string(++Jobs), Size,
                            std::to_string(*rc::gen::inRange(500, 9000)), 4);
      Spec.Steps[0].Gang = true;
      Spec.Steps[0].Checkpointing = Size % 2 == 0;
      Simulation.submit(Spec);
      Simulation.runFor(200ms);
    }
    RC_ASSERT(
        Simulation.runUntil([&] { return Simulation.allEnded(); }, 2000s));
    RC_ASSERT(Simulation.decisions("task_stalled") == 0U);
    RC_ASSERT(Simulation.decisions("gang_not_ending") == 0U);
  });
}

} // namespace

TEST_GROUP(ClusterSimulationProperties){};

TEST(ClusterSimulationProperties, GangsOnSoundWorkersAreNotTakenForHanging) {
  CHECK(soundGangsRunOnce());
}

TEST(ClusterSimulationProperties, NoJobStandsStillBesideIdleCapacity) {
  CHECK(nothingStandsStill({}));
}

TEST(ClusterSimulationProperties, NoJobStandsStillAfterLostOrders) {
  CHECK(nothingStandsStill({.LostOrders = 20}));
}

TEST(ClusterSimulationProperties, HoldWithoutLostMessages) {
  CHECK(invariantsHold({}));
}

TEST(ClusterSimulationProperties, HoldWithLostReports) {
  CHECK(invariantsHold({.LostReports = 20}));
}

TEST(ClusterSimulationProperties, HoldWithLostAndLateOrders) {
  CHECK(invariantsHold({.LostOrders = 20, .LateOrders = 10}));
}

// Starts whose answer was lost are taken back when their worker drains.
TEST(ClusterSimulationProperties, HoldWhileWorkersAreReplaced) {
  CHECK(invariantsHold({.LostOrders = 20, .StopTime = 900ms},
                       stepOfARollingReplacement()));
}

TEST(ClusterSimulationProperties, HoldWithStartsThatReachTheNextInstance) {
  constexpr int WithoutReplacements = ReplaceWorker;
  CHECK(invariantsHold({.LostOrders = 20, .UnboundStarts = true},
                       anyStep(WithoutReplacements)));
}

// Workers that close each connection, as a server of HTTP/1.1 may.
TEST(ClusterSimulationProperties, HoldWithRestartsBetweenAnswerAndStart) {
  CHECK(invariantsHold({.LostOrders = 20, .RestartsBeforeStart = 5}));
}

// The next instance of a worker that closes its connections drops ends up to
// the last acknowledged number of the earlier one.
TEST(ClusterSimulationProperties, HoldWithRestartsBetweenAnswerAndListing) {
  CHECK(invariantsHold({.RestartsBeforeListing = 1}));
}

TEST(ClusterSimulationProperties, HoldWithAnswersFromBeforeAPause) {
  CHECK(invariantsHold({.LostOrders = 5, .HeldAnswers = 10}));
}

// Ends pile up while their records are not stored.
TEST(ClusterSimulationProperties, HoldWhileListingsLackEnds) {
  CHECK(invariantsHold({.SlowAppends = 80, .EndsPerListing = 2}));
}

TEST(ClusterSimulationProperties, NoJobBeginsBeforeItsTasks) {
  CHECK(noJobBeginsBeforeItsTasks({.UnhealthyStarts = 50}));
}

TEST(ClusterSimulationProperties, HoldWithASlowLog) {
  CHECK(invariantsHold({.LostReports = 5, .LostOrders = 5, .SlowAppends = 50}));
}
