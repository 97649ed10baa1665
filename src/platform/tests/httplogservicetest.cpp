#include "platform/httplogservice.h"

#include "standins/logservice/logserver.h"
#include "transport/httpclient.h"
#include "transport/tests/testloop.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

/// Answers every call with a preset result and records the last call.
class stub_http_client final : public ihttp_client {
public:
  http_call_id send(http_call Call,
                    std::function<void(const http_result &)> Done) override {
    Last = std::move(Call);
    Done(Result);
    return {};
  }
  void cancel(http_call_id) override {}

  http_call Last;
  http_result Result;
};

} // namespace

TEST_GROUP(HttpLogServiceMapping) {
  stub_http_client Client;
  http_log_service Log{Client, {.Address = "10.0.0.1:80"}};
};

TEST(HttpLogServiceMapping, MapsAppendAnswers) {
  struct append_case {
    http_result Answer;
    call_status Status;
    bool Refused;
    std::uint64_t First;
  };
  const auto Answer = [](int Code, const char *Body) {
    return http_result{call_status::Completed, Code, {}, Body};
  };
  const auto Failed = [](call_status Status) {
    return http_result{Status, 0, {}, ""};
  };
  using enum call_status;
  const std::vector<append_case> Cases{
      {Answer(200, R"({"first":"7","head":"9"})"), Completed, false, 7},
      {Answer(200, R"({"first":"7","new_field":1})"), Completed, false, 7},
      {Answer(200, "{}"), Lost, false, 0},
      {Answer(200, "not JSON"), Lost, false, 0},
      {Answer(429, ""), Completed, true, 0},
      {Answer(503, "busy"), Completed, true, 0},
      {Answer(500, ""), Lost, false, 0},
      {Answer(404, ""), Lost, false, 0},
      {Failed(NotSent), NotSent, false, 0},
      {Failed(Lost), Lost, false, 0},
      {Failed(TimedOut), TimedOut, false, 0}};
  const std::vector<std::string> Payloads{"a"};
  for (const auto &Case : Cases) {
    Client.Result = Case.Answer;
    std::optional<append_result> Result;
    Log.append(Payloads, [&](const append_result &Done) { Result = Done; });
    const std::string Name = std::to_string(Case.Answer.Code);
    LONGS_EQUAL_TEXT(static_cast<int>(Case.Status),
                     static_cast<int>(Result->Status), Name.c_str());
    CHECK_EQUAL_TEXT(Case.Refused, Result->Refused, Name.c_str());
    LONGS_EQUAL_TEXT(Case.First, raw(Result->First), Name.c_str());
  }
}

TEST(HttpLogServiceMapping, MapsReadAnswers) {
  struct read_case {
    int Code;
    const char *Body;
    call_status Status;
    bool Truncated;
    std::size_t Items;
  };
  using enum call_status;
  for (const auto &Case :
       {read_case{200, R"({"records":[{"offset":"5"},{"offset":"6"}]})",
                  Completed, false, 2},
        read_case{200, R"({"head":"9"})", Completed, false, 0},
        read_case{200, R"({"records":[{"offset":"4"}]})", Lost, false, 0},
        read_case{200, R"({"records":[{"offset":"6"},{"offset":"5"}]})", Lost,
                  false, 0},
        read_case{200, "{", Lost, false, 0},
        read_case{410, R"({"oldest":"8"})", Completed, true, 0},
        read_case{503, "", NotSent, false, 0},
        read_case{500, "", Lost, false, 0}}) {
    Client.Result = {Completed, Case.Code, {}, Case.Body};
    std::optional<read_result> Result;
    Log.read(log_offset{5}, 10, 1s,
             [&](const read_result &Done) { Result = Done; });
    LONGS_EQUAL_TEXT(static_cast<int>(Case.Status),
                     static_cast<int>(Result->Status), Case.Body);
    CHECK_EQUAL_TEXT(Case.Truncated, Result->Truncated, Case.Body);
    LONGS_EQUAL_TEXT(Case.Items, Result->Items.size(), Case.Body);
  }
  CHECK(Client.Last.Timeout == 1s + http_log_settings().ReadGrace);
}

TEST_GROUP(HttpLogService) {
  test::test_loop Test;
  traffic_counter Traffic;
  standins::log_server Server{
      Test.Loop, "127.0.0.1:0", {.RetainRecords = 5, .MaxAppendsPerSecond = 4}};
  http_client Client{Test.Loop, {}, Traffic};
  http_log_service Log{Client, {.Address = test::loopback(Server.port())}};

  append_result append(const std::vector<std::string> &Payloads) {
    std::optional<append_result> Result;
    Log.append(Payloads, [&](const append_result &Done) { Result = Done; });
    CHECK(Test.until([&] { return Result.has_value(); }));
    return *Result;
  }

  read_result read(std::uint64_t From, duration Wait = {}) {
    std::optional<read_result> Result;
    Log.read(log_offset{From}, 100, Wait,
             [&](const read_result &Done) { Result = Done; });
    CHECK(Test.until([&] { return Result.has_value(); }));
    return *Result;
  }
};

TEST(HttpLogService, ReadsBackBinaryRecordsInOrder) {
  const std::vector<std::string> Payloads{std::string("\0\xFF\n", 3), "", "c"};
  LONGS_EQUAL(1, raw(append(Payloads).First));
  const auto Result = read(1);
  LONGS_EQUAL(3, Result.Items.size());
  for (std::size_t Index = 0; Index < Payloads.size(); ++Index) {
    LONGS_EQUAL(Index + 1, raw(Result.Items[Index].Offset));
    CHECK(Result.Items[Index].Payload == Payloads[Index]);
  }
  LONGS_EQUAL(3, raw(Result.Head));
}

TEST(HttpLogService, AWaitingReadReturnsOnAppend) {
  std::optional<read_result> Result;
  Log.read(log_offset{1}, 100, 60s,
           [&](const read_result &Done) { Result = Done; });
  const time_point Start = Test.Loop.now();
  append({"a"});
  CHECK(Test.until([&] { return Result.has_value(); }));
  LONGS_EQUAL(1, Result->Items.size());
  CHECK(Test.Loop.now() - Start < 5s);
}

TEST(HttpLogService, AWaitingReadReturnsNoRecordsAtItsLimit) {
  const auto Result = read(1, 50ms);
  CHECK(Result.Status == call_status::Completed);
  CHECK(Result.Items.empty());
}

TEST(HttpLogService, ReportsTruncationOfOldRecords) {
  append(std::vector<std::string>(7, "x"));
  const auto Result = read(2);
  CHECK(Result.Truncated);
  LONGS_EQUAL(3, raw(Result.Oldest));
}

TEST(HttpLogService, ReportsRefusalOfAppendsAboveTheRateLimit) {
  for (int Index = 0; Index < 4; ++Index) {
    CHECK_FALSE(append({"x"}).Refused);
  }
  CHECK(append({"x"}).Refused);
  LONGS_EQUAL(4, Server.model().head());
}
