#include "agent/agentgangdriver.h"
#include "agent/attemptdriver.h"
#include "agent/customersinforce.h"
#include "agent/entryconnector.h"
#include "core/base/error.h"
#include "testkit/fakeeventloop.h"
#include "testkit/fakehttp.h"
#include "testkit/fakepeerclient.h"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

const peer_identity Self{node_id("agent-1"), incarnation{5}};

class fake_delegate final : public ientry_connector_delegate {
public:
  proto::Heartbeat makeHeartbeat(bool) override { return {}; }
  void onCustomersReceived(const proto::CustomersInForce &) override {}
};

proto::PeerResponse
heartbeatReply(std::initializer_list<const char *> Entries) {
  proto::PeerResponse Response;
  Response.mutable_heartbeat()->set_interval_ms(1000);
  for (const char *Address : Entries)
    Response.mutable_heartbeat()->add_entries()->set_peer_address(Address);
  return Response;
}

} // namespace

/// A worker whose calls are answered by the test.
class fake_worker final : public iworker {
public:
  void describe(worker_callback Done) override { Describes.push_back(Done); }
  void start(const worker_start &, worker_callback Done) override {
    Starts.push_back(Done);
  }
  void renew(std::span<const std::string>, duration, worker_callback) override {
  }
  void checkpoint(std::string_view, worker_callback) override {}
  void throttle(std::string_view, int, worker_callback) override {}
  void stop(std::string_view, worker_callback) override {}
  void usage(std::function<void(const worker_usage &)>) override {}

  void answerDescribes(const worker_result &Result) {
    auto Waiting = std::exchange(Describes, {});
    for (const worker_callback &Done : Waiting)
      Done(Result);
  }

  std::vector<worker_callback> Describes;
  std::vector<worker_callback> Starts;
};

TEST_GROUP(CustomersInForce){};

TEST(CustomersInForce, TheVersionNeverDecreases) {
  customers_in_force Customers;
  CHECK(Customers.update(config_version{3}, {}));
  CHECK_FALSE(Customers.update(config_version{2}, {customer_config{}}));
  CHECK_FALSE(Customers.update(config_version{3}, {customer_config{}}));
  LONGS_EQUAL(3, raw(Customers.version()));
  LONGS_EQUAL(0, Customers.customers().size());
}

TEST_GROUP(EntryConnector) {
  fake_event_loop Loop;
  fake_peer_client Peers;
  fake_delegate Delegate;
  const std::vector<std::string> ConfiguredAddresses = {"10.0.0.1:1"};
  entry_connector Connector{Loop,    Peers, Self, {}, ConfiguredAddresses,
                            Delegate};
  std::optional<proto::RecordVerdict> Verdict;

  void linkTwoEntries() {
    Connector.start();
    Peers.answer(heartbeatReply({"10.0.0.2:1", "10.0.0.3:1"}));
    Peers.answer(heartbeatReply({}));
    Peers.answer(heartbeatReply({}));
  }
  void report() {
    Connector.report(proto::JobReport(),
                     [this](const proto::RecordVerdict &Received) {
                       CHECK_FALSE(Verdict.has_value());
                       Verdict = Received;
                     });
  }
};

TEST(EntryConnector, AReportIsRetriedAtTheNextEntryAfterATimeout) {
  linkTwoEntries();
  report();
  std::string First = Peers.Calls.front().Address;
  Peers.fail(call_status::TimedOut);
  CHECK(Peers.Calls.front().Address != First);
  proto::PeerResponse Response;
  Response.mutable_verdict()->set_determined(true);
  Peers.answer(Response);
  CHECK(Verdict->determined());
}

TEST(EntryConnector, AReportThatNoEntryAnswersIsUndetermined) {
  linkTwoEntries();
  report();
  Peers.fail(call_status::Lost);
  Peers.fail(call_status::NotSent);
  CHECK(Verdict.has_value());
  CHECK_FALSE(Verdict->determined());
}

TEST(EntryConnector, AReportWithoutAnyLinkIsUndetermined) {
  Connector.start();
  report();
  Loop.advance(1ms);
  CHECK(Verdict.has_value());
  CHECK_FALSE(Verdict->determined());
}

TEST(EntryConnector, ATimedOutLinkIsReconnected) {
  Connector.start();
  Peers.fail(call_status::TimedOut);
  CHECK(Peers.Reconnected == ConfiguredAddresses);
}

TEST_GROUP(AttemptDriver) {
  fake_event_loop Loop;
  fake_http_client Http;
  bool Drained = false;
  attempt_driver Driver{Loop, Http, "10.0.0.9:1",
                        {},   Self, [this] { Drained = true; }};
  std::vector<proto::AttemptReport> Reports;

  void deliver(const char *Attempt, std::uint64_t Target = 5) {
    proto::PeerRequest Request;
    Request.mutable_deliver()->set_attempt(Attempt);
    Request.mutable_deliver()->set_target_incarnation(Target);
    Request.mutable_deliver()->set_customer("c");
    Request.mutable_deliver()->set_method("GET");
    Request.mutable_deliver()->set_deadline_ms(5000);
    CHECK(Driver.handle(Request, [this](const proto::PeerResponse &Response) {
      Reports.push_back(Response.attempt());
    }));
  }
};

TEST(AttemptDriver, ReturnsTheCompleteEndpointAnswer) {
  deliver("e/1/1");
  Http.answer({call_status::Completed, 200, {{"A", "b"}}, "body"});
  LONGS_EQUAL(proto::ATTEMPT_STATE_ANSWERED, Reports.at(0).state());
  STRCMP_EQUAL("body", Reports.at(0).answer().body().c_str());
}

TEST(AttemptDriver, ADuplicateDeliveryRunsOnce) {
  deliver("e/1/1");
  deliver("e/1/1");
  LONGS_EQUAL(1, Http.Calls.size());
  Http.answer({call_status::Completed, 200, {}, "body"});
  LONGS_EQUAL(2, Reports.size());
  STRCMP_EQUAL("body", Reports.at(1).answer().body().c_str());
}

TEST(AttemptDriver, ADeliveryToAnotherIncarnationIsRefused) {
  deliver("e/1/1", 4);
  LONGS_EQUAL(0, Http.Calls.size());
  LONGS_EQUAL(proto::REFUSAL_WRONG_INCARNATION, Reports.at(0).refusal());
}

TEST(AttemptDriver, ATruncatedAnswerIsUndetermined) {
  deliver("e/1/1");
  Http.answer({call_status::Lost, 0, {}, ""});
  LONGS_EQUAL(proto::ATTEMPT_STATE_UNDETERMINED, Reports.at(0).state());
  CHECK(Driver.endpointHealthy());
}

TEST(AttemptDriver, ADrainFinishesRunningAttemptsAndRefusesNewOnes) {
  deliver("e/1/1");
  Driver.drain();
  deliver("e/1/2");
  LONGS_EQUAL(proto::REFUSAL_DRAINING, Reports.at(0).refusal());
  CHECK_FALSE(Drained);
  Http.answer({call_status::Completed, 200, {}, ""});
  Loop.advance(attempt_settings{}.DrainLinger);
  CHECK(Drained);
}

TEST(AttemptDriver, AMalformedAttemptIdIsRefused) {
  proto::PeerRequest Request;
  Request.mutable_deliver()->set_attempt("nonsense");
  CHECK_THROWS(malformed_message_error,
               Driver.handle(Request, [](const proto::PeerResponse &) {}));
}

TEST_GROUP(AgentGangDriver) {
  fake_event_loop Loop;
  fake_peer_client Peers;
  fake_worker Worker;
  fake_delegate Delegate;
  const std::vector<std::string> ConfiguredAddresses = {"10.0.0.1:1"};
  entry_connector Connector{Loop,    Peers, Self, {}, ConfiguredAddresses,
                            Delegate};
  agent_gang_driver Driver{Loop, Peers,          Worker, Connector,
                           Self, worker_id("w"), {}};
  std::vector<proto::MemberState> States;
  const worker_result Idle{call_status::Completed, false, {}, {}};

  void send(const proto::PeerRequest &Request) {
    CHECK(Driver.handle(Request, [this](const proto::PeerResponse &Response) {
      States.push_back(Response.member().state());
    }));
  }
  void advanceTime(duration Length) {
    for (duration Passed{}; Passed < Length; Passed += 100ms) {
      Loop.advance(100ms);
      Worker.answerDescribes(Idle);
    }
  }
  void prepare() {
    proto::PeerRequest Request;
    proto::PrepareTasks &Prepare = *Request.mutable_prepare_tasks();
    Prepare.set_job("j");
    Prepare.set_token(9);
    proto::GangTask &Task = *Prepare.add_tasks();
    Task.mutable_assignment()->set_worker("w");
    Task.mutable_assignment()->set_accelerators(1);
    Task.mutable_need()->set_accelerators(1);
    send(Request);
  }
  void startTasks() {
    proto::PeerRequest Request;
    Request.mutable_start_tasks()->set_token(9);
    Request.mutable_start_tasks()->set_lease_ms(5000);
    send(Request);
  }
};

TEST(AgentGangDriver, ABrieflyUnreachableWorkerFailsNoTask) {
  Driver.start();
  advanceTime(2s);
  prepare();
  startTasks();
  LONGS_EQUAL(1, Worker.Starts.size());
  Worker.Starts.front()({call_status::NotSent, false, {}, {}});
  advanceTime(1s);
  startTasks();
  CHECK(!States.empty());
  for (proto::MemberState State : States)
    CHECK(State != proto::MEMBER_STATE_FAILED);
}
