#include "core/base/error.h"
#include "logging/logging.h"
#include "platform/internal/storeframes.h"
#include "platform/platformdecode.h"
#include "platform/storeclient.h"
#include "platform/taskworkerclient.h"
#include "testkit/fakehttp.h"
#include "testkit/messagemutations.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Heartbeat =
    R"({"Service":"desk","Address":"10.1.2.3:80","Zone":"a","Slots":8,)"
    R"("State":"draining","DrainRemainingMs":2500,"born":1773605482535,)"
    R"("Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":8},)"
    R"("Labels":["a","r1-3"],"ClockMs":482113,"Seq":4})";
constexpr std::string_view Job =
    R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"Gpu":1,)"
    R"("EstimatedMs":900,"DataRack":"r1-3"},{"Count":2,"After":[0],)"
    R"("Gang":true,"RequiredLabel":"b","MaxPerServer":3,"TargetMs":5,)"
    R"("MaxUnavailable":1}],"Times":3,"StartAtMs":1000,"IntervalMs":500})";
constexpr std::string_view Configuration =
    R"({"Version":7,"Routes":[{"Name":"r1","Host":"h","PathPrefix":"/p/",)"
    R"("TargetLatencyMs":1200,"Priority":1,"Service":"desk","Attempts":4,)"
    R"("SlackFactor":1.5,"Anonymous":false}],"Services":[{"Name":"desk",)"
    R"("EnforceCapacity":true,"Standby":false}],"Tenants":[{"Name":"acme",)"
    R"("ApiKeys":["k1"],"GuaranteedGpus":{"Gpu":16}}]})";
constexpr std::string_view Listing =
    R"({"ClockMs":482113,"born":77,)"
    R"("Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,3]],)"
    R"("Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
constexpr std::string_view Newest =
    R"({"items":[{"Key":"config","Value":"aGk=","Offset":4}],)"
    R"("HasMore":true,"End":6})";
constexpr std::string_view Assignment =
    R"({"Generation":3,"parts":[["keyed.progress",0,9]]})";

/// A store whose answers have the same body.
class preset_transport final : public istore_transport {
public:
  void call(store_request,
            std::function<void(const store_reply &)> Done) override {
    Done({.Status = call_status::Completed, .Code = Code, .Body = Body});
  }

  int Code = 200;
  std::string Body;
};

void ignoreMalformed(const std::function<void()> &Decode) {
  try {
    Decode();
  } catch (const malformed_message_error &) {
  }
}

void callStore(std::string_view Body, int Code) {
  preset_transport Transport;
  Transport.Code = Code;
  Transport.Body = Body;
  store_client Store(Transport, 800ms);
  Store.append({}, [](const append_outcome &) {});
  Store.read(store_topic::Jobs, 4, 1s, [](const read_outcome &) {});
  Store.newest(store_topic::Jobs, "a", [](const newest_outcome &) {});
  Store.join({}, [](const join_outcome &) {});
}

listing_outcome listRuns(std::string_view Body, int Code = 200) {
  testing::fake_http_client Http;
  task_worker_client Worker(Http, 600ms);
  listing_outcome Outcome;
  Worker.list({"10.0.0.1:80", {worker_id("i-1"), 77}, 9}, {},
              [&](const listing_outcome &Each) { Outcome = Each; });
  Http.answer({.Status = call_status::Completed,
               .Code = Code,
               .Body = std::string(Body)});
  while (!Http.Calls.empty())
    Http.answer({.Status = call_status::Completed,
                 .Code = Code,
                 .Body = std::string(Body)});
  return Outcome;
}

struct boundary {
  std::string_view Valid;
  std::function<void(std::string_view)> Receive;
};

std::vector<boundary> boundaries() {
  const auto Decoder = [](auto Decode) {
    return [Decode](std::string_view Text) {
      ignoreMalformed([&] { Decode(Text); });
    };
  };
  return {
      {Heartbeat,
       Decoder([](std::string_view Text) { decodeHeartbeat("i-1", Text); })},
      {Heartbeat,
       Decoder([](std::string_view Text) { decodeDeregistration(Text); })},
      {Job, Decoder([](std::string_view Text) { decodeJob(Text); })},
      {Configuration,
       Decoder([](std::string_view Text) { decodeConfiguration(Text); })},
      {Listing, [](std::string_view Text) { listRuns(Text); }},
      {R"({"ClockMs":1,"Reason":"fence"})",
       [](std::string_view Text) { listRuns(Text, 409); }},
      {Newest, [](std::string_view Text) { callStore(Text, 200); }},
      {Assignment, [](std::string_view Text) { callStore(Text, 200); }},
      {R"({"Offset":4,"End":5})",
       [](std::string_view Text) { callStore(Text, 200); }},
      {R"({"Reason":"seq","Seq":3})",
       [](std::string_view Text) { callStore(Text, 409); }},
  };
}

} // namespace

TEST_GROUP(UnusableInput){
    // Thousands of messages are rejected.
    void setup() override{startLogging({.Threshold = log_severity::Error});
}
void teardown() override { startLogging({}); }
}
;

// Guards against an exception or a crash that ends the process.
TEST(UnusableInput, NoOddValueEndsTheProcess) {
  for (const boundary &Each : boundaries())
    testing::forEachOddDocument(Each.Valid, Each.Receive);
}

TEST(UnusableInput, NoDamagedMessageEndsTheProcess) {
  CHECK(rc::check([] {
    for (const boundary &Each : boundaries())
      Each.Receive(testing::mutatedBytes(std::string(Each.Valid)));
  }));
}

TEST(UnusableInput, NoDamagedRecordEndsTheProcess) {
  const std::string Valid =
      std::string(16, '\0') +
      encodeFrames(std::vector<keyed_value>{{"ab", "xyz"}, {"c", ""}});
  CHECK(rc::check([&] {
    const std::string Bytes = testing::mutatedBytes(Valid);
    const auto Batch = decodeFrames(Bytes, 7);
    RC_ASSERT(!Batch || Batch->Next >= 7 + Batch->Records.size());
    decodeBase64(Bytes);
    decodeBase64(testing::mutatedBytes("aGVsbG8=aGVsbG8="));
  }));
}

// Guards against a stack that overflows while a deeply nested value is copied.
TEST(UnusableInput, DeeplyNestedPartsAreLeftOut) {
  const std::string Deep = testing::oddValue(testing::OddValues - 1);
  CHECK(!listRuns(R"({"ClockMs":1,"born":77,"Running":)" + Deep + "}").Listing);
  CHECK(listRuns(R"({"ClockMs":1,"born":77,"New":)" + Deep + "}")
            .Listing.has_value());
  LONGS_EQUAL(
      1,
      decodeJob(R"({"Steps":[{"Count":1}],"New":)" + Deep + "}").Steps.size());
}

// Guards against runs that are taken for ended because the listing is damaged.
TEST(UnusableInput, AListingThatCannotBeReadIsNotAnEmptyOne) {
  for (const char *Runs : {R"({})", R"("none")", R"(7)", R"([7])", R"([{}])",
                           R"([["5c0e7a21d94b36f8.0.1.17"]])",
                           R"([["5c0e7a21d94b36f8.0.1.17",1.5,"c",41]])",
                           R"([["5c0e7a21d94b36f8.0.1.17",4294967298,"c",41]])",
                           R"([["5c0e7a21d94b36f8.0.1.17",2,7,41]])"})
    CHECK_TEXT(!listRuns(std::string(R"({"ClockMs":1,"born":77,"Running":)") +
                         Runs + "}")
                    .Listing,
               Runs);
  CHECK(!listRuns(R"({"ClockMs":1,"born":77,"Finished":{}})").Listing);
  CHECK(!listRuns(R"({"ClockMs":1,"born":76.5})").Listing);
  CHECK(!listRuns(R"({"ClockMs":1})").Listing);
}

TEST(UnusableInput, AHeartbeatWithoutAWholeStartTimeNamesNoWorker) {
  for (const char *Born : {"1773605482535.5", "1.7e12", "-1", "0", "null",
                           "18446744073709551615", R"("1773605482535")"}) {
    std::string Text(Heartbeat);
    const std::string Valid = "1773605482535";
    Text.replace(Text.find(Valid), Valid.size(), Born);
    CHECK_THROWS(malformed_message_error, decodeHeartbeat("i-1", Text));
  }
}

TEST(UnusableInput, AnIdThatNoHeaderCanCarryNamesNoWorker) {
  for (const char *Id : {"", "a b", "a\r\nX-Fencing-Token: 9", "\xff"})
    CHECK_THROWS(malformed_message_error, decodeHeartbeat(Id, Heartbeat));
}

// Guards against an overflow when the last occurrence of a job is computed.
TEST(UnusableInput, IntervalsOfCenturiesAreRejected) {
  CHECK_THROWS(malformed_message_error,
               decodeJob(R"({"Steps":[{"Count":1}],"Times":4000,)"
                         R"("IntervalMs":3000000000000})"));
}

// Guards against an overflow of the deadline, which lay in the past.
TEST(UnusableInput, ACallersTimeoutOfAnyLengthIsBounded) {
  for (const char *Huge :
       {"9223372036854775807", "9223372036854775", "99999999999999999999999"})
    CHECK_TEXT(decodeTimeout(Huge, 3s) == work::MaxDuration, Huge);
  for (const char *Unusable :
       {"", "0", "-5", "soon", "-99999999999999999999999"})
    CHECK_TEXT(decodeTimeout(Unusable, 3s) == 3s, Unusable);
  CHECK(decodeTimeout("1500", 3s) == 1500ms);
}

// Guards against an agent that ends when a job of another writer has a payload
// that is not UTF-8.
TEST(UnusableInput, AStartThatCannotBeEncodedIsRefused) {
  testing::fake_http_client Http;
  task_worker_client Worker(Http, 600ms);
  start_outcome Outcome;
  Worker.start({"10.0.0.1:80", {worker_id("i-1"), 77}, 9},
               {.Run = {.Run = {{job_id("00000000000000aa"), {}}, 1},
                        .Payload = "\xff"}},
               [&](const start_outcome &Each) { Outcome = Each; });
  CHECK(Outcome.Result == work::worker_call_result::Refused);
  CHECK(Outcome.Reason == work::start_refusal::Invalid);
  CHECK(Http.Calls.empty());
}

// Guards against a reader that asks for a page that the store can't parse, and
// so never reaches the records behind the key.
TEST(UnusableInput, AKeyWithAnyByteCanBeContinuedAfter) {
  class recording_transport final : public istore_transport {
  public:
    void call(store_request Request,
              std::function<void(const store_reply &)> Done) override {
      Target = std::move(Request.Target);
      Done({});
    }
    std::string Target;
  } Transport;
  store_client Store(Transport, 800ms);
  Store.newest(store_topic::Jobs, "a b&part=1\n%\xff",
               [](const newest_outcome &) {});
  STRCMP_EQUAL("/api/log-newest?Topic=keyed.jobs&part=0"
               "&After=a%20b%26part%3D1%0A%25%FF",
               Transport.Target.c_str());
}
