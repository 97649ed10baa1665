#include "platform/httpworker.h"

#include "standins/worker/workerserver.h"
#include "transport/httpclient.h"
#include "transport/tests/looptest.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

/// Keeps the last call and answers as told.
class scripted_client : public ihttp_client {
public:
  http_result Answer;
  http_call Last;

  http_call_id send(http_call Call,
                    std::function<void(const http_result &)> Done) override {
    Last = std::move(Call);
    Done(Answer);
    return {};
  }
  void cancel(http_call_id /*Call*/) override {}
};

} // namespace

TEST_GROUP(HttpWorker) {
  scripted_client Client;
  http_worker Worker{Client, "10.0.0.1:80", "/v1", 1s};
  worker_result Result;
  worker_callback Keep = [this](const worker_result &Given) { Result = Given; };

  void answer(int Code, std::string Body) {
    Client.Answer = {call_status::Completed, Code, {}, std::move(Body)};
  }
};

TEST(HttpWorker, ReadsADescription) {
  answer(200, R"({"worker":"w1","accelerators":8,"milliCores":"64000",
    "memoryMb":"1024","later":1,"tasks":[{"task":"7/0",
    "state":"WORKER_TASK_STATE_CHECKPOINTING","accelerators":3,
    "leaseLeftMs":"1500"}]})");
  Worker.describe(Keep);
  STRCMP_EQUAL("GET", Client.Last.Method.c_str());
  STRCMP_EQUAL("/v1/describe", Client.Last.Target.c_str());
  CHECK(Result.Status == call_status::Completed);
  CHECK(Result.Capacity == (resources{8, 64000, 1024}));
  CHECK(Result.Tasks.at(0).State == worker_task_state::Checkpointing);
  CHECK(Result.Tasks.at(0).LeaseLeft == duration(1500ms));
}

TEST(HttpWorker, WritesAStart) {
  answer(200, "{}");
  Worker.start({"7/1", 12, {2, 500, 64}, "sleep:5", 10s}, Keep);
  STRCMP_EQUAL("/v1/start", Client.Last.Target.c_str());
  STRCMP_EQUAL(R"({"task":"7/1","accelerators":12,"milli_cores":"500",)"
               R"("memory_mb":"64","command":"sleep:5","lease_ms":"10000"})",
               Client.Last.Body.c_str());
}

TEST(HttpWorker, WritesARenewal) {
  answer(200, "{}");
  const std::string Tasks[] = {"7/0", "7/1"};
  Worker.renew(Tasks, 5s, Keep);
  STRCMP_EQUAL(R"({"tasks":["7/0","7/1"],"lease_ms":"5000"})",
               Client.Last.Body.c_str());
}

TEST(HttpWorker, SaysOnlyWhatAnAnswerProves) {
  struct row {
    call_status Sent;
    int Code;
    const char *Body;
    call_status Status;
    bool Refused;
  };
  const row Rows[] = {
      {call_status::Completed, 200, "{}", call_status::Completed, false},
      {call_status::Completed, 200, "{\"ta", call_status::Lost, false},
      {call_status::Completed, 409, "", call_status::Completed, true},
      {call_status::Completed, 429, "", call_status::NotSent, false},
      {call_status::Completed, 503, "", call_status::NotSent, false},
      {call_status::Completed, 500, "", call_status::Lost, false},
      {call_status::NotSent, 0, "", call_status::NotSent, false},
      {call_status::Lost, 0, "", call_status::Lost, false},
      {call_status::TimedOut, 0, "", call_status::TimedOut, false},
  };
  for (const row &Row : Rows) {
    Client.Answer = {Row.Sent, Row.Code, {}, Row.Body};
    Worker.stop("7/0", Keep);
    CHECK(Result.Status == Row.Status);
    CHECK_EQUAL(Row.Refused, Result.Refused);
  }
}

TEST_GROUP(HttpWorkerContract) {
  test::test_loop Test;
  traffic_counter Traffic;
  standins::worker_interface Interface{"w1", {8, 128000, 262144}};
  standins::worker_server Server{Test.Loop.base(), "127.0.0.1", 0, Interface};
  http_client Client{Test.Loop, {}, Traffic};
  http_worker Worker{Client, test::loopback(Server.port()), "", 200ms};
  std::optional<worker_result> Result;
  worker_callback Keep = [this](const worker_result &Given) { Result = Given; };

  worker_result answer() {
    CHECK(Test.until([this] { return Result.has_value(); }));
    return *std::exchange(Result, std::nullopt);
  }
  worker_result start(const char *Task, const char *Command) {
    Worker.start({Task, 1, {1, 1000, 64}, Command, 10s}, Keep);
    return answer();
  }
};

TEST(HttpWorkerContract, DrivesATaskThroughItsLife) {
  CHECK(start("7/0", "hang").Tasks.at(0).State == worker_task_state::Running);
  const std::string Names[] = {"7/0"};
  Worker.renew(Names, 20s, Keep);
  CHECK(answer().Tasks.at(0).LeaseLeft > duration(19s));
  Worker.checkpoint("7/0", Keep);
  CHECK(answer().Tasks.at(0).State == worker_task_state::Checkpointing);
  Worker.stop("7/0", Keep);
  CHECK(answer().Tasks.at(0).State == worker_task_state::Stopped);
  Worker.describe(Keep);
  const worker_result Described = answer();
  LONGS_EQUAL(8, Described.Capacity.Accelerators);
  LONGS_EQUAL(1, Described.Tasks.size());
}

TEST(HttpWorkerContract, TellsARefusalFromALoss) {
  CHECK(start("7/0", "dance").Refused);
  start("8/0", "hang");
  CHECK(start("9/0", "hang").Refused);
  Worker.checkpoint("10/0", Keep);
  CHECK(answer().Refused);
}

TEST(HttpWorkerContract, MeetsFaults) {
  using standins::fault_mode;
  struct row {
    fault_mode Mode;
    call_status Status;
    std::size_t Runs; ///< whether the worker acted
  };
  const row Rows[] = {
      {fault_mode::None, call_status::Completed, 1},
      {fault_mode::Slow, call_status::TimedOut, 1},
      {fault_mode::Down, call_status::NotSent, 0},
      {fault_mode::Silent, call_status::TimedOut, 0},
      {fault_mode::LoseAnswer, call_status::Lost, 1},
      {fault_mode::FailAllTasks, call_status::Completed, 1},
  };
  std::size_t Runs = 0;
  for (const row &Row : Rows) {
    const std::string Task = "7/" + std::to_string(static_cast<int>(Row.Mode));
    Server.setFaults({Row.Mode, 1s, 1});
    CHECK(start(Task.c_str(), "sleep:0").Status == Row.Status);
    Runs += Row.Runs;
    LONGS_EQUAL(Runs, Interface.worker().history().size());
    // Asked again, the worker has run the task once at most.
    Server.setFaults({});
    CHECK(start(Task.c_str(), "sleep:0").Status == call_status::Completed);
    Runs += 1 - Row.Runs;
    LONGS_EQUAL(Runs, Interface.worker().history().size());
  }
}
