#include "standins/logservice/logserver.h"

#include "transport/httpclient.h"
#include "transport/tests/testloop.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace geraniumpaddle::standins;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> One{"a"};
const std::vector<std::string> Three{"a", "b", "c"};

} // namespace

TEST_GROUP(LogModel) { time_point Now{1h}; };

TEST(LogModel, AssignsConsecutiveOffsetsFromOne) {
  log_model Model({});
  LONGS_EQUAL(1, Model.oldest());
  LONGS_EQUAL(1, *Model.append(Three, Now));
  LONGS_EQUAL(4, *Model.append(One, Now));
  LONGS_EQUAL(4, Model.head());
  const auto Records = Model.read(2, 2);
  LONGS_EQUAL(2, Records.size());
  LONGS_EQUAL(2, Records[0]->Offset);
  STRCMP_EQUAL("b", Records[0]->Payload.c_str());
}

TEST(LogModel, DropsRecordsBeyondTheRetentionLimits) {
  log_model Model({.RetainRecords = 4, .RetainTime = 10s});
  Model.append(Three, Now);
  Model.append(Three, Now + 6s);
  LONGS_EQUAL(3, Model.oldest());
  Model.expire(Now + 11s);
  LONGS_EQUAL(4, Model.oldest());
  Model.expire(Now + 17s);
  LONGS_EQUAL(7, Model.oldest());
  LONGS_EQUAL(6, Model.head());
}

TEST(LogModel, LimitsTheRateOfAppends) {
  log_model Model({.MaxAppendsPerSecond = 2});
  CHECK(Model.append(Three, Now).has_value());
  CHECK(Model.append(Three, Now).has_value());
  CHECK_FALSE(Model.append(Three, Now).has_value());
  LONGS_EQUAL(6, Model.head());
  CHECK(Model.append(Three, Now + 500ms).has_value());
  CHECK_FALSE(Model.append(Three, Now + 600ms).has_value());
}

TEST_GROUP(LogFaults){};

TEST(LogFaults, RefusesMalformedPlans) {
  for (const char *Json : {"", "[]", "{}", R"({"mode":"odd"})"}) {
    CHECK_FALSE_TEXT(log_fault_plan::parse(Json).has_value(), Json);
  }
}

TEST(LogFaults, ClearsAFaultAfterItsCount) {
  auto Plan = *log_fault_plan::parse(R"({"mode":"refuse","count":2})");
  CHECK(Plan.next() == log_fault::Refuse);
  CHECK(Plan.next() == log_fault::Refuse);
  CHECK(Plan.next() == log_fault::None);
}

TEST_GROUP(LogServer) {
  test::test_loop Test;
  traffic_counter Traffic;
  log_server Server{Test.Loop, "127.0.0.1:0", {}};
  http_client Client{Test.Loop, {}, Traffic};

  http_result call(const char *Method, const char *Target,
                   const char *Body = "") {
    std::optional<http_result> Answer;
    http_call Call;
    Call.Address = test::loopback(Server.port());
    Call.Method = Method;
    Call.Target = Target;
    Call.Body = Body;
    Call.Timeout = 200ms;
    Client.send(Call, [&](const http_result &Result) { Answer = Result; });
    CHECK(Test.until([&] { return Answer.has_value(); }));
    return *Answer;
  }
};

TEST(LogServer, ServesAppendsAndReads) {
  auto Result = call("POST", "/append", R"({"records":["YQ==","Yg=="]})");
  STRCMP_EQUAL(R"({"first":"1","head":"2"})", Result.Body.c_str());
  Result = call("GET", "/read?from=2&limit=5");
  STRCMP_EQUAL(R"({"records":[{"offset":"2","payload":"Yg=="}],)"
               R"("head":"2","oldest":"1"})",
               Result.Body.c_str());
}

TEST(LogServer, AnswersMalformedCallsWithAnError) {
  LONGS_EQUAL(400, call("POST", "/append", "{").Code);
  LONGS_EQUAL(400, call("POST", "/append", "{}").Code);
  LONGS_EQUAL(400, call("POST", "/faults", "{}").Code);
  LONGS_EQUAL(404, call("GET", "/other").Code);
}

TEST(LogServer, AppliesEachFault) {
  struct fault_case {
    const char *Mode;
    call_status Status;
    int Code;
    std::uint64_t Head; ///< after the append
  };
  const char *Append = R"({"records":["YQ=="]})";
  for (const auto &Case :
       {fault_case{"refuse", call_status::Completed, 503, 0},
        fault_case{"down", call_status::Lost, 0, 0},
        fault_case{"silent", call_status::TimedOut, 0, 0},
        fault_case{"lose_answer", call_status::Lost, 0, 1},
        fault_case{"none", call_status::Completed, 200, 2}}) {
    const std::string Plan = std::string(R"({"mode":")") + Case.Mode + "\"}";
    LONGS_EQUAL(200, call("POST", "/faults", Plan.c_str()).Code);
    const auto Result = call("POST", "/append", Append);
    LONGS_EQUAL_TEXT(static_cast<int>(Case.Status),
                     static_cast<int>(Result.Status), Case.Mode);
    LONGS_EQUAL_TEXT(Case.Code, Result.Code, Case.Mode);
    LONGS_EQUAL_TEXT(Case.Head, Server.model().head(), Case.Mode);
  }
}

TEST(LogServer, DelaysTheResponseUnderTheSlowFault) {
  call("POST", "/faults", R"({"mode":"slow","delay_ms":50,"count":1})");
  const time_point Start = Test.Loop.now();
  LONGS_EQUAL(200, call("POST", "/append", R"({"records":["YQ=="]})").Code);
  CHECK(Test.Loop.now() - Start >= 50ms);
}

TEST(LogServer, ReportsStatistics) {
  call("POST", "/append", R"({"records":["YQ=="]})");
  const auto Result = call("GET", "/stats");
  STRCMP_CONTAINS(R"("appends":1)", Result.Body.c_str());
  STRCMP_CONTAINS(R"("open_readers":0)", Result.Body.c_str());
}
