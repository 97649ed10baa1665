#include "daemon/tests/processcluster.h"

#include "codec/protojson.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <csignal>
#include <google/protobuf/struct.pb.h>
#include <map>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

namespace {

/// One run of a task on a worker, from the history of the worker.
struct task_run {
  std::string Task; ///< "token/index"
  double StartedMs = 0;
  double EndedMs = 0; ///< 0 while it runs

  std::string token() const { return Task.substr(0, Task.find('/')); }
};

std::vector<task_run> taskRunsOn(process_cluster &Cluster,
                                 const std::string &Worker) {
  google::protobuf::Struct History;
  tryParseJson(Cluster.get(Cluster.address(Worker), "/history").Body, History);
  std::vector<task_run> Runs;
  for (const auto &Value :
       (*History.mutable_fields())["runs"].list_value().values()) {
    auto Fields = Value.struct_value().fields();
    Runs.push_back({Fields["task"].string_value(),
                    Fields["started_ms"].number_value(),
                    Fields["ended_ms"].number_value()});
  }
  return Runs;
}

/// Longest time that only part of a gang may run with the settings of the
/// tests: one lease (2000 ms) plus the margins for clock drift and message
/// delivery.
constexpr double MaxPartialGangMs = 2000 + 600;

} // namespace

TEST_GROUP(GangFaults) {
  process_cluster Cluster;

  bool waitForJobState(const std::string &Job, const std::string &State) {
    return Cluster.waitFor(
        [&] { return Cluster.job("entry-1", Job).state() == State; });
  }

  std::string workerOf(const std::string &Job, int Task) {
    return Cluster.job("entry-1", Job).assignments(Task).worker();
  }

  static std::string agentOf(const std::string &Worker) {
    return "agent-" + Worker.substr(Worker.find('-') + 1);
  }

  std::map<std::string, std::vector<task_run>> runsByToken(int Workers) {
    std::map<std::string, std::vector<task_run>> Runs;
    for (int I = 1; I <= Workers; ++I)
      for (const task_run &Run :
           taskRunsOn(Cluster, "worker-" + std::to_string(I)))
        Runs[Run.token()].push_back(Run);
    return Runs;
  }
};

TEST(GangFaults, ARestartedAgentAdoptsItsRunningGang) {
  Cluster.startDefaultCluster(2);
  LONGS_EQUAL(201, Cluster.submitJob("entry-1", "j", 2, "sleep:3000").Code);
  CHECK(waitForJobState("j", "running"));
  std::string Lead = agentOf(workerOf("j", 0));
  Cluster.process(Lead).kill();
  Cluster.restartAgent({.Name = Lead.substr(Lead.find('-') + 1)});
  CHECK(waitForJobState("j", "succeeded"));
  LONGS_EQUAL(1, Cluster.job("entry-1", "j").attempt());
}

TEST(GangFaults, AGangWhoseLeadIsKilledStopsAsAWholeAndIsPlacedAgain) {
  Cluster.startDefaultCluster(3);
  LONGS_EQUAL(201, Cluster.submitJob("entry-1", "j", 2, "sleep:2500").Code);
  CHECK(waitForJobState("j", "running"));
  std::string Lead = agentOf(workerOf("j", 0));
  Cluster.process(Lead).kill();
  CHECK(waitForJobState("j", "succeeded"));
  CHECK(Cluster.job("entry-1", "j").attempt() >= 2);
  for (const auto &[Token, Runs] : runsByToken(3)) {
    double First = Runs.front().EndedMs;
    double Last = First;
    for (const task_run &Run : Runs) {
      First = std::min(First, Run.EndedMs);
      Last = std::max(Last, Run.EndedMs);
    }
    CHECK_TEXT(Last - First <= MaxPartialGangMs, Token.c_str());
  }
}

TEST(GangFaults, AKilledWorkerEndsTheAttemptOfItsGang) {
  Cluster.startDefaultCluster(3);
  LONGS_EQUAL(201, Cluster.submitJob("entry-1", "j", 2, "sleep:2500").Code);
  CHECK(waitForJobState("j", "running"));
  std::string KilledWorker = workerOf("j", 1);
  Cluster.process(KilledWorker).kill();
  Cluster.process(agentOf(KilledWorker)).kill();
  CHECK(waitForJobState("j", "succeeded"));
  CHECK(Cluster.job("entry-1", "j").attempt() >= 2);
}

TEST(GangFaults, TheTasksOfAPausedLeadStopWhenTheirLeaseExpires) {
  Cluster.startDefaultCluster(2);
  LONGS_EQUAL(201,
              Cluster.submitJob("entry-1", "j", 1, "sleep:4000", false).Code);
  CHECK(waitForJobState("j", "running"));
  std::string Lead = agentOf(workerOf("j", 0));
  Cluster.process(Lead).signal(SIGSTOP);
  CHECK(waitForJobState("j", "lease_lapsed"));
  Cluster.process(Lead).signal(SIGCONT);
  CHECK(Cluster.waitFor([&] { return Cluster.hasLinkedAgents("entry-1", 2); }));
  std::size_t Started = 0;
  for (const auto &[Token, Runs] : runsByToken(2)) {
    Started += Runs.size();
    for (const task_run &Run : Runs)
      CHECK_TEXT(Run.EndedMs - Run.StartedMs <= 4000,
                 "the task ran beyond its lease");
  }
  LONGS_EQUAL(1, Started);
}

TEST(GangFaults, ATaskStartWithALostResponseRunsOnce) {
  Cluster.startDefaultCluster(1);
  Cluster.setFault("worker-1", R"({"mode":"lose_answer","count":3})");
  LONGS_EQUAL(201,
              Cluster.submitJob("entry-1", "j", 1, "sleep:500", false).Code);
  CHECK(waitForJobState("j", "succeeded"));
  LONGS_EQUAL(1, taskRunsOn(Cluster, "worker-1").size());
}

TEST(GangFaults, ARunningGangSurvivesALogOutage) {
  Cluster.startDefaultCluster(2);
  LONGS_EQUAL(201, Cluster.submitJob("entry-1", "j", 2, "sleep:3000").Code);
  CHECK(waitForJobState("j", "running"));
  Cluster.setFault("log", R"({"mode":"refuse"})");
  CHECK(Cluster.waitFor([&] {
    auto Runs = taskRunsOn(Cluster, "worker-1");
    return !Runs.empty() && Runs.front().EndedMs > 0;
  }));
  STRCMP_EQUAL("running", Cluster.job("entry-1", "j").state().c_str());
  Cluster.setFault("log", R"({"mode":"none"})");
  CHECK(waitForJobState("j", "succeeded"));
  LONGS_EQUAL(1, Cluster.job("entry-1", "j").attempt());
}

TEST(GangFaults, CancellationStopsEveryTask) {
  Cluster.startDefaultCluster(2);
  LONGS_EQUAL(201, Cluster.submitJob("entry-1", "j", 2, "hang").Code);
  CHECK(waitForJobState("j", "running"));
  LONGS_EQUAL(
      200,
      Cluster
          .call(
              {Cluster.address("entry-1"), "DELETE", "/v1/jobs/j", {}, "", 10s})
          .Code);
  CHECK(waitForJobState("j", "cancelled"));
  for (const auto &[Token, Runs] : runsByToken(2))
    for (const task_run &Run : Runs)
      CHECK_TEXT(Run.EndedMs > 0, "the task was not stopped");
}

TEST(GangFaults, AGuaranteeIsReclaimedFromABorrowerWithinTwoSeconds) {
  Cluster.startDefaultCluster(2);
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "borrower", 1, 0).Code);
  for (const char *Job : {"b1", "b2"}) {
    proto::SubmitJob Body;
    proto::JobSpec &Spec = *Body.mutable_spec();
    Spec.set_id(Job);
    Spec.set_customer("borrower");
    Spec.add_tasks()->set_accelerators(8);
    Spec.set_command("sleep:20000");
    LONGS_EQUAL(
        201,
        Cluster.post(Cluster.address("entry-1"), "/v1/jobs", printJson(Body))
            .Code);
    CHECK(waitForJobState(Job, "running"));
  }
  LONGS_EQUAL(201, Cluster.submitJob("entry-1", "mine", 1, "sleep:200").Code);
  CHECK_TEXT(Cluster.waitFor(
                 [&] {
                   auto State = Cluster.job("entry-1", "mine").state();
                   return State == "running" || State == "succeeded";
                 },
                 2s),
             Cluster.job("entry-1", "mine").explanation().c_str());
  CHECK(waitForJobState("mine", "succeeded"));
}

TEST(GangFaults, AWorkerThatFailsEveryTaskIsQuarantinedProbedAndReactivated) {
  Cluster.startLog();
  Cluster.startEntry("entry-1", "perth-metro", "perth-east",
                     "entry: {probe_command: \"sleep:10\"}\n");
  Cluster.startAgent({.Name = "1"});
  CHECK(Cluster.waitFor([&] { return Cluster.hasLinkedAgents("entry-1", 1); }));
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "swan-coast", 0).Code);
  Cluster.setFault("worker-1", R"({"mode":"fail_all_tasks"})");
  auto WaitForWorkerState = [&](const std::string &State) {
    return Cluster.waitFor(
        [&] { return Cluster.worker("entry-1", "worker-1").state() == State; });
  };
  for (const char *Job : {"f1", "f2", "f3"}) {
    LONGS_EQUAL(201, Cluster.submitJob("entry-1", Job, 1, "sleep:10").Code);
    CHECK(waitForJobState(Job, "failed"));
  }
  CHECK(WaitForWorkerState("quarantined"));
  LONGS_EQUAL(201, Cluster.submitJob("entry-1", "later", 1, "sleep:10").Code);
  Cluster.setFault("worker-1", R"({"mode":"none"})");
  CHECK(WaitForWorkerState("active"));
  CHECK(waitForJobState("later", "succeeded"));
}

TEST(GangFaults, AnAgentThatComesBackIsActiveAgainWhicheverRegionsHaveEntries) {
  Cluster.startLog();
  Cluster.startEntry("entry-1");
  Cluster.startEntry("entry-2", "pilbara-north", "karratha");
  Cluster.startAgent({.Name = "1"});
  Cluster.startAgent({.Name = "2"});
  Cluster.startAgent({.Name = "3"});
  CHECK(Cluster.waitFor([&] { return Cluster.hasLinkedAgents("entry-1", 3); }));
  for (const char *Agent : {"agent-1", "agent-2", "agent-3"}) {
    std::string Worker = "worker-" + std::string(Agent).substr(6);
    Cluster.process(Agent).signal(SIGSTOP);
    CHECK(Cluster.waitFor(
        [&] { return Cluster.worker("entry-1", Worker).state() == "lost"; }));
    Cluster.process(Agent).signal(SIGCONT);
    CHECK_TEXT(Cluster.waitFor([&] {
      return Cluster.worker("entry-1", Worker).state() == "active";
    }),
               Agent);
  }
}
