#include "daemon/tests/processcluster.h"

#include "codec/protojson.h"
#include "platform.pb.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <csignal>

using namespace geraniumpaddle;
using namespace geraniumpaddle::tests;
using namespace std::chrono_literals;

TEST_GROUP(LogFaults) {
  process_cluster Cluster;

  bool waitUntilReady(const std::string &Entry) {
    return Cluster.waitFor([&] {
      return Cluster.get(Cluster.address(Entry), "/readyz").Code == 200;
    });
  }

  bool waitForVersion(const std::string &Entry, std::uint64_t Version,
                      duration Limit = process_cluster::DefaultTimeout) {
    return Cluster.waitFor(
        [&] { return Cluster.configVersion(Entry) == Version; }, Limit);
  }

  void startTwoEntries() {
    Cluster.startLog();
    Cluster.startEntry("entry-1");
    Cluster.startEntry("entry-2", "pilbara-north", "karratha");
    CHECK(waitUntilReady("entry-1"));
    CHECK(waitUntilReady("entry-2"));
  }
};

TEST(LogFaults, OfTwoConcurrentChangesExactlyOneIsAccepted) {
  startTwoEntries();
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "a", 0, 0).Code);
  CHECK(waitForVersion("entry-2", 1, 4s));
  std::vector<http_result> Results;
  auto Collect = [&](const http_result &Result) { Results.push_back(Result); };
  Cluster.putCustomerAsync("entry-1", "b", 1, 0, Collect);
  Cluster.putCustomerAsync("entry-2", "c", 1, 0, Collect);
  CHECK(Cluster.waitFor([&] { return Results.size() == 2; }));
  std::sort(Results.begin(), Results.end(),
            [](const auto &A, const auto &B) { return A.Code < B.Code; });
  const http_result &First = Results[0];
  const http_result &Second = Results[1];
  LONGS_EQUAL(200, First.Code);
  LONGS_EQUAL(409, Second.Code);
  proto::ChangeAccepted Accepted;
  proto::ApiError Conflict;
  CHECK(tryParseJson(First.Body, Accepted));
  CHECK(tryParseJson(Second.Body, Conflict));
  STRCMP_EQUAL("version_conflict", Conflict.reason().c_str());
  LONGS_EQUAL(Accepted.offset(), Conflict.winner());
}

TEST(LogFaults, AnAppendWithALostResponseIsAppliedOnce) {
  startTwoEntries();
  Cluster.setFault("log", R"({"mode":"lose_answer","count":1})");
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "a", 0, 0).Code);
  CHECK(waitForVersion("entry-2", 1, 4s));
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "b", 1, 0).Code);
  LONGS_EQUAL(2, Cluster.configVersion("entry-1"));
}

TEST(LogFaults, AChangeRefusedDuringAnOutageIsNotApplied) {
  startTwoEntries();
  Cluster.setFault("log", R"({"mode":"refuse"})");
  http_result Refused = Cluster.putCustomer("entry-1", "a", 0, 0);
  LONGS_EQUAL(503, Refused.Code);
  Cluster.setFault("log", R"({"mode":"none"})");
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "b", 0, 0).Code);
  proto::CustomerList List;
  tryParseJson(Cluster.get(Cluster.address("entry-1"), "/v1/customers").Body,
               List);
  LONGS_EQUAL(1, List.customers_size());
  STRCMP_EQUAL("b", List.customers(0).id().c_str());
}

TEST(LogFaults, ARestartedEntryNeverShowsALowerVersion) {
  startTwoEntries();
  for (std::uint64_t Base = 0; Base < 5; ++Base)
    LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "a", Base, 0).Code);
  Cluster.process("entry-1").kill();
  Cluster.startEntry("entry-1");
  CHECK(Cluster.waitFor([&] {
    http_result Result =
        Cluster.get(Cluster.address("entry-1"), "/v1/customers");
    proto::CustomerList List;
    if (Result.Code == 200 && tryParseJson(Result.Body, List))
      LONGS_EQUAL(5, List.version());
    return Result.Code == 200;
  }));
}

TEST(LogFaults, AnEntryStartedDuringAnOutageLoadsTheStateOfAPeer) {
  startTwoEntries();
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "a", 0, 0).Code);
  CHECK(waitForVersion("entry-2", 1));
  Cluster.setFault("log", R"({"mode":"down"})");
  Cluster.startEntry("entry-3", "perth-metro", "perth-cbd",
                     "entry: {peers: [\"" + Cluster.peerAddress("entry-2") +
                         "\"]}\n");
  CHECK(waitUntilReady("entry-3"));
  LONGS_EQUAL(1, Cluster.configVersion("entry-3"));
}

TEST(LogFaults, AMalformedRecordIsSkippedAndReportedByEveryEntry) {
  startTwoEntries();
  proto::LogAppend Append;
  Append.add_records("\x01 not a record");
  Append.add_records(R"({"customers_changed":{"base":"not a number"}})");
  LONGS_EQUAL(
      200,
      Cluster.post(Cluster.address("log"), "/append", printJson(Append)).Code);
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "a", 0, 0).Code);
  for (const char *Entry : {"entry-1", "entry-2"}) {
    CHECK(waitForVersion(Entry, 1, 4s));
    proto::AuditList Audit;
    CHECK(tryParseJson(Cluster.get(Cluster.address(Entry), "/v1/audit").Body,
                       Audit));
    int Malformed = 0;
    for (const proto::AuditEvent &Event : Audit.events())
      Malformed += Event.kind() == "malformed";
    LONGS_EQUAL(2, Malformed);
  }
}

TEST(LogFaults, OperatorsCanAppendToTheLogDirectly) {
  startTwoEntries();
  proto::LogAppend Append;
  Append.add_records(
      R"({"node":"planner","incarnation":"1","sequence":"1","actor":"ada",)"
      R"("at_ms":"1","customers_changed":{"put":[{"id":"a"}]}})");
  LONGS_EQUAL(
      200,
      Cluster.post(Cluster.address("log"), "/append", printJson(Append)).Code);
  CHECK(waitForVersion("entry-1", 1, 4s));
  CHECK(waitForVersion("entry-2", 1, 4s));
}

TEST(LogFaults, ANewEntryStartsFromASnapshotWhenOldRecordsAreDeleted) {
  Cluster.startLog({"--retain_records=120"});
  Cluster.startEntry("entry-1", "perth-metro", "perth-east",
                     "entry: {snapshot_records: 40}\n");
  CHECK(waitUntilReady("entry-1"));
  constexpr std::uint64_t Changes = 200;
  for (std::uint64_t Base = 0; Base < Changes; ++Base)
    LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "a", Base, 0).Code);
  Cluster.process("entry-1").kill();
  Cluster.startEntry("entry-2");
  CHECK_TEXT(waitUntilReady("entry-2"),
             Cluster.process("entry-2").errors().c_str());
  LONGS_EQUAL(Changes, Cluster.configVersion("entry-2"));
}

TEST(LogFaults, ARemoteRegionReadsTheLogThroughOneEntry) {
  Cluster.startLog();
  Cluster.startEntry("entry-1");
  CHECK(waitUntilReady("entry-1"));
  for (const char *Remote : {"remote-1", "remote-2"}) {
    Cluster.startEntry(Remote, "pilbara-north", "karratha");
    CHECK(waitUntilReady(Remote));
  }
  auto RelayedReads = [&](const char *Entry) {
    return Cluster.metric(Entry, "geraniumpaddle_log_relayed_reads");
  };
  CHECK(Cluster.waitFor([&] {
    return RelayedReads("remote-1") + RelayedReads("remote-2") >= 2;
  }));
  LONGS_EQUAL(0, RelayedReads("entry-1"));
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "a", 0, 0).Code);
  CHECK(waitForVersion("remote-1", 1, 4s));
  CHECK(waitForVersion("remote-2", 1, 4s));

  const char *DirectReader =
      RelayedReads("remote-1") > 0 ? "remote-2" : "remote-1";
  const char *RelayedReader =
      RelayedReads("remote-1") > 0 ? "remote-1" : "remote-2";
  Cluster.process(DirectReader).signal(SIGSTOP);
  LONGS_EQUAL(200, Cluster.putCustomer("entry-1", "a", 1, 0).Code);
  CHECK(waitForVersion(RelayedReader, 2, 4s));
}

TEST(LogFaults, AChangeIsAppliedByEveryProcessWithinFourSeconds) {
  startTwoEntries();
  Cluster.startAgent({.Name = "1"});
  Cluster.startAgent({.Name = "2",
                      .Region = "pilbara-north",
                      .Zone = "karratha",
                      .Entry = "entry-2"});
  CHECK(Cluster.waitFor([&] { return Cluster.hasLinkedAgents("entry-1", 1); }));
  CHECK(Cluster.waitFor([&] { return Cluster.hasLinkedAgents("entry-2", 1); }));
  for (std::uint64_t Base = 0; Base < 10; ++Base) {
    const char *Entry = Base % 2 ? "entry-1" : "entry-2";
    LONGS_EQUAL(200, Cluster.putCustomer(Entry, "a", Base, 0).Code);
    const char *Metric = "geraniumpaddle_config_version";
    for (const char *Name : {"entry-1", "entry-2", "agent-1", "agent-2"})
      CHECK_TEXT(Cluster.waitFor(
                     [&] {
                       return Cluster.metric(Name, Metric) ==
                              static_cast<double>(Base + 1);
                     },
                     4s),
                 Name);
  }
}
