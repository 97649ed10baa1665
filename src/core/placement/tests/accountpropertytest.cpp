#include "core/placement/scheduler.h"
#include "core/placement/tests/placementfixtures.h"
#include "core/placement/tests/reclaimcheck.h"

#include <algorithm>
#include <memory>
#include <random>
#include <rapidcheck.h>
#include <string>

// After all other headers: it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

constexpr std::uint32_t StepSeedLimit = 1U << 30;
constexpr const char *CustomerNames[] = {"a", "b", "c"};
constexpr cell_level Levels[] = {cell_level::One,    cell_level::Two,
                                 cell_level::Four,   cell_level::Eight,
                                 cell_level::Worker, cell_level::Rack};

/// Changes one account in pseudo-random steps, each derived from one seed.
class account_driver {
public:
  explicit account_driver(int Workers) : Account(makeAccount(Workers)) {}

  void step(std::uint32_t Seed);

  capacity_account Account;
  bool FailedClaimChangedTheAccount = false;
  bool ShortfallGrewWithoutCapacityLoss = false;

private:
  using step_member = void (account_driver::*)();

  int randomBelow(int Bound) {
    return static_cast<int>(Random() % static_cast<unsigned>(Bound));
  }
  customer_id randomCustomer() {
    return customer_id(CustomerNames[randomBelow(3)]);
  }

  void claimRandomMasks();
  void claimFromConcurrentSchedulers();
  void releaseRandomAttempts();
  void toggleWorker();
  void moveWorkerToRandomRack();
  void changeGuarantees();
  void claim(const customer_id &Customer,
             std::span<const task_assignment> Assignments,
             std::span<const resources> Needs,
             std::span<const fencing_token> Victims);
  std::vector<fencing_token> randomAttempts(int OneIn);

  std::mt19937 Random;
  std::uint64_t LastToken = 0;
};

void account_driver::step(std::uint32_t Seed) {
  static constexpr step_member Steps[] = {
      &account_driver::claimRandomMasks,
      &account_driver::claimRandomMasks,
      &account_driver::claimFromConcurrentSchedulers,
      &account_driver::claimFromConcurrentSchedulers,
      &account_driver::releaseRandomAttempts,
      &account_driver::toggleWorker,
      &account_driver::changeGuarantees,
      &account_driver::moveWorkerToRandomRack,
  };
  Random.seed(Seed);
  step_member Step = Steps[randomBelow(std::size(Steps))];
  bool MayLoseCapacity = Step == &account_driver::toggleWorker ||
                         Step == &account_driver::moveWorkerToRandomRack;
  cell_counts Before = Account.shortfallByLevel();
  (this->*Step)();
  cell_counts After = Account.shortfallByLevel();
  // Released capacity goes to the largest cells first, so that the shortfall of
  // a larger level may turn into one of a smaller level.
  auto Larger = [](const cell_counts &Left, const cell_counts &Right) {
    return std::lexicographical_compare(Right.rbegin(), Right.rend(),
                                        Left.rbegin(), Left.rend());
  };
  ShortfallGrewWithoutCapacityLoss |= !MayLoseCapacity && Larger(After, Before);
}

std::vector<fencing_token> account_driver::randomAttempts(int OneIn) {
  std::vector<fencing_token> Tokens;
  for (const auto &[Token, Attempt] : Account.attempts())
    if (randomBelow(OneIn) == 0)
      Tokens.push_back(Token);
  return Tokens;
}

void account_driver::claim(const customer_id &Customer,
                           std::span<const task_assignment> Assignments,
                           std::span<const resources> Needs,
                           std::span<const fencing_token> Victims) {
  capacity_account Before = Account;
  fencing_token Token{++LastToken};
  capacity_check Check =
      Account.claim({Token, Customer, Assignments, Needs}, Victims);
  if (Check != capacity_check::Ok && !(Before == Account))
    FailedClaimChangedTheAccount = true;
}

void account_driver::claimRandomMasks() {
  std::vector<task_assignment> Assignments;
  std::vector<resources> Needs;
  bool Guaranteed = randomBelow(3) != 0;
  int Tasks = 1 + randomBelow(3);
  auto Workers = static_cast<int>(Account.workers().workers().size());
  for (int Task = 0; Task < Tasks; ++Task) {
    int Size = 1 << randomBelow(4);
    auto Mask = ((accelerator_mask{1} << Size) - 1)
                << (Size * randomBelow(8 / Size));
    if (randomBelow(5) == 0)
      Mask = static_cast<accelerator_mask>(randomBelow(256));
    Assignments.push_back(
        {static_cast<std::uint32_t>(Task),
         worker_id("w" + std::to_string(randomBelow(Workers))), Mask,
         Guaranteed});
    Needs.push_back({0, std::int64_t{1000} * randomBelow(3),
                     std::int64_t{1000} * randomBelow(3)});
  }
  claim(randomCustomer(), Assignments, Needs,
        randomAttempts(1 + randomBelow(4)));
}

void account_driver::claimFromConcurrentSchedulers() {
  std::vector<std::vector<resources>> NeedsOfJobs;
  NeedsOfJobs.reserve(4);
  for (int Job = 0; Job < 4; ++Job)
    NeedsOfJobs.emplace_back(1 + randomBelow(3),
                             resources{1 << randomBelow(4), 1000, 1000});
  std::vector<waiting_job> Jobs;
  for (const auto &Needs : NeedsOfJobs) {
    waiting_job &Job = Jobs.emplace_back();
    Job.Job = job_id("j" + std::to_string(Jobs.size()));
    Job.Customer = randomCustomer();
    Job.Needs = Needs;
    Job.Urgent = randomBelow(4) == 0;
  }
  scheduler First(objective::CompletionTime);
  scheduler Second(objective::Fragmentation);
  schedule One = First.decide({Jobs, {}, Account}, time_point{});
  schedule Two = Second.decide({Jobs, {}, Account}, time_point{});
  for (const schedule &Schedule : {One, Two})
    for (const placement_proposal &Proposal : Schedule.Proposals) {
      const waiting_job &Job =
          *std::ranges::find(Jobs, Proposal.Job, &waiting_job::Job);
      claim(Job.Customer, Proposal.Assignments, Job.Needs, Proposal.Victims);
    }
}

void account_driver::releaseRandomAttempts() {
  for (fencing_token Token : randomAttempts(1 + randomBelow(3)))
    Account.release(Token);
}

void account_driver::toggleWorker() {
  auto Workers = static_cast<int>(Account.workers().workers().size());
  auto Index = static_cast<topology_index>(randomBelow(Workers));
  Account.setUsable(Account.workers().worker(Index).Info.Id,
                    !Account.usable(Index));
}

void account_driver::moveWorkerToRandomRack() {
  if (randomBelow(4) != 0)
    return;
  auto Workers = static_cast<int>(Account.workers().workers().size());
  worker_info Worker = makeWorker(randomBelow(Workers));
  Worker.Rack = rack_id("k" + std::to_string(randomBelow(2)));
  Account.registerWorker(Worker);
}

/// Adds random cells until several do not pack: faults in the guarantees show
/// only while little capacity is left over.
void account_driver::changeGuarantees() {
  std::vector<customer_guarantees> All;
  for (const char *Name : CustomerNames)
    All.push_back(
        {customer_id(Name), {}, randomBelow(6) == 0 ? 4 + randomBelow(12) : 0});
  Account.setGuarantees(All);
  int Rejected = 0;
  while (Rejected < 4) {
    std::vector<customer_guarantees> More = All;
    More[randomBelow(3)].Guarantees.push_back(
        {Levels[randomBelow(CellLevels)], 1});
    if (Account.setGuarantees(More) == capacity_check::Ok)
      All = More;
    else
      ++Rejected;
  }
}

std::vector<std::uint32_t> generateSteps() {
  return *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, StepSeedLimit));
}

/// True if the scheduler immediately proposes a guaranteed placement for a job
/// that needs exactly one unbound cell of \p Customer.
bool cellIsServed(const capacity_account &Account,
                  capacity_account::customer_index Customer, cell_level Level) {
  int Size = Level == cell_level::Worker ? 8 : buddySize(Level);
  std::vector<resources> Needs{{Size, 1000, 1000}};
  std::vector<waiting_job> Jobs(1);
  Jobs[0].Job = job_id("j");
  Jobs[0].Customer = Account.customer(Customer).Customer;
  Jobs[0].Needs = Needs;
  scheduler Scheduler(objective::CompletionTime);
  schedule Schedule = Scheduler.decide({Jobs, {}, Account}, time_point{});
  return Schedule.Proposals.size() == 1 &&
         Schedule.Proposals[0].Assignments[0].Guaranteed;
}

} // namespace

TEST_GROUP(AccountProperties){};

TEST(AccountProperties, EveryGuaranteedCellCanBeReclaimedAfterEveryStep) {
  CHECK(rc::check([] {
    account_driver Driver(*rc::gen::inRange(1, 6));
    for (std::uint32_t Seed : generateSteps()) {
      Driver.step(Seed);
      RC_ASSERT(!Driver.FailedClaimChangedTheAccount);
      RC_ASSERT(!Driver.ShortfallGrewWithoutCapacityLoss);
      RC_ASSERT(
          reclaimable(Driver.Account.image(), Driver.Account.shortfalls()));
    }
  }));
}

TEST(AccountProperties, TheSchedulerServesEveryUnusedGuaranteedCell) {
  CHECK(rc::check([] {
    account_driver Driver(*rc::gen::inRange(1, 6));
    for (std::uint32_t Seed : generateSteps()) {
      Driver.step(Seed);
      const capacity_account &Account = Driver.Account;
      if (!Account.shortfalls().empty())
        continue;
      for (capacity_account::customer_index Customer = 0;
           Customer < Account.customerCount(); ++Customer)
        for (cell_level Level : Levels)
          if (Level != cell_level::Rack &&
              Account.customer(Customer).MaxAccelerators == 0 &&
              Account.unbound(Customer, Level) > 0)
            RC_ASSERT(cellIsServed(Account, Customer, Level));
    }
  }));
}

TEST(AccountProperties, ImageRoundTripAndEqualCallsGiveEqualAccounts) {
  CHECK(rc::check([] {
    int Workers = *rc::gen::inRange(1, 6);
    account_driver First(Workers);
    account_driver Second(Workers);
    for (std::uint32_t Seed : generateSteps()) {
      First.step(Seed);
      Second.step(Seed);
      RC_ASSERT(First.Account == Second.Account);
      capacity_image Image = First.Account.image();
      RC_ASSERT(capacity_account::fromImage(Image) == First.Account);
    }
  }));
}
