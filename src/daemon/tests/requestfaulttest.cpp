#include "daemon/tests/processcluster.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <csignal>
#include <map>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

namespace {

/// Sends requests and records their results by tag.
class request_recorder {
public:
  explicit request_recorder(process_cluster &Cluster) : Cluster(Cluster) {}

  void send(const std::string &Entry, const std::string &Tag, bool Idempotent,
            int LatencyMs) {
    SentTags.push_back(Tag);
    Cluster.request(Entry, "/x?ms=" + std::to_string(LatencyMs) + "&tag=" + Tag,
                    Idempotent, [this, Tag](const http_result &Result) {
                      Results[Tag].push_back(Result);
                    });
  }

  bool allAnswered() const { return Results.size() == SentTags.size(); }
  const std::vector<std::string> &sentTags() const { return SentTags; }
  bool answered(const std::string &Tag) const { return Results.contains(Tag); }
  std::string outcome(const std::string &Tag) {
    LONGS_EQUAL_TEXT(1, Results[Tag].size(), Tag.c_str());
    return header(Results[Tag].front(), "X-Outcome");
  }
  const http_result &result(const std::string &Tag) {
    return Results[Tag].front();
  }

private:
  process_cluster &Cluster;
  std::vector<std::string> SentTags;
  std::map<std::string, std::vector<http_result>> Results;
};

} // namespace

TEST_GROUP(RequestFaults) {
  process_cluster Cluster;
  request_recorder Requests{Cluster};

  int totalRuns(const std::string &Tag, int Agents) {
    int Runs = 0;
    for (int I = 1; I <= Agents; ++I)
      Runs += Cluster.runCount("endpoint-" + std::to_string(I), Tag);
    return Runs;
  }

  /// Checks the outcome of every request against the runs that the endpoints
  /// counted, and that no request ran twice unless it is idempotent (its tag
  /// starts with "i").
  void checkOutcomes(int Agents) {
    for (const std::string &Tag : Requests.sentTags()) {
      std::string Outcome = Requests.outcome(Tag);
      int Runs = totalRuns(Tag, Agents);
      if (Outcome == "not_run")
        LONGS_EQUAL_TEXT(0, Runs, Tag.c_str());
      if (Outcome == "answered")
        CHECK_TEXT(Runs >= 1, Tag.c_str());
      if (!Tag.starts_with("i"))
        CHECK_TEXT(Runs <= 1, Tag.c_str());
    }
  }
};

TEST(RequestFaults, AgentIsKilledWhileItsRequestsRun) {
  Cluster.startDefaultCluster(2);
  for (int I = 0; I < 6; ++I) {
    Requests.send("entry-1", "n" + std::to_string(I), false, 1500);
    Requests.send("entry-1", "i" + std::to_string(I), true, 1500);
  }
  CHECK(Cluster.waitFor(
      [&] { return totalRuns("n0", 2) + totalRuns("n1", 2) > 0; }));
  Cluster.process("agent-1").kill();
  CHECK_TEXT(Cluster.waitFor([&] { return Requests.allAnswered(); }, 15s),
             "callers still wait for the killed agent");
  checkOutcomes(2);
  for (int I = 0; I < 6; ++I)
    STRCMP_EQUAL("answered", Requests.outcome("i" + std::to_string(I)).c_str());
}

TEST(RequestFaults, AgentIsPausedAndResumed) {
  Cluster.startDefaultCluster(2);
  Cluster.process("agent-1").signal(SIGSTOP);
  for (int I = 0; I < 8; ++I) {
    Requests.send("entry-1", "n" + std::to_string(I), false, 20);
    Requests.send("entry-1", "i" + std::to_string(I), true, 20);
  }
  CHECK(Cluster.waitFor([&] { return Requests.answered("i0"); }));
  Cluster.process("agent-1").signal(SIGCONT);
  CHECK(Cluster.waitFor([&] { return Requests.allAnswered(); }));
  checkOutcomes(2);
}

TEST(RequestFaults, EndpointSendsATruncatedBody) {
  Cluster.startDefaultCluster(1);
  Cluster.setFault("endpoint-1", R"({"mode":"half_body","count":1})");
  Requests.send("entry-1", "n1", false, 5);
  CHECK(Cluster.waitFor([&] { return Requests.allAnswered(); }));
  STRCMP_EQUAL("undetermined", Requests.outcome("n1").c_str());
  Cluster.setFault("endpoint-1", R"({"mode":"half_body","count":1})");
  Requests.send("entry-1", "i1", true, 5);
  CHECK(Cluster.waitFor([&] { return Requests.allAnswered(); }));
  STRCMP_EQUAL("answered", Requests.outcome("i1").c_str());
  checkOutcomes(1);
}

TEST(RequestFaults, RequestToAStoppedEndpointIsNotRun) {
  Cluster.startDefaultCluster(1);
  Cluster.process("endpoint-1").kill();
  Requests.send("entry-1", "n1", false, 5);
  CHECK(Cluster.waitFor([&] { return Requests.allAnswered(); }));
  STRCMP_EQUAL("not_run", Requests.outcome("n1").c_str());
}

TEST(RequestFaults, KillingAnEntryRunsNoRequestTwice) {
  Cluster.startDefaultCluster(2);
  Cluster.startEntry("entry-2");
  CHECK(Cluster.waitFor([&] { return Cluster.hasLinkedAgents("entry-2", 2); }));
  for (int I = 0; I < 6; ++I)
    Requests.send("entry-1", "n" + std::to_string(I), false, 600);
  CHECK(Cluster.waitFor([&] {
    int Runs = 0;
    for (int I = 0; I < 6; ++I)
      Runs += totalRuns("n" + std::to_string(I), 2);
    return Runs == 6;
  }));
  Cluster.process("entry-1").kill();
  CHECK(Cluster.waitFor([&] { return Requests.allAnswered(); }));
  for (int I = 0; I < 6; ++I)
    LONGS_EQUAL(1, totalRuns("n" + std::to_string(I), 2));
  Requests.send("entry-2", "n9", false, 5);
  CHECK(Cluster.waitFor([&] { return Requests.allAnswered(); }));
  STRCMP_EQUAL("answered", Requests.outcome("n9").c_str());
}

TEST(RequestFaults, RequestsSucceedDuringALogOutage) {
  Cluster.startDefaultCluster(1);
  Cluster.process("log").kill();
  Requests.send("entry-1", "n1", false, 5);
  CHECK(Cluster.waitFor([&] { return Requests.allAnswered(); }));
  STRCMP_EQUAL("answered", Requests.outcome("n1").c_str());
  int Code = Cluster.submitJob("entry-1", "j", 1, "sleep:10").Code;
  CHECK_TEXT(Code == 503 || Code == 504, std::to_string(Code).c_str());
}

TEST(RequestFaults, AWrongTokenGetsTheSameResponseForKnownAndUnknownCustomers) {
  Cluster.startDefaultCluster(1);
  auto RequestAs = [&](const char *Customer) {
    return Cluster.call(
        {Cluster.address("entry-1"),
         "GET",
         "/call/bookdesk/x",
         {{"Authorization", "Bearer wrong"}, {"X-Customer", Customer}},
         "",
         5s});
  };
  http_result Known = RequestAs("swan-coast");
  http_result Unknown = RequestAs("nobody");
  LONGS_EQUAL(403, Known.Code);
  LONGS_EQUAL(403, Unknown.Code);
  STRCMP_EQUAL(Known.Body.c_str(), Unknown.Body.c_str());
}
