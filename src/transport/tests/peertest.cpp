#include "transport/address.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"
#include "transport/tests/rawsocket.h"
#include "transport/tests/testloop.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;
using test::loopback;

namespace {

constexpr std::size_t Megabyte = std::size_t{1024} * 1024;

/// A client and a server that echoes bodies or holds its calls for the test.
class peer_pair {
public:
  explicit peer_pair(event_loop &Loop,
                     const peer_client_settings &Settings = {})
      : Server(std::make_unique<peer_server>(
            Loop, "127.0.0.1:0", peer_server_settings(),
            [this](const proto::PeerRequest &Request,
                   const peer_responder &Respond) {
              ++Handled;
              Handle(Request, Respond);
            },
            ServerTraffic)),
        Client(std::make_unique<peer_client>(Loop, Settings, ClientTraffic)),
        Address(loopback(Server->port())) {}

  static proto::PeerRequest delivery(std::string Body) {
    proto::PeerRequest Request;
    Request.mutable_deliver()->set_body(std::move(Body));
    return Request;
  }

  void call(std::string Body = "question", duration Timeout = 5s) {
    Client->call(
        Address, delivery(std::move(Body)), Timeout,
        [this](const peer_result &Result) { Results.push_back(Result); });
  }

  void holdCalls() {
    Handle = [this](const auto &, const auto &Respond) {
      Pending.push_back(Respond);
    };
  }

  int Handled = 0;
  std::function<void(const proto::PeerRequest &, const peer_responder &)>
      Handle = [](const auto &Request, const auto &Respond) {
        proto::PeerResponse Response;
        Response.mutable_attempt()->mutable_answer()->set_body(
            Request.deliver().body());
        Respond(Response);
      };
  std::vector<peer_responder> Pending;
  std::vector<peer_result> Results;
  traffic_counter ServerTraffic;
  traffic_counter ClientTraffic;
  std::unique_ptr<peer_server> Server;
  std::unique_ptr<peer_client> Client;
  std::string Address;
};

} // namespace

TEST_GROUP(Peer) {
  test::test_loop Test;

  bool waitForResults(const peer_pair &Pair, std::size_t Count = 1) {
    return Test.until([&] { return Pair.Results.size() == Count; });
  }
};

TEST(Peer, TransfersALargeBodyAndCountsItsBytes) {
  peer_pair Pair(Test.Loop);
  const std::string Body(Megabyte, 'x');
  Pair.call(Body);
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Status == call_status::Completed);
  CHECK(Pair.Results.front().Response.attempt().answer().body() == Body);
  const auto &Sent = Pair.ClientTraffic.counts().at({"", "deliver"});
  const auto &Served = Pair.ServerTraffic.counts().at({"", "deliver"});
  CHECK(Sent.BytesOut > Megabyte && Sent.BytesIn > Megabyte);
  LONGS_EQUAL(Sent.BytesOut, Served.BytesIn);
  LONGS_EQUAL(Sent.BytesIn, Served.BytesOut);
}

TEST(Peer, ResponsesMayBeSentLaterAndInAnyOrder) {
  peer_pair Pair(Test.Loop);
  std::vector<std::pair<std::string, peer_responder>> Pending;
  Pair.Handle = [&](const auto &Request, const auto &Respond) {
    Pending.emplace_back(Request.deliver().body(), Respond);
  };
  std::vector<std::pair<std::string, std::string>> Answers;
  for (const char *Body : {"a", "b", "c"}) {
    Pair.Client->call(Pair.Address, peer_pair::delivery(Body), 5s,
                      [&, Body](const peer_result &Result) {
                        Answers.emplace_back(
                            Body, Result.Response.attempt().answer().body());
                      });
  }
  CHECK(Test.until([&] { return Pending.size() == 3; }));
  for (auto Each = Pending.rbegin(); Each != Pending.rend(); ++Each) {
    proto::PeerResponse Response;
    Response.mutable_attempt()->mutable_answer()->set_body(Each->first);
    Each->second(Response);
  }
  CHECK(Test.until([&] { return Answers.size() == 3; }));
  for (const auto &[Question, Answer] : Answers) {
    STRCMP_EQUAL(Question.c_str(), Answer.c_str());
  }
}

TEST(Peer, OnlyTheFirstResponseIsSent) {
  peer_pair Pair(Test.Loop);
  Pair.Handle = [](const auto &, const auto &Respond) {
    proto::PeerResponse Response;
    Response.set_incarnation(1);
    Respond(Response);
    Response.set_incarnation(2);
    Respond(Response);
  };
  Pair.call();
  CHECK(waitForResults(Pair));
  LONGS_EQUAL(1, Pair.Results.front().Response.incarnation());
}

TEST(Peer, ACallWithoutResponseTimesOut) {
  peer_pair Pair(Test.Loop);
  Pair.holdCalls();
  Pair.call("question", 200ms);
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Status == call_status::TimedOut);
  Pair.Pending.clear();
  CHECK(Test.until([&] { return Pair.Server->openCalls() == 0; }));
}

TEST(Peer, ACallWhoseHandlerFailsIsLost) {
  const std::vector<decltype(peer_pair::Handle)> Handlers{
      [](const auto &, const auto &) {},
      [](const auto &, const auto &) {
        throw invalid_argument_error("broken");
      }};
  for (const auto &Handler : Handlers) {
    peer_pair Pair(Test.Loop);
    Pair.Handle = Handler;
    Pair.call();
    CHECK(waitForResults(Pair));
    CHECK(Pair.Results.front().Status == call_status::Lost);
  }
}

TEST(Peer, ACallIsNotSentUnlessItsConnectionWasMade) {
  std::unique_ptr<test::raw_connection> Accepted;
  const test::raw_listener Unresponsive(
      Test.Loop, [&](auto Connection) { Accepted = std::move(Connection); });
  const test::full_listener Full;
  std::uint16_t ClosedPort = 0;
  {
    const test::raw_listener Closed(Test.Loop, nullptr);
    ClosedPort = Closed.port();
  }
  struct connection_case {
    const char *Name;
    std::uint16_t Port;
    call_status Expected;
  };
  for (const auto &Case :
       {connection_case{"refused", ClosedPort, call_status::NotSent},
        connection_case{"accept queue full", Full.port(), call_status::NotSent},
        connection_case{"accepted, no response", Unresponsive.port(),
                        call_status::TimedOut}}) {
    peer_pair Pair(Test.Loop);
    Pair.Address = loopback(Case.Port);
    Pair.call("question", 300ms);
    CHECK_TEXT(waitForResults(Pair), Case.Name);
    LONGS_EQUAL_TEXT(static_cast<int>(Case.Expected),
                     static_cast<int>(Pair.Results.front().Status), Case.Name);
  }
}

// An address may come from a record that another program wrote.
TEST(Peer, ACallToAnUnusableAddressIsNotSent) {
  peer_pair Pair(Test.Loop);
  for (const char *Address : {"", "127.0.0.1", "127.0.0.1:70000", "[[[["}) {
    Pair.Results.clear();
    Pair.Address = Address;
    Pair.Client->reconnect(Address);
    Pair.call();
    CHECK(Pair.Results.empty());
    CHECK(waitForResults(Pair));
    CHECK(Pair.Results.front().Status == call_status::NotSent);
  }
}

TEST(Peer, ConnectingTimesOut) {
  const test::full_listener Full;
  peer_pair Pair(Test.Loop, {.ConnectTimeout = 200ms});
  Pair.Address = loopback(Full.port());
  Pair.call("question", 60s);
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Status == call_status::NotSent);
}

TEST(Peer, AConnectionClosedWhileIdleIsNotReused) {
  peer_pair Pair(Test.Loop);
  Pair.call();
  CHECK(waitForResults(Pair));
  const auto Port = Pair.Server->port();
  Pair.Server.reset();
  Pair.Server = std::make_unique<peer_server>(
      Test.Loop, loopback(Port), peer_server_settings(),
      [](const auto &, const auto &Respond) { Respond({}); },
      Pair.ServerTraffic);
  Pair.call();
  CHECK(waitForResults(Pair, 2));
  CHECK(Pair.Results.back().Status == call_status::Completed);
}

TEST(Peer, ACallBeyondMaxCallsInFlightIsNotSent) {
  peer_pair Pair(Test.Loop, {.MaxCallsInFlight = 1});
  Pair.holdCalls();
  Pair.call();
  Pair.call();
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Status == call_status::NotSent);
}

TEST(Peer, ACallIsLostIfItsServerIsDestroyed) {
  peer_pair Pair(Test.Loop);
  Pair.holdCalls();
  Pair.call();
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.Server.reset();
  Pair.Pending.front()({});
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Status == call_status::Lost);
}

TEST(Peer, TheClientMayBeDestroyedRightAfterACall) {
  constexpr int Rounds = 100; // the thread interleaving varies
  for (int Round = 0; Round < Rounds; ++Round) {
    peer_pair Pair(Test.Loop);
    Pair.call();
    CHECK(waitForResults(Pair));
    Pair.Client.reset();
    Pair.Server.reset();
  }
}

TEST(Peer, TheClientMayBeDestroyedWithOpenCalls) {
  peer_pair Pair(Test.Loop);
  Pair.holdCalls();
  Pair.call();
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.Client.reset();
  Pair.Pending.clear();
  CHECK(Test.until([&] { return Pair.Server->openCalls() == 0; }));
  CHECK(Pair.Results.empty());
}

TEST(Peer, StoppingRefusesNewCallsAndServesOpenOnes) {
  peer_pair Pair(Test.Loop);
  Pair.holdCalls();
  Pair.call();
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.Server->stopAccepting();
  Pair.call();
  CHECK(waitForResults(Pair));
  LONGS_EQUAL(proto::REFUSAL_DRAINING, Pair.Results.front().Response.refusal());
  CHECK(Test.until([&] { return Pair.Server->openCalls() == 1; }));
  proto::PeerResponse Response;
  Response.set_incarnation(7);
  Pair.Pending.front()(Response);
  CHECK(waitForResults(Pair, 2));
  LONGS_EQUAL(7, Pair.Results.back().Response.incarnation());
  CHECK(Test.until([&] { return Pair.Server->openCalls() == 0; }));
  LONGS_EQUAL(1, Pair.Handled);
}

TEST(Peer, ReconnectReplacesAStalledConnection) {
  peer_pair Pair(Test.Loop);
  test::stalling_proxy Proxy(Test.Loop, Pair.Address);
  Pair.Address = loopback(Proxy.port());
  Pair.call();
  CHECK(waitForResults(Pair));
  Proxy.stallOpenConnections();
  Pair.call("over the stalled connection", 400ms);
  Pair.Client->reconnect(Pair.Address);
  Pair.call("over the new connection");
  CHECK(waitForResults(Pair, 2));
  CHECK(Pair.Results.back().Status == call_status::Completed);
  LONGS_EQUAL(2, Proxy.accepted());
  CHECK(waitForResults(Pair, 3));
  CHECK(Pair.Results.back().Status == call_status::TimedOut);
}

TEST(Peer, ACallInFlightFinishesOnTheOldConnectionAfterReconnect) {
  peer_pair Pair(Test.Loop);
  Pair.holdCalls();
  Pair.call();
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.Client->reconnect(Pair.Address);
  Pair.Pending.front()({});
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Status == call_status::Completed);
}

TEST(Peer, ThrowsIfThePortIsInUse) {
  peer_pair Pair(Test.Loop);
  CHECK_THROWS(bind_error,
               peer_server(Test.Loop, Pair.Address, peer_server_settings(),
                           nullptr, Pair.ServerTraffic));
}
