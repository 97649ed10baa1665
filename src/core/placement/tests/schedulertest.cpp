#include "core/placement/scheduler.h"
#include "core/placement/tests/placementfixtures.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace geraniumpaddle;

namespace {

/// Minimal ledger: claims the capacity of accepted proposals in the account.
struct schedule_fixture {
  explicit schedule_fixture(int Workers) : Account(makeAccount(Workers)) {}

  void submit(const char *Job, const char *Customer,
              std::vector<resources> Needs,
              adjacency Adjacency = adjacency::Any, bool Urgent = false) {
    NeedsOfJobs.push_back(
        std::make_unique<std::vector<resources>>(std::move(Needs)));
    waiting_job Waiting;
    Waiting.Job = job_id(Job);
    Waiting.Customer = customer_id(Customer);
    Waiting.Needs = *NeedsOfJobs.back();
    Waiting.Adjacency = Adjacency;
    Waiting.Urgent = Urgent;
    Waiting.DeclaredRunTime = std::chrono::hours{1};
    Waiting.WaitingSince = Now;
    Jobs.push_back(Waiting);
  }

  schedule decide() { return Scheduler.decide({Jobs, Running, Account}, Now); }

  /// Accepts every proposal and clears the waiting jobs.
  void accept(const schedule &Schedule) {
    for (const placement_proposal &Proposal : Schedule.Proposals) {
      const waiting_job &Job =
          *std::ranges::find(Jobs, Proposal.Job, &waiting_job::Job);
      fencing_token Token{++LastToken};
      CHECK(
          capacity_check::Ok ==
          Account.claim({Token, Job.Customer, Proposal.Assignments, Job.Needs},
                        Proposal.Victims));
      running_attempt Attempt;
      Attempt.Job = Job.Job;
      Attempt.Token = Token;
      Attempt.Customer = Job.Customer;
      Attempt.Adjacency = Job.Adjacency;
      Attempt.Borrowed = Account.attempts().at(Token).Borrowed;
      Attempt.DeclaredRunTime = Job.DeclaredRunTime;
      Attempt.StartedAt = Now;
      Attempt.CheckpointAt = Now;
      Running.push_back(Attempt);
    }
    Jobs.clear();
  }

  time_point Now{std::chrono::hours{100}};
  capacity_account Account;
  scheduler Scheduler{objective::CompletionTime};
  std::vector<std::unique_ptr<std::vector<resources>>> NeedsOfJobs;
  std::vector<waiting_job> Jobs;
  std::vector<running_attempt> Running;
  std::uint64_t LastToken = 0;
};

std::vector<resources> gang(int Tasks, int Accelerators) {
  return {static_cast<std::size_t>(Tasks), {Accelerators, 1000, 1000}};
}

} // namespace

TEST_GROUP(Scheduler){};

TEST(Scheduler, PlacesAGangWithinARack) {
  schedule_fixture Fixture(6);
  Fixture.submit("j", "a", gang(3, 8), adjacency::Rack);
  schedule Schedule = Fixture.decide();
  LONGS_EQUAL(1, Schedule.Proposals.size());
  LONGS_EQUAL(3, Schedule.Proposals[0].Assignments.size());
  CHECK(wait_reason::Proposed == Schedule.Explanations[0].Reason);
  Fixture.accept(Schedule);
}

TEST(Scheduler, ReclaimsAGuaranteeFromBorrowers) {
  schedule_fixture Fixture(2);
  std::vector<customer_guarantees> All{guarantees("a", cell_level::Worker, 1)};
  CHECK(capacity_check::Ok == Fixture.Account.setGuarantees(All));
  Fixture.submit("j1", "b", gang(1, 8));
  Fixture.submit("j2", "b", gang(2, 4));
  Fixture.accept(Fixture.decide());
  LONGS_EQUAL(2, Fixture.Running.size());
  Fixture.submit("j3", "a", gang(1, 4), adjacency::Any, /*Urgent=*/true);
  schedule Schedule = Fixture.decide();
  LONGS_EQUAL(1, Schedule.Proposals.size());
  LONGS_EQUAL(1, Schedule.Proposals[0].Victims.size());
  CHECK(Schedule.Proposals[0].Assignments[0].Guaranteed);
  Fixture.accept(Schedule);
}

TEST(Scheduler, ReportsTheConstraintThatMakesAJobInfeasible) {
  schedule_fixture Fixture(3);
  Fixture.submit("wide", "a", gang(1, 9));
  Fixture.submit("many", "a", gang(4, 8));
  Fixture.submit("near", "a", gang(2, 8), adjacency::Worker);
  Fixture.submit("cores", "a", {{1, 1000000, 1}});
  Fixture.submit("memory", "a", {{0, 1, 1000000}});
  schedule Schedule = Fixture.decide();
  LONGS_EQUAL(0, Schedule.Proposals.size());
  std::vector<unmet_constraint> Unmet;
  for (const job_explanation &Explanation : Schedule.Explanations)
    Unmet.push_back(Explanation.Unmet);
  CHECK((std::vector{
            unmet_constraint::TaskAccelerators, unmet_constraint::GangSize,
            unmet_constraint::GangAdjacency, unmet_constraint::TaskCores,
            unmet_constraint::TaskMemory}) == Unmet);
}

TEST(Scheduler, ReservesCapacityForAStarvedGang) {
  schedule_fixture Fixture(1);
  Fixture.submit("small", "b", gang(1, 4));
  Fixture.accept(Fixture.decide());
  Fixture.submit("large", "a", gang(1, 8));
  Fixture.Jobs.back().WaitingSince -= std::chrono::hours{12};
  Fixture.Now += std::chrono::minutes{30};
  Fixture.submit("late", "b", gang(1, 4));
  schedule Schedule = Fixture.decide();
  LONGS_EQUAL(0, Schedule.Proposals.size());
  CHECK(wait_reason::ReservedForStarved == Schedule.Explanations[1].Reason);
  CHECK(job_id("large") == Schedule.Explanations[1].ReservedFor);
}

TEST(Scheduler, RelocatesASmallBorrowerForALargeGang) {
  schedule_fixture Fixture(2);
  // One attempt that borrows two accelerators on each worker.
  for (const char *Worker : {"w0", "w1"}) {
    std::vector<resources> Needs = gang(1, 2);
    task_assignment Assignment{0, worker_id(Worker), 0x03, false};
    fencing_token Token{++Fixture.LastToken};
    CHECK(capacity_check::Ok ==
          Fixture.Account.claim(
              {Token, customer_id("b"), {&Assignment, 1}, Needs}, {}));
    running_attempt Attempt;
    Attempt.Token = Token;
    Attempt.Customer = customer_id("b");
    Attempt.Borrowed = true;
    Attempt.StartedAt = Fixture.Now;
    Attempt.CheckpointAt = Fixture.Now;
    Fixture.Running.push_back(Attempt);
  }
  Fixture.Now += std::chrono::hours{1};
  for (running_attempt &Attempt : Fixture.Running)
    Attempt.CheckpointAt = Fixture.Now;
  Fixture.submit("large", "a", gang(1, 8));
  schedule Schedule = Fixture.decide();
  LONGS_EQUAL(1, Schedule.Proposals.size());
  LONGS_EQUAL(1, Schedule.Proposals[0].Victims.size());
  Fixture.accept(Schedule);
}

TEST(Scheduler, PrefersTheVictimWithTheLeastLostWork) {
  schedule_fixture Fixture(1);
  std::vector<customer_guarantees> All{guarantees("a", cell_level::Four, 1)};
  CHECK(capacity_check::Ok == Fixture.Account.setGuarantees(All));
  Fixture.submit("old", "b", gang(1, 4));
  Fixture.submit("new", "b", gang(1, 4));
  Fixture.accept(Fixture.decide());
  Fixture.Now += std::chrono::minutes{20};
  Fixture.Running[1].CheckpointAt = Fixture.Now;
  Fixture.submit("mine", "a", gang(1, 4));
  schedule Schedule = Fixture.decide();
  LONGS_EQUAL(1, Schedule.Proposals.size());
  CHECK(std::vector{Fixture.Running[1].Token} == Schedule.Proposals[0].Victims);
  Fixture.Running[1].Idempotent = false;
  Schedule = Fixture.decide();
  CHECK(std::vector{Fixture.Running[0].Token} == Schedule.Proposals[0].Victims);
}

TEST(Scheduler, ReportsTheCustomerLimit) {
  schedule_fixture Fixture(1);
  std::vector<customer_guarantees> All{{customer_id("a"), {}, 4}};
  CHECK(capacity_check::Ok == Fixture.Account.setGuarantees(All));
  Fixture.submit("first", "a", gang(1, 4));
  Fixture.accept(Fixture.decide());
  Fixture.submit("second", "a", gang(1, 1));
  Fixture.submit("never", "a", gang(1, 5));
  schedule Schedule = Fixture.decide();
  CHECK(wait_reason::OwnLimit == Schedule.Explanations[0].Reason);
  CHECK(unmet_constraint::CustomerLimit == Schedule.Explanations[1].Unmet);
}

TEST_GROUP(RunTimeEstimator){};

TEST(RunTimeEstimator, LearnsACustomersSystematicError) {
  run_time_estimator Estimator;
  customer_id Customer("a");
  std::chrono::seconds Declared{3600};
  CHECK(Declared == Estimator.estimate(Customer, Declared));
  for (int Run = 0; Run < 20; ++Run)
    Estimator.observe({Customer, Declared, 4 * Declared});
  std::chrono::seconds Learned = Estimator.estimate(Customer, Declared);
  CHECK(Learned > 3 * Declared && Learned < 5 * Declared);
  CHECK(Declared == Estimator.estimate(customer_id("b"), Declared));
  CHECK(Estimator.remaining(Customer, Declared, 10 * Declared).count() > 0);
}
