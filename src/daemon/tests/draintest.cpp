#include "daemon/tests/processcluster.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <functional>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

namespace {

constexpr int InFlight = 6;

/// Keeps a number of requests in flight and counts how they ended.
class steady_load {
public:
  steady_load(process_cluster &Cluster, std::string Entry)
      : Cluster(Cluster), Entry(std::move(Entry)) {}

  void start() {
    for (int I = 0; I < InFlight; ++I)
      sendOne();
  }
  void stop() { Stopping = true; }
  bool idle() const { return Open == 0; }
  int Answered = 0;
  int NotRun = 0;
  int Cut = 0;

private:
  void sendOne() {
    ++Open;
    Cluster.request(Entry, "/x?ms=120&tag=load", false,
                    [this](const http_result &Result) {
                      --Open;
                      count(Result);
                      if (!Stopping)
                        sendOne();
                    });
  }

  void count(const http_result &Result) {
    std::string Outcome = header(Result, "X-Outcome");
    if (Outcome == "answered" && Result.Code == 200)
      ++Answered;
    else if (Outcome == "not_run")
      ++NotRun;
    else if (Result.Status != call_status::NotSent)
      ++Cut;
  }

  process_cluster &Cluster;
  const std::string Entry;
  int Open = 0;
  bool Stopping = false;
};

} // namespace

TEST_GROUP(Drain) {
  process_cluster Cluster;

  bool ended(const char *Name) {
    return Cluster.waitFor(
        [&] { return Cluster.process(Name).exitCode().has_value(); });
  }
};

TEST(Drain, OfAnAgentCutsNoRequestAndNothingNewArrives) {
  Cluster.startUsual(2);
  steady_load Load(Cluster, "entry-1");
  Load.start();
  CHECK(Cluster.waitFor([&] { return Load.Answered > 20; }));
  Cluster.process("agent-1").signal(SIGTERM);
  CHECK(ended("agent-1"));
  LONGS_EQUAL(0, *Cluster.process("agent-1").exitCode());
  int After = Cluster.runsOf("endpoint-1", "load");
  int Answered = Load.Answered;
  CHECK(Cluster.waitFor([&] { return Load.Answered > Answered + 30; }));
  LONGS_EQUAL(After, Cluster.runsOf("endpoint-1", "load"));
  Load.stop();
  CHECK(Cluster.waitFor([&] { return Load.idle(); }));
  LONGS_EQUAL(0, Load.Cut);
  LONGS_EQUAL(0, Load.NotRun);
}

TEST(Drain, OfAnEntryCutsNoRequest) {
  Cluster.startUsual(2);
  steady_load Load(Cluster, "entry-1");
  Load.start();
  CHECK(Cluster.waitFor([&] { return Load.Answered > 20; }));
  Cluster.process("entry-1").signal(SIGTERM);
  CHECK(Cluster.waitFor([&] {
    return Cluster.get(Cluster.address("entry-1"), "/readyz").Code != 200;
  }));
  Load.stop();
  CHECK(ended("entry-1"));
  LONGS_EQUAL(0, *Cluster.process("entry-1").exitCode());
  CHECK(Cluster.waitFor([&] { return Load.idle(); }));
  LONGS_EQUAL(0, Load.Cut);
}

TEST(Drain, OfAnAgentDuringALogOutage) {
  Cluster.startUsual(2);
  Cluster.process("log").kill();
  steady_load Load(Cluster, "entry-1");
  Load.start();
  CHECK(Cluster.waitFor([&] { return Load.Answered > 20; }));
  Cluster.process("agent-1").signal(SIGTERM);
  CHECK(ended("agent-1"));
  Load.stop();
  CHECK(Cluster.waitFor([&] { return Load.idle(); }));
  LONGS_EQUAL(0, Load.Cut);
  LONGS_EQUAL(0, Load.NotRun);
}
