#include "core/ledger/tests/recordbuilder.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

void checkVerdict(rejection Reason, const verdict &Verdict) {
  STRCMP_EQUAL(std::string(name(Reason)).c_str(),
               std::string(name(Verdict.Reason)).c_str());
}

} // namespace

TEST_GROUP(LedgerJobs) {
  ledger_fixture Fixture;

  void setup() override {
    Fixture.apply(workerRegistration("w1"));
    Fixture.apply(workerRegistration("w2"));
    Fixture.apply(workerRegistration("w3", 1, "r2"));
    Fixture.apply(
        putCustomer(0, customerConfig("c1", {{cell_level::Four, 1}}, 16)));
    Fixture.apply(putCustomer(1, customerConfig("c2")));
  }

  const job_entry &job(std::string_view Id) const {
    return *Fixture.Ledger.job(job_id(Id));
  }
  void submit(std::string_view Id, bool Idempotent = true) {
    job_submitted Submission = submission(Id);
    Submission.Spec.Idempotent = Idempotent;
    checkVerdict(rejection::None, Fixture.apply(Submission));
  }
  fencing_token place(std::string_view Id, std::uint32_t Attempt = 1,
                      accelerator_mask Mask = 0x0F) {
    checkVerdict(rejection::None,
                 Fixture.apply(placement(Id, Attempt, {{"w1", Mask}})));
    return Fixture.lastApplied();
  }
  verdict start(std::string_view Id, fencing_token Token) {
    return Fixture.apply(job_started{job_id(Id), Token});
  }
};

TEST(LedgerJobs, PassesThroughEveryStateFromSubmissionToEnd) {
  submit("j1");
  fencing_token Token = place("j1");
  LONGS_EQUAL(1, Fixture.Ledger.runningAttempts().size());
  checkVerdict(rejection::None, start("j1", Token));
  CHECK(job("j1").State == job_state::Running);
  checkVerdict(rejection::None,
               Fixture.apply(jobEnd("j1", Token, job_outcome::Succeeded)));
  CHECK(job("j1").State == job_state::Ended);
  LONGS_EQUAL(0, Fixture.Ledger.runningAttempts().size());
  LONGS_EQUAL(4, job("j1").Steps.size());
  LONGS_EQUAL(0, Fixture.Ledger.account().attempts().size());
}

TEST(LedgerJobs, ADuplicateJobIdReportsTheFirstSubmission) {
  submit("j1");
  log_offset First = Fixture.lastApplied();
  verdict Second = Fixture.apply(submission("j1"));
  checkVerdict(rejection::JobExists, Second);
  LONGS_EQUAL(raw(First), raw(Second.Winner));
}

TEST(LedgerJobs, RejectsInvalidSubmissions) {
  checkVerdict(rejection::UnknownCustomer,
               Fixture.apply(submission("j", 1, 1, "c9")));
  checkVerdict(rejection::InvalidRecord, Fixture.apply(submission("j", 0)));
  checkVerdict(rejection::InvalidRecord, Fixture.apply(submission("j", 65, 1)));
  checkVerdict(rejection::InvalidRecord, Fixture.apply(submission("j", 1, -1)));
  checkVerdict(rejection::LimitExceeded, Fixture.apply(submission("j", 5, 4)));
}

TEST(LedgerJobs, APlacementIsAllOrNothing) {
  job_submitted Pair = submission("j1", 2, 4);
  Pair.Spec.Adjacency = adjacency::Rack;
  Fixture.apply(Pair);
  struct {
    job_placed Placement;
    rejection Expected;
  } Cases[] = {
      {placement("j9", 1, {{"w1", 0x0F}}), rejection::UnknownJob},
      {placement("j1", 1, {{"w1", 0x0F}}), rejection::IncompleteGang},
      {placement("j1", 1, {{"w1", 0x0F}, {"w1", 0x07}}),
       rejection::IncompleteGang},
      {placement("j1", 1, {{"w1", 0x0F}, {"w3", 0x0F}}),
       rejection::IncompleteGang},
      {placement("j1", 1, {{"w1", 0x0F}, {"w9", 0x0F}}),
       rejection::UnknownWorker},
      {placement("j1", 2, {{"w1", 0x0F}, {"w2", 0x0F}}),
       rejection::JobNotWaiting},
      {placement("j1", 1, {{"w1", 0x0F}, {"w2", 0x0F}}, {log_offset{3}}),
       rejection::StaleToken},
      {placement("j1", 1, {{"w1", 0x0F}, {"w2", 0x0F}}), rejection::None},
      {placement("j1", 1, {{"w1", 0xF0}, {"w2", 0xF0}}),
       rejection::JobNotWaiting},
  };
  for (const auto &Case : Cases)
    checkVerdict(Case.Expected, Fixture.apply(Case.Placement));
}

TEST(LedgerJobs, OfTwoPlacementsOnOneAcceleratorTheFirstWins) {
  submit("j1");
  submit("j2");
  place("j1");
  checkVerdict(rejection::CapacityTaken,
               Fixture.apply(placement("j2", 1, {{"w1", 0x1E}})));
  CHECK(job("j2").State == job_state::Waiting);
}

TEST(LedgerJobs, StaleTokensChangeNothing) {
  submit("j1");
  fencing_token First = place("j1");
  Fixture.apply(jobEnd("j1", First, job_outcome::LeaseExpired));
  fencing_token Second = place("j1", 2);
  checkVerdict(rejection::StaleToken, start("j1", First));
  checkVerdict(rejection::StaleToken,
               Fixture.apply(jobEnd("j1", First, job_outcome::Succeeded)));
  LONGS_EQUAL(raw(Second), raw(job("j1").Token));
}

TEST(LedgerJobs, AbortedAttemptsAreRequeuedInOrderOfSubmission) {
  submit("j1");
  submit("j2");
  Fixture.apply(jobEnd("j1", place("j1"), job_outcome::Aborted));
  auto Waiting = Fixture.Ledger.waitingJobs();
  LONGS_EQUAL(2, Waiting.size());
  STRCMP_EQUAL("j1", Waiting[0]->Spec.Id.str().c_str());
}

TEST(LedgerJobs, ANonIdempotentJobIsNotPlacedAgainOnceStarted) {
  submit("before", false);
  Fixture.apply(jobEnd("before", place("before"), job_outcome::LeaseExpired));
  CHECK(job("before").State == job_state::Waiting);
  submit("after", false);
  fencing_token Token = place("after");
  start("after", Token);
  Fixture.apply(jobEnd("after", Token, job_outcome::LeaseExpired));
  CHECK(job("after").State == job_state::Ended);
  CHECK(job("after").Outcome == job_outcome::LeaseExpired);
  checkVerdict(rejection::JobNotWaiting,
               Fixture.apply(placement("after", 2, {{"w1", 0x0F}})));
}

TEST(LedgerJobs, PreemptedJobsAreRequeuedUnlessTheyMayNotRunTwice) {
  for (const char *Id : {"plain", "once", "cancelled"})
    submit(Id, std::string_view(Id) != "once");
  fencing_token Plain = place("plain", 1, 0x03 | 0x30);
  fencing_token Once = place("once", 1, 0xC0 | 0x0C);
  start("once", Once);
  Fixture.apply(placement("cancelled", 1, {{"w2", 0x0F}}));
  fencing_token Cancelled = Fixture.lastApplied();
  Fixture.apply(job_cancelled{job_id("cancelled")});
  job_submitted Large = submission("large", 2, 8, "c2");
  Fixture.apply(Large);
  checkVerdict(rejection::None,
               Fixture.apply(placement("large", 1, {{"w1", 0xFF}, {"w2", 0xFF}},
                                       {Plain, Once, Cancelled})));
  CHECK(job("plain").State == job_state::Waiting);
  CHECK(job("plain").Steps.back().Step == job_step_kind::Preempted);
  CHECK(job("once").Outcome == job_outcome::Preempted);
  CHECK(job("cancelled").Outcome == job_outcome::Cancelled);
  checkVerdict(rejection::StaleToken, start("plain", Plain));
}

TEST(LedgerJobs, GuaranteedWorkOfAnotherCustomerCannotBePreempted) {
  submit("safe");
  Fixture.apply(placement("safe", 1, {{"w1", 0x0F}}, {}, true));
  fencing_token Safe = Fixture.lastApplied();
  Fixture.apply(submission("j2", 1, 4, "c2"));
  checkVerdict(rejection::GuaranteeViolated,
               Fixture.apply(placement("j2", 1, {{"w1", 0x0F}}, {Safe})));
  CHECK(job("safe").holdsCapacity());
}

TEST(LedgerJobs, CancellationByState) {
  submit("waiting");
  checkVerdict(rejection::None,
               Fixture.apply(job_cancelled{job_id("waiting")}));
  CHECK(job("waiting").State == job_state::Ended);
  checkVerdict(rejection::JobNotWaiting,
               Fixture.apply(job_cancelled{job_id("waiting")}));
  submit("placed");
  fencing_token Token = place("placed");
  checkVerdict(rejection::None, Fixture.apply(job_cancelled{job_id("placed")}));
  checkVerdict(rejection::JobNotWaiting, start("placed", Token));
  Fixture.apply(jobEnd("placed", Token, job_outcome::Aborted));
  CHECK(job("placed").Outcome == job_outcome::Cancelled);
  checkVerdict(rejection::UnknownJob,
               Fixture.apply(job_cancelled{job_id("none")}));
}

TEST(LedgerJobs, AJobThatNeverFitsEndsWithoutAnAttempt) {
  submit("j1");
  checkVerdict(rejection::InvalidRecord,
               Fixture.apply(jobEnd("j1", {}, job_outcome::Succeeded)));
  checkVerdict(rejection::None,
               Fixture.apply(jobEnd("j1", {}, job_outcome::NeverFits)));
  checkVerdict(rejection::JobNotWaiting,
               Fixture.apply(jobEnd("j1", {}, job_outcome::NeverFits)));
}

TEST(LedgerJobs, EndedJobsAreEvictedOldestFirst) {
  for (std::size_t Index = 0; Index <= job_table::MaxEndedJobs; ++Index) {
    job_id Id("j" + std::to_string(Index));
    Fixture.apply(submission(Id.view()));
    Fixture.apply(job_cancelled{Id});
  }
  CHECK(Fixture.Ledger.job(job_id("j0")) == nullptr);
  CHECK(Fixture.Ledger.job(job_id("j1")) != nullptr);
}
