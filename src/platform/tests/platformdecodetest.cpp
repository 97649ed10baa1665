#include "platform/platformdecode.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

constexpr const char *HeartbeatBody =
    R"({"Service":"desk","Address":"10.1.2.3:80","Zone":"a","Version":"v1",)"
    R"("Slots":8,"State":"draining","ColdLeftMs":0,"DrainRemainingMs":2500,)"
    R"("Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":8},"born":1773605482535,)"
    R"("Labels":["a","r1-3"],"ClockMs":482113,"Seq":4})";

std::string replaced(std::string Text, const std::string &Part,
                     const std::string &Replacement) {
  Text.replace(Text.find(Part), Part.size(), Replacement);
  return Text;
}

template <typename Function> bool isMalformed(const Function &Decode) {
  try {
    Decode();
  } catch (const malformed_message_error &) {
    return true;
  }
  return false;
}

} // namespace

TEST_GROUP(PlatformDecode){};

TEST(PlatformDecode, DecodesAConfiguration) {
  const auto Config = decodeConfiguration(
      R"({"Version":7,"Routes":[{"Name":"r1","Host":"h.example",)"
      R"("PathPrefix":"/p/","Type":"non_idempotent","TimeoutMs":3000,)"
      R"("TargetLatencyMs":1200,"Priority":1,"Service":"desk","Attempts":4,)"
      R"("SlackFactor":1.5,"Anonymous":false}],"Services":[{"Name":"desk",)"
      R"("EnforceCapacity":true}],"Tenants":[{"Name":"acme",)"
      R"("ApiKeys":["k1","k2"],"GuaranteedGpus":{"Gpu":16}}],"New":{}})");
  LONGS_EQUAL(7, Config.Version);
  const work::queue_route &Route = Config.Routes.at(0);
  STRCMP_EQUAL("/p/", Route.PathPrefix.c_str());
  STRCMP_EQUAL("r1", Route.Policy.Queue.c_str());
  LONGS_EQUAL(1, Route.Policy.Priority);
  LONGS_EQUAL(4, Route.Policy.Attempts);
  DOUBLES_EQUAL(1.5, Route.Policy.SlackFactor, 0.001);
  CHECK(Config.Services.at(0).EnforcesCapacity);
  LONGS_EQUAL(16, Config.Customers.at(0).GuaranteedAccelerators);
  LONGS_EQUAL(2, Config.Customers.at(0).Keys.size());
}

TEST(PlatformDecode, DecodesAHeartbeat) {
  const worker_heartbeat Heartbeat = decodeHeartbeat("i-1", HeartbeatBody);
  STRCMP_EQUAL("10.1.2.3:80", Heartbeat.Address.c_str());
  CHECK(Heartbeat.Description.Instance ==
        (work::worker_instance{worker_id("i-1"), 1773605482535}));
  STRCMP_EQUAL("r1-3", Heartbeat.Description.Rack.c_str());
  LONGS_EQUAL(8, Heartbeat.Description.Capacity.Accelerators);
  CHECK(Heartbeat.Description.Draining);
  LONGS_EQUAL(4, Heartbeat.Description.Sequence);
}

// Guards against workers that are registered from heartbeats with missing or
// invalid fields.
TEST(PlatformDecode, RejectsMalformedHeartbeats) {
  const std::pair<const char *, const char *> Changes[] = {
      {R"("State":"draining")", R"("State":"resting")"},
      {R"("State":"draining")", R"("State":5)"},
      {R"("Labels":["a","r1-3"])", R"("Labels":["a"])"},
      {R"("Labels":["a","r1-3"])", R"("Labels":7)"},
      {R"("Capacity":{)", R"("Other":{)"},
      {R"("Gpu":8)", R"("Gpu":"many")"},
      {R"("Gpu":8)", R"("Gpu":-1)"},
      {R"("Gpu":8)", R"("Gpu":99999999999)"},
      {R"("Seq":4)", R"("Seq":[])"},
  };
  for (const auto &Each : Changes)
    CHECK_TEXT(isMalformed([&] {
                 decodeHeartbeat(
                     "i-1", replaced(HeartbeatBody, Each.first, Each.second));
               }),
               Each.second);
  CHECK(isMalformed([] { decodeHeartbeat("i-1", "\xff\xfe"); }));
  CHECK(isMalformed([] { decodeHeartbeat("i-1", "[]"); }));
}

TEST(PlatformDecode, DecodesAJob) {
  const work::job_spec Job = decodeJob(
      R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,)"
      R"("EstimatedMs":900,"DataRack":"r1-3"},{"Count":20,"Gpu":2,)"
      R"("After":[0],"Checkpointing":true,"Gang":true,"SameRack":true,)"
      R"("RequiredLabel":"b","MaxPerServer":3,"LongRunning":true}],)"
      R"("Times":3,"StartAtMs":1000,"IntervalMs":500})");
  STRCMP_EQUAL("text", Job.Payload.c_str());
  LONGS_EQUAL(2, Job.Steps.size());
  LONGS_EQUAL(500, Job.Steps[0].Need.MilliCores);
  const work::step_spec &Second = Job.Steps[1];
  LONGS_EQUAL(0, Second.After.at(0));
  CHECK(Second.Gang && Second.SameRack && Second.Checkpointing);
  CHECK(Second.LongRunning);
  LONGS_EQUAL(3, Second.MaxPerWorker);
  CHECK(Job.Scheduled);
  LONGS_EQUAL(3, Job.Occurrences);
}

TEST(PlatformDecode, AJobWithoutTimesIsNotScheduled) {
  const work::job_spec Job = decodeJob(R"({"Steps":[{"Count":1}]})");
  CHECK(!Job.Scheduled);
  LONGS_EQUAL(1, Job.Occurrences);
}

TEST(PlatformDecode, RejectsInvalidJobs) {
  for (const char *Invalid :
       {"", "{}", R"({"Steps":[]})", R"({"Steps":[{}]})", R"({"Steps":[7]})",
        R"({"Steps":[{"Count":1,"After":[0]}]})",
        R"({"Steps":[{"Count":1},{"Count":1,"After":[-1]}]})",
        R"({"Steps":[{"Count":0}]})", R"({"Steps":[{"Count":1.5e30}]})",
        R"({"Steps":[{"Count":1,"Gang":"yes"}]})",
        R"({"Spec":5,"Steps":[{"Count":1}]})"})
    CHECK_TEXT(isMalformed([&] { decodeJob(Invalid); }), Invalid);
}

TEST(PlatformDecode, ParsesWorkerRequestPaths) {
  const auto Heartbeat =
      parseWorkerRequest("POST", "/api/workers/i-1/heartbeat");
  CHECK(Heartbeat.Kind == worker_request_kind::Heartbeat);
  STRCMP_EQUAL("i-1", std::string(Heartbeat.Worker).c_str());
  CHECK(parseWorkerRequest("POST", "/api/workers/i-1/deregister").Kind ==
        worker_request_kind::Deregister);
  for (const char *Path : {"/api/workers/", "/api/workers/i-1", "/other",
                           "/api/workers/i-1/dance"})
    CHECK_TEXT(parseWorkerRequest("POST", Path).Kind ==
                   worker_request_kind::Other,
               Path);
  CHECK(parseWorkerRequest("GET", "/api/workers/i-1/heartbeat").Kind ==
        worker_request_kind::Other);
}

TEST(PlatformDecode, DeregistrationMayOmitBorn) {
  CHECK(decodeDeregistration(R"({"born":1772000000123})") == 1772000000123U);
  CHECK(!decodeDeregistration("{}"));
  CHECK(!decodeDeregistration(""));
  for (const char *Unusable :
       {R"({"born":-1})", R"({"born":"soon"})", R"({"born":null})",
        R"({"born":1772000000123.5})", "[]", "not JSON"})
    CHECK_TEXT(isMalformed([&] { decodeDeregistration(Unusable); }), Unusable);
}

TEST(PlatformDecode, RoundsRetryAfterUp) {
  const http_response Response =
      encodeError(503, "busy", "later", std::chrono::milliseconds(1200));
  STRCMP_EQUAL("Retry-After", Response.Headers.back().Name.c_str());
  STRCMP_EQUAL("2", Response.Headers.back().Value.c_str());
}
