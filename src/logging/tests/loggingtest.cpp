#include "logging/logging.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <sstream>
#include <string>

using namespace geraniumpaddle;

TEST_GROUP(Logging) {
  std::ostringstream Captured;
  std::streambuf *Standard = nullptr;

  void setup() override { Standard = std::clog.rdbuf(Captured.rdbuf()); }
  void teardown() override { std::clog.rdbuf(Standard); }

  /// The output from \p Start on, to skip the time at its beginning.
  std::string outputFrom(const std::string &Start) {
    const std::string Text = Captured.str();
    const auto At = Text.find(Start);
    return At == std::string::npos ? Text : Text.substr(At);
  }
};

TEST(Logging, WritesKeyValuePairs) {
  startLogging({});
  logger("ledger").info("applied", {.Customer = R"(a "b")", .Offset = 7});
  STRCMP_EQUAL("severity=info component=ledger message=applied "
               "customer=\"a \\\"b\\\"\" offset=7\n",
               outputFrom("severity").c_str());
}

TEST(Logging, WritesJson) {
  startLogging({.Format = log_format::Json});
  logger("gang").warning("late\nlease", {.Job = "j1", .Attempt = 2});
  STRCMP_EQUAL("\"severity\":\"warning\",\"component\":\"gang\","
               "\"message\":\"late\\u000alease\",\"job\":\"j1\","
               "\"attempt\":2}\n",
               outputFrom("\"severity\"").c_str());
}

TEST(Logging, StartsWithTheTimeInUtc) {
  startLogging({});
  logger("x").info("y");
  const std::string Text = Captured.str();
  CHECK(Text.starts_with("time=20"));
  STRCMP_EQUAL("Z ", Text.substr(28, 2).c_str());
}

TEST(Logging, OmitsLinesBelowTheThreshold) {
  startLogging({.Threshold = log_severity::Warning});
  logger("x").info("unseen");
  STRCMP_EQUAL("", Captured.str().c_str());
  logger("x").error("seen");
  STRCMP_CONTAINS("message=seen", Captured.str().c_str());
}
