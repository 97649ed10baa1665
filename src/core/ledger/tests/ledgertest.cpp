#include "core/ledger/ledger.h"
#include "core/base/error.h"
#include "core/ledger/tests/recordbuilder.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

void checkVerdict(rejection Reason, const verdict &Verdict) {
  STRCMP_EQUAL(std::string(name(Reason)).c_str(),
               std::string(name(Verdict.Reason)).c_str());
}

/// Two workers in one rack, one in another, and customer c1.
class cluster_fixture : public ledger_fixture {
public:
  cluster_fixture() {
    apply(workerRegistration("w1"));
    apply(workerRegistration("w2"));
    apply(workerRegistration("w3", 1, "r2"));
    apply(putCustomer(0, customerConfig("c1", {{cell_level::Four, 1}}, 16)));
  }

  job_state state(std::string_view Job) const {
    return Ledger.job(job_id(Job))->State;
  }
  fencing_token token(std::string_view Job) const {
    return Ledger.job(job_id(Job))->Token;
  }
  /// Submits a job of one task with four accelerators and places it.
  fencing_token submitAndPlace(std::string_view Job, std::string_view Worker,
                               accelerator_mask Mask) {
    apply(submission(Job));
    checkVerdict(rejection::None, apply(placement(Job, 1, {{Worker, Mask}})));
    return lastApplied();
  }
};

} // namespace

TEST_GROUP(LedgerRecords) { cluster_fixture Fixture; };

TEST(LedgerRecords, RejectsANonConsecutiveOffset) {
  record Record = Fixture.make(submission("j1"));
  CHECK_THROWS(internal_error, Fixture.Ledger.apply(log_offset{9}, Record));
  CHECK_THROWS(internal_error, Fixture.Ledger.skip(log_offset{4}, ""));
}

TEST(LedgerRecords, RejectsADuplicateAndReportsTheFirstOffset) {
  record Record = Fixture.make(submission("j1"));
  checkVerdict(rejection::None, Fixture.Ledger.apply(log_offset{5}, Record));
  verdict Second = Fixture.Ledger.apply(log_offset{6}, Record);
  checkVerdict(rejection::Duplicate, Second);
  LONGS_EQUAL(5, raw(Second.Winner));
  LONGS_EQUAL(1, Fixture.Ledger.waitingJobs().size());
  LONGS_EQUAL(5, raw(Fixture.Ledger.verdictOf(Record.Producer)->Offset));
}

TEST(LedgerRecords, AcceptsRecordsOfOneProducerOutOfOrder) {
  record First = Fixture.make(submission("j1"));
  record Second = Fixture.make(submission("j2"));
  checkVerdict(rejection::None, Fixture.Ledger.apply(log_offset{5}, Second));
  checkVerdict(rejection::None, Fixture.Ledger.apply(log_offset{6}, First));
  checkVerdict(rejection::Duplicate,
               Fixture.Ledger.apply(log_offset{7}, Second));
}

TEST(LedgerRecords, RejectsARecordOfAnEarlierIncarnation) {
  record Record = Fixture.make(submission("j1"));
  Record.Producer.Incarnation = incarnation{2};
  checkVerdict(rejection::None, Fixture.Ledger.apply(log_offset{5}, Record));
  Record.Producer.Incarnation = incarnation{1};
  Record.Body = submission("j2");
  checkVerdict(rejection::StaleIncarnation,
               Fixture.Ledger.apply(log_offset{6}, Record));
}

TEST(LedgerRecords, CountsAndAuditsMalformedRecords) {
  Fixture.Ledger.skip(log_offset{5}, "job_submitted.spec.id: missing");
  LONGS_EQUAL(1, Fixture.Ledger.counts().Malformed);
  LONGS_EQUAL(5, raw(Fixture.Ledger.counts().LastMalformed));
  auto Events = Fixture.Ledger.audit({.Since = log_offset{5}});
  LONGS_EQUAL(1, Events.size());
  CHECK(Events[0].Kind == record_kind::Malformed);
  STRCMP_EQUAL("job_submitted.spec.id: missing", Events[0].Detail.c_str());
}

TEST(LedgerRecords, AuditFindsByCustomerAndJob) {
  Fixture.apply(submission("j1"));
  Fixture.apply(submission("j2"));
  Fixture.apply(job_cancelled{job_id("j1")});
  LONGS_EQUAL(2, Fixture.Ledger.audit({.Job = job_id("j1")}).size());
  LONGS_EQUAL(4, Fixture.Ledger.audit({.Customer = customer_id("c1")}).size());
  auto Last = Fixture.Ledger.audit({.Limit = 1});
  LONGS_EQUAL(7, raw(Last[0].Offset));
  STRCMP_EQUAL("ada", Last[0].Actor.str().c_str());
}

TEST(LedgerRecords, AnnouncedEntriesAreBounded) {
  for (std::uint64_t Index = 0; Index < ledger::MaxEntries + 2; ++Index) {
    std::string Node = "e" + std::to_string(Index);
    record Record{{node_id(Node), incarnation{1}, 1}, {}, TestTime, {}};
    Record.Body = entry_announced{node_id(Node), region_id("r"),
                                  availability_zone_id("z"), "10.0.0.1:1", ""};
    checkVerdict(rejection::None,
                 Fixture.Ledger.apply(next(Fixture.lastApplied()), Record));
  }
  LONGS_EQUAL(ledger::MaxEntries, Fixture.Ledger.entries().size());
}

TEST_GROUP(LedgerCustomers) { cluster_fixture Fixture; };

TEST(LedgerCustomers, AVersionConflictReportsTheWinningRecord) {
  checkVerdict(rejection::None,
               Fixture.apply(putCustomer(1, customerConfig("c2"))));
  log_offset Winner = Fixture.lastApplied();
  verdict Loser = Fixture.apply(putCustomer(1, customerConfig("c3")));
  checkVerdict(rejection::VersionConflict, Loser);
  LONGS_EQUAL(raw(Winner), raw(Loser.Winner));
  LONGS_EQUAL(2, raw(Fixture.Ledger.version()));
  CHECK(Fixture.Ledger.customer(customer_id("c3")) == nullptr);
}

TEST(LedgerCustomers, InvalidChangesAreRejectedAsAWhole) {
  customers_changed DuplicateId = putCustomer(1, customerConfig("c2"));
  DuplicateId.Put.push_back(customerConfig("c2"));
  customer_config NegativeLimit = customerConfig("c2");
  NegativeLimit.Limits.Burst = -1;
  const customers_changed Cases[] = {
      customers_changed{config_version{1}, {}, {}, {}, {}},
      DuplicateId,
      putCustomer(1, NegativeLimit),
      putCustomer(1, customerConfig("")),
      putCustomer(1, customerConfig("c2", {{cell_level::One, -1}})),
      putCustomer(1, customerConfig("c2", {{cell_level::Eight, 2}}, 8)),
      putCustomer(1, customerConfig(
                         "c2", {{cell_level::One, 1}, {cell_level::One, 1}})),
  };
  for (const customers_changed &Change : Cases)
    checkVerdict(rejection::InvalidRecord, Fixture.apply(Change));
  checkVerdict(rejection::UnknownCustomer,
               Fixture.apply(removeCustomer(1, "c9")));
  checkVerdict(rejection::GuaranteesDoNotPack,
               Fixture.apply(putCustomer(
                   1, customerConfig("c2", {{cell_level::Worker, 3}}))));
  LONGS_EQUAL(1, raw(Fixture.Ledger.version()));
}

TEST(LedgerCustomers, LimitsCanChangeWhileGuaranteesAreShort) {
  for (const char *Worker : {"w1", "w2", "w3"})
    Fixture.apply(
        workerState(Worker, worker_state::Lost, state_cause::HeartbeatTimeout));
  CHECK(!Fixture.Ledger.account().shortfalls().empty());
  customer_config Config = Fixture.Ledger.customers()[0].Config;
  Config.Limits.RatePerSecond = 5;
  checkVerdict(rejection::None, Fixture.apply(putCustomer(1, Config)));
}

TEST(LedgerCustomers, RemovalCancelsTheCustomersJobs) {
  Fixture.submitAndPlace("running", "w1", 0x0F);
  Fixture.apply(submission("waiting"));
  checkVerdict(rejection::None, Fixture.apply(removeCustomer(1, "c1")));
  CHECK(Fixture.state("waiting") == job_state::Ended);
  CHECK(Fixture.state("running") == job_state::Cancelling);
  LONGS_EQUAL(1, Fixture.Ledger.removedByCommand().size());
}

TEST(LedgerCustomers, ASheetClearsTheRemovalsByCommand) {
  Fixture.apply(removeCustomer(1, "c1"));
  customers_changed Sheet = putCustomer(2, customerConfig("c2"));
  Sheet.Source = change_source::Sheet;
  checkVerdict(rejection::None, Fixture.apply(Sheet));
  LONGS_EQUAL(0, Fixture.Ledger.removedByCommand().size());
  LONGS_EQUAL(raw(Fixture.lastApplied()), raw(Fixture.Ledger.lastSheet()));
}

TEST_GROUP(LedgerWorkers) {
  cluster_fixture Fixture;

  worker_state state() const {
    return Fixture.Ledger.worker(worker_id("w1"))->State;
  }
  verdict change(worker_state State, state_cause Cause,
                 std::uint64_t Incarnation = 1) {
    return Fixture.apply(workerState("w1", State, Cause, Incarnation));
  }
};

TEST(LedgerWorkers, IncarnationsNeverDecrease) {
  checkVerdict(rejection::None, Fixture.apply(workerRegistration("w1", 3)));
  log_offset Registered = Fixture.lastApplied();
  verdict Stale = Fixture.apply(workerRegistration("w1", 2));
  checkVerdict(rejection::StaleIncarnation, Stale);
  LONGS_EQUAL(raw(Registered), raw(Stale.Winner));
  checkVerdict(rejection::StaleIncarnation,
               change(worker_state::Lost, state_cause::HeartbeatTimeout, 1));
  checkVerdict(rejection::InvalidRecord,
               change(worker_state::Lost, state_cause::HeartbeatTimeout, 4));
  checkVerdict(rejection::UnknownWorker,
               Fixture.apply(workerState("w9", worker_state::Lost,
                                         state_cause::HeartbeatTimeout)));
  CHECK(state() == worker_state::Active);
}

TEST(LedgerWorkers, ALostWorkerTakesNoPlacementUntilItReturns) {
  change(worker_state::Lost, state_cause::HeartbeatTimeout);
  Fixture.apply(submission("j1"));
  checkVerdict(rejection::CapacityTaken,
               Fixture.apply(placement("j1", 1, {{"w1", 0x0F}})));
  change(worker_state::Active, state_cause::Announced);
  checkVerdict(rejection::None,
               Fixture.apply(placement("j1", 1, {{"w1", 0x0F}})));
}

TEST(LedgerWorkers, AnOperatorsDrainOutlivesLossAndRestart) {
  change(worker_state::Draining, state_cause::OperatorRequest, 0);
  change(worker_state::Lost, state_cause::HeartbeatTimeout);
  Fixture.apply(workerRegistration("w1", 2));
  CHECK(state() == worker_state::Draining);
  change(worker_state::Active, state_cause::OperatorRequest, 0);
  CHECK(state() == worker_state::Active);
}

TEST(LedgerWorkers, AGracefulShutdownEndsWithTheNextIncarnation) {
  change(worker_state::Draining, state_cause::GracefulShutdown);
  CHECK(state() == worker_state::Draining);
  Fixture.apply(workerRegistration("w1", 2));
  CHECK(state() == worker_state::Active);
}

TEST(LedgerWorkers, AQuarantineIsLiftedByAProbeOnly) {
  change(worker_state::Quarantined, state_cause::TaskFailures);
  change(worker_state::Active, state_cause::Announced);
  CHECK(state() == worker_state::Quarantined);
  change(worker_state::Active, state_cause::ProbeSucceeded);
  CHECK(state() == worker_state::Active);
}

TEST(LedgerWorkers, BlamedFailuresCountOncePerJobAndAreClearedByASuccess) {
  for (int Attempt = 1; Attempt <= 2; ++Attempt) {
    if (Attempt == 1)
      Fixture.apply(submission("j1"));
    Fixture.apply(placement("j1", Attempt, {{"w1", 0x0F}}));
    Fixture.apply(
        jobEnd("j1", Fixture.lastApplied(), job_outcome::Aborted, "w1"));
  }
  LONGS_EQUAL(1, Fixture.Ledger.worker(worker_id("w1"))->Failures.size());
  fencing_token Token = Fixture.submitAndPlace("j2", "w1", 0xF0);
  Fixture.apply(jobEnd("j2", Token, job_outcome::Succeeded));
  LONGS_EQUAL(0, Fixture.Ledger.worker(worker_id("w1"))->Failures.size());
}
