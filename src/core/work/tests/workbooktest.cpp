#include "core/work/tests/workbuilders.h"
#include "core/work/workbook.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;

TEST_GROUP(WorkBook) {
  work_book Book;
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

TEST(WorkBook, KeepsTheNewestRecordOfEachEntry) {
  const entry_present Entry{.Node = node_id("e1"), .PeerAddress = "1.2.3.4:1"};
  Book.apply({entryKey(Entry.Node), 0}, Entry);
  LONGS_EQUAL(1, Book.entries().size());
  Book.forget({entryKey(Entry.Node), 1});
  LONGS_EQUAL(0, Book.entries().size());
}
