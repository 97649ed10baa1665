#include "platform/httpworker.h"

#include <CppUTest/TestHarness.h>

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
