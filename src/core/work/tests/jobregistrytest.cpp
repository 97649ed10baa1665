#include "core/work/jobregistry.h"
#include "core/work/retention.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;

TEST_GROUP(JobRegistry) {
  job_registry Registry;
  job_id Job{"j1"};
  std::string Submission = submissionKey(job_id("j1"));
  std::string Cancellation = cancellationKey(job_id("j1"));
  std::string Progress = progressKey(job_id("j1"));

  void submit(std::uint64_t Offset) {
    Registry.apply({Submission, Offset}, job_submitted{testing::makeJob("j1")});
  }
  void progress(std::uint64_t Offset, job_state State) {
    Registry.apply({Progress, Offset},
                   job_progressed{Job, {.State = State, .Tasks = {{}}}});
  }
};

TEST(JobRegistry, AJobIsFoundOnceItsSubmissionIsApplied) {
  progress(0, job_state::Running);
  CHECK(Registry.find(Job) == nullptr);
  submit(0);
  CHECK(Registry.find(Job)->state() == job_state::Running);
}

TEST(JobRegistry, ARepeatedSubmissionStaysOneJob) {
  submit(0);
  progress(0, job_state::Running);
  submit(3);
  LONGS_EQUAL(1, Registry.jobs().size());
  CHECK(Registry.find(Job)->state() == job_state::Running);
}

TEST(JobRegistry, CountsPendingJobsOfAQueue) {
  submit(0);
  LONGS_EQUAL(1, Registry.pending("batch"));
  submit(1);
  LONGS_EQUAL(1, Registry.pending("batch"));
  progress(0, job_state::Running);
  LONGS_EQUAL(0, Registry.pending("batch"));
  LONGS_EQUAL(0, Registry.pending("other"));
}

TEST(JobRegistry, ACancelledJobIsNotPending) {
  submit(0);
  Registry.apply({Cancellation, 1}, job_cancelled{Job});
  LONGS_EQUAL(0, Registry.pending("batch"));
  CHECK(Registry.find(Job)->state() == job_state::Cancelled);
}

TEST(JobRegistry, AJobThatCompletedBeforeItsCancellationStaysCompleted) {
  submit(0);
  Registry.apply({Cancellation, 1}, job_cancelled{Job});
  progress(0, job_state::Completed);
  CHECK(Registry.find(Job)->state() == job_state::Completed);
}

TEST(JobRegistry, AnEarlierRecordOfAKeyIsIgnored) {
  submit(0);
  progress(7, job_state::Completed);
  progress(6, job_state::Running);
  CHECK(Registry.find(Job)->state() == job_state::Completed);
}

TEST(JobRegistry, ADeletedSubmissionRemovesTheJob) {
  submit(0);
  Registry.forget({Submission, 4});
  CHECK(Registry.find(Job) == nullptr);
  LONGS_EQUAL(0, Registry.pending("batch"));
  submit(2); // a delayed read of the newest records
  CHECK(Registry.find(Job) == nullptr);
}

// A restarted entry announces itself without a term. This must not overwrite
// the term that it led before the restart.
TEST(JobRegistry, KeepsTheLatestTermWhenItsEntryRestarts) {
  const entry_record Old{.Node = node_id("e1"), .StartedMs = 1, .Term = 9};
  const entry_record Other{.Node = node_id("e2"), .StartedMs = 1, .Term = 4};
  Registry.apply({entryKey(Old.Node), 0}, Old);
  Registry.apply({entryKey(Other.Node), 1}, Other);
  Registry.apply({TermKey, 0}, term_leader{4, Other});
  Registry.apply({TermKey, 1}, term_leader{9, Old});
  Registry.apply({entryKey(Old.Node), 2},
                 entry_record{.Node = Old.Node, .StartedMs = 2});
  LONGS_EQUAL(9, Registry.lastTerm().Term);
  STRCMP_EQUAL("e1", Registry.lastTerm().Entry.Node.str().c_str());
}

TEST(JobRegistry, AnExpiredJobIsDeletedSubmissionFirst) {
  const wall_time Ended{std::chrono::seconds(100)};
  const wall_time Later = Ended + std::chrono::seconds(121);
  constexpr duration RetentionPeriod = std::chrono::seconds(120);
  submit(0);
  Registry.apply({Cancellation, 1}, job_cancelled{Job});
  Registry.apply(
      {Progress, 0},
      job_progressed{Job, {.State = job_state::Cancelled, .EndedAt = Ended}});
  CHECK(
      findExpired(Registry, Later - std::chrono::seconds(1), RetentionPeriod, 9)
          .Submissions.empty());
  CHECK(findExpired(Registry, Later, RetentionPeriod, 9).Submissions ==
        std::vector{Job});
  CHECK(findExpired(Registry, Later, RetentionPeriod, 0).Submissions.empty());
  CHECK(findExpired(Registry, Later, RetentionPeriod, 9)
            .WithoutSubmission.empty());
  Registry.forget({Progress, 1}); // out of order: the job has to stay ended
  CHECK(Registry.find(Job)->state() == job_state::Cancelled);
  Registry.forget({Submission, 2});
  CHECK(Registry.find(Job) == nullptr);
  CHECK(findExpired(Registry, Later, RetentionPeriod, 9).WithoutSubmission ==
        std::vector{Job});
  Registry.forget({Cancellation, 3});
  Registry.forget({Progress, 2});
  LONGS_EQUAL(0, Registry.jobs().size());
}

// The cancellation has to outlast appends that are carried out late, but not
// for good, since the submission may never be stored.
TEST(JobRegistry, ACancellationWithoutAJobExpires) {
  const wall_time Requested{std::chrono::seconds(100)};
  constexpr duration RetentionPeriod = std::chrono::seconds(120);
  Registry.apply({Cancellation, 0}, job_cancelled{Job, Requested});
  CHECK(Registry.find(Job) == nullptr);
  CHECK(Registry.isCancelled(Job));
  const auto ExpiredAfter = [&](std::chrono::seconds Time) {
    return findExpired(Registry, Requested + Time, RetentionPeriod, 9)
        .WithoutSubmission;
  };
  CHECK(ExpiredAfter(std::chrono::seconds(120)).empty());
  CHECK(ExpiredAfter(std::chrono::seconds(121)) == std::vector{Job});
  submit(1); // stored late: the job ends as cancelled, and expires as such
  CHECK(Registry.find(Job)->state() == job_state::Cancelled);
  CHECK(ExpiredAfter(std::chrono::seconds(121)).empty());
  Registry.forget({Submission, 2});
  Registry.forget({Cancellation, 3});
  LONGS_EQUAL(0, Registry.jobs().size());
  CHECK(!Registry.isCancelled(Job));
}

TEST(JobRegistry, CountsCancellationsWithoutAJob) {
  for (std::size_t I = 0; I < MaxUnknownCancellations; ++I) {
    const job_id Unknown("x" + std::to_string(I));
    CHECK(Registry.acceptsUnknownCancellation());
    Registry.apply({cancellationKey(Unknown), I}, job_cancelled{Unknown});
  }
  CHECK(!Registry.acceptsUnknownCancellation());
  Registry.forget({cancellationKey(job_id("x7")), MaxUnknownCancellations});
  CHECK(Registry.acceptsUnknownCancellation());
  submit(0);
  Registry.apply({Cancellation, 1}, job_cancelled{Job}); // of a known job
  CHECK(Registry.acceptsUnknownCancellation());
}

TEST(JobRegistry, ARunningJobNeverExpires) {
  submit(0);
  progress(0, job_state::Running);
  const auto Expired = findExpired(Registry, wall_time(std::chrono::hours(9)),
                                   std::chrono::seconds(1), 9);
  CHECK(Expired.Submissions.empty());
  CHECK(Expired.WithoutSubmission.empty());
}

TEST(JobRegistry, KeepsTheNewestRecordOfEachEntry) {
  const entry_record Entry{.Node = node_id("e1"), .PeerAddress = "1.2.3.4:1"};
  Registry.apply({entryKey(Entry.Node), 0}, Entry);
  LONGS_EQUAL(1, Registry.entries().size());
  Registry.forget({entryKey(Entry.Node), 1});
  LONGS_EQUAL(0, Registry.entries().size());
}
