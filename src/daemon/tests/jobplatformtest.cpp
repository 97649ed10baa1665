#include "daemon/tests/processcluster.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

namespace {

constexpr const char *BatchJobPath = "/batch/00000000000000a1";

/// Time after the last fault in which accepted jobs must complete.
constexpr duration FinishLimit = 14s;

/// Body of a job with one step; the simulated workers run \p Payload.
std::string jobBody(int Count, int Accelerators, const std::string &Payload,
                    bool Gang = false) {
  std::string Spec;
  for (const char Character : Payload)
    Spec += Character == '"' ? std::string("\\\"") : std::string(1, Character);
  return R"({"Spec":")" + Spec + R"(","Steps":[{"Count":)" +
         std::to_string(Count) + R"(,"Cpu":1000,"MemMb":100,"Gpu":)" +
         std::to_string(Accelerators) + R"(,"EstimatedMs":500)" +
         (Gang ? R"(,"Gang":true)" : "") + "}]}";
}

} // namespace

// Integration test: entries and agents as processes, against stand-ins that
// implement the protocols of the users' platform.
TEST_GROUP(JobPlatform) {
  process_cluster Cluster;
  std::vector<std::string> Accepted; ///< paths of jobs

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
  bool showsState(const std::string &Entry, const std::string &Path,
                  const std::string &State) {
    return Cluster.jobCall(Entry, "GET", Path).Body.find(State) !=
           std::string::npos;
  }
  bool waitForState(const std::string &State,
                    const std::string &Entry = "entry-1",
                    const std::string &Path = BatchJobPath) {
    return Cluster.waitFor([&] { return showsState(Entry, Path, State); });
  }
  void setStaleReads(bool Stale) {
    LONGS_EQUAL(200, Cluster
                         .post(Cluster.address("store"),
                               Stale ? "/stale?on=1" : "/stale?on=0", "")
                         .Code);
  }
  int submit(const std::string &Body, const std::string &Entry = "entry-1",
             const std::string &Path = BatchJobPath) {
    return Cluster.jobCall(Entry, "POST", Path, Body).Code;
  }
  static std::string jobPath(int Number) {
    return "/batch/00000000000001" + std::to_string(Number);
  }
  /// Submits jobs to both entries and ends all entries and agents at one
  /// moment, while some jobs run and others are being submitted. With
  /// \p WithWorkers the workers end as well. Then starts all of them again.
  void endAndRestartAll(bool WithWorkers) {
    constexpr int FirstJob = 10;
    constexpr int RunningJobs = 6;
    constexpr int SubmittedJobs = 30;
    for (int I = FirstJob; I < FirstJob + RunningJobs; ++I) {
      LONGS_EQUAL(200, submit(jobBody(2, 1,
                                      I % 2 == 0 ? R"({"ms":300,"needs":1})"
                                                 : R"({"ms":4000,"needs":1})"),
                              I % 2 == 0 ? "entry-1" : "entry-2", jobPath(I)));
      Accepted.push_back(jobPath(I));
    }
    CHECK(waitForState("completed", "entry-1", jobPath(FirstJob)));
    CHECK(waitForState("running", "entry-1", jobPath(FirstJob + 1)));
    for (int I = FirstJob + RunningJobs; I < FirstJob + SubmittedJobs; ++I)
      Cluster.jobCallAsync(I % 2 == 0 ? "entry-1" : "entry-2", "POST",
                           jobPath(I), jobBody(1, 1, R"({"ms":200,"needs":1})"),
                           [this, I](const http_result &Result) {
                             if (Result.ok())
                               Accepted.push_back(jobPath(I));
                           });
    CHECK(Cluster.waitFor([&] { return Accepted.size() > RunningJobs + 6; }));
    std::vector<std::string> Ended{"entry-1", "entry-2", "agent-1", "agent-2"};
    if (WithWorkers) {
      STRCMP_EQUAL("", Cluster.process("workers").errors().c_str());
      Ended.emplace_back("workers");
    }
    for (const std::string &Each : Ended)
      Cluster.process(Each).signal(SIGKILL);
    for (const std::string &Each : Ended)
      Cluster.process(Each).kill();
    // Answers that were sent before the end.
    Cluster.waitFor([] { return false; }, 200ms);
    for (const char *Agent : {"agent-1", "agent-2"})
      Cluster.startJobAgent(Agent);
    for (const char *Entry : {"entry-1", "entry-2"})
      Cluster.startJobEntry(Entry);
    if (WithWorkers)
      Cluster.startTaskWorkers({"agent-1", "agent-2"});
  }
  /// Every accepted job is known to both entries once they are ready, and
  /// completes within \p Limit.
  void checkAcceptedJobsComplete(duration Limit) {
    for (const char *Entry : {"entry-1", "entry-2"}) {
      CHECK_TEXT(Cluster.waitFor([&] { return ready(Entry); }, 3s), Entry);
      for (const std::string &Job : Accepted)
        LONGS_EQUAL_TEXT(200, Cluster.jobCall(Entry, "GET", Job).Code,
                         (Job + " at " + Entry).c_str());
    }
    const time_point End = Cluster.loop().now() + Limit;
    for (const std::string &Job : Accepted)
      CHECK_TEXT(Cluster.waitFor(
                     [&] { return showsState("entry-1", Job, "completed"); },
                     End - Cluster.loop().now()),
                 Job.c_str());
  }
  http_result callWithTimeout(
      const std::string &Method, const std::string &TimeoutMs,
      const std::string &Body = "", const std::string &Path = BatchJobPath) {
    return Cluster.call({.Address = Cluster.address("entry-1.front"),
                         .Method = Method,
                         .Target = Path,
                         .Headers = {{"Host", "jobs.example"},
                                     {"Authorization", "Bearer key"},
                                     {"Content-Type", "application/json"},
                                     {"X-Timeout-Ms", TimeoutMs}},
                         .Body = Body,
                         .Timeout = 4s});
  }
  /// The entry that started the highest term according to the logs; empty if
  /// no entry has been elected.
  std::string leader() {
    std::string Leader;
    std::size_t HighestTerm = 0;
    for (const char *Entry : {"entry-1", "entry-2"}) {
      const std::string Output = Cluster.process(Entry).output();
      const std::size_t At = Output.rfind("message=term_started term=");
      if (At == std::string::npos)
        continue;
      const std::size_t Term =
          std::stoull(Output.substr(Output.find("term=", At + 8) + 5));
      if (Term > HighestTerm) {
        HighestTerm = Term;
        Leader = Entry;
      }
    }
    return Leader;
  }
};

TEST(JobPlatform, ASubmittedJobRunsAndIsReportedAsCompleted) {
  LONGS_EQUAL(200, submit(jobBody(5, 2, R"({"ms":300,"needs":2})")));
  CHECK(waitForState("completed"));
  CHECK(waitForState("completed", "entry-2"));
  // A duplicate submission, also to another entry, has no effect.
  LONGS_EQUAL(200, submit(jobBody(5, 2, "{}"), "entry-2"));
  CHECK(showsState("entry-2", BatchJobPath, "completed"));
}

TEST(JobPlatform, AGangRunsOnBothWorkers) {
  LONGS_EQUAL(200,
              submit(jobBody(2, 8, R"({"ms":300,"needs":8,"gang":2})", true)));
  CHECK(waitForState("completed"));
}

TEST(JobPlatform, AJobWhoseTaskAlwaysFailsIsReportedAsFailed) {
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100,"fails":true})")));
  CHECK(waitForState("failed"));
}

TEST(JobPlatform, ACancelledJobIsReportedAsCancelled) {
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":60000})")));
  CHECK(waitForState("running"));
  LONGS_EQUAL(200, Cluster.jobCall("entry-2", "DELETE", BatchJobPath).Code);
  CHECK(waitForState("cancelled"));
}

TEST(JobPlatform, InvalidRequestsAndUnknownJobsGetTheirStatusCodes) {
  LONGS_EQUAL(410, Cluster.jobCall("entry-1", "GET", BatchJobPath).Code);
  LONGS_EQUAL(410, Cluster.jobCall("entry-1", "DELETE", BatchJobPath).Code);
  LONGS_EQUAL(404, Cluster.jobCall("entry-1", "GET", "/none/").Code);
  LONGS_EQUAL(400, submit("{"));
  LONGS_EQUAL(404, submit(jobBody(1, 1, "{}"), "entry-1", "/batch/short"));
  const http_result Pending = Cluster.jobCall("entry-1", "GET", "/batch/");
  LONGS_EQUAL(200, Pending.Code);
  STRCMP_CONTAINS("\"Pending\":0", Pending.Body.c_str());
}

TEST(JobPlatform, CallsWithVeryLongTimeoutsAreServed) {
  for (const char *TimeoutMs :
       {"9223372036854775807", "9223372036854775", "9223372036855"}) {
    LONGS_EQUAL_TEXT(410, callWithTimeout("GET", TimeoutMs).Code, TimeoutMs);
    // A job of its own: once cancelled, it would not run.
    LONGS_EQUAL_TEXT(410,
                     callWithTimeout("DELETE", TimeoutMs, "", jobPath(10)).Code,
                     TimeoutMs);
  }
  LONGS_EQUAL(200, callWithTimeout("POST", "9223372036854775807",
                                   jobBody(1, 1, R"({"ms":100})"))
                       .Code);
  CHECK(waitForState("completed"));
}

// Requests may arrive late, also the submission after its cancellation.
TEST(JobPlatform, AJobThatWasCancelledBeforeItsSubmissionStaysCancelled) {
  LONGS_EQUAL(410, Cluster.jobCall("entry-2", "DELETE", BatchJobPath).Code);
  LONGS_EQUAL(410, Cluster.jobCall("entry-1", "GET", BatchJobPath).Code);
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})")));
  for (const char *Entry : {"entry-1", "entry-2"})
    CHECK(waitForState("cancelled", Entry));
  LONGS_EQUAL(200,
              submit(jobBody(1, 1, R"({"ms":100})"), "entry-1", jobPath(10)));
  CHECK(waitForState("completed", "entry-1", jobPath(10)));
  CHECK(showsState("entry-1", BatchJobPath, "cancelled"));
}

TEST(JobPlatform, AnotherEntryTakesOverWhenTheLeaderIsKilled) {
  CHECK(Cluster.waitFor([&] { return !leader().empty(); }));
  const std::string OldLeader = leader();
  const std::string Other = OldLeader == "entry-1" ? "entry-2" : "entry-1";
  LONGS_EQUAL(200, submit(jobBody(8, 2, R"({"ms":4000,"needs":2})"), Other));
  CHECK(waitForState("running", Other));
  Cluster.process(OldLeader).kill();
  CHECK(waitForState("completed", Other));
}

TEST(JobPlatform, AResumedAgentKeepsTheRunningTasksOfItsWorker) {
  LONGS_EQUAL(200, submit(jobBody(8, 2, R"({"ms":3000,"needs":2})")));
  CHECK(waitForState("running"));
  Cluster.process("agent-1").signal(SIGSTOP);
  Cluster.waitFor([] { return false; }, 2s);
  Cluster.process("agent-1").signal(SIGCONT);
  CHECK(waitForState("completed"));
}

// The worker does not answer the pending listing call when it leaves. The end
// of its task must still be recorded.
TEST(JobPlatform, ATaskThatEndsAsItsWorkerLeavesIsNotRunAgain) {
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":600,"leaves":true})")));
  CHECK(waitForState("completed", "entry-1"));
  const std::string Log = Cluster.process(leader()).output();
  CHECK(Log.find("run=2") == std::string::npos);
  CHECK(Cluster.waitFor(
      [&] {
        return Cluster.process(leader()).output().find("detail=left") !=
               std::string::npos;
      },
      2s));
}

TEST(JobPlatform, CompactionOfTheStoreLosesNoJob) {
  LONGS_EQUAL(200, submit(jobBody(2, 1, R"({"ms":1500})")));
  CHECK(waitForState("running"));
  LONGS_EQUAL(200, Cluster.post(Cluster.address("store"), "/compact", "").Code);
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})"), "entry-2",
                          "/urgent/00000000000000b2"));
  CHECK(waitForState("completed"));
  CHECK(waitForState("completed", "entry-1", "/urgent/00000000000000b2"));
}

// Reads from the store may be seconds behind the appends that it has confirmed.
TEST(JobPlatform, JobsCompleteWhileStoreReadsAreStale) {
  CHECK(Cluster.waitFor([&] { return !leader().empty(); }));
  const std::string Other = leader() == "entry-1" ? "entry-2" : "entry-1";
  setStaleReads(true);
  LONGS_EQUAL(200, submit(jobBody(2, 1, R"({"ms":200})"), Other));
  CHECK(waitForState("completed", "entry-1"));
  CHECK(waitForState("completed", "entry-2"));
  setStaleReads(false);
}

// The entry has missed the notification of the other one, and reads records
// from before the submission.
TEST(JobPlatform, AnEntryThatStartsWhileReadsAreStaleDeniesNoAcceptedJob) {
  setStaleReads(true);
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":200})"), "entry-1"));
  Cluster.process("entry-2").kill();
  Cluster.startJobEntry("entry-2");
  CHECK(Cluster.waitFor([&] { return ready("entry-2"); }));
  LONGS_EQUAL(503, Cluster.jobCall("entry-2", "GET", BatchJobPath).Code);
  setStaleReads(false);
  CHECK(waitForState("completed", "entry-2"));
  LONGS_EQUAL(
      410, Cluster.jobCall("entry-2", "GET", "/batch/00000000000000a9").Code);
}

TEST(JobPlatform, ARestartedEntryDoesNotReplaceTheLeader) {
  CHECK(Cluster.waitFor([&] { return !leader().empty(); }));
  const std::string Leader = leader();
  const std::string Other = Leader == "entry-1" ? "entry-2" : "entry-1";
  const std::string OutputBefore = Cluster.process(Leader).output();
  Cluster.process(Other).kill();
  Cluster.startJobEntry(Other);
  CHECK(Cluster.waitFor([&] { return ready(Other); }));
  LONGS_EQUAL(200, submit(jobBody(2, 1, R"({"ms":1500})"), Other));
  CHECK(waitForState("completed", Other));
  STRCMP_EQUAL(Leader.c_str(), leader().c_str());
  const std::string NewOutput =
      Cluster.process(Leader).output().substr(OutputBefore.size());
  CHECK(NewOutput.find("leadership_lost") == std::string::npos);
}

TEST(JobPlatform, APausedLeaderIsReplaced) {
  CHECK(Cluster.waitFor([&] { return !leader().empty(); }));
  const std::string OldLeader = leader();
  const std::string Other = OldLeader == "entry-1" ? "entry-2" : "entry-1";
  Cluster.process(OldLeader).signal(SIGSTOP);
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})"), Other));
  CHECK(waitForState("completed", Other));
  Cluster.process(OldLeader).signal(SIGCONT);
  CHECK(Cluster.waitFor([&] {
    return Cluster.process(OldLeader).output().find("leadership_lost") !=
           std::string::npos;
  }));
}

TEST(JobPlatform, AnAppendWithALostResponseIsResolved) {
  Cluster.setFault("store", R"({"mode":"lose_answer","count":6})");
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})")));
  CHECK(waitForState("completed"));
}

TEST(JobPlatform, NoJobIsAcceptedWhileTheStoreRefusesAppends) {
  Cluster.setFault("store", R"({"mode":"refuse"})");
  const http_result Refused = Cluster.jobCall("entry-1", "POST", BatchJobPath,
                                              jobBody(1, 1, R"({"ms":100})"));
  LONGS_EQUAL(503, Refused.Code);
  CHECK(!header(Refused, "Retry-After").empty());
  Cluster.setFault("store", R"({"mode":"none"})");
  CHECK(Cluster.waitFor([&] {
    return Cluster.jobCall("entry-1", "GET", BatchJobPath).Code == 410;
  }));
}

TEST(JobPlatform, RunningTasksContinueWhileTheStoreDoesNotRespond) {
  LONGS_EQUAL(200, submit(jobBody(4, 2, R"({"ms":2000,"needs":2})")));
  CHECK(waitForState("running"));
  Cluster.setFault("store", R"({"mode":"silent"})");
  Cluster.waitFor([] { return false; }, 3s);
  Cluster.setFault("store", R"({"mode":"none"})");
  CHECK(waitForState("completed"));
}

TEST(JobPlatform, JobsRunAfterTheSettingsAreReloadedOnSighup) {
  Cluster.process("entry-1").signal(SIGHUP);
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})")));
  CHECK(waitForState("completed"));
  CHECK(!Cluster.process("entry-1").exitCode());
}

TEST(JobPlatform, ADrainingEntryServesItsCallersAndExits) {
  Cluster.process("entry-1").signal(SIGTERM);
  CHECK(Cluster.waitFor([&] { return !ready("entry-1"); }));
  LONGS_EQUAL(200, submit(jobBody(1, 1, R"({"ms":100})")));
  CHECK(Cluster.waitFor(
      [&] { return Cluster.process("entry-1").exitCode().has_value(); }, 8s));
  LONGS_EQUAL(0, *Cluster.process("entry-1").exitCode());
  CHECK(waitForState("completed", "entry-2"));
}

TEST(JobPlatform, NoAcceptedJobIsLostWhenAllEntriesAndAgentsEndAtOnce) {
  endAndRestartAll(false);
  checkAcceptedJobsComplete(FinishLimit);
}

TEST(JobPlatform, NoAcceptedJobIsLostWhenOnlyTheStoreSurvives) {
  endAndRestartAll(true);
  checkAcceptedJobsComplete(FinishLimit);
}
