#include "settings/settingsreader.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace geraniumpaddle;

namespace {

constexpr std::string_view ValidYaml = R"(role: entry
node: entry-1
region: perth-metro
zone: perth-east
listen:
  peer: 127.0.0.1:0
  http: 127.0.0.1:0
log:
  address: 127.0.0.1:9000
)";

struct invalid_settings {
  const char *Name;
  const char *From; ///< text in ValidYaml that is replaced
  const char *To;
  int Line;
  const char *Key;
};

constexpr auto InvalidSettings = std::to_array<invalid_settings>({
    {"unknown key", "zone:", "zonne:", 4, "zonne"},
    {"unknown key in a section", "  peer:", "  pear:", 6, "listen.pear"},
    {"missing zone", "zone: perth-east\n", "", 1, "zone"},
    {"bad role", "role: entry", "role: gateway", 1, "role"},
    {"host name for an address", "127.0.0.1:9000", "log.example:9000", 9,
     "log.address"},
    {"port out of range", "127.0.0.1:9000", "127.0.0.1:99000", 9,
     "log.address"},
    {"octet out of range", "127.0.0.1:9000", "127.0.0.256:9000", 9,
     "log.address"},
    {"section with a value",
     "listen:\n  peer: 127.0.0.1:0\n  http: "
     "127.0.0.1:0\n",
     "listen: 5\n", 5, "listen"},
    {"value with a section", "127.0.0.1:9000", "{ip: 1}", 9, "log.address"},
    {"duplicate port", "peer: 127.0.0.1:0\n  http: 127.0.0.1:0",
     "peer: 127.0.0.1:7001\n  http: 127.0.0.1:7001", 7, "listen.http"},
    {"not a number", "  address:", "  timeout_ms: soon\n  address:", 9,
     "log.timeout_ms"},
    {"number out of range", "  address:", "  timeout_ms: 0\n  address:", 9,
     "log.timeout_ms"},
    {"not a decimal", "log:", "vm:\n  cpu_share: half\nlog:", 9,
     "vm.cpu_share"},
    {"share of zero", "log:", "vm:\n  cpu_share: 0\nlog:", 9, "vm.cpu_share"},
    {"share beyond all cores", "log:", "vm:\n  cpu_share: 1e9\nlog:", 9,
     "vm.cpu_share"},
    {"key twice", "zone:", "zone: a\nzone:", 5, "zone"},
    {"broken YAML", "zone: perth-east", "zone: [perth-east", 5, ""},
    {"name with a space", "entry-1", "entry 1", 2, "node"},
    {"log path without a slash",
     "  address:", "  read_path: read\n  address:", 9, "log.read_path"},
    {"service without an endpoint",
     "log:", "agent:\n  endpoint:\n    service: bookdesk\nlog:", 10,
     "agent.endpoint.address"},
});

std::string replaced(std::string Text, std::string_view From,
                     std::string_view To) {
  auto At = Text.find(From);
  CHECK(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReadsAValidFile) {
  settings Values = readSettings(ValidYaml, "entry.yaml");
  CHECK(Values.Role == node_role::Entry);
  STRCMP_EQUAL("perth-east", Values.Zone.c_str());
  LONGS_EQUAL(2000, Values.LogTimeout.count());
}

TEST(Settings, ReadsAShareOfACore) {
  const std::string Yaml =
      replaced(std::string(ValidYaml), "log:", "vm:\n  cpu_share: 0.12\nlog:");
  DOUBLES_EQUAL(0.12, readSettings(Yaml, "entry.yaml").CpuShare, 1e-9);
}

TEST(Settings, EveryInvalidFileIsRejectedWithLineAndKey) {
  for (const invalid_settings &Case : InvalidSettings) {
    try {
      readSettings(replaced(std::string(ValidYaml), Case.From, Case.To),
                   "f.yaml");
      FAIL(Case.Name);
    } catch (const settings_error &Failure) {
      STRCMP_EQUAL_TEXT(Case.Key, Failure.key().c_str(), Case.Name);
      LONGS_EQUAL_TEXT(Case.Line, Failure.line(), Case.Name);
    }
  }
}

TEST(Settings, PrintedSettingsCanBeReadBack) {
  settings Values = readSettings(ValidYaml, "entry.yaml");
  Values.WorkerAddress = Values.EndpointAddress = "127.0.0.1:1";
  Values.WorkerId = Values.WorkerRack = Values.Service = "w";
  std::string Printed = printSettings(Values);
  STRCMP_EQUAL(Printed.c_str(),
               printSettings(readSettings(Printed, "printed")).c_str());
}

TEST(Settings, ASecretIsNeitherPrintedNorQuotedInAnError) {
  settings Values = readSettings(ValidYaml, "entry.yaml");
  Values.OperatorTokenHash = "salt$hash";
  CHECK(printSettings(Values).find("salt$hash") == std::string::npos);
  try {
    readSettings(std::string(ValidYaml) +
                     "entry:\n  operator_token_hash: hunter2\n",
                 "f.yaml");
    FAIL("accepted a token instead of its hash");
  } catch (const settings_error &Failure) {
    CHECK(std::string(Failure.what()).find("hunter2") == std::string::npos);
  }
}
