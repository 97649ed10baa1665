#include "platform/httpworker.h"

#include "standins/worker/workerserver.h"
#include "transport/httpclient.h"
#include "transport/tests/testloop.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

/// Answers every call with a preset result and records the last call.
class stub_http_client : public ihttp_client {
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
  stub_http_client Client;
  http_worker Worker{Client, "10.0.0.1:80", "/v1", 1s};
  worker_result Result;
  worker_callback SaveResult = [this](const worker_result &Answer) {
    Result = Answer;
  };

  void answer(int Code, std::string Body) {
    Client.Answer = {call_status::Completed, Code, {}, std::move(Body)};
  }
};

TEST(HttpWorker, DecodesADescription) {
  answer(200, R"({"worker":"w1","accelerators":8,"milliCores":"64000",
    "memoryMb":"1024","later":1,"tasks":[{"task":"7/0",
    "state":"WORKER_TASK_STATE_CHECKPOINTING","accelerators":3,
    "leaseLeftMs":"1500"}]})");
  Worker.describe(SaveResult);
  STRCMP_EQUAL("GET", Client.Last.Method.c_str());
  STRCMP_EQUAL("/v1/describe", Client.Last.Target.c_str());
  CHECK(Result.Status == call_status::Completed);
  CHECK(Result.Capacity == (resources{8, 64000, 1024}));
  CHECK(Result.Tasks.at(0).State == worker_task_state::Checkpointing);
  CHECK(Result.Tasks.at(0).LeaseLeft == duration(1500ms));
}

TEST(HttpWorker, EncodesAStart) {
  answer(200, "{}");
  Worker.start({"7/1", 12, {2, 500, 64}, "sleep:5", 10s}, SaveResult);
  STRCMP_EQUAL("/v1/start", Client.Last.Target.c_str());
  STRCMP_EQUAL(R"({"task":"7/1","accelerators":12,"milli_cores":"500",)"
               R"("memory_mb":"64","command":"sleep:5","lease_ms":"10000"})",
               Client.Last.Body.c_str());
}

TEST(HttpWorker, EncodesARenewal) {
  answer(200, "{}");
  const std::string Tasks[] = {"7/0", "7/1"};
  Worker.renew(Tasks, 5s, SaveResult);
  STRCMP_EQUAL(R"({"tasks":["7/0","7/1"],"lease_ms":"5000"})",
               Client.Last.Body.c_str());
}

TEST(HttpWorker, MapsAnswersToCallStatus) {
  struct call_case {
    call_status ClientStatus;
    int Code;
    const char *Body;
    call_status Status;
    bool Refused;
  };
  const call_case Cases[] = {
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
  for (const call_case &Case : Cases) {
    Client.Answer = {Case.ClientStatus, Case.Code, {}, Case.Body};
    Worker.stop("7/0", SaveResult);
    CHECK(Result.Status == Case.Status);
    CHECK_EQUAL(Case.Refused, Result.Refused);
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
  worker_callback SaveResult = [this](const worker_result &Answer) {
    Result = Answer;
  };

  worker_result answer() {
    CHECK(Test.until([this] { return Result.has_value(); }));
    return *std::exchange(Result, std::nullopt);
  }
  worker_result start(const char *Task, const char *Command) {
    Worker.start({Task, 1, {1, 1000, 64}, Command, 10s}, SaveResult);
    return answer();
  }
};

TEST(HttpWorkerContract, ControlsATaskFromStartToStop) {
  CHECK(start("7/0", "hang").Tasks.at(0).State == worker_task_state::Running);
  const std::string Names[] = {"7/0"};
  Worker.renew(Names, 20s, SaveResult);
  CHECK(answer().Tasks.at(0).LeaseLeft > duration(19s));
  Worker.checkpoint("7/0", SaveResult);
  CHECK(answer().Tasks.at(0).State == worker_task_state::Checkpointing);
  Worker.stop("7/0", SaveResult);
  CHECK(answer().Tasks.at(0).State == worker_task_state::Stopped);
  Worker.describe(SaveResult);
  const worker_result Described = answer();
  LONGS_EQUAL(8, Described.Capacity.Accelerators);
  LONGS_EQUAL(1, Described.Tasks.size());
}

TEST(HttpWorkerContract, ReportsRefusals) {
  CHECK(start("7/0", "dance").Refused);
  start("8/0", "hang");
  CHECK(start("9/0", "hang").Refused);
  Worker.checkpoint("10/0", SaveResult);
  CHECK(answer().Refused);
}

TEST(HttpWorkerContract, ReportsInjectedFaults) {
  using standins::fault_mode;
  struct call_case {
    fault_mode Mode;
    call_status Status;
    std::size_t TasksRun; ///< whether the worker acted
  };
  const call_case Cases[] = {
      {fault_mode::None, call_status::Completed, 1},
      {fault_mode::Slow, call_status::TimedOut, 1},
      {fault_mode::Down, call_status::NotSent, 0},
      {fault_mode::Silent, call_status::TimedOut, 0},
      {fault_mode::LoseAnswer, call_status::Lost, 1},
      {fault_mode::FailAllTasks, call_status::Completed, 1},
  };
  std::size_t TasksRun = 0;
  for (const call_case &Case : Cases) {
    const std::string Task = "7/" + std::to_string(static_cast<int>(Case.Mode));
    Server.setFaults({Case.Mode, 1s, 1});
    CHECK(start(Task.c_str(), "sleep:0").Status == Case.Status);
    TasksRun += Case.TasksRun;
    LONGS_EQUAL(TasksRun, Interface.worker().history().size());
    // Starting the task again after the fault must not run it twice.
    Server.setFaults({});
    CHECK(start(Task.c_str(), "sleep:0").Status == call_status::Completed);
    TasksRun += 1 - Case.TasksRun;
    LONGS_EQUAL(TasksRun, Interface.worker().history().size());
  }
}
