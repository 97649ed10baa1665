#include "daemon/tests/processcluster.h"

#include "codec/protojson.h"
#include "codec/tokenhash.h"
#include "core/base/error.h"
#include "transport/address.h"
#include "transport/httpserver.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <google/protobuf/struct.pb.h>
#include <optional>
#include <unistd.h>
#include <utility>

namespace geraniumpaddle::tests {

namespace {

constexpr duration MaxLoopWait = std::chrono::milliseconds(10);

std::string makeTemporaryDirectory() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "gp-test-XXXXXX").string();
  if (!mkdtemp(Pattern.data()))
    throw internal_error("cannot create a temporary directory");
  return Pattern;
}

/// An address with a port that is free now and below the range from which the
/// kernel chooses the ports of outgoing connections. Each test program has
/// ports of its own, so that no other one takes the port of a daemon that is
/// down.
std::string findFreeAddress() {
  constexpr int FirstPort = 10000;
  constexpr int PortsPerProgram = 100;
  constexpr int Blocks = 200;
  const int First = FirstPort + getpid() % Blocks * PortsPerProgram;
  static int Next = 0;
  for (int Attempt = 0; Attempt < PortsPerProgram; ++Attempt) {
    std::string Address =
        "127.0.0.1:" + std::to_string(First + Next++ % PortsPerProgram);
    try {
      event_loop Loop;
      const http_server Probe(Loop, Address, http_server_limits{}, {});
      return Address;
    } catch (const bind_error &) {
      continue;
    }
  }
  throw internal_error("no port is free");
}

std::string commonSettings(const std::string &Role, const std::string &Node,
                           const std::string &Region, const std::string &Zone) {
  return "role: " + Role + "\nnode: " + Node + "\nregion: " + Region +
         "\nzone: " + Zone +
         "\nlisten: {peer: \"127.0.0.1:0\", http: \"127.0.0.1:0\"}\n"
         "timing: {heartbeat_ms: 200, lease_ms: 2000, drain_notice_ms: 500, "
         "probe_back_off_ms: 500}\n";
}

} // namespace

std::string header(const http_result &Result, const std::string &Name) {
  for (const http_header &Header : Result.Headers)
    if (Header.Name == Name)
      return Header.Value;
  return "";
}

process_cluster::process_cluster(const std::string &LogDirectory)
    : Directory(LogDirectory.empty() ? makeTemporaryDirectory() : LogDirectory),
      KeepDirectory(!LogDirectory.empty()), Daemon(GP_DAEMON),
      Http(Loop, http_client_limits{}, Traffic) {
  std::filesystem::create_directories(Directory);
}

process_cluster::~process_cluster() {
  Processes.clear();
  if (KeepDirectory)
    return;
  if (UtestShell::getCurrent()->hasFailed()) {
    // An intermittent failure can only be analysed with the logs of its run.
    std::fprintf(stderr, "the logs of the processes are kept in %s\n",
                 Directory.c_str());
    return;
  }
  std::filesystem::remove_all(Directory);
}

void process_cluster::startStandin(const std::string &Name,
                                   std::vector<std::string> Command) {
  // An earlier process of this name has left its port there.
  std::filesystem::remove(filePrefix(Name) + ".port");
  Command.push_back("--port_file=" + filePrefix(Name) + ".port");
  Processes[Name] = std::make_unique<child_process>(Command, filePrefix(Name));
  std::string Port;
  CHECK_TEXT(waitFor([&] {
               std::ifstream Stream(filePrefix(Name) + ".port");
               return static_cast<bool>(Stream >> Port);
             }),
             Name.c_str());
  Addresses[Name] = "127.0.0.1:" + Port;
}

void process_cluster::startDaemon(const std::string &Name,
                                  const std::string &Settings) {
  keepOutput(Name);
  std::ofstream(filePrefix(Name) + ".yaml") << Settings;
  Processes[Name] = std::make_unique<child_process>(
      std::vector<std::string>{Daemon,
                               "--settings=" + filePrefix(Name) + ".yaml"},
      filePrefix(Name));
  Addresses[Name] = listenAddress(Name, "http=");
}

void process_cluster::keepOutput(const std::string &Name) {
  Processes.erase(Name);
  for (const char *Stream : {".out", ".err"}) {
    const std::string Path = filePrefix(Name) + Stream;
    if (!std::filesystem::exists(Path))
      continue;
    int Number = 1;
    while (std::filesystem::exists(Path + "." + std::to_string(Number)))
      ++Number;
    std::filesystem::rename(Path, Path + "." + std::to_string(Number));
  }
}

std::string process_cluster::reservedAddress(const std::string &Name,
                                             const std::string &Interface) {
  std::string &Address = Addresses[Name + "." + Interface];
  if (Address.empty())
    Address = findFreeAddress();
  return Address;
}

std::string process_cluster::listenAddress(const std::string &Name,
                                           const std::string &Field) {
  std::string Output;
  bool Listening = waitFor([&] {
    Output = process(Name).output();
    return Output.find('\n') != std::string::npos;
  });
  CHECK_TEXT(Listening, (Name + ": " + process(Name).errors()).c_str());
  auto First = Output.find(Field) + Field.size();
  return Output.substr(First, Output.find_first_of(" \n", First) - First);
}

void process_cluster::startLog(const std::vector<std::string> &Flags) {
  std::vector<std::string> Command = {GP_STANDIN_LOG};
  Command.insert(Command.end(), Flags.begin(), Flags.end());
  startStandin("log", Command);
}

void process_cluster::startEntry(const std::string &Name,
                                 const std::string &Region,
                                 const std::string &Zone,
                                 const std::string &ExtraSettings) {
  startDaemon(Name, commonSettings("entry", Name, Region, Zone) +
                        "log: {address: \"" + address("log") +
                        "\", region: perth-metro}\n" + ExtraSettings);
}

void process_cluster::startAgent(const agent_options &Options) {
  startStandin("worker-" + Options.Name,
               {GP_STANDIN_WORKER, "--worker=worker-" + Options.Name});
  startStandin(
      "endpoint-" + Options.Name,
      {GP_STANDIN_ENDPOINT, "--slots=" + std::to_string(Options.Slots)});
  restartAgent(Options);
}

void process_cluster::restartAgent(const agent_options &Options) {
  startDaemon("agent-" + Options.Name,
              commonSettings("agent", "agent-" + Options.Name, Options.Region,
                             Options.Zone) +
                  "agent:\n  entries: [\"" + peerAddress(Options.Entry) +
                  "\"]\n  worker: {id: worker-" + Options.Name +
                  ", rack: rack-1, address: \"" +
                  address("worker-" + Options.Name) +
                  "\"}\n  endpoint: {service: bookdesk, address: \"" +
                  address("endpoint-" + Options.Name) +
                  "\", slots: " + std::to_string(Options.Slots) + "}\n");
}

void process_cluster::startDefaultCluster(int Agents, int Slots) {
  startLog();
  startEntry("entry-1");
  for (int I = 1; I <= Agents; ++I)
    startAgent({.Name = std::to_string(I), .Slots = Slots});
  CHECK_TEXT(waitFor([&] {
               return hasLinkedAgents("entry-1",
                                      static_cast<std::size_t>(Agents));
             }),
             "the agents are not linked");
  LONGS_EQUAL(200, putCustomer("entry-1", "swan-coast", 0).Code);
}

void process_cluster::startStore() {
  startStandin("store", {GP_STANDIN_STORE});
}

std::vector<std::string>
process_cluster::extraAddresses(const std::string &Name, std::size_t Count) {
  const std::string Marker = "listening also=";
  std::vector<std::string> Found;
  CHECK_TEXT(waitFor([&] {
               Found.clear();
               const std::string Output = process(Name).output();
               std::size_t At = Output.find(Marker);
               while (At != std::string::npos) {
                 const std::size_t First = At + Marker.size();
                 const std::size_t End = Output.find('\n', First);
                 if (End == std::string::npos)
                   break;
                 Found.push_back(Output.substr(First, End - First));
                 At = Output.find(Marker, End);
               }
               return Found.size() >= Count;
             }),
             Name.c_str());
  return Found;
}

std::string process_cluster::jobRoleSettings(const std::string &Role,
                                             const std::string &Node,
                                             const std::string &Store) {
  return "role: " + Role + "\nnode: " + Node +
         "\nregion: perth-metro\nzone: perth-east\n"
         "store: {address: \"" +
         (Store.empty() ? address("store") : Store) +
         "\"}\ntiming: {lease_ms: 6000, gang_wait_ms: 3000, stop_ms: 200}\n";
}

std::string
process_cluster::listenSettings(const std::string &Name,
                                const std::vector<std::string> &Interfaces) {
  std::string Fields;
  for (const std::string &Interface : Interfaces)
    Fields += (Fields.empty() ? "" : ", ") + Interface + ": \"" +
              reservedAddress(Name, Interface) + "\"";
  return "listen: {" + Fields + "}\n";
}

void process_cluster::startJobEntry(const std::string &Name,
                                    const std::string &Store,
                                    const std::string &ExtraSettings) {
  startDaemon(Name,
              jobRoleSettings("job_entry", Name, Store) +
                  listenSettings(Name, {"peer", "http", "front", "readiness"}) +
                  ExtraSettings);
  extraAddresses(Name, 2);
}

void process_cluster::startJobAgent(const std::string &Name,
                                    const std::string &Store,
                                    const std::string &ExtraSettings) {
  startDaemon(Name, jobRoleSettings("job_agent", Name, Store) +
                        listenSettings(Name, {"peer", "http", "control"}) +
                        ExtraSettings);
  extraAddresses(Name, 1);
}

void process_cluster::startTaskWorkers(
    const std::vector<std::string> &Agents,
    const std::vector<std::string> &Proxies) {
  std::string Workers;
  for (std::size_t I = 0; I < Agents.size(); ++I)
    Workers += "w" + std::to_string(I + 1) + "@r" + std::to_string(I / 2) +
               (I % 2 == 0 ? "@plain@" : "@fast@") +
               address(Agents[I] + ".control") +
               (Proxies.empty() ? "" : "@" + Proxies[I]) + ",";
  startStandin("workers", {GP_STANDIN_TASKWORKERS, "--workers=" + Workers});
  const std::string Output = process("workers").output();
  for (std::size_t I = 1; I <= Agents.size(); ++I) {
    const std::string Name = "w" + std::to_string(I);
    const std::string Marker = "worker " + Name + " ";
    const std::size_t First = Output.find(Marker) + Marker.size();
    Addresses[Name] = Output.substr(First, Output.find('\n', First) - First);
  }
}

void process_cluster::putConfiguration(int Version) {
  std::string Routes;
  for (const auto &[Queue, Priority] :
       {std::pair("urgent", 0), std::pair("batch", 1)})
    Routes += std::string(Routes.empty() ? "" : ",") + R"({"Name":")" + Queue +
              R"(","Host":"jobs.example","PathPrefix":"/)" + Queue +
              R"(/","Service":"desk","Attempts":2,"SlackFactor":3,)"
              R"("TargetLatencyMs":1000,"Priority":)" +
              std::to_string(Priority) + "}";
  const std::string Value = R"({"Version":)" + std::to_string(Version) +
                            R"(,"Routes":[)" + Routes +
                            R"(],"Tenants":[{"Name":"acme","ApiKeys":["key"],)"
                            R"("GuaranteedGpus":{"Gpu":8}}]})";
  const std::string Record = std::string(1, '\6') + "config" + Value;
  std::string Frame;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame += static_cast<char>(Record.size() >> static_cast<unsigned>(Shift));
  LONGS_EQUAL(200, post(address("store"),
                        "/api/log-append?Topic=keyed.op&part=0", Frame + Record)
                       .Code);
}

http_result process_cluster::jobCall(const std::string &Entry,
                                     const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body) {
  std::optional<http_result> Answer;
  jobCallAsync(Entry, Method, Path, Body,
               [&](const http_result &Result) { Answer = Result; });
  while (!Answer)
    Loop.runOnce(MaxLoopWait);
  return *Answer;
}

void process_cluster::jobCallAsync(
    const std::string &Entry, const std::string &Method,
    const std::string &Path, const std::string &Body,
    std::function<void(const http_result &)> Done) {
  Http.send({.Address = address(Entry + ".front"),
             .Method = Method,
             .Target = Path,
             .Headers = {{"Host", "jobs.example"},
                         {"Authorization", "Bearer key"},
                         {"Content-Type", "application/json"},
                         {"X-Timeout-Ms", "3000"}},
             .Body = Body,
             .Timeout = std::chrono::seconds(4)},
            std::move(Done));
}

std::string process_cluster::address(const std::string &Name) {
  return Addresses.at(Name);
}

std::string process_cluster::peerAddress(const std::string &Name) {
  return listenAddress(Name, "peer=");
}

bool process_cluster::waitFor(const std::function<bool()> &Condition,
                              duration Limit) {
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    Loop.runOnce(MaxLoopWait);
  }
  return true;
}

http_result process_cluster::call(http_call Call) {
  std::optional<http_result> Answer;
  Http.send(std::move(Call),
            [&](const http_result &Result) { Answer = Result; });
  while (!Answer)
    Loop.runOnce(MaxLoopWait);
  return *Answer;
}

http_result process_cluster::get(const std::string &Address,
                                 const std::string &Target) {
  return call({Address, "GET", Target, {}, "", std::chrono::seconds(5)});
}

http_result process_cluster::post(const std::string &Address,
                                  const std::string &Target,
                                  const std::string &Body) {
  return call({Address, "POST", Target, {}, Body, std::chrono::seconds(10)});
}

void process_cluster::request(const std::string &Entry,
                              const std::string &Target, bool Idempotent,
                              std::function<void(const http_result &)> Done,
                              duration Timeout) {
  auto Tag = Target.find("tag=");
  std::string TagValue = Tag == std::string::npos ? "" : Target.substr(Tag + 4);
  Http.send({address(Entry),
             "GET",
             "/call/bookdesk" + Target,
             {{"Authorization", "Bearer secret"},
              {"X-Customer", "swan-coast"},
              {"X-Idempotent", Idempotent ? "true" : "false"},
              {"X-Request-Tag", TagValue}},
             "",
             Timeout},
            std::move(Done));
}

void process_cluster::setFault(const std::string &Name,
                               const std::string &Json) {
  LONGS_EQUAL(200, post(address(Name), "/faults", Json).Code);
}

http_result process_cluster::putCustomer(const std::string &Entry,
                                         const std::string &Customer,
                                         std::uint64_t Base, int EightCells) {
  std::optional<http_result> Answer;
  putCustomerAsync(Entry, Customer, Base, EightCells,
                   [&](const http_result &Result) { Answer = Result; });
  waitFor([&] { return Answer.has_value(); });
  return *Answer;
}

void process_cluster::putCustomerAsync(
    const std::string &Entry, const std::string &Customer, std::uint64_t Base,
    int EightCells, std::function<void(const http_result &)> Done) {
  static const std::string Hash = hashToken("secret");
  proto::ChangeCustomers Change;
  Change.set_base(Base);
  proto::CustomerConfig &Config = *Change.add_put();
  Config.set_id(Customer);
  Config.set_display_name("version " + std::to_string(Base + 1));
  Config.set_token_hash(Hash);
  proto::Guarantee &Guarantee = *Config.add_guarantees();
  Guarantee.set_level(proto::CELL_LEVEL_EIGHT);
  Guarantee.set_count(EightCells);
  if (EightCells == 0)
    Config.clear_guarantees();
  Http.send({address(Entry),
             "PUT",
             "/v1/customers",
             {},
             printJson(Change),
             std::chrono::seconds(10)},
            std::move(Done));
}

std::uint64_t process_cluster::configVersion(const std::string &Entry) {
  proto::CustomerList List;
  tryParseJson(get(address(Entry), "/v1/customers").Body, List);
  return List.version();
}

bool process_cluster::hasLinkedAgents(const std::string &Entry,
                                      std::size_t Count) {
  proto::WorkerList List;
  tryParseJson(get(address(Entry), "/v1/workers").Body, List);
  std::size_t Linked = 0;
  for (const proto::WorkerStatus &Worker : List.workers())
    Linked += Worker.linked() && Worker.state() == "active";
  return Linked == Count;
}

http_result process_cluster::submitJob(const std::string &Entry,
                                       const std::string &Job, int Tasks,
                                       const std::string &Command,
                                       bool Idempotent) {
  proto::SubmitJob Body;
  proto::JobSpec &Spec = *Body.mutable_spec();
  Spec.set_id(Job);
  Spec.set_customer("swan-coast");
  for (int I = 0; I < Tasks; ++I) {
    Spec.add_tasks()->set_accelerators(8);
    Spec.mutable_tasks(I)->set_milli_cores(1000);
    Spec.mutable_tasks(I)->set_memory_mb(1024);
  }
  Spec.set_non_idempotent(!Idempotent);
  Spec.set_command(Command);
  return post(address(Entry), "/v1/jobs", printJson(Body));
}

proto::JobStatus process_cluster::job(const std::string &Entry,
                                      const std::string &Job) {
  proto::JobStatus Status;
  tryParseJson(get(address(Entry), "/v1/jobs/" + Job).Body, Status);
  return Status;
}

proto::WorkerStatus process_cluster::worker(const std::string &Entry,
                                            const std::string &Worker) {
  proto::WorkerList List;
  tryParseJson(get(address(Entry), "/v1/workers").Body, List);
  for (const proto::WorkerStatus &Status : List.workers())
    if (Status.worker().id() == Worker)
      return Status;
  return {};
}

double process_cluster::metric(const std::string &Name,
                               const std::string &Metric) {
  std::string Text = "\n" + get(address(Name), "/metrics").Body;
  auto At = Text.find("\n" + Metric + " ");
  if (At == std::string::npos)
    return -1;
  return std::strtod(Text.c_str() + At + Metric.size() + 2, nullptr);
}

int process_cluster::runCount(const std::string &Name, const std::string &Tag) {
  google::protobuf::Struct History;
  tryParseJson(get(address(Name), "/history").Body, History);
  const auto &Fields = History.fields();
  auto Runs = Fields.find("runs");
  if (Runs == Fields.end())
    return 0;
  const auto &Tags = Runs->second.struct_value().fields();
  auto Found = Tags.find(Tag);
  return Found == Tags.end() ? 0
                             : static_cast<int>(Found->second.number_value());
}

} // namespace geraniumpaddle::tests
