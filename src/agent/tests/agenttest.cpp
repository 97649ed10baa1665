#include "agent/agentgangdriver.h"
#include "agent/attemptdriver.h"
#include "agent/customersinforce.h"
#include "agent/entryconnector.h"
#include "core/base/error.h"
#include "testkit/fakehttp.h"
#include "testkit/fakeloop.h"
#include "testkit/fakepeers.h"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

const peer_identity Self{node_id("agent-1"), incarnation{5}};

class fixed_content final : public ilink_content {
public:
  proto::Heartbeat heartbeat(bool) override { return {}; }
  void learnCustomers(const proto::CustomersInForce &) override {}
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

/// Keeps the calls to the worker until the test answers them.
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

TEST(CustomersInForce, TheVersionNeverFalls) {
  customers_in_force Customers;
  CHECK(Customers.update(config_version{3}, {}));
  CHECK_FALSE(Customers.update(config_version{2}, {customer_config{}}));
  CHECK_FALSE(Customers.update(config_version{3}, {customer_config{}}));
  LONGS_EQUAL(3, raw(Customers.version()));
  LONGS_EQUAL(0, Customers.customers().size());
}

TEST_GROUP(EntryConnector) {
  fake_loop Loop;
  fake_peers Peers;
  fixed_content Content;
  const std::vector<std::string> Configured = {"10.0.0.1:1"};
  entry_connector Connector{Loop, Peers, Self, {}, Configured, Content};
  std::optional<proto::RecordVerdict> Verdict;

  void linkTwoEntries() {
    Connector.start();
    Peers.answer(heartbeatReply({"10.0.0.2:1", "10.0.0.3:1"}));
    Peers.answer(heartbeatReply({}));
    Peers.answer(heartbeatReply({}));
  }
  void report() {
    Connector.report(proto::JobReport(),
                     [this](const proto::RecordVerdict &Given) {
                       CHECK_FALSE(Verdict.has_value());
                       Verdict = Given;
                     });
  }
};

TEST(EntryConnector, AReportGoesToTheNextEntryWhenOneIsSilent) {
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

TEST(EntryConnector, AReportThatNobodyAnswersIsNotDetermined) {
  linkTwoEntries();
  report();
  Peers.fail(call_status::Lost);
  Peers.fail(call_status::NotSent);
  CHECK(Verdict.has_value());
  CHECK_FALSE(Verdict->determined());
}

TEST(EntryConnector, AReportWithoutAnyLinkIsNotDetermined) {
  Connector.start();
  report();
  Loop.advance(1ms);
  CHECK(Verdict.has_value());
  CHECK_FALSE(Verdict->determined());
}

TEST(EntryConnector, ASilentLinkIsReplaced) {
  Connector.start();
  Peers.fail(call_status::TimedOut);
  CHECK(Peers.Reconnected == Configured);
}

TEST_GROUP(RequestHost) {
  fake_loop Loop;
  fake_http_client Http;
  bool Drained = false;
  request_host Host{Loop, Http, "10.0.0.9:1",
                    {},   Self, [this] { Drained = true; }};
  std::vector<proto::AttemptReport> Reports;

  void deliver(const char *Attempt, std::uint64_t Target = 5) {
    proto::PeerRequest Request;
    Request.mutable_deliver()->set_attempt(Attempt);
    Request.mutable_deliver()->set_target_incarnation(Target);
    Request.mutable_deliver()->set_customer("c");
    Request.mutable_deliver()->set_method("GET");
    Request.mutable_deliver()->set_deadline_ms(5000);
    CHECK(Host.handle(Request, [this](const proto::PeerResponse &Response) {
      Reports.push_back(Response.attempt());
    }));
  }
};

TEST(RequestHost, TheEndpointsAnswerComesBackWhole) {
  deliver("e/1/1");
  Http.answer({call_status::Completed, 200, {{"A", "b"}}, "body"});
  LONGS_EQUAL(proto::ATTEMPT_STATE_ANSWERED, Reports.at(0).state());
  STRCMP_EQUAL("body", Reports.at(0).answer().body().c_str());
}

TEST(RequestHost, ADuplicateDeliveryRunsOnce) {
  deliver("e/1/1");
  deliver("e/1/1");
  LONGS_EQUAL(1, Http.Calls.size());
  Http.answer({call_status::Completed, 200, {}, "body"});
  LONGS_EQUAL(2, Reports.size());
  STRCMP_EQUAL("body", Reports.at(1).answer().body().c_str());
}

TEST(RequestHost, ADeliveryToAnotherRunIsRefused) {
  deliver("e/1/1", 4);
  LONGS_EQUAL(0, Http.Calls.size());
  LONGS_EQUAL(proto::REFUSAL_WRONG_INCARNATION, Reports.at(0).refusal());
}

TEST(RequestHost, AnAnswerThatWasCutShortIsUndetermined) {
  deliver("e/1/1");
  Http.answer({call_status::Lost, 0, {}, ""});
  LONGS_EQUAL(proto::ATTEMPT_STATE_UNDETERMINED, Reports.at(0).state());
  CHECK(Host.endpointHealthy());
}

TEST(RequestHost, ADrainFinishesWhatRunsAndRefusesTheRest) {
  deliver("e/1/1");
  Host.drain();
  deliver("e/1/2");
  LONGS_EQUAL(proto::REFUSAL_DRAINING, Reports.at(0).refusal());
  CHECK_FALSE(Drained);
  Http.answer({call_status::Completed, 200, {}, ""});
  Loop.advance(attempt_settings{}.DrainLinger);
  CHECK(Drained);
}

TEST(RequestHost, AMalformedAttemptIdIsRefused) {
  proto::PeerRequest Request;
  Request.mutable_deliver()->set_attempt("nonsense");
  CHECK_THROWS(malformed_message_error,
               Host.handle(Request, [](const proto::PeerResponse &) {}));
}

TEST_GROUP(GangHost) {
  fake_loop Loop;
  fake_peers Peers;
  fake_worker Worker;
  fixed_content Content;
  const std::vector<std::string> Configured = {"10.0.0.1:1"};
  entry_connector Connector{Loop, Peers, Self, {}, Configured, Content};
  gang_host Host{Loop, Peers, Worker, Connector, Self, worker_id("w"), {}};
  std::vector<proto::MemberState> States;
  const worker_result Idle{call_status::Completed, false, {}, {}};

  void send(const proto::PeerRequest &Request) {
    CHECK(Host.handle(Request, [this](const proto::PeerResponse &Response) {
      States.push_back(Response.member().state());
    }));
  }
  void passTime(duration Length) {
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

TEST(GangHost, AWorkerThatCannotBeReachedForAMomentFailsNoTask) {
  Host.start();
  passTime(2s);
  prepare();
  startTasks();
  LONGS_EQUAL(1, Worker.Starts.size());
  Worker.Starts.front()({call_status::NotSent, false, {}, {}});
  passTime(1s);
  startTasks();
  CHECK(!States.empty());
  for (proto::MemberState State : States)
    CHECK(State != proto::MEMBER_STATE_FAILED);
}
