#include "platform/storeclient.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

/// Answers every call with a preset reply and records the last request.
class stub_transport final : public istore_transport {
public:
  void call(store_request Request,
            std::function<void(const store_reply &)> Done) override {
    Last = std::move(Request);
    Done(Reply);
  }

  store_request Last;
  store_reply Reply{
      .Status = call_status::Completed, .Code = 200, .Body = "{}"};
};

struct append_case {
  const char *Name;
  store_reply Reply;
  store_append_status Expected;
};

} // namespace

TEST_GROUP(StoreClient) {
  stub_transport Transport;
  store_client Store{Transport, 800ms};

  append_outcome append(const append_call &Call = {}) {
    append_outcome Outcome;
    Store.append(Call, [&](const append_outcome &Each) { Outcome = Each; });
    return Outcome;
  }
};

TEST(StoreClient, EncodesAnAppendWithProducerStamp) {
  append({.Topic = store_topic::Progress,
          .Records = {{"k", "v"}},
          .Stamp = producer_stamp{7, 12},
          .Timeout = 1s});
  STRCMP_EQUAL("POST", Transport.Last.Method.c_str());
  STRCMP_EQUAL("/api/log-append?Topic=keyed.progress&part=0&Producer=scheduler"
               "&epoch=7&Seq=12",
               Transport.Last.Target.c_str());
}

// A call whose outcome is unknown must not be taken for a refusal: the record
// may be in the log.
TEST(StoreClient, MapsAppendAnswersToStatus) {
  const append_case Cases[] = {
      {"stored",
       {call_status::Completed, 200, R"({"Offset":4,"End":5})"},
       store_append_status::Stored},
      {"stored, but without the end of the topic",
       {call_status::Completed, 200, R"({"Offset":4})"},
       store_append_status::Unknown},
      {"fenced",
       {call_status::Completed, 409, R"({"Reason":"fenced"})"},
       store_append_status::Fenced},
      {"sequence",
       {call_status::Completed, 409, R"({"Reason":"seq","Seq":3})"},
       store_append_status::OutOfSequence},
      {"rate limit",
       {call_status::Completed, 429, ""},
       store_append_status::Refused},
      {"unavailable",
       {call_status::Completed, 503, ""},
       store_append_status::Refused},
      {"full", {call_status::Completed, 507, ""}, store_append_status::Refused},
      {"not sent", {call_status::NotSent, 0, ""}, store_append_status::Refused},
      {"server error",
       {call_status::Completed, 500, ""},
       store_append_status::Unknown},
      {"no body",
       {call_status::Completed, 200, "<html>"},
       store_append_status::Unknown},
      {"lost", {call_status::Lost, 0, ""}, store_append_status::Unknown},
      {"timed out",
       {call_status::TimedOut, 0, ""},
       store_append_status::Unknown},
  };
  for (const append_case &Each : Cases) {
    Transport.Reply = Each.Reply;
    CHECK_TEXT(append().Status == Each.Expected, Each.Name);
  }
}

TEST(StoreClient, ReportsTheEndAndTheExpectedSequence) {
  Transport.Reply.Body = R"({"Offset":4,"End":5})";
  LONGS_EQUAL(5, append().End);
  Transport.Reply = {call_status::Completed, 409,
                     R"({"Reason":"seq","Seq":3})"};
  LONGS_EQUAL(3, append().Sequence);
}

TEST(StoreClient, ReadsFromAnOffset) {
  Transport.Reply.Body = std::string(7, '\0') + '\4' + std::string(8, '\0');
  read_outcome Outcome;
  Store.read(store_topic::Jobs, 4, 1s,
             [&](const read_outcome &Each) { Outcome = Each; });
  CHECK(Outcome.Ok);
  LONGS_EQUAL(4, Outcome.Batch.End);
  STRCMP_EQUAL("/api/log-read?Topic=keyed.jobs&part=0&From=4&WaitMs=1000",
               Transport.Last.Target.c_str());
  CHECK(Transport.Last.Timeout == 1800ms);
}

TEST(StoreClient, ReportsTruncatedHistory) {
  Transport.Reply = {call_status::Completed, 410, R"({"First":9})"};
  Store.read(store_topic::Jobs, 4, 1s, [](const read_outcome &Outcome) {
    CHECK(!Outcome.Ok);
    CHECK(Outcome.HistoryTruncated);
  });
}

TEST(StoreClient, ReadsPagesOfTheNewestRecords) {
  Transport.Reply.Body =
      R"({"items":[{"Key":"config","Value":"aGk=","Offset":4},)"
      R"({"Key":7},"text",{"Key":"b","Value":"*","Offset":5}],)"
      R"("HasMore":true,"End":6})";
  newest_outcome Outcome;
  Store.newest(store_topic::Operator, "a",
               [&](const newest_outcome &Each) { Outcome = Each; });
  CHECK(Outcome.Ok);
  CHECK(Outcome.Page.HasMore);
  LONGS_EQUAL(6, Outcome.Page.End);
  LONGS_EQUAL(1, Outcome.Page.Records.size());
  STRCMP_EQUAL("hi", Outcome.Page.Records[0].Value.c_str());
  STRCMP_EQUAL("/api/log-newest?Topic=keyed.op&part=0&After=a",
               Transport.Last.Target.c_str());
}

TEST(StoreClient, AMemberIsAssignedProgressByItsFirstPartition) {
  Transport.Reply.Body =
      R"({"Generation":7,"parts":[["keyed.progress",3,0],["other",0,0]]})";
  join_outcome Outcome;
  auto Join = [&] {
    Store.join({.Member = "e1", .Generation = 6, .TimeToLive = 1500ms},
               [&](const join_outcome &Each) { Outcome = Each; });
  };
  Join();
  CHECK(Outcome.Ok);
  LONGS_EQUAL(7, Outcome.Generation);
  CHECK(!Outcome.AssignedProgress);
  CHECK(!Transport.Last.Relayable);
  Transport.Reply.Body = R"({"Generation":8,"parts":[["keyed.progress",0,9]]})";
  Join();
  CHECK(Outcome.AssignedProgress);
}
