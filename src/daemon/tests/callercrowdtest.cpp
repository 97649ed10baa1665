#include "daemon/tests/callercrowd.h"
#include "daemon/tests/processcluster.h"
#include "transport/peerclient.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

namespace {

/// The limits of the processes under test, lower than by default.
constexpr const char *LowLimits =
    "entry: {max_connections: 100, max_body_bytes: 1048576}\n";
constexpr std::size_t MaxConnections = 100;
/// Bounds of a process under such limits, whatever it is sent.
constexpr std::size_t MemoryBoundKb = std::size_t{64} * 1024;
constexpr std::size_t DescriptorBound = MaxConnections + 60;

/// Callers that fit the limit of connections, and some that exceed it.
constexpr std::size_t Crowd = 80;
constexpr std::size_t LargeCrowd = 150;
/// A body that is almost as large as allowed.
constexpr const char *LargeBody = "Content-Length: 1000000\r\n";
constexpr std::size_t Piece = 10000;
constexpr std::size_t Pieces = 90;

constexpr const char *JobTarget = "/batch/00000000000000c1";
constexpr const char *HeartbeatTarget = "/api/workers/w9/heartbeat";

crowd_message partOfBody(std::string_view Target, std::string_view Framing) {
  return {.Head = requestHead(Target, Framing),
          .Piece = std::string(Piece, 'x'),
          .Pieces = Pieces};
}

/// A chunk of the body with its size and line ends.
std::string chunk(std::string_view Size, std::size_t Bytes) {
  return std::string(Size) + "\r\n" + std::string(Bytes, 'x') + "\r\n";
}

} // namespace

/// Callers outside the limits. Checks only what doesn't depend on the machine's
/// speed. Runs apart from other tests.
TEST_GROUP(CallerCrowd) {
  process_cluster Cluster;

  void setup() override {
    Cluster.startStore();
    Cluster.putConfiguration(1);
    Cluster.startJobEntry("entry-1", "", LowLimits);
    CHECK(Cluster.waitFor([&] { return ready(); }));
  }

  std::string front() { return Cluster.address("entry-1.front"); }
  bool ready() {
    return Cluster.get(Cluster.address("entry-1.readiness"), "/api/readyz")
               .Code == 200;
  }
  bool acceptsAJob() {
    return Cluster
               .jobCall("entry-1", "POST", "/batch/00000000000000a1",
                        R"({"Spec":"s","Steps":[{"Count":1,"Cpu":500,)"
                        R"("MemMb":256,"EstimatedMs":900}]})")
               .Code == 200;
  }
  bool showsMetrics() {
    return Cluster.get(Cluster.address("entry-1"), "/metrics").Code == 200;
  }
  bool takesHeartbeats() {
    return Cluster
               .post(Cluster.address("agent-1.control"), HeartbeatTarget,
                     R"({"Service":"desk","Address":"127.0.0.1:9",)"
                     R"("Zone":"perth-east","State":"ready","born":1000,)"
                     R"("Seq":1,"Capacity":{"Cpu":8000,"MemMb":1000,"Gpu":8},)"
                     R"("Labels":["plain","r0"]})")
               .Code == 200;
  }

  bool answersAPeer() {
    traffic_counter Traffic;
    peer_client Client(Cluster.loop(), {}, Traffic);
    proto::PeerRequest Request;
    Request.mutable_office_asked();
    std::optional<call_status> Status;
    Client.call(Cluster.peerAddress("entry-1"), Request, 5s,
                [&](const peer_result &Result) { Status = Result.Status; });
    return Cluster.waitFor([&] { return Status.has_value(); }) &&
           *Status == call_status::Completed;
  }

  void checkWithinBounds(const std::string &Process) {
    CHECK_TEXT(!Cluster.process(Process).exitCode(), "the process has ended");
    const std::size_t Peak = Cluster.process(Process).peakMemoryKb();
    CHECK_TEXT(Peak > 0 && Peak <= MemoryBoundKb,
               ("peak memory " + std::to_string(Peak) + " KiB").c_str());
    const std::size_t Open = Cluster.process(Process).openDescriptors();
    CHECK_TEXT(Open <= DescriptorBound,
               ("open descriptors " + std::to_string(Open)).c_str());
  }
  /// While the crowd's connections are still open.
  void checkServes(const std::string &Process,
                   const std::function<bool()> &Request) {
    checkWithinBounds(Process);
    CHECK_TEXT(Cluster.waitFor(Request), "an ordinary request is not answered");
    checkWithinBounds(Process);
  }
  void checkFront(const crowd_message &Message, std::size_t Count = Crowd) {
    caller_crowd Callers(front(), Count);
    Callers.send(Message);
    checkServes("entry-1", [&] { return acceptsAJob(); });
  }
};

TEST(CallerCrowd, BodiesAnnouncedAndNotSent) {
  checkFront({.Head = requestHead(JobTarget, LargeBody)});
}

TEST(CallerCrowd, BodiesAnnouncedAndPartlySent) {
  checkFront(partOfBody(JobTarget, LargeBody));
}

TEST(CallerCrowd, BodiesAnnouncedFarOverTheLimit) {
  checkFront(partOfBody(JobTarget, "Content-Length: 4294967296\r\n"));
}

TEST(CallerCrowd, MoreSentThanWasAnnounced) {
  checkFront(partOfBody(JobTarget, "Content-Length: 10\r\n"));
}

TEST(CallerCrowd, BodiesInOneChunk) {
  checkFront(partOfBody(JobTarget, "Transfer-Encoding: chunked\r\n\r\nF4240"));
}

TEST(CallerCrowd, BodiesInManyChunks) {
  checkFront({.Head = requestHead(JobTarget, "Transfer-Encoding: chunked\r\n"),
              .Piece = chunk("64", 100),
              .Pieces = 9000});
}

TEST(CallerCrowd, ChunksWithoutAnEnd) {
  checkFront({.Head = requestHead(JobTarget, "Transfer-Encoding: chunked\r\n"),
              .Piece = chunk("2710", 10000),
              .Pieces = 400});
}

TEST(CallerCrowd, BodiesBeforeTheContinuationThatTheyAskFor) {
  checkFront(partOfBody(JobTarget,
                        std::string(LargeBody) + "Expect: 100-continue\r\n"));
}

TEST(CallerCrowd, HeaderBlocksWithoutAnEnd) {
  checkFront({.Head = "GET / HTTP/1.1\r\n",
              .Piece = "X-Filler: " + std::string(90, 'x') + "\r\n",
              .Pieces = 9000});
}

TEST(CallerCrowd, AnswersThatAreNeverRead) {
  caller_crowd Callers(Cluster.address("entry-1"), Crowd);
  Callers.send({.Head = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
                .Piece = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
                .Pieces = 1000});
  checkServes("entry-1", [&] { return showsMetrics(); });
}

// They hold their places and go on sending, slowly.
TEST(CallerCrowd, SlowSendersOnAllConnections) {
  caller_crowd Callers(front(), LargeCrowd);
  Callers.send({.Head = "POST /batch/00000000000000c1 HTTP/1.1\r\nX-Slow: "});
  checkServes("entry-1", [&] {
    Callers.send({.Head = "x"});
    return acceptsAJob();
  });
}

TEST(CallerCrowd, ConnectionsInTheHundredsOnAllInterfaces) {
  caller_crowd Front(front(), LargeCrowd);
  caller_crowd Readiness(Cluster.address("entry-1.readiness"), LargeCrowd);
  caller_crowd Metrics(Cluster.address("entry-1"), LargeCrowd);
  for (caller_crowd *Each : {&Front, &Readiness, &Metrics})
    Each->send({.Head = "GET "});
  checkServes("entry-1",
              [&] { return acceptsAJob() && ready() && showsMetrics(); });
}

TEST(CallerCrowd, LargeBodiesToTheReadinessCheck) {
  caller_crowd Callers(Cluster.address("entry-1.readiness"), Crowd);
  Callers.send(partOfBody("/api/readyz", LargeBody));
  checkServes("entry-1", [&] { return ready(); });
}

TEST(CallerCrowd, LargeBodiesToTheMetrics) {
  caller_crowd Callers(Cluster.address("entry-1"), Crowd);
  Callers.send(partOfBody("/metrics", LargeBody));
  checkServes("entry-1", [&] { return showsMetrics(); });
}

TEST(CallerCrowd, LargeBodiesToAnAgent) {
  Cluster.startJobAgent("agent-1", "", LowLimits);
  caller_crowd Callers(Cluster.address("agent-1.control"), Crowd);
  Callers.send(partOfBody(HeartbeatTarget, LargeBody));
  checkServes("agent-1", [&] { return takesHeartbeats(); });
}

// The messages are whole, and too many at once.
TEST(CallerCrowd, LargeMessagesToThePeerInterface) {
  constexpr std::size_t Callers = 40;
  constexpr std::size_t MessageBytes = 3'000'000;
  traffic_counter Traffic;
  peer_client Client(Cluster.loop(), {.BufferBytes = 256'000'000}, Traffic);
  proto::PeerRequest Request;
  Request.set_node(std::string(MessageBytes, 'x'));
  std::size_t Ended = 0;
  for (std::size_t I = 0; I < Callers; ++I)
    Client.call(Cluster.peerAddress("entry-1"), Request, 20s,
                [&](const peer_result &) { ++Ended; });
  CHECK(Cluster.waitFor([&] { return Ended == Callers; }));
  checkServes("entry-1", [&] { return acceptsAJob(); });
}

TEST(CallerCrowd, ConnectionsInTheHundredsToThePeerInterface) {
  caller_crowd Callers(Cluster.peerAddress("entry-1"), LargeCrowd);
  Callers.send({.Head = "PRI * HTTP/2.0\r\n"});
  checkServes("entry-1", [&] { return answersAPeer(); });
}
