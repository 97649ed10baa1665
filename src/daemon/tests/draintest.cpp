#include "daemon/tests/processcluster.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <functional>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

namespace {

constexpr int MaxInFlight = 6;

/// Keeps a fixed number of requests in flight and counts their outcomes.
class constant_load {
public:
  constant_load(process_cluster &Cluster, std::string Entry)
      : Cluster(Cluster), Entry(std::move(Entry)) {}

  void start() {
    for (int I = 0; I < MaxInFlight; ++I)
      sendRequest();
  }
  void stop() { Stopping = true; }
  bool idle() const { return OpenRequests == 0; }
  int Answered = 0;
  int NotRun = 0;
  int Aborted = 0;

private:
  void sendRequest() {
    ++OpenRequests;
    Cluster.request(Entry, "/x?ms=120&tag=load", false,
                    [this](const http_result &Result) {
                      --OpenRequests;
                      count(Result);
                      if (!Stopping)
                        sendRequest();
                    });
  }

  void count(const http_result &Result) {
    std::string Outcome = header(Result, "X-Outcome");
    if (Outcome == "answered" && Result.Code == 200)
      ++Answered;
    else if (Outcome == "not_run")
      ++NotRun;
    else if (Result.Status != call_status::NotSent)
      ++Aborted;
  }

  process_cluster &Cluster;
  const std::string Entry;
  int OpenRequests = 0;
  bool Stopping = false;
};

} // namespace

TEST_GROUP(Drain) {
  process_cluster Cluster;

  bool waitForExit(const char *Name) {
    return Cluster.waitFor(
        [&] { return Cluster.process(Name).exitCode().has_value(); });
  }
};

TEST(Drain, DrainingAnAgentAbortsNoRequestAndStopsNewOnes) {
  Cluster.startDefaultCluster(2);
  constant_load Load(Cluster, "entry-1");
  Load.start();
  CHECK(Cluster.waitFor([&] { return Load.Answered > 20; }));
  Cluster.process("agent-1").signal(SIGTERM);
  CHECK(waitForExit("agent-1"));
  LONGS_EQUAL(0, *Cluster.process("agent-1").exitCode());
  int RunsAfterDrain = Cluster.runCount("endpoint-1", "load");
  int Answered = Load.Answered;
  CHECK(Cluster.waitFor([&] { return Load.Answered > Answered + 30; }));
  LONGS_EQUAL(RunsAfterDrain, Cluster.runCount("endpoint-1", "load"));
  Load.stop();
  CHECK(Cluster.waitFor([&] { return Load.idle(); }));
  LONGS_EQUAL(0, Load.Aborted);
  LONGS_EQUAL(0, Load.NotRun);
}

TEST(Drain, DrainingAnEntryAbortsNoRequest) {
  Cluster.startDefaultCluster(2);
  constant_load Load(Cluster, "entry-1");
  Load.start();
  CHECK(Cluster.waitFor([&] { return Load.Answered > 20; }));
  Cluster.process("entry-1").signal(SIGTERM);
  CHECK(Cluster.waitFor([&] {
    return Cluster.get(Cluster.address("entry-1"), "/readyz").Code != 200;
  }));
  Load.stop();
  CHECK(waitForExit("entry-1"));
  LONGS_EQUAL(0, *Cluster.process("entry-1").exitCode());
  CHECK(Cluster.waitFor([&] { return Load.idle(); }));
  LONGS_EQUAL(0, Load.Aborted);
}

TEST(Drain, DrainingAnAgentDuringALogOutageAbortsNoRequest) {
  Cluster.startDefaultCluster(2);
  Cluster.process("log").kill();
  constant_load Load(Cluster, "entry-1");
  Load.start();
  CHECK(Cluster.waitFor([&] { return Load.Answered > 20; }));
  Cluster.process("agent-1").signal(SIGTERM);
  CHECK(waitForExit("agent-1"));
  Load.stop();
  CHECK(Cluster.waitFor([&] { return Load.idle(); }));
  LONGS_EQUAL(0, Load.Aborted);
  LONGS_EQUAL(0, Load.NotRun);
}
