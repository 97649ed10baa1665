#include "cli/commandline.h"
#include "cli/exitcodes.h"
#include "cli/sheetcommands.h"
#include "cli/tableprinter.h"
#include "codec/csvreader.h"
#include "codec/protojson.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/traffic.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace geraniumpaddle;

namespace {

constexpr int ErrorKindCount = static_cast<int>(error_kind::Internal) + 1;

} // namespace

TEST_GROUP(ExitCodes){};

TEST(ExitCodes, EveryErrorKindHasItsOwnCodeAndIsFoundByItsName) {
  std::set<int> Codes;
  for (int Value = 0; Value < ErrorKindCount; ++Value) {
    auto Kind = static_cast<error_kind>(Value);
    CHECK(exitCodeOf(Kind) > 1);
    CHECK(Codes.insert(exitCodeOf(Kind)).second);
    CHECK(errorKindByName(name(Kind)) == Kind);
  }
}

TEST_GROUP(TablePrinter){};

TEST(TablePrinter, ColumnsAreAsWideAsTheirWidestCell) {
  table_printer Table({"A", "LONG", "C"});
  Table.add({"wide cell", "x"});
  std::ostringstream Out;
  Table.print(Out);
  STRCMP_EQUAL("A          LONG  C\nwide cell  x     \n", Out.str().c_str());
}

TEST_GROUP(CommandLine) {
  event_loop Loop;
  traffic_counter Traffic;
  http_client Http{Loop, http_client_limits{}, Traffic};
  std::ostringstream Out;
  std::string ResponseBody;
  int ResponseCode = 200;
  std::vector<std::string> Requests;
  http_server Server{Loop, "127.0.0.1:0", http_server_limits{},
                     [this](const http_request_view &Request,
                            const std::shared_ptr<ihttp_responder> &Responder) {
                       Requests.push_back(std::string(Request.Method) + " " +
                                          std::string(Request.Path));
                       Responder->respond({ResponseCode, {}, ResponseBody});
                     }};

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server.port());
  }

  int runTool(std::vector<std::string> Words, command_options Options = {},
              std::vector<std::string> Entries = {}) {
    if (Entries.empty())
      Entries = {address()};
    api_client Client(Loop, Http, std::move(Entries), {},
                      std::chrono::seconds(5));
    return command_line(Client, std::move(Options), Out).run(Words);
  }

  error_kind failureKind(const std::vector<std::string> &Words) {
    try {
      runTool(Words);
    } catch (const error &Failure) {
      return Failure.kind();
    }
    FAIL("no failure");
    return error_kind::Internal;
  }
};

TEST(CommandLine, UnknownCommandsAndWrongArgumentCountsAreInvalid) {
  using words = std::vector<std::string>;
  for (const words &Words :
       {words{}, words{"job"}, words{"job", "status"}, words{"job", "fly"},
        words{"status", "more"}, words{"sheet", "apply"}})
    CHECK(failureKind(Words) == error_kind::InvalidArgument);
  CHECK(Requests.empty());
}

TEST(CommandLine, TheErrorKindOfTheEntryIsReported) {
  ResponseCode = 409;
  ResponseBody =
      R"({"kind":"conflict","reason":"version_conflict","winner":"7"})";
  CHECK(failureKind({"status"}) == error_kind::Conflict);
}

TEST(CommandLine, TheNextEntryIsTriedWhenOneCannotBeReached) {
  ResponseBody = R"({"node":"entry-2"})";
  LONGS_EQUAL(0, runTool({"status"}, {}, {"127.0.0.1:1", address()}));
  CHECK(Out.str().find("entry-2") != std::string::npos);
}

TEST(CommandLine, ReportsUnavailableWhenNoEntryCanBeReached) {
  try {
    runTool({"status"}, {}, {"127.0.0.1:1"});
    FAIL("no failure");
  } catch (const api_failure &Failure) {
    CHECK(Failure.kind() == error_kind::Unavailable);
  }
}

TEST(CommandLine, JsonOutputPrintsTheResponseMessage) {
  ResponseBody = R"({"node":"entry-1","folded":"12"})";
  command_options Options;
  Options.Output = output_format::Json;
  LONGS_EQUAL(0, runTool({"status"}, Options));
  CHECK(Out.str().find("\"folded\": \"12\"") != std::string::npos);
}

TEST(CommandLine, ASheetWithErrorsIsNeverSent) {
  std::string Path = (std::filesystem::temp_directory_path() /
                      ("gp-clitest-" + std::to_string(Server.port()) + ".csv"))
                         .string();
  std::ofstream(Path) << "customer,guarantee_eight\na,many\n";
  LONGS_EQUAL(exitCodeOf(error_kind::InvalidArgument),
              runTool({"sheet", "apply", Path}));
  std::filesystem::remove(Path);
  CHECK(Requests.empty());
  CHECK(Out.str().find("guarantee_rack") != std::string::npos);
}

TEST(CommandLine, TheTokenItselfIsNeverSent) {
  ResponseBody = R"({"version":"3","customers":[{"id":"a"}]})";
  runTool({"customers", "set-token", "a", "hunter2"});
  LONGS_EQUAL(2, Requests.size());
  STRCMP_EQUAL("PUT /v1/customers", Requests[1].c_str());
  CHECK(failureKind({"customers", "set-token", "b", "x"}) ==
        error_kind::NotFound);
}
