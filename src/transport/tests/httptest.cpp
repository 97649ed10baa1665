#include "transport/address.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/tests/rawsocket.h"
#include "transport/tests/testloop.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <optional>

using namespace geraniumpaddle;
using namespace std::chrono_literals;
using test::canned_server;
using test::loopback;
using test::raw_connection;

namespace {

constexpr std::size_t Megabyte = std::size_t{1024} * 1024;

/// A client and a server that echoes bodies or holds its requests for the test.
class http_pair {
public:
  explicit http_pair(event_loop &Loop, const http_server_limits &Limits = {},
                     const http_client_limits &ClientLimits = {})
      : Server(std::make_unique<http_server>(
            Loop, "127.0.0.1:0", Limits,
            [this](const http_request_view &Request,
                   const std::shared_ptr<ihttp_responder> &Responder) {
              Method = Request.Method;
              Path = Request.Path;
              Query = Request.Query;
              Body = Request.Body;
              Headers.assign(Request.Headers.begin(), Request.Headers.end());
              ++Handled;
              Handle(Responder);
            })),
        Client(std::make_unique<http_client>(Loop, ClientLimits, Traffic)) {}

  http_call call(std::string Method, std::string Target = "/") const {
    http_call Call;
    Call.Address = loopback(Server->port());
    Call.Method = std::move(Method);
    Call.Target = std::move(Target);
    Call.Timeout = 5s;
    return Call;
  }

  http_call_id send(http_call Call) {
    return Client->send(std::move(Call), [this](const http_result &Result) {
      Results.push_back(Result);
    });
  }

  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
  std::vector<http_header> Headers;
  int Handled = 0;
  std::function<void(const std::shared_ptr<ihttp_responder> &)> Handle =
      [this](const auto &Responder) {
        Responder->respond({.Code = 200, .Body = Body});
      };
  std::vector<std::shared_ptr<ihttp_responder>> Pending;
  std::vector<http_result> Results;
  traffic_counter Traffic;
  std::unique_ptr<http_server> Server;
  std::unique_ptr<http_client> Client;

  void holdRequests() {
    Handle = [this](const auto &Responder) { Pending.push_back(Responder); };
  }
};

http_result callCanned(test::test_loop &Test, std::uint16_t Port,
                       http_client_limits Limits = {}) {
  traffic_counter Traffic;
  http_client Client(Test.Loop, Limits, Traffic);
  std::optional<http_result> Result;
  http_call Call;
  Call.Address = loopback(Port);
  Call.Method = "POST";
  Call.Target = "/";
  Call.Body = "question";
  Call.Timeout = 300ms;
  Client.send(Call, [&](const http_result &Done) { Result = Done; });
  CHECK(Test.until([&] { return Result.has_value(); }));
  return *Result;
}

} // namespace

TEST_GROUP(Http) {
  test::test_loop Test;

  bool waitForResults(const http_pair &Pair, std::size_t Count = 1) {
    return Test.until([&] { return Pair.Results.size() == Count; });
  }
};

TEST(Http, ACallOnAGivenConnectionIsSentOnlyWhileItIsIdle) {
  http_pair Pair(Test.Loop);
  Pair.send(Pair.call("POST"));
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results[0].Connection.has_value());
  http_call Call = Pair.call("POST");
  Call.Connection = Pair.Results[0].Connection;
  Pair.send(Call);
  Pair.send(Call); // the connection is busy
  CHECK(waitForResults(Pair, 3));
  LONGS_EQUAL(2, Pair.Handled);
  CHECK(Pair.Results[1].Status == call_status::NotSent ||
        Pair.Results[2].Status == call_status::NotSent);
  Call.Connection = http_connection_id{99};
  Pair.send(Call);
  CHECK(waitForResults(Pair, 4));
  CHECK(Pair.Results[3].Status == call_status::NotSent);
}

// A server process that restarts at its address does not get calls that are
// bound to a connection of the earlier one.
TEST(Http, ACallOnAGivenConnectionDoesNotReachARestartedServer) {
  http_pair Pair(Test.Loop);
  Pair.send(Pair.call("POST"));
  CHECK(waitForResults(Pair));
  http_call Call = Pair.call("POST");
  Call.Connection = Pair.Results[0].Connection;
  const std::uint16_t Port = Pair.Server->port();
  Pair.Server.reset();
  http_server Restarted(Test.Loop, loopback(Port), {},
                        [&](const http_request_view &, const auto &Responder) {
                          ++Pair.Handled;
                          Responder->respond({.Code = 200});
                        });
  Pair.send(Call);
  CHECK(waitForResults(Pair, 2));
  CHECK(!Pair.Results[1].ok());
  LONGS_EQUAL(1, Pair.Handled);
}

TEST(Http, AllMethodsReachTheHandler) {
  http_pair Pair(Test.Loop);
  for (const char *Method :
       {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
    Pair.Results.clear();
    Pair.send(Pair.call(Method));
    CHECK(waitForResults(Pair));
    CHECK(Pair.Results.front().ok());
    STRCMP_EQUAL(Method, Pair.Method.c_str());
  }
}

TEST(Http, DecodesThePathButNotTheQuery) {
  http_pair Pair(Test.Loop);
  Pair.send(Pair.call("GET", "/a%20b/%C3%A9?x=1%202&y"));
  CHECK(waitForResults(Pair));
  STRCMP_EQUAL("/a b/\xC3\xA9", Pair.Path.c_str());
  STRCMP_EQUAL("x=1%202&y", Pair.Query.c_str());
}

TEST(Http, TransfersHeadersInBothDirections) {
  http_pair Pair(Test.Loop);
  Pair.Handle = [](const auto &Responder) {
    Responder->respond(
        {.Code = 418,
         .Headers = {{"X-Answer", "42"}, {"Content-Length", "7"}},
         .Body = "tea"});
  };
  auto Call = Pair.call("POST");
  Call.Headers = {{"X-Question", "6x7"}};
  Pair.send(Call);
  CHECK(waitForResults(Pair));
  const auto Has = [](const auto &Headers, std::string_view Name,
                      std::string_view Value) {
    return std::any_of(Headers.begin(), Headers.end(), [&](const auto &Each) {
      return Each.Name == Name && Each.Value == Value;
    });
  };
  CHECK(Has(Pair.Headers, "X-Question", "6x7"));
  CHECK(Has(Pair.Results.front().Headers, "X-Answer", "42"));
  LONGS_EQUAL(418, Pair.Results.front().Code);
  STRCMP_EQUAL("tea", Pair.Results.front().Body.c_str());
}

TEST(Http, TransfersALargeBodyAndCountsItsBytes) {
  http_pair Pair(Test.Loop);
  auto Call = Pair.call("PUT");
  Call.Cause = "upload";
  Call.Body.resize(Megabyte);
  for (std::size_t Index = 0; Index < Call.Body.size(); ++Index) {
    Call.Body[Index] = static_cast<char>(Index * 31 % 251);
  }
  Pair.send(Call);
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Body == Call.Body);
  const auto &Count = Pair.Traffic.counts().at({"", "upload"});
  CHECK(Count.BytesIn > Megabyte && Count.BytesIn < Megabyte + 1024);
  CHECK(Count.BytesOut > Megabyte && Count.BytesOut < Megabyte + 1024);
}

TEST(Http, ReusesAConnectionOnlyForCallsThatAllowIt) {
  struct reuse_case {
    const char *Method;
    connection_reuse Reuse;
    std::size_t Connections;
  };
  for (const auto &Case : {reuse_case{"GET", connection_reuse::ByMethod, 1},
                           reuse_case{"PUT", connection_reuse::ByMethod, 1},
                           reuse_case{"POST", connection_reuse::Always, 1},
                           reuse_case{"POST", connection_reuse::ByMethod, 2},
                           reuse_case{"GET", connection_reuse::Never, 2}}) {
    http_pair Pair(Test.Loop);
    for (std::size_t Index = 1; Index <= 2; ++Index) {
      auto Call = Pair.call(Case.Method);
      Call.Reuse = Case.Reuse;
      Pair.send(Call);
      CHECK(waitForResults(Pair, Index));
    }
    LONGS_EQUAL(Case.Connections, Pair.Server->openConnections());
  }
}

TEST(Http, LimitsConnectionsAndQueuesFurtherCalls) {
  http_pair Pair(Test.Loop, {}, {.MaxConnectionsPerAddress = 2});
  Pair.holdRequests();
  for (int Index = 0; Index < 5; ++Index) {
    Pair.send(Pair.call("POST"));
  }
  CHECK(Test.until([&] { return Pair.Pending.size() == 2; }));
  LONGS_EQUAL(2, Pair.Server->openConnections());
  for (std::size_t Index = 0; Index < 5; ++Index) {
    CHECK(Test.until([&] { return Pair.Pending.size() > Index; }));
    Pair.Pending[Index]->respond({});
  }
  CHECK(waitForResults(Pair, 5));
  for (const auto &Result : Pair.Results) {
    CHECK(Result.ok());
  }
}

TEST(Http, ACallBeyondTheQueueLimitIsNotSent) {
  http_pair Pair(Test.Loop, {},
                 {.MaxConnectionsPerAddress = 1, .MaxQueuedPerAddress = 1});
  Pair.holdRequests();
  for (int Index = 0; Index < 3; ++Index) {
    Pair.send(Pair.call("POST"));
  }
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Status == call_status::NotSent);
}

TEST(Http, StatusDistinguishesCompletedLostAndTimedOut) {
  using close_mode = canned_server::close_mode;
  struct status_case {
    const char *Name;
    const char *Response;
    close_mode CloseMode;
    call_status Expected;
  };
  const std::array Cases{
      status_case{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                  close_mode::Close, call_status::Completed},
      status_case{"whole chunks",
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n0\r\n\r\n",
                  close_mode::Close, call_status::Completed},
      status_case{"half a body",
                  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                  close_mode::Close, call_status::Lost},
      status_case{"half the chunks",
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n",
                  close_mode::Close, call_status::Lost},
      status_case{"half the headers", "HTTP/1.1 200 OK\r\nContent-Le",
                  close_mode::Close, call_status::Lost},
      status_case{"unframed", "HTTP/1.1 200 OK\r\n\r\nok", close_mode::Close,
                  call_status::Lost},
      status_case{"closed without a response", "", close_mode::Reset,
                  call_status::Lost},
      status_case{"not HTTP", "SSH-2.0-server\r\n\r\n", close_mode::Close,
                  call_status::Lost},
      status_case{"stalled", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                  close_mode::KeepOpen, call_status::TimedOut},
      status_case{"no response", "", close_mode::KeepOpen,
                  call_status::TimedOut},
  };
  for (const auto &Case : Cases) {
    canned_server Server(Test.Loop, Case.Response, Case.CloseMode);
    const auto Result = callCanned(Test, Server.port());
    LONGS_EQUAL_TEXT(static_cast<int>(Case.Expected),
                     static_cast<int>(Result.Status), Case.Name);
  }
}

TEST(Http, AcceptsACloseDelimitedResponseOnlyIfConfigured) {
  canned_server Server(Test.Loop, "HTTP/1.0 200 OK\r\n\r\nok",
                       canned_server::close_mode::Close);
  const auto Result =
      callCanned(Test, Server.port(), {.AcceptCloseDelimited = true});
  CHECK(Result.ok());
  STRCMP_EQUAL("ok", Result.Body.c_str());
}

TEST(Http, ARefusedConnectionIsNotSent) {
  std::uint16_t Port = 0;
  {
    const test::raw_listener Closed(Test.Loop, nullptr);
    Port = Closed.port();
  }
  CHECK(callCanned(Test, Port).Status == call_status::NotSent);
}

// An address may come from a record that another program wrote.
TEST(Http, ACallToAnUnusableAddressIsNotSent) {
  http_pair Pair(Test.Loop);
  for (const char *Address : {"", "127.0.0.1", "127.0.0.1:70000", "[[[["}) {
    Pair.Results.clear();
    http_call Call = Pair.call("GET");
    Call.Address = Address;
    Pair.send(Call);
    CHECK(Pair.Results.empty());
    CHECK(waitForResults(Pair));
    CHECK(Pair.Results.front().Status == call_status::NotSent);
  }
}

TEST(Http, AConnectionClosedWhileIdleIsNotReused) {
  canned_server Server(Test.Loop,
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                       canned_server::close_mode::KeepOpen);
  traffic_counter Traffic;
  http_client Client(Test.Loop, {}, Traffic);
  http_call Call;
  Call.Address = loopback(Server.port());
  Call.Method = "POST";
  Call.Target = "/";
  Call.Timeout = 5s;
  Call.Reuse = connection_reuse::Always;
  int Completed = 0;
  const auto Send = [&] {
    Client.send(Call, [&](const http_result &Result) {
      Completed += Result.ok() ? 1 : 0;
    });
  };
  Send();
  CHECK(Test.until([&] { return Completed == 1; }));
  // The socket of the client has received the end of file, but the client has
  // not read it yet.
  Server.Connections.front()->finishSending();
  Send();
  CHECK(Test.until([&] { return Completed == 2; }));
  LONGS_EQUAL(2, Server.Connections.size());
}

TEST(Http, ClosesAnIdleConnectionAfterItsTimeout) {
  http_pair Pair(Test.Loop, {}, {.IdleTimeout = 1s});
  Pair.send(Pair.call("GET"));
  CHECK(waitForResults(Pair));
  CHECK(Test.until([&] { return Pair.Server->openConnections() == 0; }));
}

TEST(Http, CancellingACallDisconnectsFromTheServer) {
  http_pair Pair(Test.Loop);
  bool Disconnected = false;
  Pair.Handle = [&](const auto &Responder) {
    Pair.Pending.push_back(Responder);
    Responder->onCallerDisconnected([&] { Disconnected = true; });
  };
  const auto Call = Pair.send(Pair.call("POST"));
  CHECK(Test.until([&] { return !Pair.Pending.empty(); }));
  Pair.Client->cancel(Call);
  CHECK(Test.until([&] { return Disconnected; }));
  Pair.Pending.front()->respond({});
  CHECK(Test.until([&] { return Pair.Server->openRequests() == 0; }));
  CHECK(Pair.Results.empty());
}

TEST(Http, AResetIsReportedAsADisconnect) {
  http_pair Pair(Test.Loop);
  bool Disconnected = false;
  Pair.Handle = [&](const auto &Responder) {
    Pair.Pending.push_back(Responder);
    Responder->onCallerDisconnected([&] { Disconnected = true; });
  };
  raw_connection Caller(Test.Loop, loopback(Pair.Server->port()));
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  CHECK(Test.until([&] { return !Pair.Pending.empty(); }));
  Caller.reset();
  CHECK(Test.until([&] { return Disconnected; }));
  LONGS_EQUAL(0, Pair.Server->openRequests());
  LONGS_EQUAL(0, Pair.Server->openConnections());
  Pair.Pending.front()->respond({});
}

TEST(Http, AHalfClosedCallerGetsTheResponse) {
  http_pair Pair(Test.Loop);
  Pair.holdRequests();
  raw_connection Caller(Test.Loop, loopback(Pair.Server->port()));
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  CHECK(Test.until([&] { return !Pair.Pending.empty(); }));
  Caller.finishSending();
  Pair.Pending.front()->respond({.Code = 200, .Body = "late"});
  CHECK(Test.until([&] { return Caller.ClosedByPeer; }));
  CHECK(Caller.Received.ends_with("late"));
}

TEST(Http, PipelinedRequestsAreServedInOrder) {
  http_pair Pair(Test.Loop);
  Pair.holdRequests();
  raw_connection Caller(Test.Loop, loopback(Pair.Server->port()));
  Caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.Pending[0]->respond({.Code = 200, .Body = "first"});
  CHECK(Test.until([&] { return Pair.Pending.size() == 2; }));
  Pair.Pending[1]->respond({.Code = 200, .Body = "second"});
  CHECK(Test.until([&] { return Caller.Received.ends_with("second"); }));
  CHECK(Caller.Received.find("first") < Caller.Received.find("second"));
}

TEST(Http, RejectsRequestsOverTheLimitsOrWithAmbiguousFraming) {
  struct request_case {
    const char *Name;
    std::string Request;
    const char *Status;
  };
  const std::array Cases{
      request_case{"long header",
                   "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                       "\r\n\r\n",
                   " 400 "},
      request_case{"long body",
                   "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
                       std::string(5000, 'x'),
                   " 413 "},
      request_case{"unknown method", "BREW / HTTP/1.1\r\n\r\n", " 501 "},
      request_case{"body that evhttp does not read",
                   "DELETE / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody",
                   " 400 "},
      request_case{"two lengths",
                   "POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                   "Content-Length: 2\r\n\r\nbody",
                   " 400 "},
  };
  for (const auto &Case : Cases) {
    http_pair Pair(Test.Loop, {.MaxHeaderBytes = 1000, .MaxBodyBytes = 4000});
    raw_connection Caller(Test.Loop, loopback(Pair.Server->port()));
    Caller.send(Case.Request);
    CHECK_TEXT(Test.until([&] { return Caller.ClosedByPeer; }), Case.Name);
    STRCMP_CONTAINS_TEXT(Case.Status, Caller.Received.c_str(), Case.Name);
    LONGS_EQUAL_TEXT(0, Pair.Handled, Case.Name);
  }
}

TEST(Http, ClosesASlowCaller) {
  http_pair Pair(Test.Loop, {.IdleTimeout = 1s});
  raw_connection Caller(Test.Loop, loopback(Pair.Server->port()));
  Caller.send("GET / HT");
  CHECK(Test.until([&] { return Caller.ClosedByPeer; }));
  LONGS_EQUAL(0, Pair.Server->openConnections());
}

TEST(Http, AcceptsNoMoreThanMaxConnections) {
  http_pair Pair(Test.Loop, {.Connections = {.MaxConnections = 1}});
  Pair.holdRequests();
  const auto First = std::make_unique<raw_connection>(
      Test.Loop, loopback(Pair.Server->port()));
  First->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.send(Pair.call("GET"));
  Test.Loop.runOnce(20ms);
  Test.Loop.runOnce(20ms);
  LONGS_EQUAL(1, Pair.Pending.size());
  LONGS_EQUAL(1, Pair.Server->openConnections());
  Pair.Pending.front()->respond({});
  CHECK(Test.until([&] { return Pair.Pending.size() == 2; }));
  LONGS_EQUAL(1, Pair.Server->openConnections());
  Pair.Pending.back()->respond({});
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().ok());
}

TEST(Http, AConnectionWithoutARequestMakesRoomForANewOne) {
  http_pair Pair(Test.Loop, {.Connections = {.MaxConnections = 1}});
  const auto Silent = std::make_unique<raw_connection>(
      Test.Loop, loopback(Pair.Server->port()));
  CHECK(Test.until([&] { return Pair.Server->openConnections() == 1; }));
  Pair.send(Pair.call("GET"));
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().ok());
  CHECK(Test.until([&] { return Silent->ClosedByPeer; }));
  LONGS_EQUAL(1, Pair.Server->openConnections());
}

// Both close the connection, from events of their own.
TEST(Http, AConnectionMayBeAbortedAndOverTheLimitAtOnce) {
  const auto Limiter = std::make_shared<connection_limiter>(
      Test.Loop, connection_limits{.MaxHeldBytes = 10000});
  http_server Server(Test.Loop, "127.0.0.1:0", {}, Limiter,
                     [&](const http_request_view &, const auto &Responder) {
                       Limiter->setBuffered(connection_id{1}, 20000);
                       Responder->abort();
                     });
  raw_connection Caller(Test.Loop, loopback(Server.port()));
  Caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(Test.until([&] { return Caller.ClosedByPeer; }));
  LONGS_EQUAL(0, Server.openConnections());
}

// The bodies of requests that wait for their responses are held, too.
TEST(Http, RequestsAreRefusedWhileOthersHoldTooMuch) {
  http_pair Pair(Test.Loop, {.Connections = {.MaxHeldBytes = 10000}});
  Pair.holdRequests();
  http_call Call = Pair.call("POST");
  Call.Body = std::string(4000, 'x');
  Pair.send(Call);
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.send(Call);
  CHECK(waitForResults(Pair));
  LONGS_EQUAL(503, Pair.Results.front().Code);
  LONGS_EQUAL(1, Pair.Pending.size());
  Pair.Pending.front()->respond({});
  Pair.Pending.clear();
  CHECK(waitForResults(Pair, 2));
  Pair.send(Call);
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
}

TEST(Http, ARequestWithoutResponseGets500) {
  http_pair Pair(Test.Loop);
  Pair.Handle = [](const auto &) {};
  Pair.send(Pair.call("GET"));
  CHECK(waitForResults(Pair));
  LONGS_EQUAL(500, Pair.Results.front().Code);
}

TEST(Http, AHandlerThatThrowsGets500) {
  http_pair Pair(Test.Loop);
  Pair.Handle = [](const auto &) { throw invalid_argument_error("broken"); };
  Pair.send(Pair.call("GET"));
  CHECK(waitForResults(Pair));
  LONGS_EQUAL(500, Pair.Results.front().Code);
}

TEST(Http, StoppingServesOpenRequestsAndRefusesNewConnections) {
  http_pair Pair(Test.Loop);
  Pair.holdRequests();
  Pair.send(Pair.call("POST"));
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  const auto Port = Pair.Server->port();
  Pair.Server->stopAccepting();
  Test.Loop.runOnce(10ms); // accepts what the kernel has accepted before
  CHECK(callCanned(Test, Port).Status == call_status::NotSent);
  LONGS_EQUAL(1, Pair.Server->openRequests());
  Pair.Pending.front()->respond({.Code = 200, .Body = "whole"});
  CHECK(waitForResults(Pair));
  STRCMP_EQUAL("whole", Pair.Results.front().Body.c_str());
  CHECK(Test.until([&] { return Pair.Server->openConnections() == 0; }));
  LONGS_EQUAL(0, Pair.Server->openRequests());
}

// The callers have connected and sent, and the loop has not run since.
TEST(Http, StoppingServesConnectionsThatTheKernelHasAccepted) {
  http_pair Pair(Test.Loop);
  constexpr const char *Request = "GET / HTTP/1.1\r\n\r\n";
  const auto Port = Pair.Server->port();
  raw_connection First(Test.Loop, test::connectAndSend(Port, Request));
  raw_connection Second(Test.Loop, test::connectAndSend(Port, Request));
  Pair.Server->stopAccepting();
  for (const raw_connection *Caller : {&First, &Second}) {
    CHECK(Test.until([&] { return Caller->ClosedByPeer; }));
    STRCMP_CONTAINS("HTTP/1.1 200", Caller->Received.c_str());
  }
}

TEST(Http, StoppingLosesNoResponseToPipelinedRequests) {
  http_pair Pair(Test.Loop);
  Pair.holdRequests();
  raw_connection Caller(Test.Loop, loopback(Pair.Server->port()));
  Caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.Server->stopAccepting();
  Pair.Pending[0]->respond({.Code = 200, .Body = "first"});
  CHECK(Test.until([&] { return Pair.Pending.size() == 2; }));
  Pair.Pending[1]->respond({.Code = 200, .Body = "second"});
  CHECK(Test.until([&] { return Caller.ClosedByPeer; }));
  STRCMP_CONTAINS("first", Caller.Received.c_str());
  CHECK(Caller.Received.ends_with("second"));
}

TEST(Http, TheServerMayBeDestroyedWithOpenRequests) {
  http_pair Pair(Test.Loop);
  Pair.holdRequests();
  Pair.send(Pair.call("POST"));
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.Server.reset();
  Pair.Pending.front()->respond({});
  CHECK(waitForResults(Pair));
  CHECK(Pair.Results.front().Status == call_status::Lost);
}

TEST(Http, TheClientMayBeDestroyedWithOpenCalls) {
  http_pair Pair(Test.Loop);
  Pair.holdRequests();
  Pair.send(Pair.call("POST"));
  CHECK(Test.until([&] { return Pair.Pending.size() == 1; }));
  Pair.Client.reset();
  CHECK(Test.until([&] {
    Pair.Pending.clear();
    return Pair.Server->openConnections() == 0;
  }));
  CHECK(Pair.Results.empty());
}

TEST(Http, ThrowsIfThePortIsInUse) {
  http_pair Pair(Test.Loop);
  CHECK_THROWS(bind_error, http_server(Test.Loop, loopback(Pair.Server->port()),
                                       {}, nullptr));
}
