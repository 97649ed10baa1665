#include "core/placement/capacityaccount.h"
#include "core/placement/tests/placementfixtures.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace geraniumpaddle;

namespace {

capacity_check claimOne(capacity_account &Account, int Token,
                        const char *Customer, const char *Worker,
                        accelerator_mask Mask, bool Guaranteed,
                        std::vector<fencing_token> Victims = {}) {
  task_assignment Assignment{0, worker_id(Worker), Mask, Guaranteed};
  resources Need{1, 1000, 1000};
  return Account.claim({fencing_token(Token),
                        customer_id(Customer),
                        {&Assignment, 1},
                        {&Need, 1}},
                       Victims);
}

} // namespace

TEST_GROUP(CapacityAccount){};

TEST(CapacityAccount, RejectsGuaranteesThatDoNotPack) {
  capacity_account Account = makeAccount(2);
  std::vector<customer_guarantees> All{guarantees("a", cell_level::Worker, 1),
                                       guarantees("b", cell_level::Eight, 1),
                                       guarantees("c", cell_level::One, 1)};
  CHECK(capacity_check::GuaranteesDoNotPack == Account.setGuarantees(All));
  All.pop_back();
  CHECK(capacity_check::Ok == Account.setGuarantees(All));
}

TEST(CapacityAccount, KeepsTheUnusedGuaranteeReclaimable) {
  capacity_account Account = makeAccount(2);
  std::vector<customer_guarantees> All{guarantees("a", cell_level::Eight, 1),
                                       guarantees("b", cell_level::Four, 2)};
  CHECK(capacity_check::Ok == Account.setGuarantees(All));
  CHECK(capacity_check::Ok ==
        claimOne(Account, 1, "b", "w0", 0x0f, /*Guaranteed=*/true));
  CHECK(capacity_check::GuaranteeViolated ==
        claimOne(Account, 2, "b", "w1", 0x0f, /*Guaranteed=*/true));
  CHECK(capacity_check::Ok ==
        claimOne(Account, 2, "b", "w0", 0xf0, /*Guaranteed=*/true));
}

TEST(CapacityAccount, PreemptsOnlyBorrowedAttempts) {
  capacity_account Account = makeAccount(1);
  std::vector<customer_guarantees> All{guarantees("a", cell_level::Worker, 1)};
  CHECK(capacity_check::Ok == Account.setGuarantees(All));
  CHECK(capacity_check::Ok == claimOne(Account, 1, "b", "w0", 0xff, false));
  CHECK(capacity_check::CapacityTaken ==
        claimOne(Account, 2, "a", "w0", 0x01, true));
  CHECK(capacity_check::Ok ==
        claimOne(Account, 2, "a", "w0", 0x01, true, {fencing_token{1}}));
  CHECK(capacity_check::GuaranteeViolated ==
        claimOne(Account, 3, "b", "w0", 0x01, false, {fencing_token{2}}));
}

TEST(CapacityAccount, ReportsShortfallAndRejectsBorrowingAfterWorkerLoss) {
  capacity_account Account = makeAccount(2);
  std::vector<customer_guarantees> All{guarantees("a", cell_level::Worker, 2)};
  CHECK(capacity_check::Ok == Account.setGuarantees(All));
  Account.setUsable(worker_id("w1"), false);
  guarantee_shortfall Expected{customer_id("a"), cell_level::Worker, 1};
  CHECK(Account.shortfalls() == std::vector{Expected});
  CHECK(capacity_check::GuaranteeViolated ==
        claimOne(Account, 1, "b", "w0", 0xff, false));
  Account.setUsable(worker_id("w1"), true);
  CHECK(Account.shortfalls().empty());
}

TEST(CapacityAccount, ImageRoundTrip) {
  capacity_account Account = makeAccount(4);
  std::vector<customer_guarantees> All{guarantees("a", cell_level::Rack, 1)};
  CHECK(capacity_check::Ok == Account.setGuarantees(All));
  CHECK(capacity_check::Ok == claimOne(Account, 1, "a", "w1", 0x03, true));
  CHECK(capacity_check::Ok == claimOne(Account, 2, "b", "w1", 0x0c, false));
  Account.setUsable(worker_id("w2"), false);
  CHECK(Account == capacity_account::fromImage(Account.image()));
}
