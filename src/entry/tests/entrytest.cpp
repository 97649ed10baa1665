#include "codec/protojson.h"
#include "codec/tokenhash.h"
#include "entry/adminapi.h"
#include "entry/customerauth.h"
#include "entry/httputil.h"
#include "entry/relayedlog.h"
#include "entry/stateserver.h"
#include "testkit/fakeeventloop.h"
#include "testkit/fakehttp.h"
#include "testkit/fakepeerclient.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <memory>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

const peer_identity Self{node_id("entry-1"), incarnation{1}};

/// Applies each proposal immediately, as if it had been read from the log.
class immediate_log final : public iproposer {
public:
  const ledger &state() const override { return State; }
  bool ready() const override { return Ready; }
  void propose(const actor_id &Actor, record_body Body, duration,
               std::function<void(const proposal_answered &)> Done) override {
    if (AnswerLost)
      return Done({proposal_id{1}, proposal_outcome::Undetermined});
    record Record{{Self.Node, Self.Incarnation, ++Sequence},
                  Actor,
                  wall_time{},
                  std::move(Body)};
    log_offset Offset = next(State.lastApplied());
    verdict Verdict = State.apply(Offset, Record);
    Done({proposal_id{1}, proposal_outcome::Decided, not_run_cause::None,
          Offset, Verdict});
  }

  ledger State;
  bool Ready = true;
  bool AnswerLost = false;

private:
  std::uint64_t Sequence = 0;
};

/// A log service whose reads are answered by the test.
class fake_log final : public ilog_service {
public:
  void append(std::span<const std::string>,
              std::function<void(const append_result &)>) override {}
  void read(log_offset, std::uint32_t, duration,
            std::function<void(const read_result &)> Done) override {
    Reads.push_back(std::move(Done));
  }
  void answer(std::uint64_t First, std::size_t Count) {
    read_result Result;
    Result.Status = call_status::Completed;
    for (std::size_t I = 0; I < Count; ++I)
      Result.Items.push_back({log_offset{First + I}, "r"});
    Result.Head = log_offset{First + Count - 1};
    auto Done = std::move(Reads.back());
    Reads.pop_back();
    Done(Result);
  }

  std::vector<std::function<void(const read_result &)>> Reads;
};

proto::PeerRequest fetchFrom(std::uint64_t From) {
  proto::PeerRequest Request;
  Request.mutable_fetch_records()->set_from(From);
  Request.mutable_fetch_records()->set_limit(100);
  Request.mutable_fetch_records()->set_wait_ms(1000);
  return Request;
}

} // namespace

TEST_GROUP(HttpUtil){};

TEST(HttpUtil, QueryValuesAreDecoded) {
  STRCMP_EQUAL("a b/c", queryValue("x=1&y=a+b%2Fc", "y")->c_str());
  STRCMP_EQUAL("", queryValue("flag&y=2", "flag")->c_str());
  CHECK_FALSE(queryValue("xy=1", "y").has_value());
  STRCMP_EQUAL("100%", queryValue("y=100%", "y")->c_str());
}

TEST(HttpUtil, BearerTokens) {
  const std::array<http_header, 1> Good = {
      http_header{"authorization", "bearer secret"}};
  const std::array<http_header, 1> Other = {
      http_header{"Authorization", "Basic secret"}};
  STRCMP_EQUAL("secret", std::string(bearerToken(Good)).c_str());
  CHECK(bearerToken(Other).empty());
}

TEST_GROUP(RelayedLog) {
  fake_event_loop Loop;
  fake_log Direct;
  fake_peer_client Peers;
  std::optional<std::string> RelayAddress;
  relayed_log Log{Loop, Direct, Peers, Self, [this] { return RelayAddress; }};
  std::optional<read_result> Result;
  std::optional<proto::PeerResponse> Served;

  void read(std::uint64_t From) {
    Log.read(log_offset{From}, 100, 10s,
             [this](const read_result &Received) { Result = Received; });
  }
  void serve(std::uint64_t From) {
    Log.serve(
        fetchFrom(From).fetch_records(),
        [this](const proto::PeerResponse &Response) { Served = Response; });
  }
};

TEST(RelayedLog, ReadsDirectlyWithoutARelay) {
  read(1);
  LONGS_EQUAL(1, Direct.Reads.size());
  LONGS_EQUAL(0, Peers.Calls.size());
}

TEST(RelayedLog, ReadsThroughTheRelay) {
  RelayAddress = "10.0.0.2:1";
  read(7);
  LONGS_EQUAL(0, Direct.Reads.size());
  proto::PeerResponse Response;
  Response.mutable_records()->set_head(7);
  Response.mutable_records()->add_records()->set_offset(7);
  Peers.answer(Response);
  LONGS_EQUAL(7, raw(Result->Items.at(0).Offset));
}

TEST(RelayedLog, FallsBackToTheLogWhenTheRelayDoesNotAnswer) {
  RelayAddress = "10.0.0.2:1";
  for (call_status Status : {call_status::TimedOut, call_status::NotSent}) {
    read(7);
    Peers.fail(Status);
    Direct.answer(7, 1);
    LONGS_EQUAL(7, raw(Result->Items.at(0).Offset));
  }
  LONGS_EQUAL(2, Log.fallbacks());
}

TEST(RelayedLog, ServesCachedRecordsAndDefersReadsAtTheEnd) {
  read(1);
  Direct.answer(1, 3);
  serve(2);
  LONGS_EQUAL(2, Served->records().records_size());
  Served.reset();
  serve(4);
  CHECK_FALSE(Served.has_value());
  read(4);
  Direct.answer(4, 1);
  LONGS_EQUAL(4, Served->records().records(0).offset());
}

TEST(RelayedLog, ADeferredReadReturnsNoRecordsAfterItsWait) {
  read(1);
  Direct.answer(1, 1);
  serve(2);
  Loop.advance(1s);
  LONGS_EQUAL(0, Served->records().records_size());
  LONGS_EQUAL(1, Served->records().head());
}

TEST(RelayedLog, RefusesRecordsThatAreNotCached) {
  serve(1);
  LONGS_EQUAL(proto::REFUSAL_NOT_READY, Served->refusal());
}

TEST(RelayedLog, NeverServesRecordsAcrossAGap) {
  read(1);
  Direct.answer(1, 2);
  read(10);
  Direct.answer(10, 2);
  serve(2);
  LONGS_EQUAL(proto::REFUSAL_NOT_READY, Served->refusal());
  serve(10);
  LONGS_EQUAL(2, Served->records().records_size());
}

TEST_GROUP(StateServer) {
  immediate_log Log;
  state_server Server{Log};
};

TEST(StateServer, ServesTheStateInChunksAndRefusesOneBeyondTheLast) {
  Log.propose(actor_id("a"), customers_changed{}, 1s,
              [](const proposal_answered &) {});
  proto::FetchState Request;
  proto::PeerResponse First = Server.fetch(Request);
  CHECK(First.has_state());
  LONGS_EQUAL(1, First.state().covered());
  Request.set_index(First.state().count());
  Request.set_covered(1);
  LONGS_EQUAL(proto::REFUSAL_NOT_READY, Server.fetch(Request).refusal());
}

TEST(StateServer, ServesNothingBeforeItIsReady) {
  Log.Ready = false;
  CHECK_FALSE(Server.fetch(proto::FetchState()).has_state());
}

TEST_GROUP(AdminApi) {
  fake_event_loop Loop;
  fake_peer_client Peers;
  immediate_log Log;
  customer_auth Auth{hashToken("operator")};
  entry_rank Rank{Self.Node, region_id("r"), 1s};
  live_members Members{Rank, Self.Node};
  agent_directory Agents{Loop,
                         Peers,
                         Log,
                         Members,
                         Self,
                         region_id("r"),
                         liveness_settings{},
                         [](const router_event &) {}};
  scheduler_driver Scheduler{Loop, Log, Rank, Self, objective::CompletionTime};
  admin_api Api{Loop,
                Log,
                Auth,
                Agents,
                Scheduler,
                5s,
                [] { return proto::EntryStatus(); }};

  http_response call(const char *Method, const char *Path,
                     const std::string &Body, const char *Token,
                     const char *Customer = "") {
    std::vector<http_header> Headers = {
        {"Authorization", std::string("Bearer ") + Token},
        {"X-Customer", Customer}};
    auto Responder = std::make_shared<fake_responder>();
    Api.handle({Method, Path, "", Headers, Body, ""}, Responder);
    CHECK(Responder->Response.has_value());
    return *Responder->Response;
  }

  void addCustomers() {
    customers_changed Change;
    for (const char *Id : {"a", "b"}) {
      customer_config &Config = Change.Put.emplace_back();
      Config.Id = customer_id(Id);
      Config.TokenHash = hashToken(std::string("token-") + Id);
    }
    Log.propose(actor_id("op"), Change, 1s, [](const proposal_answered &) {});
  }

  static std::string jobOf(const char *Customer) {
    return std::string(R"({"spec":{"id":"j","customer":")") + Customer +
           R"(","tasks":[{"accelerators":1}]}})";
  }
};

TEST(AdminApi, NothingOfOneCustomerIsShownToAnother) {
  addCustomers();
  LONGS_EQUAL(201, call("POST", "/v1/jobs", jobOf("a"), "token-a", "a").Code);
  http_response Foreign = call("GET", "/v1/jobs/j", "", "token-b", "b");
  http_response Missing = call("GET", "/v1/jobs/none", "", "token-b", "b");
  LONGS_EQUAL(404, Foreign.Code);
  STRCMP_EQUAL(Missing.Body.c_str(), Foreign.Body.c_str());
  LONGS_EQUAL(404, call("DELETE", "/v1/jobs/j", "", "token-b", "b").Code);
  for (const char *Path : {"/v1/jobs", "/v1/audit"})
    CHECK_TEXT(call("GET", Path, "", "token-b", "b").Body.find("\"j\"") ==
                   std::string::npos,
               Path);
  LONGS_EQUAL(200, call("GET", "/v1/jobs/j", "", "token-a", "a").Code);
}

TEST(AdminApi, CustomersCanCallOnlyTheirOwnRoutes) {
  addCustomers();
  for (const char *Path : {"/v1/customers", "/v1/workers", "/v1/status"}) {
    LONGS_EQUAL_TEXT(403, call("GET", Path, "", "token-a", "a").Code, Path);
    LONGS_EQUAL_TEXT(200, call("GET", Path, "", "operator").Code, Path);
  }
  LONGS_EQUAL(403, call("POST", "/v1/jobs", jobOf("b"), "token-a", "a").Code);
  LONGS_EQUAL(403, call("GET", "/v1/jobs", "", "wrong").Code);
  LONGS_EQUAL(403, call("GET", "/v1/jobs", "", "token-a", "b").Code);
}

TEST(AdminApi, InvalidInputReturnsATypedErrorAndChangesNothing) {
  addCustomers();
  struct bad_call {
    const char *Method;
    const char *Path;
    const char *Body;
    int Code;
  };
  constexpr auto Cases = std::to_array<bad_call>(
      {{"PUT", "/v1/customers", "not json", 400},
       {"PUT", "/v1/customers", R"({"unknown":1})", 400},
       {"PUT", "/v1/customers", R"({"base":1})", 400},
       {"PUT", "/v1/customers", R"({"base":0,"put":[{"id":"c"}]})", 409},
       {"PUT", "/v1/customers", R"({"base":1,"put":[{"id":""}]})", 400},
       {"POST", "/v1/jobs", R"({"spec":{"id":"j","customer":"a"}})", 400},
       {"POST", "/v1/jobs", R"({"spec":{"id":"","customer":"a"}})", 400},
       {"POST", "/v1/workers/none/drain", "", 404},
       {"POST", "/v1/workers/none", "", 404},
       {"GET", "/v1/nothing", "", 404}});
  for (const bad_call &Case : Cases) {
    http_response Response =
        call(Case.Method, Case.Path, Case.Body, "operator");
    LONGS_EQUAL_TEXT(Case.Code, Response.Code, Case.Body);
    proto::ApiError Error;
    CHECK_TEXT(tryParseJson(Response.Body, Error), Case.Body);
    CHECK_TEXT(!Error.kind().empty(), Case.Body);
  }
  LONGS_EQUAL(1, raw(Log.State.version()));
}

TEST(AdminApi, ResubmittingAJobAfterALostAnswerIsIdempotent) {
  addCustomers();
  Log.AnswerLost = true;
  LONGS_EQUAL(504, call("POST", "/v1/jobs", jobOf("a"), "token-a", "a").Code);
  Log.AnswerLost = false;
  LONGS_EQUAL(201, call("POST", "/v1/jobs", jobOf("a"), "token-a", "a").Code);
  LONGS_EQUAL(200, call("POST", "/v1/jobs", jobOf("a"), "token-a", "a").Code);
  LONGS_EQUAL(1, Log.State.waitingJobs().size());
}

TEST(AdminApi, RetryingAChangeAfterALostAnswerIsIdempotent) {
  addCustomers();
  const char *Change = R"({"base":1,"put":[{"id":"c"}],"removed":["a"]})";
  LONGS_EQUAL(200, call("PUT", "/v1/customers", Change, "operator").Code);
  http_response Again = call("PUT", "/v1/customers", Change, "operator");
  LONGS_EQUAL(200, Again.Code);
  proto::ChangeAccepted Accepted;
  CHECK(tryParseJson(Again.Body, Accepted));
  LONGS_EQUAL(2, Accepted.version());
  LONGS_EQUAL(raw(Log.State.versionOffset()), Accepted.offset());
  const char *Other = R"({"base":1,"put":[{"id":"d"}]})";
  LONGS_EQUAL(409, call("PUT", "/v1/customers", Other, "operator").Code);
}

TEST(AdminApi, AnEntryThatIsNotReadyReturnsUnavailable) {
  Log.Ready = false;
  LONGS_EQUAL(503, call("GET", "/v1/customers", "", "operator").Code);
}
