#include "daemon/tests/processcluster.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <csignal>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

TEST_GROUP(EndToEnd) { process_cluster Cluster; };

TEST(EndToEnd, ConfigurationRequestJobAndDrain) {
  Cluster.startDefaultCluster(2);
  CHECK_TEXT(Cluster.waitFor(
                 [&] {
                   return Cluster.get(Cluster.address("agent-2"), "/status")
                              .Body.find("\"config_version\":1,") !=
                          std::string::npos;
                 },
                 4s),
             "the agent did not apply the configuration");
  std::optional<http_result> Answer;
  Cluster.request("entry-1", "/escort?bytes=100000&tag=r1", false,
                  [&](const http_result &Result) { Answer = Result; });
  CHECK(Cluster.waitFor([&] { return Answer.has_value(); }));
  LONGS_EQUAL(200, Answer->Code);
  LONGS_EQUAL(100000, Answer->Body.size());
  STRCMP_EQUAL("answered", header(*Answer, "X-Outcome").c_str());

  LONGS_EQUAL(201, Cluster.submitJob("entry-1", "j", 2, "sleep:300").Code);
  CHECK_TEXT(Cluster.waitFor([&] {
    return Cluster.job("entry-1", "j").state() == "succeeded";
  }),
             Cluster.job("entry-1", "j").state().c_str());
  proto::JobStatus Job = Cluster.job("entry-1", "j");
  LONGS_EQUAL(2, Job.assignments_size());
  constexpr auto Steps =
      std::to_array<const char *>({"submitted", "placed", "started", "ended"});
  LONGS_EQUAL(Steps.size(), Job.steps_size());
  for (std::size_t I = 0; I < Steps.size(); ++I)
    STRCMP_EQUAL(Steps[I], Job.steps(static_cast<int>(I)).step().c_str());

  Cluster.process("agent-1").signal(SIGTERM);
  Cluster.process("entry-1").signal(SIGTERM);
  for (const char *Name : {"agent-1", "entry-1"}) {
    CHECK_TEXT(Cluster.waitFor([&] {
      return Cluster.process(Name).exitCode().has_value();
    }),
               Name);
    LONGS_EQUAL_TEXT(0, *Cluster.process(Name).exitCode(), Name);
  }
}

TEST(EndToEnd, InvalidSettingsExitWithAOneLineError) {
  Cluster.startLog();
  CHECK(Cluster.get(Cluster.address("log"), "/stats").Code > 0);
  child_process Daemon({GP_DAEMON, "--settings=/nonexistent/settings.yaml"},
                       "/tmp/gp-settings-test." + std::to_string(getpid()));
  CHECK(Cluster.waitFor([&] { return Daemon.exitCode().has_value(); }));
  LONGS_EQUAL(78, *Daemon.exitCode());
  std::string Errors = Daemon.errors();
  LONGS_EQUAL(1, std::count(Errors.begin(), Errors.end(), '\n'));
}
