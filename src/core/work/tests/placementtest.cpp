#include "core/work/placementround.h"
#include "core/work/runtable.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;

TEST_GROUP(Placement) {
  time_point Now{std::chrono::hours(1)};
  evacuated_zones Evacuated;
  worker_pool Pool{scheduler_limits{}, Evacuated};
  speed_ranks Speeds;
  run_table Runs;
  job_spec Spec = testing::makeJob("j1", 2, 8);
  std::vector<task_position> Tasks;
  std::vector<const live_run *> Siblings;

  step_spec &step() { return Spec.Steps[0]; }

  void addWorker(std::string_view Id, std::string_view Rack) {
    worker_report Report{.Description = testing::makeWorker(Id, Rack)};
    Pool.applyReport(Report, Now).HasListing = true;
  }

  /// Occupies accelerators of a worker with a run of another job.
  const live_run &occupy(std::string_view Worker, std::int32_t Accelerators,
                         std::uint32_t Priority = 2,
                         duration Left = std::chrono::seconds(5),
                         bool LongRunning = false) {
    static std::uint32_t Number = 0;
    live_run Run{.Run = {{job_id("other" + std::to_string(++Number)), {}}, 1},
                 .Worker = {worker_id(Worker), 1},
                 .Need = {.Accelerators = Accelerators,
                          .MilliCores = 1000,
                          .MemoryMb = 1000},
                 .Priority = Priority,
                 .ExpectedDuration = Left,
                 .PlacedAt = Now,
                 .Started = true,
                 .LongRunning = LongRunning,
                 .StartedAt = Now,
                 .PercentAt = Now};
    live_run *Added = Runs.add(Run);
    Pool.allocate(*Added);
    return *Added;
  }

  placement_request request() {
    Tasks.clear();
    for (std::uint32_t I = 0; I < step().Count; ++I)
      Tasks.push_back({0, 0, I});
    return {.Step = &step(),
            .Service = Spec.Policy.Service,
            .Priority = Spec.Policy.Priority,
            .ExpectedDuration = step().Estimate,
            .Tasks = Tasks,
            .Siblings = Siblings};
  }

  placement_round round() { return {Pool, Speeds, Now}; }

  static std::set<std::string> workersOf(
      const std::vector<assignment> &Placed) {
    std::set<std::string> Ids;
    for (const assignment &Each : Placed)
      Ids.insert(Each.Worker.Worker.str());
    return Ids;
  }
};

TEST(Placement, AGangIsPlacedCompletelyOrNotAtAll) {
  addWorker("w1", "r1");
  step().Gang = true;
  auto Round = round();
  CHECK(Round.place(request()).empty());
  addWorker("w2", "r1");
  auto Larger = round();
  LONGS_EQUAL(2, Larger.place(request()).size());
}

TEST(Placement, TasksWithoutAGangArePlacedAsFarAsTheyFit) {
  addWorker("w1", "r1");
  auto Round = round();
  LONGS_EQUAL(1, Round.place(request()).size());
}

TEST(Placement, SameRackPicksARackThatFitsAllTasks) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  addWorker("w3", "r2");
  step().SameRack = true;
  auto Round = round();
  CHECK(workersOf(Round.place(request())) ==
        (std::set<std::string>{"w2", "w3"}));
}

TEST(Placement, SameRackWaitsForARackThatIsBusy) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  addWorker("w3", "r2");
  occupy("w3", 1);
  step().SameRack = true;
  step().Gang = true;
  auto Round = round();
  CHECK(Round.place(request()).empty());
}

TEST(Placement, SameRackIsSpreadIfNoRackIsLargeEnough) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  step().SameRack = true;
  step().Gang = true;
  auto Round = round();
  LONGS_EQUAL(2, Round.place(request()).size());
}

// Waiting for a rack that can never take all tasks would be waiting for ever.
TEST(Placement, SameRackIsSpreadIfNoRackHasEnoughWorkersForTheLimit) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  step() = {.Count = 2, .Need = {.Accelerators = 1}};
  step().SameRack = true;
  step().MaxPerWorker = 1;
  auto Round = round();
  CHECK(workersOf(Round.place(request())) ==
        (std::set<std::string>{"w1", "w2"}));
}

TEST(Placement, SameRackWaitsForARackWithEnoughWorkersForTheLimit) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  addWorker("w3", "r2");
  occupy("w3", 8);
  step() = {.Count = 2, .Need = {.Accelerators = 1}};
  step().SameRack = true;
  step().MaxPerWorker = 1;
  auto Round = round();
  CHECK(Round.place(request()).empty());
}

TEST(Placement, SameRackIsSpreadIfLastingTasksOccupyTheRacks) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  for (const char *Worker : {"w1", "w2"})
    occupy(Worker, 4, 2, std::chrono::seconds(5), true);
  step() = {.Count = 2, .Need = {.Accelerators = 4}};
  step().SameRack = true;
  auto Round = round();
  LONGS_EQUAL(2, Round.place(request()).size());
}

TEST(Placement, SameRackPreemptsInSeveralRacksIfNoneHasEnoughWorkers) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  occupy("w1", 8);
  occupy("w2", 8);
  Spec.Policy.Priority = 0;
  step() = {.Count = 2, .Need = {.Accelerators = 1}};
  step().SameRack = true;
  step().MaxPerWorker = 1;
  auto Round = round();
  const auto Plan = Round.planPreemption(request());
  CHECK(Plan.has_value());
  LONGS_EQUAL(2, Plan->Victims.size());
}

TEST(Placement, ARequiredLabelMayNameKindOrRack) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  step() = {.Count = 1, .RequiredLabel = "r2"};
  auto Round = round();
  CHECK(workersOf(Round.place(request())) == std::set<std::string>{"w2"});
  step().RequiredLabel = "rare";
  CHECK(Round.place(request()).empty());
  CHECK(!Round.fitsEmptyWorkers(request()));
}

TEST(Placement, RespectsTheLimitOfTasksOnOneWorker) {
  addWorker("w1", "r1");
  step() = {.Count = 4, .MaxPerWorker = 2};
  auto Round = round();
  LONGS_EQUAL(2, Round.place(request()).size());
}

TEST(Placement, ActiveRunsOfTheStepCountAgainstTheLimit) {
  addWorker("w1", "r1");
  Siblings = {&occupy("w1", 1)};
  step() = {.Count = 4, .MaxPerWorker = 2};
  auto Round = round();
  LONGS_EQUAL(1, Round.place(request()).size());
}

TEST(Placement, PrefersTheRackWithTheData) {
  addWorker("w1", "r1");
  addWorker("w2", "r2");
  step() = {.Count = 1, .DataRack = "r2"};
  auto Round = round();
  CHECK(workersOf(Round.place(request())) == std::set<std::string>{"w2"});
}

TEST(Placement, FillsTheFullestWorkerFirst) {
  addWorker("w1", "r1");
  addWorker("w2", "r1");
  occupy("w2", 5);
  step().Count = 1;
  step().Need.Accelerators = 2;
  auto Round = round();
  CHECK(workersOf(Round.place(request())) == std::set<std::string>{"w2"});
}

TEST(Placement, DrainingAndSuspectedWorkersGetNoTasks) {
  addWorker("w1", "r1");
  Pool.find(worker_id("w1"))->Description.Draining = true;
  addWorker("w2", "r1");
  Pool.find(worker_id("w2"))->SuspectUntil = Now + std::chrono::seconds(1);
  auto Round = round();
  CHECK(Round.place(request()).empty());
}

TEST(Placement, AWorkerOnProbationGetsOneTaskAtATime) {
  addWorker("w1", "r1");
  Pool.find(worker_id("w1"))->OnProbation = true;
  step() = {.Count = 3, .Need = {.Accelerators = 1}};
  auto Round = round();
  LONGS_EQUAL(1, Round.place(request()).size());
  CHECK(Round.place(request()).empty());
  occupy("w1", 1);
  auto Next = round();
  CHECK(Next.place(request()).empty());
}

TEST(Placement, ALastAttemptGoesToAReliableWorker) {
  addWorker("w1", "r1");
  Pool.find(worker_id("w1"))->ConsecutiveFailures = 1;
  step().Count = 1;
  placement_request Last = request();
  Last.ReliableOnly = true;
  auto Round = round();
  CHECK(Round.place(Last).empty());
  addWorker("w2", "r1");
  auto Next = round();
  CHECK(workersOf(Next.place(Last)) == std::set<std::string>{"w2"});
}

TEST(Placement, StoppingRunsStillOccupyCapacity) {
  addWorker("w1", "r1");
  const live_run &Run = occupy("w1", 4);
  const_cast<live_run &>(Run).Stopping = true;
  Pool.markFreeing(Run);
  step().Count = 1;
  auto Round = round();
  CHECK(Round.place(request()).empty());
  CHECK(Round.reserveFreed(request()));
}

TEST(Placement, PreemptsTheCheapestSufficientRuns) {
  addWorker("w1", "r1");
  addWorker("w2", "r1");
  occupy("w1", 8);
  const live_run &Cheap = occupy("w2", 8);
  const_cast<live_run &>(Cheap).PlacedAt = Now + std::chrono::seconds(1);
  Spec.Policy.Priority = 0;
  step().Count = 1;
  auto Round = placement_round(Pool, Speeds, Now + std::chrono::seconds(3));
  const auto Plan = Round.planPreemption(request());
  CHECK(Plan.has_value());
  LONGS_EQUAL(1, Plan->Victims.size());
  CHECK(Plan->Victims[0] == Cheap.Run);
}

TEST(Placement, NeverPreemptsEqualPriority) {
  addWorker("w1", "r1");
  occupy("w1", 8, 0);
  Spec.Policy.Priority = 0;
  step().Count = 1;
  auto Round = round();
  CHECK(!Round.planPreemption(request()));
}

TEST(Placement, EarliestFitIsWhenEnoughRunsHaveEnded) {
  addWorker("w1", "r1");
  occupy("w1", 4, 2, std::chrono::seconds(2));
  occupy("w1", 4, 2, std::chrono::seconds(6));
  step().Count = 1;
  auto Round = round();
  CHECK(Round.earliestFit(request()) == Now + std::chrono::seconds(6));
  step().Need.Accelerators = 4;
  CHECK(Round.earliestFit(request()) == Now + std::chrono::seconds(2));
}

TEST(Placement, OnlyTasksThatEndBeforeAReservationMayUseIt) {
  addWorker("w1", "r1");
  occupy("w1", 4, 2, std::chrono::seconds(5));
  step().Count = 1;
  auto Round = round();
  Round.reserveAt(request(), Now + std::chrono::seconds(5));
  job_spec Long = testing::makeJob("long", 1, 2);
  Long.Steps[0].Estimate = std::chrono::seconds(20);
  Spec = Long;
  CHECK(Round.place(request()).empty());
  step().Estimate = std::chrono::seconds(3);
  LONGS_EQUAL(1, Round.place(request()).size());
}

// Every worker has a short run of a less urgent job, and a wide urgent gang
// arrives: the cost of a plan must not grow with workers times tasks.
TEST(Placement, APlanExaminesEachWorkerAFewTimesOnly) {
  constexpr std::size_t MaxPerWorker = 8;
  for (const int Workers : {60, 240, 850}) {
    for (int I = 0; I < Workers; ++I) {
      const std::string Id = "w" + std::to_string(Workers * 1000 + I);
      addWorker(Id, "r" + std::to_string(I / 20));
      occupy(Id, 4);
    }
    step().Count = 25;
    step().Gang = true;
    Spec.Policy.Priority = 0;
    auto Round = round();
    const auto Plan = Round.planPreemption(request());
    CHECK(Plan.has_value());
    LONGS_EQUAL(25, Plan->Victims.size());
    CHECK(Round.examined() <= MaxPerWorker * Pool.all().size());
  }
}

TEST(Placement, ARackIsSearchedWithoutTheOtherRacks) {
  for (int I = 0; I < 240; ++I)
    addWorker("w" + std::to_string(I), "r" + std::to_string(I / 20));
  step().Count = 25;
  step().Need.Accelerators = 2;
  step().SameRack = true;
  step().Gang = true;
  auto Round = round();
  LONGS_EQUAL(25, Round.place(request()).size());
  // Once for all workers, then 20 workers for each of the 25 tasks.
  LONGS_EQUAL(240 + 25 * 20, Round.examined());
}

// The product of tasks and occurrences would overflow to zero.
TEST(Placement, TheTaskLimitHoldsForHugeCounts) {
  Spec.Steps.assign(4, Spec.Steps.front());
  for (step_spec &Each : Spec.Steps)
    Each.Count = std::uint32_t{1} << 31;
  Spec.Occurrences = std::uint32_t{1} << 31;
  CHECK(hasMoreTasksThan(Spec, 4096));
  Spec.Steps.resize(1);
  Spec.Steps[0].Count = 2048;
  Spec.Occurrences = 2;
  CHECK(!hasMoreTasksThan(Spec, 4096));
  Spec.Occurrences = 3;
  CHECK(hasMoreTasksThan(Spec, 4096));
}

// Urgent steps have little slack; the others leave the fast workers to them.
TEST(Placement, UrgentStepsGetFastWorkersAndOthersSlowOnes) {
  for (const char *Id : {"w1", "w2", "w3", "w4", "w5"})
    addWorker(Id, "r1");
  Speeds = {{worker_id("w1"), {.Step = 1}},
            {worker_id("w2"), {.Step = -1}},
            {worker_id("w3"), {.Step = 2}},
            {worker_id("w4"), {.Step = -2}},
            {worker_id("w5"), {.Step = -9, .TooSlow = true}}};
  const auto WorkersFor = [&](std::uint32_t Priority) {
    auto Round = round();
    placement_request Request = request();
    Request.Priority = Priority;
    std::set<worker_id> Workers;
    for (const assignment &Each : Round.place(Request))
      Workers.insert(Each.Worker.Worker);
    return Workers;
  };
  CHECK(WorkersFor(0) == std::set({worker_id("w1"), worker_id("w3")}));
  // The last one is too slow for anything.
  CHECK(WorkersFor(1) == std::set({worker_id("w2"), worker_id("w4")}));
}
