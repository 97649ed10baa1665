#include "common/harness.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

using geraniumpaddle::http_call;
using geraniumpaddle::http_request_view;
using geraniumpaddle::http_result;
using geraniumpaddle::http_server;
using geraniumpaddle::ihttp_responder;
using namespace std::chrono_literals;

namespace {

constexpr duration Tick = 20ms;
constexpr const char *Host = "jobs.example";
constexpr const char *ApiKey = "key-of-acme";

std::string ip(int Last) { return "127.0.0." + std::to_string(Last); }
std::string entryIp(int Entry) { return ip(11 + Entry); }

/// Binds \p Port, or any port if it is 0. \returns the port; 0 if it is taken.
int tryPort(const std::string &Ip, int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  socklen_t Size = sizeof Address;
  auto *Raw = reinterpret_cast<sockaddr *>(&Address);
  const bool Bound =
      ::bind(Socket, Raw, Size) == 0 && ::getsockname(Socket, Raw, &Size) == 0;
  ::close(Socket);
  return Bound ? ntohs(Address.sin_port) : 0;
}

/// A port that is free on all of \p Ips, which are loopback addresses.
int freePort(const std::vector<std::string> &Ips, std::set<int> &Taken) {
  for (int Attempt = 0; Attempt < 50; ++Attempt) {
    const int Port = tryPort(Ips.front(), 0);
    const bool Free =
        Port != 0 &&
        std::all_of(Ips.begin(), Ips.end(), [Port](const auto &Ip) {
          return tryPort(Ip, Port) == Port;
        });
    if (Free && Taken.insert(Port).second)
      return Port;
  }
  throw std::runtime_error("no free port");
}

std::string at(const std::string &Ip, int Port) {
  return Ip + ":" + std::to_string(Port);
}

} // namespace

// Record.

recorder::recorder(geraniumpaddle::event_loop &Loop, const std::string &Path)
    : Loop(Loop), Start(Loop.now()), File(std::fopen(Path.c_str(), "w")) {
  if (File == nullptr)
    throw std::runtime_error("cannot write " + Path);
}

recorder::~recorder() { std::fclose(File); }

void recorder::write(const std::string &Line) {
  const double Seconds =
      std::chrono::duration<double>(Loop.now() - Start).count();
  std::fprintf(File, "%8.3f %s\n", Seconds, Line.c_str());
  std::fflush(File);
}

// Worker.

worker::worker(geraniumpaddle::event_loop &Loop,
               geraniumpaddle::http_client &Client, recorder &Record,
               shape Shape, plan_function PlanOf, run_function OnRun)
    : Loop(Loop), Client(Client), Record(Record), Shape(std::move(Shape)),
      PlanOf(std::move(PlanOf)), OnRun(std::move(OnRun)) {
  Server = std::make_unique<http_server>(
      Loop, this->Shape.Ip + ":0", geraniumpaddle::http_server_limits{},
      [this](const http_request_view &Request,
             const std::shared_ptr<ihttp_responder> &Answer) {
        handle(Request, Answer);
      });
  ListenAddress = at(this->Shape.Ip, Server->port());
}

std::string worker::address() const { return ListenAddress; }

void worker::start() {
  StartTimeMs =
      static_cast<std::uint64_t>(Loop.wallNow().time_since_epoch().count());
  ClockStart = Loop.now();
  advance();
  sendHeartbeats(StartTimeMs);
}

std::int64_t worker::clockMs() const {
  return geraniumpaddle::millisecondsOf(Loop.now() - ClockStart);
}

void worker::cut() {
  Record.write("worker " + Shape.Id + " is cut off from all machines");
  IsCut = true;
  for (waiting_hold &Each : Holds)
    Swallowed.push_back(std::move(Each.Answer));
  Holds.clear();
}

void worker::heal() {
  Record.write("worker " + Shape.Id + " is reachable again");
  IsCut = false;
  // Connections from before and during the cut are broken.
  for (const auto &Each : Swallowed)
    Each->abort();
  Swallowed.clear();
}

void worker::restart() {
  const std::uint64_t Before = StartTimeMs;
  const std::map<std::string, active_run> Lost = std::exchange(Active, {});
  for (const auto &[Task, Run] : Lost)
    OnRun(*this, Task, Run.Run, "lost with its worker");
  HighestRun.clear();
  Finished.clear();
  LastEnd = 0;
  Token = 0;
  LeaseEndMs = 0;
  Sequence = 0;
  StartTimeMs =
      static_cast<std::uint64_t>(Loop.wallNow().time_since_epoch().count());
  ClockStart = Loop.now();
  Record.write("worker " + Shape.Id + " born " + std::to_string(Before) +
               " crashes and starts again, born " +
               std::to_string(StartTimeMs));
  sendHeartbeats(StartTimeMs);
}

void worker::leave() {
  Record.write("worker " + Shape.Id + " says that it leaves");
  Draining = true;
  DrainEnd = Loop.now() + std::chrono::milliseconds(DrainMs);
  beat([this](bool Confirmed) {
    Record.write("worker " + Shape.Id +
                 " is draining, confirmed: " + (Confirmed ? "yes" : "no"));
    Loop.startTimer(std::chrono::milliseconds(DrainMs) + 300ms,
                    [this] { deregister(); });
  });
}

void worker::deregister() {
  Client.send({.Address = Shape.Control,
               .Method = "POST",
               .Target = "/api/workers/" + Shape.Id + "/deregister",
               .Headers = {{"Content-Type", "application/json"}},
               .Body = json{{"born", StartTimeMs}}.dump(),
               .Timeout = 1s},
              [this](const http_result &) { finish(); });
}

void worker::finish() {
  Record.write("worker " + Shape.Id + " ends");
  const std::map<std::string, active_run> Lost = std::exchange(Active, {});
  Holds.clear();
  Server.reset();
  for (const auto &[Task, Run] : Lost)
    OnRun(*this, Task, Run.Run, "lost with its worker");
}

bool worker::runs(const std::string &Task) const {
  return Active.contains(Task);
}

void worker::respond(const std::shared_ptr<ihttp_responder> &Answer, int Code,
                     json Body) {
  Body["ClockMs"] = clockMs();
  Answer->respond({.Code = Code,
                   .Headers = {{"Content-Type", "application/json"}},
                   .Body = Body.dump()});
}

void worker::handle(const http_request_view &Request,
                    const std::shared_ptr<ihttp_responder> &Answer) {
  if (IsCut) {
    Swallowed.push_back(Answer);
    return;
  }
  const json Body = json::parse(Request.Body, nullptr, false);
  std::string Expected = Shape.Id;
  for (const geraniumpaddle::http_header &Each : Request.Headers)
    if (Each.Name == "X-Expected-Instance")
      Expected = Each.Value;
  if (Expected != Shape.Id) {
    respond(Answer, 421, json::object());
    return;
  }
  if (!Body.is_object()) {
    respond(Answer, 400, json::object());
    return;
  }
  const auto Given = Body.value("FencingToken", std::uint64_t{0});
  if (Given < Token) {
    respond(Answer, 409, {{"Reason", "fence"}});
    return;
  }
  Token = Given;
  if (Request.Path == "/api/run-start")
    startRun(Body, Answer);
  else if (Request.Path == "/api/run-stop")
    stopRun(Body, Answer);
  else if (Request.Path == "/api/hold")
    hold(Body, Answer);
  else
    respond(Answer, 404, json::object());
}

void worker::extend(const json &Body) {
  if (!Body.contains("DeadlineMs"))
    return;
  const std::int64_t Wanted = Body.at("DeadlineMs");
  LeaseEndMs = std::max(LeaseEndMs, std::min(Wanted, clockMs() + HoldMaxMs));
}

void worker::startRun(const json &Body,
                      const std::shared_ptr<ihttp_responder> &Answer) {
  const std::string Task = Body.at("Task");
  const int Run = Body.at("Run");
  const auto Found = Active.find(Task);
  std::string Refusal;
  if (Found != Active.end() && Found->second.Run == Run) {
    respond(Answer, 200, json::object());
    return;
  }
  if (Body.at("DeadlineMs").get<std::int64_t>() <= clockMs())
    Refusal = "late";
  else if (HighestRun.contains(Task) && Run <= HighestRun.at(Task))
    Refusal = "old";
  if (Refusal != "late")
    extend(Body);
  if (!Refusal.empty()) {
    Record.write("worker " + Shape.Id + " refuses run-start " + Task + " run " +
                 std::to_string(Run) + ": " + Refusal);
    respond(Answer, 409, {{"Reason", Refusal}});
    return;
  }
  Active[Task] = {.Run = Run, .Plan = PlanOf(Task), .Began = Loop.now()};
  Record.write("worker " + Shape.Id + " born " + std::to_string(StartTimeMs) +
               " begins " + Task + " run " + std::to_string(Run));
  respond(Answer, 200, json::object());
  OnRun(*this, Task, Run, "");
}

void worker::stopRun(const json &Body,
                     const std::shared_ptr<ihttp_responder> &Answer) {
  const std::string Task = Body.at("Task");
  const int Run = Body.at("Run");
  Record.write("worker " + Shape.Id + " gets run-stop " + Task + " run " +
               std::to_string(Run));
  int &Highest = HighestRun[Task];
  Highest = std::max(Highest, Run);
  const auto Found = Active.find(Task);
  if (Found != Active.end() && Found->second.Run <= Run &&
      !Found->second.StopAt)
    Found->second.StopAt = Loop.now() + std::chrono::milliseconds(StopMs - 20);
  respond(Answer, 200, json::object());
}

void worker::hold(const json &Body,
                  const std::shared_ptr<ihttp_responder> &Answer) {
  extend(Body);
  const auto Cursor = Body.value("AckCursor", std::uint64_t{0});
  std::erase_if(Finished, [&](const finished &Each) {
    if (Each.Number > Cursor)
      return false;
    Record.write("end " + Each.How + " of " + Each.Task + " run " +
                 std::to_string(Each.Run) + " is taken note of");
    return true;
  });
  const auto WaitMs = Body.value("WaitMs", 0);
  if (WaitMs == 0 || !Finished.empty())
    answerHold(Answer);
  else
    Holds.push_back({Answer, Loop.now() + std::chrono::milliseconds(WaitMs)});
}

void worker::answerHold(const std::shared_ptr<ihttp_responder> &Answer) {
  json Running = json::array();
  for (const auto &[Task, Run] : Active) {
    const auto Percent = 100 * (Loop.now() - Run.Began) / Run.Plan.Work;
    Running.push_back(
        {Task, Run.Run, "", std::min<std::int64_t>(Percent, 100), 0});
  }
  json Ends = json::array();
  for (const finished &Each : Finished)
    Ends.push_back({Each.Number, Each.Task, Each.Run, Each.How, ""});
  respond(Answer, 200,
          {{"born", StartTimeMs}, {"Running", Running}, {"Finished", Ends}});
}

void worker::end(const std::string &Task, const std::string &How) {
  const auto Node = Active.extract(Task);
  const int Run = Node.mapped().Run;
  int &Highest = HighestRun[Task];
  Highest = std::max(Highest, Run);
  Finished.push_back({++LastEnd, Task, Run, How});
  Record.write("worker " + Shape.Id + ": " + Task + " run " +
               std::to_string(Run) + " ends " + How);
  OnRun(*this, Task, Run, How);
}

void worker::advance() {
  const time_point Now = Loop.now();
  std::vector<std::pair<std::string, std::string>> Ending;
  for (const auto &[Task, Run] : Active) {
    if (clockMs() >= LeaseEndMs)
      Ending.emplace_back(Task, "lapsed");
    else if (Run.StopAt && *Run.StopAt <= Now)
      Ending.emplace_back(Task, "stopped");
    else if (Run.Plan.EndsDone && Now - Run.Began >= Run.Plan.Work)
      Ending.emplace_back(Task, "done");
  }
  for (const auto &[Task, How] : Ending)
    end(Task, How);
  std::vector<waiting_hold> Due;
  std::erase_if(Holds, [&](const waiting_hold &Each) {
    const bool Answer = !Finished.empty() || Each.Until <= Now;
    if (Answer)
      Due.push_back(Each);
    return Answer;
  });
  for (const waiting_hold &Each : Due)
    answerHold(Each.Answer);
  Loop.startTimer(Tick, [this] { advance(); });
}

json worker::heartbeat() {
  json Body = {{"Service", Shape.Service},
               {"Address", ListenAddress},
               {"Zone", "perth-east"},
               {"Version", "v1"},
               {"Slots", 8},
               {"State", Draining ? "draining" : "ready"},
               {"ColdLeftMs", 0},
               {"Capacity", {{"Cpu", 128000}, {"MemMb", 262144}, {"Gpu", 8}}},
               {"Labels", {"a", Shape.Rack}},
               {"ClockMs", clockMs()},
               {"born", StartTimeMs},
               {"Seq", ++Sequence}};
  if (Draining)
    Body["DrainRemainingMs"] = std::max<std::int64_t>(
        0, geraniumpaddle::millisecondsOf(DrainEnd - Loop.now()));
  return Body;
}

void worker::sendHeartbeats(std::uint64_t OfInstance) {
  if (!Server || StartTimeMs != OfInstance)
    return;
  Loop.startTimer(std::chrono::milliseconds(HeartbeatMs),
                  [this, OfInstance] { sendHeartbeats(OfInstance); });
  if (!IsCut)
    beat([](bool) {});
}

void worker::beat(const std::function<void(bool Confirmed)> &Done) {
  Client.send({.Address = Shape.Control,
               .Method = "POST",
               .Target = "/api/workers/" + Shape.Id + "/heartbeat",
               .Headers = {{"Content-Type", "application/json"}},
               .Body = heartbeat().dump(),
               .Timeout = 1s},
              [Done](const http_result &Result) { Done(Result.ok()); });
}

// Deployment.

deployment::deployment(geraniumpaddle::event_loop &Loop, paths Paths,
                       int Entries, int Agents)
    : Loop(Loop), Paths(std::move(Paths)), EntryCount(Entries),
      AgentCount(Agents), Record(Loop, this->Paths.Record),
      Client(Loop, geraniumpaddle::http_client_limits{}, Traffic) {
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] {
      endChildren();
      std::_Exit(CouldNotRun);
    });
}

deployment::~deployment() { endChildren(); }

void deployment::endChildren() {
  for (const auto &[Pid, Name] : Children)
    ::kill(Pid, SIGKILL);
  for (const auto &[Pid, Name] : Children)
    ::waitpid(Pid, nullptr, 0);
  Children.clear();
}

std::string deployment::agentIp(int Agent) const { return ip(31 + Agent); }

bool deployment::waitFor(const std::function<bool()> &Condition,
                         duration Limit) {
  const auto Until = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Until)
      return false;
    Loop.runOnce(10ms);
  }
  return true;
}

void deployment::run(duration Length) {
  waitFor([] { return false; }, Length);
}

pid_t deployment::spawn(const std::string &Name,
                        const std::vector<std::string> &Command) {
  std::vector<char *> Arguments;
  for (const std::string &Each : Command)
    Arguments.push_back(const_cast<char *>(Each.c_str()));
  Arguments.push_back(nullptr);
  const std::string Log = Paths.Temporary + "/" + Name + ".log";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  pid_t Pid = 0;
  const int Failed = posix_spawn(&Pid, Arguments[0], &Actions, nullptr,
                                 Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed != 0)
    throw std::runtime_error("cannot start " + Command[0]);
  Children[Pid] = Name;
  return Pid;
}

std::string deployment::writeSettings(const std::string &Name,
                                      const std::string &Text) {
  const std::string Path = Paths.Temporary + "/" + Name + ".yaml";
  std::ofstream(Path) << Text;
  return Path;
}

http_result deployment::send(http_call Call) {
  std::optional<http_result> Answer;
  Client.send(std::move(Call),
              [&](const http_result &Result) { Answer = Result; });
  while (!Answer)
    Loop.runOnce(10ms);
  return *Answer;
}

bool deployment::start() {
  std::set<int> Taken;
  std::vector<std::string> Ips = {"127.0.0.1"};
  for (int I = 0; I < EntryCount; ++I)
    Ips.push_back(entryIp(I));
  for (int I = 0; I < AgentCount; ++I)
    Ips.push_back(agentIp(I));
  const int PeerPort = freePort(Ips, Taken);
  const int HttpPort = freePort(Ips, Taken);
  const int FrontPort = freePort(Ips, Taken);
  const int ReadinessPort = freePort(Ips, Taken);
  const int ControlPort = freePort(Ips, Taken);
  StoreAddress = at("127.0.0.1", freePort(Ips, Taken));
  spawn("store", {Paths.Store, "--listen=" + StoreAddress});
  if (!waitFor([&] { return putConfiguration(); }, 10s))
    return false;
  std::string Seeds;
  for (int I = 0; I < EntryCount; ++I)
    Seeds += (I ? "," : "") + at(entryIp(I), ControlPort);
  // As deploy/entry.yaml and deploy/agent.yaml are rendered.
  const auto Common = [&](const std::string &Role, const std::string &Node,
                          const std::string &Ip) {
    return "role: " + Role + "\nnode: " + Node +
           "\nregion: perth-metro\nzone: perth-east\nlisten:\n  peer: " +
           at(Ip, PeerPort) + "\n  http: " + at(Ip, HttpPort) + "\n";
  };
  const std::string Timing =
      "timing:\n  lease_ms: " + std::to_string(HoldMaxMs) +
      "\n  gang_wait_ms: " + std::to_string(GangWaitMs) +
      "\n  stop_ms: " + std::to_string(StopMs) +
      "\n  reclaim_ms: " + std::to_string(ReclaimMs) + "\n";
  for (int I = 0; I < EntryCount; ++I) {
    const std::string Name = "edge-perth-east-" + std::to_string(I + 1);
    const std::string Ip = entryIp(I);
    Fronts.push_back(at(Ip, FrontPort));
    Readiness.push_back(at(Ip, ReadinessPort));
    const std::string File = writeSettings(
        Name, Common("job_entry", Name, Ip) + "  front: " + Fronts.back() +
                  "\n  readiness: " + Readiness.back() +
                  "\nvm:\n  cpu_share: 0.25\nstore:\n  address: " +
                  StoreAddress + "\nagent:\n  entries: [" + Seeds + "]\n" +
                  Timing + "  status_kept_ms: 120000\n");
    spawn(Name, {Paths.Daemon, "--settings=" + File});
  }
  for (int I = 0; I < AgentCount; ++I) {
    const std::string Name = "side-perth-east-" + std::to_string(I + 1);
    const std::string Ip = agentIp(I);
    Controls.push_back(at(Ip, ControlPort));
    const std::string File = writeSettings(
        Name, Common("job_agent", Name, Ip) + "  control: " + Controls.back() +
                  "\nstore:\n  address: " + StoreAddress +
                  "\nagent:\n  entries: [" + Seeds + "]\n" + Timing);
    spawn(Name, {Paths.Daemon, "--settings=" + File});
  }
  return waitFor(
      [&] {
        return std::all_of(Readiness.begin(), Readiness.end(),
                           [&](const auto &Each) {
                             return send({.Address = Each,
                                          .Method = "GET",
                                          .Target = "/api/readyz",
                                          .Timeout = 1s})
                                        .Code == 200;
                           });
      },
      20s);
}

bool deployment::putConfiguration() {
  const json Value = {{"Version", 1},
                      {"Routes",
                       {{{"Name", "r-bookings"},
                         {"Host", Host},
                         {"PathPrefix", "/bookings/"},
                         {"Type", "non_idempotent"},
                         {"TimeoutMs", 3000},
                         {"TargetLatencyMs", 500},
                         {"Priority", 1},
                         {"Service", "bookdesk"},
                         {"Attempts", 4},
                         {"SlackFactor", 3.0},
                         {"Anonymous", false}}}},
                      {"Services",
                       {{{"Name", "bookdesk"},
                         {"EnforceCapacity", false},
                         {"Standby", false}}}},
                      {"Tenants",
                       {{{"Name", "acme"},
                         {"ApiKeys", {ApiKey}},
                         {"GuaranteedGpus", {{"Gpu", 8}}}}}}};
  const std::string Content = std::string(1, '\6') + "config" + Value.dump();
  std::string Frame;
  for (unsigned Shift = 32; Shift > 0; Shift -= 8)
    Frame += static_cast<char>(Content.size() >> (Shift - 8));
  const http_result Result =
      send({.Address = StoreAddress,
            .Method = "POST",
            .Target = "/api/log-append?Topic=keyed.op&part=0",
            .Headers = {{"Content-Type", "application/octet-stream"}},
            .Body = Frame + Content,
            .Timeout = 1s});
  if (!Result.ok())
    std::this_thread::sleep_for(50ms);
  return Result.ok();
}

http_result deployment::call(int Entry, const std::string &Method,
                             const std::string &Path, const std::string &Body) {
  const http_result Result =
      send({.Address = Fronts.at(Entry),
            .Method = Method,
            .Target = Path,
            .Headers = {{"Host", Host},
                        {"Authorization", std::string("Bearer ") + ApiKey},
                        {"Content-Type", "application/json"},
                        {"X-Timeout-Ms", "3000"}},
            .Body = Body,
            .Timeout = 3s});
  if (Method != "GET")
    Record.write("consumer: " + Method + " " + Path + " " + Body + " -> " +
                 std::to_string(Result.Code) + " " + Result.Body);
  return Result;
}

std::string deployment::state(int Entry, const std::string &Path) {
  const http_result Result = call(Entry, "GET", Path);
  const json Body = json::parse(Result.Body, nullptr, false);
  if (Result.Code != 200 || !Body.is_object())
    return "";
  return Body.value("State", "");
}

std::string jobBody(int Count, int Cpu, int MemMb, int Gpu, int EstimatedMs,
                    const json &MoreFields) {
  json Step = {{"Count", Count},
               {"Cpu", Cpu},
               {"MemMb", MemMb},
               {"Gpu", Gpu},
               {"EstimatedMs", EstimatedMs}};
  Step.update(MoreFields);
  return json{{"Spec", "booking"}, {"Steps", {Step}}}.dump();
}

paths pathsFromArguments(int Count, char **Arguments) {
  if (Count != 5)
    throw std::runtime_error("arguments: DAEMON STORE FOLDER RECORD");
  return {Arguments[1], Arguments[2], Arguments[3], Arguments[4]};
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace review
