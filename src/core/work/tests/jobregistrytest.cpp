#include "core/work/jobregistry.h"
#include "core/work/retention.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;

TEST_GROUP(WorkBook) {
  job_registry Book;
  job_id Job{"j1"};
  std::string Submission = submissionKey(job_id("j1"));
  std::string Cancellation = cancellationKey(job_id("j1"));
  std::string Progress = progressKey(job_id("j1"));

  void submit(std::uint64_t Offset) {
    Book.apply({Submission, Offset}, job_submitted{testing::makeJob("j1")});
  }
  void progress(std::uint64_t Offset, job_state State) {
    Book.apply({Progress, Offset},
               job_progressed{Job, {.State = State, .Tasks = {{}}}});
  }
};

TEST(WorkBook, AJobIsKnownOnceItsSubmissionIs) {
  progress(0, job_state::Running);
  CHECK(Book.find(Job) == nullptr);
  submit(0);
  CHECK(Book.find(Job)->state() == job_state::Running);
}

TEST(WorkBook, ARepeatedSubmissionStaysOneJob) {
  submit(0);
  progress(0, job_state::Running);
  submit(3);
  LONGS_EQUAL(1, Book.jobs().size());
  CHECK(Book.find(Job)->state() == job_state::Running);
}

TEST(WorkBook, CountsJobsOfWhichNothingHasStarted) {
  submit(0);
  LONGS_EQUAL(1, Book.pending("batch"));
  submit(1);
  LONGS_EQUAL(1, Book.pending("batch"));
  progress(0, job_state::Running);
  LONGS_EQUAL(0, Book.pending("batch"));
  LONGS_EQUAL(0, Book.pending("other"));
}

TEST(WorkBook, ACancelledJobDoesNotWait) {
  submit(0);
  Book.apply({Cancellation, 1}, job_cancelled{Job});
  LONGS_EQUAL(0, Book.pending("batch"));
  CHECK(Book.find(Job)->state() == job_state::Cancelled);
}

TEST(WorkBook, AJobThatCompletedBeforeItsCancellationStaysCompleted) {
  submit(0);
  Book.apply({Cancellation, 1}, job_cancelled{Job});
  progress(0, job_state::Completed);
  CHECK(Book.find(Job)->state() == job_state::Completed);
}

TEST(WorkBook, AnEarlierRecordOfAKeyIsPassedOver) {
  submit(0);
  progress(7, job_state::Completed);
  progress(6, job_state::Running);
  CHECK(Book.find(Job)->state() == job_state::Completed);
}

TEST(WorkBook, ADroppedJobIsForgotten) {
  submit(0);
  Book.forget({Submission, 4});
  CHECK(Book.find(Job) == nullptr);
  LONGS_EQUAL(0, Book.pending("batch"));
  submit(2); // a late page of the newest records
  CHECK(Book.find(Job) == nullptr);
}

// An entry that starts anew announces itself without a term; the term that its
// earlier life held must not be forgotten with it.
TEST(WorkBook, KnowsTheLastTermAfterItsHolderHasStartedAnew) {
  const entry_record Old{.Node = node_id("e1"), .StartedMs = 1, .Term = 9};
  const entry_record Other{.Node = node_id("e2"), .StartedMs = 1, .Term = 4};
  Book.apply({entryKey(Old.Node), 0}, Old);
  Book.apply({entryKey(Other.Node), 1}, Other);
  Book.apply({TermKey, 0}, term_leader{4, Other});
  Book.apply({TermKey, 1}, term_leader{9, Old});
  Book.apply({entryKey(Old.Node), 2},
             entry_record{.Node = Old.Node, .StartedMs = 2});
  LONGS_EQUAL(9, Book.lastTerm().Term);
  STRCMP_EQUAL("e1", Book.lastTerm().Entry.Node.str().c_str());
}

TEST(WorkBook, AnEndedJobIsDroppedSubmissionFirst) {
  const wall_time Ended{std::chrono::seconds(100)};
  const wall_time Later = Ended + std::chrono::seconds(121);
  constexpr duration Kept = std::chrono::seconds(120);
  submit(0);
  Book.apply({Cancellation, 1}, job_cancelled{Job});
  Book.apply(
      {Progress, 0},
      job_progressed{Job, {.State = job_state::Cancelled, .EndedAt = Ended}});
  CHECK(findExpired(Book, Later - std::chrono::seconds(1), Kept, 9)
            .Submissions.empty());
  CHECK(findExpired(Book, Later, Kept, 9).Submissions == std::vector{Job});
  CHECK(findExpired(Book, Later, Kept, 0).Submissions.empty());
  CHECK(findExpired(Book, Later, Kept, 9).WithoutSubmission.empty());
  Book.forget({Progress, 1}); // out of order: the job must stay ended
  CHECK(Book.find(Job)->state() == job_state::Cancelled);
  Book.forget({Submission, 2});
  CHECK(Book.find(Job) == nullptr);
  CHECK(findExpired(Book, Later, Kept, 9).WithoutSubmission ==
        std::vector{Job});
  Book.forget({Cancellation, 3});
  Book.forget({Progress, 2});
  LONGS_EQUAL(0, Book.jobs().size());
}

TEST(WorkBook, AJobThatRunsNeverExpires) {
  submit(0);
  progress(0, job_state::Running);
  const auto Expired = findExpired(Book, wall_time(std::chrono::hours(9)),
                                   std::chrono::seconds(1), 9);
  CHECK(Expired.Submissions.empty());
  CHECK(Expired.WithoutSubmission.empty());
}

TEST(WorkBook, KeepsTheNewestRecordOfEachEntry) {
  const entry_record Entry{.Node = node_id("e1"), .PeerAddress = "1.2.3.4:1"};
  Book.apply({entryKey(Entry.Node), 0}, Entry);
  LONGS_EQUAL(1, Book.entries().size());
  Book.forget({entryKey(Entry.Node), 1});
  LONGS_EQUAL(0, Book.entries().size());
}
