#include "core/work/admissioncontrol.h"
#include "core/work/backlog.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace geraniumpaddle::work::testing;
using namespace std::chrono_literals;

// Overload: more work is queued than can end before the deadline of a new job,
// three times its objective.
TEST_GROUP(AdmissionControl) {
  admission_control Admission;
  backlog Backlog;
  time_point Now{1h};
  job_spec Job = makeJob("j1"); // priority 1, objective 3 x 4 s + 1 s

  void setup() override {
    for (int I = 0; I < 4; ++I)
      Backlog.addCapacity(makeWorker("w").Capacity); // 32 accelerators
  }
  /// Queues tasks with one accelerator and a run time of 4 s.
  void addBacklog(std::uint32_t Priority, std::uint32_t Tasks) {
    Backlog.add(Priority, Job.Steps[0].Need, Tasks, 4s);
    Admission.updateForecast(Backlog.forecast(), Now);
  }
};

TEST(AdmissionControl, AdmitsJobsWithoutAForecast) {
  CHECK(!Admission.retryAfter(Job, Now));
}

TEST(AdmissionControl, AdmitsJobsThatWaitButMeetTheirDeadline) {
  addBacklog(1, 300); // 37.5 s of work, deadline after 39 s
  CHECK(!Admission.retryAfter(Job, Now));
}

TEST(AdmissionControl, RejectsJobsThatWouldMissTheirDeadline) {
  addBacklog(1, 400); // 50 s
  const auto RetryAfter = Admission.retryAfter(Job, Now);
  CHECK(RetryAfter.has_value());
  LONGS_EQUAL(
      11,
      std::chrono::duration_cast<std::chrono::seconds>(*RetryAfter).count());
}

TEST(AdmissionControl, CountsOnlyWorkThatGoesFirst) {
  addBacklog(2, 4000);
  CHECK(!Admission.retryAfter(Job, Now));
  addBacklog(0, 400);
  CHECK(Admission.retryAfter(Job, Now).has_value());
}

TEST(AdmissionControl, IgnoresAnOldForecast) {
  addBacklog(1, 400);
  CHECK(!Admission.retryAfter(Job, Now + 3s));
}

TEST(AdmissionControl, AdmitsScheduledJobs) {
  addBacklog(1, 400);
  Job.Scheduled = true;
  CHECK(!Admission.retryAfter(Job, Now));
}

TEST(AdmissionControl, AdmitsJobsWhileNoWorkerIsKnown) {
  Backlog = {};
  addBacklog(1, 4000);
  CHECK(!Admission.retryAfter(Job, Now));
}
