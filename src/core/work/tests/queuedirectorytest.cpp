#include "core/work/queuedirectory.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;

TEST_GROUP(QueueDirectory) {
  queue_directory Queues;

  void setup() override { Queues.replace(testing::makeConfiguration(5)); }
};

TEST(QueueDirectory, ReportsThatNoConfigurationIsLoaded) {
  const queue_directory Empty;
  CHECK(Empty.resolve("jobs.example", "/batch/1", "key-acme").Verdict ==
        call_verdict::NoConfiguration);
}

TEST(QueueDirectory, PicksTheLongestPrefix) {
  configuration Config = testing::makeConfiguration(6);
  queue_route Inner = Config.Routes[1];
  Inner.PathPrefix = "/batch/inner/";
  Inner.Policy.Queue = "inner";
  Config.Routes.push_back(Inner);
  Queues.replace(Config);
  const auto Call =
      Queues.resolve("jobs.example", "/batch/inner/7", "key-bolt");
  CHECK(Call.Verdict == call_verdict::Allowed);
  STRCMP_EQUAL("inner", Call.Route->Policy.Queue.c_str());
  STRCMP_EQUAL("7", std::string(Call.SubPath).c_str());
  STRCMP_EQUAL("bolt", Call.Customer.str().c_str());
}

TEST(QueueDirectory, RefusesUnknownHostsPathsAndKeys) {
  CHECK(Queues.resolve("other.example", "/batch/1", "key-acme").Verdict ==
        call_verdict::NoQueue);
  CHECK(Queues.resolve("jobs.example", "/none/1", "key-acme").Verdict ==
        call_verdict::NoQueue);
  CHECK(Queues.resolve("jobs.example", "/batch/1", "stolen").Verdict ==
        call_verdict::UnknownKey);
}

TEST(QueueDirectory, AnonymousQueuesNeedNoKey) {
  configuration Config = testing::makeConfiguration(6);
  Config.Routes[0].Anonymous = true;
  Queues.replace(Config);
  CHECK(Queues.resolve("jobs.example", "/urgent/1", "").Verdict ==
        call_verdict::Allowed);
}

TEST(QueueDirectory, TheVersionNeverDecreases) {
  configuration Older = testing::makeConfiguration(4);
  Older.Routes.clear();
  CHECK(!Queues.replace(Older));
  CHECK(!Queues.replace(testing::makeConfiguration(5)));
  LONGS_EQUAL(5, Queues.version());
  CHECK(Queues.policy("batch") != nullptr);
}

TEST(QueueDirectory, ARevokedKeyIsRejectedImmediately) {
  configuration Config = testing::makeConfiguration(6);
  Config.Customers[0].Keys.clear();
  Queues.replace(Config);
  CHECK(Queues.resolve("jobs.example", "/batch/1", "key-acme").Verdict ==
        call_verdict::UnknownKey);
}
