#include "standins/worker/leaseworker.h"
#include "standins/worker/faults.h"

#include "core/base/error.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::standins;
using namespace std::chrono_literals;

TEST_GROUP(LeaseWorker) {
  lease_worker Worker{{8, 128000, 262144}};
  time_point Now{1h};

  worker_verdict start(const char *Task, const char *Command,
                       accelerator_mask Mask = 1, duration Lease = 10s) {
    return Worker.start({Task, Mask, {1, 1000, 1000}, Command, Lease}, Now);
  }
  worker_task_state state(std::size_t Task = 0) {
    Worker.advance(Now);
    return Worker.describe(Now).at(Task).State;
  }
};

TEST(LeaseWorker, EndsTasksAsTheCommandSpecifies) {
  struct row {
    const char *Command;
    duration After;
    worker_task_state State;
  };
  const row Rows[] = {
      {"sleep:100", 99ms, worker_task_state::Running},
      {"sleep:100", 100ms, worker_task_state::Finished},
      {"fail:100", 100ms, worker_task_state::Failed},
      {"hang", 9s, worker_task_state::Running},
      {"hang", 10s, worker_task_state::Stopped},
  };
  for (const row &Row : Rows) {
    lease_worker Fresh{{8, 128000, 262144}};
    Fresh.start({"1/0", 1, {1, 1, 1}, Row.Command, 10s}, Now);
    Fresh.advance(Now + Row.After);
    CHECK(Fresh.describe(Now + Row.After).at(0).State == Row.State);
  }
}

TEST(LeaseWorker, StartsATaskOnce) {
  CHECK(start("1/0", "hang") == worker_verdict::Done);
  CHECK(start("1/0", "hang") == worker_verdict::Done);
  LONGS_EQUAL(1, Worker.history().size());
}

TEST(LeaseWorker, RejectsTasksThatDoNotFit) {
  CHECK(start("1/0", "hang", 0b01) == worker_verdict::Done);
  CHECK(start("2/0", "hang", 0b11) == worker_verdict::Busy);
  CHECK(start("3/0", "hang", 0x100) == worker_verdict::Invalid);
  CHECK(start("4/0", "unknown", 0b10) == worker_verdict::Invalid);
}

TEST(LeaseWorker, StopBarsALaterStart) {
  Worker.stop("1/0", Now);
  start("1/0", "hang");
  CHECK(state() == worker_task_state::Stopped);
  LONGS_EQUAL(0, Worker.history().size());
}

TEST(LeaseWorker, RenewalExtendsOnlyRunningTasks) {
  start("1/0", "hang");
  Now += 9s;
  const std::string Names[] = {"1/0", "2/0"};
  Worker.renew(Names, 10s, Now);
  Now += 9s;
  CHECK(state() == worker_task_state::Running);
  Now += 1s;
  CHECK(state() == worker_task_state::Stopped);
  Worker.renew(Names, 10s, Now);
  CHECK(state() == worker_task_state::Stopped);
}

TEST(LeaseWorker, CompletesCheckpointsUnlessTheCommandNeverDoes) {
  start("1/0", "sleep:5000", 0b01);
  start("2/0", "checkpoint-never", 0b10);
  Worker.checkpoint("1/0", Now);
  Worker.checkpoint("2/0", Now);
  Now += 1s;
  CHECK(state(0) == worker_task_state::Running);
  CHECK(state(1) == worker_task_state::Checkpointing);
}

TEST(LeaseWorker, FailsAllTasksOnDemand) {
  Worker.failAllTasks(true);
  start("1/0", "hang");
  CHECK(state() == worker_task_state::Failed);
}

TEST_GROUP(Faults){};

TEST(Faults, AffectsTheRequestedNumberOfCalls) {
  fault_plan Plan =
      parseFaults(R"({"mode":"lose_answer","delay_ms":5,"count":2})");
  CHECK(Plan.Delay == duration(5ms));
  CHECK(Plan.next() == fault_mode::LoseAnswer);
  CHECK(Plan.next() == fault_mode::LoseAnswer);
  CHECK(Plan.next() == fault_mode::None);
}

TEST(Faults, RejectsUnknownModes) {
  CHECK_THROWS(malformed_message_error, parseFaults(R"({"mode":"odd"})"));
  CHECK_THROWS(malformed_message_error, parseFaults("{"));
}
