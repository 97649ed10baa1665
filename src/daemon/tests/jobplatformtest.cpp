#include "daemon/tests/processcluster.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

namespace {

constexpr const char *Batch = "/batch/00000000000000a1";

/// A job of one step; \p Payload as the stand-in of the workers reads it.
std::string jobBody(int Count, int Accelerators, const std::string &Payload,
                    bool Gang = false) {
  std::string Spec;
  for (const char Each : Payload)
    Spec += Each == '"' ? std::string("\\\"") : std::string(1, Each);
  return R"({"Spec":")" + Spec + R"(","Steps":[{"Count":)" +
         std::to_string(Count) + R"(,"Cpu":1000,"MemMb":100,"Gpu":)" +
         std::to_string(Accelerators) + R"(,"EstimatedMs":500)" +
         (Gang ? R"(,"Gang":true)" : "") + "}]}";
}

} // namespace

// The daemon against stand-ins that speak the users' platform's protocol.
TEST_GROUP(JobPlatform) {
  process_cluster Cluster;

  void setup() override {
    Cluster.startStore();
    Cluster.putConfiguration(1);
    for (const char *Entry : {"entry-1", "entry-2"})
      Cluster.startJobEntry(Entry);
    for (const char *Agent : {"agent-1", "agent-2"})
      Cluster.startJobAgent(Agent);
    Cluster.startTaskWorkers({"agent-1", "agent-2"});
    for (const char *Entry : {"entry-1", "entry-2"})
      CHECK_TEXT(Cluster.waitFor([&] { return ready(Entry); }), Entry);
  }

  void teardown() override {
    const std::string Violations = Cluster.process("workers").errors();
    STRCMP_EQUAL("", Violations.c_str());
  }

  bool ready(const std::string &Entry) {
    return Cluster.get(Cluster.address(Entry + ".readiness"), "/api/readyz")
               .Code == 200;
  }
  bool shows(const std::string &Entry, const std::string &Path,
             const std::string &State) {
    return Cluster.jobCall(Entry, "GET", Path).Body.find(State) !=
           std::string::npos;
  }
  bool becomes(const std::string &State, const std::string &Entry = "entry-1",
               const std::string &Path = Batch) {
    return Cluster.waitFor([&] { return shows(Entry, Path, State); });
  }
  void setStale(bool On) {
    LONGS_EQUAL(200, Cluster
                         .post(Cluster.address("store"),
                               On ? "/stale?on=1" : "/stale?on=0", "")
                         .Code);
  }
  int submit(const std::string &Body, const std::string &Entry = "entry-1",
             const std::string &Path = Batch) {
    return Cluster.jobCall(Entry, "POST", Path, Body).Code;
  }
  /// The entry that schedules, by its log.
  std::string scheduler() {
    std::string Last;
    std::size_t Highest = 0;
    for (const char *Entry : {"entry-1", "entry-2"}) {
      const std::string Output = Cluster.process(Entry).output();
      const std::size_t At = Output.rfind("message=term_begins term=");
      if (At == std::string::npos)
        continue;
      const std::size_t Term =
          std::stoull(Output.substr(Output.find("term=", At + 8) + 5));
      if (Term > Highest) {
        Highest = Term;
        Last = Entry;
      }
    }
    return Last;
  }
};

TEST(JobPlatform, AJobIsHandedInRunsAndIsShownAsCompleted) {
  LONGS_EQUAL(200, submit(jobBody(5, 2, R"({"ms":300,"needs":2})")));
  CHECK(becomes("completed"));
  CHECK(becomes("completed", "entry-2"));
  // The same job again is the same job.
  LONGS_EQUAL(200, submit(jobBody(5, 2, "{}"), "entry-2"));
  CHECK(shows("entry-2", Batch, "completed"));
}

TEST(JobPlatform, AGangRunsOnBothWorkers) {
  LONGS_EQUAL(200,
              submit(jobBody(2, 8, R"({"ms":300,"needs":8,"gang":2})", true)));
  CHECK(becomes("completed"));
}

TEST(JobPlatform, AJobThatFailsUsesUpItsAttempts) {
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100,"fails":true})")));
  CHECK(becomes("failed"));
}

TEST(JobPlatform, ACancelledJobIsShownAsCancelled) {
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":60000})")));
  CHECK(becomes("running"));
  LONGS_EQUAL(200, Cluster.jobCall("entry-2", "DELETE", Batch).Code);
  CHECK(becomes("cancelled"));
}

TEST(JobPlatform, CallersAreAnsweredTruthfully) {
  LONGS_EQUAL(410, Cluster.jobCall("entry-1", "GET", Batch).Code);
  LONGS_EQUAL(410, Cluster.jobCall("entry-1", "DELETE", Batch).Code);
  LONGS_EQUAL(404, Cluster.jobCall("entry-1", "GET", "/none/").Code);
  LONGS_EQUAL(400, submit("{"));
  LONGS_EQUAL(404, submit(jobBody(1, 1, "{}"), "entry-1", "/batch/short"));
  const http_result Pending = Cluster.jobCall("entry-1", "GET", "/batch/");
  LONGS_EQUAL(200, Pending.Code);
  STRCMP_CONTAINS("\"Pending\":0", Pending.Body.c_str());
}

TEST(JobPlatform, TheOtherEntryGoesOnWhenTheSchedulerIsKilled) {
  CHECK(Cluster.waitFor([&] { return !scheduler().empty(); }));
  const std::string Old = scheduler();
  const std::string Other = Old == "entry-1" ? "entry-2" : "entry-1";
  LONGS_EQUAL(200, submit(jobBody(8, 2, R"({"ms":4000,"needs":2})"), Other));
  CHECK(becomes("running", Other));
  Cluster.process(Old).kill();
  CHECK(becomes("completed", Other));
}

TEST(JobPlatform, AnAgentThatStoodStillGoesOnWithWhatItsWorkerRuns) {
  LONGS_EQUAL(200, submit(jobBody(8, 2, R"({"ms":3000,"needs":2})")));
  CHECK(becomes("running"));
  Cluster.process("agent-1").signal(SIGSTOP);
  Cluster.waitFor([] { return false; }, 2s);
  Cluster.process("agent-1").signal(SIGCONT);
  CHECK(becomes("completed"));
}

// Its answer to an open listing is lost as it ends; the end must not be.
TEST(JobPlatform, ATaskThatEndsAsItsWorkerLeavesIsNotRunAgain) {
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":600,"leaves":true})")));
  CHECK(becomes("completed", "entry-1"));
  const std::string Log = Cluster.process(scheduler()).output();
  CHECK(Log.find("run=2") == std::string::npos);
  CHECK(Cluster.waitFor(
      [&] {
        return Cluster.process(scheduler()).output().find("detail=left") !=
               std::string::npos;
      },
      2s));
}

TEST(JobPlatform, AStoreThatForgetsItsLogLosesNothing) {
  LONGS_EQUAL(200, submit(jobBody(2, 1, R"({"ms":1500})")));
  CHECK(becomes("running"));
  LONGS_EQUAL(200, Cluster.post(Cluster.address("store"), "/compact", "").Code);
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})"), "entry-2",
                          "/urgent/00000000000000b2"));
  CHECK(becomes("completed"));
  CHECK(becomes("completed", "entry-1", "/urgent/00000000000000b2"));
}

// A reading of the store may be seconds behind what it has confirmed.
TEST(JobPlatform, JobsRunAndEndWhileTheStoreShowsOldRecords) {
  CHECK(Cluster.waitFor([&] { return !scheduler().empty(); }));
  const std::string Other = scheduler() == "entry-1" ? "entry-2" : "entry-1";
  setStale(true);
  LONGS_EQUAL(200, submit(jobBody(2, 1, R"({"ms":200})"), Other));
  CHECK(becomes("completed", "entry-1"));
  CHECK(becomes("completed", "entry-2"));
  setStale(false);
}

TEST(JobPlatform, AnEntryThatComesBackLeavesTheSchedulerInOffice) {
  CHECK(Cluster.waitFor([&] { return !scheduler().empty(); }));
  const std::string Holder = scheduler();
  const std::string Other = Holder == "entry-1" ? "entry-2" : "entry-1";
  const std::string Before = Cluster.process(Holder).output();
  Cluster.process(Other).kill();
  Cluster.startJobEntry(Other);
  CHECK(Cluster.waitFor([&] { return ready(Other); }));
  LONGS_EQUAL(200, submit(jobBody(2, 1, R"({"ms":1500})"), Other));
  CHECK(becomes("completed", Other));
  STRCMP_EQUAL(Holder.c_str(), scheduler().c_str());
  const std::string Since =
      Cluster.process(Holder).output().substr(Before.size());
  CHECK(Since.find("leadership_lost") == std::string::npos);
}

TEST(JobPlatform, ASchedulerThatStandsStillIsReplaced) {
  CHECK(Cluster.waitFor([&] { return !scheduler().empty(); }));
  const std::string Old = scheduler();
  const std::string Other = Old == "entry-1" ? "entry-2" : "entry-1";
  Cluster.process(Old).signal(SIGSTOP);
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})"), Other));
  CHECK(becomes("completed", Other));
  Cluster.process(Old).signal(SIGCONT);
  CHECK(Cluster.waitFor([&] {
    return Cluster.process(Old).output().find("leadership_lost") !=
           std::string::npos;
  }));
}

TEST(JobPlatform, AnAppendWhoseAnswerIsLostIsFoundOut) {
  Cluster.setFault("store", R"({"mode":"lose_answer","count":6})");
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})")));
  CHECK(becomes("completed"));
}

TEST(JobPlatform, WhileTheStoreRefusesNothingIsAccepted) {
  Cluster.setFault("store", R"({"mode":"refuse"})");
  const http_result Refused =
      Cluster.jobCall("entry-1", "POST", Batch, jobBody(1, 1, R"({"ms":100})"));
  LONGS_EQUAL(503, Refused.Code);
  CHECK(!header(Refused, "Retry-After").empty());
  Cluster.setFault("store", R"({"mode":"none"})");
  CHECK(Cluster.waitFor(
      [&] { return Cluster.jobCall("entry-1", "GET", Batch).Code == 410; }));
}

TEST(JobPlatform, WhatRunsGoesOnWhileTheStoreIsSilent) {
  LONGS_EQUAL(200, submit(jobBody(4, 2, R"({"ms":2000,"needs":2})")));
  CHECK(becomes("running"));
  Cluster.setFault("store", R"({"mode":"silent"})");
  Cluster.waitFor([] { return false; }, 3s);
  Cluster.setFault("store", R"({"mode":"none"})");
  CHECK(becomes("completed"));
}

TEST(JobPlatform, SettingsAreReadAgainOnSighup) {
  Cluster.process("entry-1").signal(SIGHUP);
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})")));
  CHECK(becomes("completed"));
  CHECK(!Cluster.process("entry-1").exitCode());
}

TEST(JobPlatform, ADrainingEntryServesOpenCallersAndEnds) {
  Cluster.process("entry-1").signal(SIGTERM);
  CHECK(Cluster.waitFor([&] { return !ready("entry-1"); }));
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})")));
  CHECK(Cluster.waitFor(
      [&] { return Cluster.process("entry-1").exitCode().has_value(); }, 8s));
  LONGS_EQUAL(0, *Cluster.process("entry-1").exitCode());
  CHECK(becomes("completed", "entry-2"));
}
