#include "deployment.hh"

#include "core/base/error.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <unistd.h>

namespace review2 {

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration LoopWait = 5ms;
constexpr double CaseSeconds = 110;

// Ports and bounds like those of the example in DEPLOY.md.
const std::string PeerPort = "7000";
const std::string HttpPort = "7001";
const std::string FrontPort = "8521";
const std::string ReadinessPort = "8523";
const std::string ControlPort = "8526";
const std::string StorePort = "8524";
const std::string WorkerPort = "8529";

// Classes of machines, the third number of their addresses.
constexpr int EdgeClass = 1;
constexpr int SideClass = 2;
constexpr int ProxyClass = 3;
constexpr int StoreClass = 4;

const std::string Host = "jobs.example";
const std::string Key = "d4a3hwrr6x73d3zji9n7";

std::string readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    throw case_not_run("cannot read " + Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

/// Fills the placeholders {{NAME}} of a template.
std::string render(std::string Text,
                   const std::map<std::string, std::string> &Fields) {
  std::size_t At = 0;
  while ((At = Text.find("{{", At)) != std::string::npos) {
    const std::size_t End = Text.find("}}", At);
    const std::string Name = Text.substr(At + 2, End - At - 2);
    const auto Found = Fields.find(Name);
    if (Found == Fields.end())
      throw case_not_run("the template asks for " + Name);
    Text.replace(At, End + 2 - At, Found->second);
    At += Found->second.size();
  }
  return Text;
}

/// The value of a line NAME = "VALUE" in the section [roles.ROLE] of the deploy
/// file.
std::string deployValue(const std::string &Deploy, const std::string &Role,
                        const std::string &Name) {
  std::size_t At = Deploy.find("[roles." + Role + "]");
  At = Deploy.find("\n" + Name + " = \"", At);
  if (At == std::string::npos)
    throw case_not_run("the deploy file has no " + Name + " of " + Role);
  const std::size_t First = Deploy.find('"', At) + 1;
  return Deploy.substr(First, Deploy.find('"', First) - First);
}

bool canListen(const std::string &Address) {
  try {
    event_loop Loop;
    const http_server Probe(Loop, Address, http_server_limits{}, {});
    return true;
  } catch (const error &) {
    return false;
  }
}

json route(const char *Name, const std::string &Prefix, int Priority,
           int Attempts, double SlackFactor) {
  return {
      {"Name", Name},         {"Host", Host},
      {"PathPrefix", Prefix}, {"Type", "non_idempotent"},
      {"TimeoutMs", 3000},    {"TargetLatencyMs", Priority == 0 ? 500 : 3000},
      {"Priority", Priority}, {"Service", "desk"},
      {"Attempts", Attempts}, {"SlackFactor", SlackFactor},
      {"Anonymous", false}};
}

std::string frame(const std::string &RecordKey, const std::string &Value) {
  const std::string Content =
      std::string(1, static_cast<char>(RecordKey.size())) + RecordKey + Value;
  std::string Frame;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame += static_cast<char>(Content.size() >> static_cast<unsigned>(Shift));
  return Frame + Content;
}

} // namespace

deployment::deployment(const std::string &Root, case_record &Record,
                       const deployment_options &Options)
    : Root(Root), Record(Record), Options(Options),
      Http(Loop, http_client_limits{.MaxConnectionsPerAddress = 256}, Traffic) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "gp-review-XXXXXX").string();
  if (!mkdtemp(Pattern.data()))
    throw case_not_run("cannot create a temporary directory");
  Directory = Pattern;
}

deployment::~deployment() {
  Processes.clear();
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Directory);
}

std::string deployment::ip(int Class, int I) const {
  return "127." + std::to_string(Block) + "." + std::to_string(Class) + "." +
         std::to_string(I + 1);
}

void deployment::chooseAddresses() {
  constexpr int FirstBlock = 20;
  constexpr int Blocks = 200;
  for (int Attempt = 0; Attempt < Blocks; ++Attempt) {
    Block = FirstBlock + (static_cast<int>(getpid()) + Attempt) % Blocks;
    bool Free = canListen(ip(StoreClass, 0) + ":" + StorePort);
    for (const std::string &Port :
         {PeerPort, HttpPort, FrontPort, ReadinessPort})
      Free = Free && canListen(ip(EdgeClass, 0) + ":" + Port);
    for (const std::string &Port :
         {PeerPort, HttpPort, ControlPort, WorkerPort})
      Free = Free && canListen(ip(SideClass, 0) + ":" + Port);
    if (Free)
      return;
  }
  throw case_not_run("the ports are not free");
}

deployment::fields deployment::settingsFields(const std::string &Node,
                                              const std::string &Ip,
                                              const std::string &Store) const {
  std::string Seeds;
  for (int I = 0; I < std::min(Options.Entries, 3); ++I)
    Seeds += (I > 0 ? "," : "") + ip(EdgeClass, I) + ":" + ControlPort;
  return {{"NodeName", Node},
          {"Ip", Ip},
          {"Region", "region-a"},
          {"Zone", "zone-a"},
          {"Limits.CpuShare", "0.25"},
          {"PortRange.0", PeerPort},
          {"Listen.Front", Ip + ":" + FrontPort},
          {"Listen.Readiness", Ip + ":" + ReadinessPort},
          {"Listen.Control", Ip + ":" + ControlPort},
          {"platform.Address", Store},
          {"Seeds", Seeds},
          {"app", Ip + ":" + WorkerPort},
          {"Bounds.HoldMaxMs", std::to_string(Options.HoldMaxMs)},
          {"Bounds.GangWaitMs", "3000"},
          {"Bounds.StopMs", std::to_string(Options.StopMs)},
          {"Bounds.ReclaimMs", "2700"},
          {"Bounds.status_s", "120"}};
}

void deployment::startRole(const std::string &Role, const std::string &Node,
                           const fields &Fields) {
  const std::string Deploy = readFile(Root + "/deploy/system.toml");
  const std::string Settings = Directory + "/" + Node + ".yaml";
  std::ofstream(Settings) << render(
      readFile(Root + "/" + deployValue(Deploy, Role, "template")), Fields);
  std::vector<std::string> Command;
  std::istringstream Words(deployValue(Deploy, Role, "run"));
  for (std::string Word; Words >> Word;) {
    const std::size_t At = Word.find("/etc/");
    Command.push_back(At == std::string::npos ? Word
                                              : Word.substr(0, At) + Settings);
  }
  Command[0] = Root + "/" + Command[0];
  Processes[Node] =
      std::make_unique<child_process>(Command, Directory + "/" + Node + ".log");
}

void deployment::putConfiguration() {
  const json Config = {{"Version", 7},
                       {"Routes",
                        {route("r-lohu", queuePath(), 1, 4, 3.0),
                         route("r-pufi", urgentQueuePath(), 0, 2, 1.5)}},
                       {"Services",
                        {{{"Name", "desk"},
                          {"HealthPath", "/healthz"},
                          {"MaxConns", 64},
                          {"Protocol", "h1"},
                          {"Tls", false},
                          {"EnforceCapacity", false},
                          {"Standby", false}}}},
                       {"Limits",
                        {{"MaxHeaderBytes", 16384},
                         {"MaxBodyBytes", 262144},
                         {"HeaderTimeoutMs", 3000},
                         {"IdleTimeoutMs", 15000}}},
                       {"Tenants",
                        {{{"Name", "kaje80"},
                          {"ApiKeys", {Key}},
                          {"Priority", 1},
                          {"GuaranteedGpus", {{"Gpu", 16}}}}}}};
  bool Stored = false;
  const auto Append = [&] {
    Http.send({.Address = ip(StoreClass, 0) + ":" + StorePort,
               .Method = "POST",
               .Target = "/api/log-append?Topic=keyed.op&part=0",
               .Body = frame("config", Config.dump()),
               .Timeout = 2s},
              [&](const http_result &Result) { Stored = Result.ok(); });
  };
  for (int Attempt = 0; Attempt < 50 && !Stored; ++Attempt) {
    Append();
    runUntil([&] { return Stored; }, 200ms);
  }
  if (!Stored)
    throw case_not_run("the store does not answer");
}

void deployment::start() {
  chooseAddresses();
  const std::string Store = ip(StoreClass, 0) + ":" + StorePort;
  Processes["store"] = std::make_unique<child_process>(
      std::vector<std::string>{Root + "/build-review-2/system/standins/store/"
                                      "gp_standin_store",
                               "--listen=" + Store},
      Directory + "/store.log");
  runFor(300ms);
  putConfiguration();
  for (int I = 0; I < Options.Entries; ++I) {
    const std::string Listen = ip(ProxyClass, I) + ":" + StorePort;
    Proxies.push_back(std::make_unique<store_proxy>(Loop, Http, Listen, Store));
    startRole("entry", entryName(I),
              settingsFields(entryName(I), ip(EdgeClass, I), Listen));
  }
  for (int I = 0; I < Options.Workers; ++I) {
    const std::string Node = "side-" + std::to_string(I);
    startRole("agent", Node, settingsFields(Node, ip(SideClass, I), Store));
    char Id[16];
    std::snprintf(Id, sizeof Id, "i-%08x", 0x7f3a9100 + I);
    worker_options Worker{.Id = Id,
                          .Rack = "r1-" + std::to_string(I / 3),
                          .Address = ip(SideClass, I) + ":" + WorkerPort,
                          .Control = ip(SideClass, I) + ":" + ControlPort,
                          .HoldMaxMs = Options.HoldMaxMs,
                          .StopMs = Options.StopMs};
    if (Options.Adjust)
      Options.Adjust(I, Worker);
    Workers.push_back(
        std::make_unique<worker_machine>(Loop, Http, Record, History, Worker));
  }
  for (int I = 0; I < Options.Entries; ++I) {
    int Code = 0;
    const bool Ready = runUntil(
        [&] {
          if (Code != 200 && Code != -1) {
            Code = -1;
            Http.send({.Address = ip(EdgeClass, I) + ":" + ReadinessPort,
                       .Method = "GET",
                       .Target = "/api/readyz",
                       .Timeout = 1s},
                      [&](const http_result &Result) { Code = Result.Code; });
          }
          return Code == 200;
        },
        20s);
    if (!Ready)
      throw case_not_run("an entry is not ready");
  }
  // A first job shows that the whole path works.
  const std::string First = jobPath(0);
  callAndWait(0, "POST", First, jobBody(1, 100, 100, 0));
  if (!runUntil([&] { return stateOf(0, First) == "completed"; }, 20s))
    throw case_not_run("the first job does not end");
  runFor(1s);
  Record.line("the deployment is up");
}

void deployment::call(int I, const std::string &Method, const std::string &Path,
                      const std::string &Body,
                      std::function<void(const http_result &)> Done) {
  Record.line("consumer: " + Method + " " + Path + " to " + entryName(I));
  Http.send({.Address = ip(EdgeClass, I) + ":" + FrontPort,
             .Method = Method,
             .Target = Path,
             .Headers = {{"Host", Host},
                         {"Authorization", "Bearer " + Key},
                         {"Content-Type", "application/json"},
                         {"X-Timeout-Ms", "3000"}},
             .Body = Body,
             .Timeout = 3s},
            [this, I, Method, Path,
             Done = std::move(Done)](const http_result &Result) {
              Record.line("consumer: " + Method + " " + Path + " at " +
                          entryName(I) + " answered " +
                          std::to_string(Result.Code) + " " + Result.Body);
              Done(Result);
            });
}

http_result deployment::callAndWait(int I, const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body) {
  std::optional<http_result> Answer;
  call(I, Method, Path, Body,
       [&](const http_result &Result) { Answer = Result; });
  while (!Answer)
    Loop.runOnce(LoopWait);
  return *Answer;
}

std::string deployment::stateOf(int I, const std::string &Path) {
  const http_result Answer = callAndWait(I, "GET", Path);
  runFor(50ms);
  const json Body = json::parse(Answer.Body, nullptr, false);
  return Answer.ok() && Body.is_object() ? Body.value("State", "") : "";
}

bool deployment::runUntil(const std::function<bool()> &Condition,
                          duration Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    if (Record.seconds() > CaseSeconds)
      throw case_not_run("the case takes too long");
    Loop.runOnce(LoopWait);
  }
  return true;
}

void deployment::runFor(duration Time) {
  runUntil([] { return false; }, Time);
}

void deployment::runToSecond(double Seconds) {
  runUntil([&] { return Record.seconds() >= Seconds; }, 120s);
}

std::string queuePath() { return "/lohu930/"; }

std::string urgentQueuePath() { return "/pufi791/"; }

std::string jobId(int Number) {
  char Id[32];
  std::snprintf(Id, sizeof Id, "5c0e7a21d94b%04x", Number);
  return Id;
}

std::string jobPath(int Number) { return queuePath() + jobId(Number); }

std::string jobBody(int Count, int Cpu, int Ms, int EachMs,
                    const json &StepFields) {
  json Step = {{"Count", Count},
               {"Cpu", Cpu},
               {"MemMb", 64},
               {"EstimatedMs", Ms + EachMs * Count / 2}};
  Step.update(StepFields);
  const json Spec = {{"ms", Ms}, {"each_ms", EachMs}};
  return json{{"Spec", Spec.dump()}, {"Steps", {Step}}}.dump();
}

int runCase(
    int ArgumentCount, char **Arguments, const deployment_options &Options,
    const std::function<bool(deployment &, case_record &, bool)> &Scenario) {
  constexpr int Held = 0;
  constexpr int Broken = 1;
  constexpr int NotRun = 2;
  if (ArgumentCount != 3)
    return NotRun;
  const char *Setting = std::getenv("TROUBLE");
  const bool Trouble = !Setting || std::string(Setting) != "0";
  case_record Record(Arguments[2]);
  Record.line(Trouble ? "with the disruption" : "without the disruption");
  try {
    deployment Deployment(Arguments[1], Record, Options);
    Deployment.start();
    const bool Holds = Scenario(Deployment, Record, Trouble);
    Record.line(Holds ? "RULE HELD" : "RULE BROKEN");
    std::printf(Holds ? "held\n" : "broken\n");
    return Holds ? Held : Broken;
  } catch (const std::exception &Problem) {
    Record.line(std::string("NOT RUN: ") + Problem.what());
    std::printf("not run: %s\n", Problem.what());
    return NotRun;
  }
}

} // namespace review2
