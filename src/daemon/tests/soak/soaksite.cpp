#include "daemon/tests/soak/soaksite.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace geraniumpaddle::tests {

namespace {

using namespace std::chrono_literals;

/// A process has to end within this time after a SIGTERM.
constexpr duration GraceTime = 6s;
constexpr duration LoopWait = 5ms;

} // namespace

soak_site::soak_site(const std::string &LogDirectory, const std::string &Daemon)
    : Cluster(LogDirectory), Checker(Cluster.loop()) {
  if (!Daemon.empty())
    Cluster.useDaemon(Daemon);
  for (int I = 1; I <= EntryCount; ++I)
    Entries.push_back("entry-" + std::to_string(I));
  for (int I = 1; I <= AgentCount; ++I)
    Agents.push_back("agent-" + std::to_string(I));
  Cluster.startStore();
  Cluster.putConfiguration(1);
  createProxies();
  for (const auto *Names : {&Entries, &Agents})
    for (const std::string &Name : *Names)
      start(Name);
  startWorkers();
}

void soak_site::createProxies() {
  event_loop &Loop = Cluster.loop();
  for (const auto *Names : {&Entries, &Agents})
    for (const std::string &Name : *Names)
      StoreProxies[Name] =
          std::make_unique<fault_proxy>(Loop, Cluster.address("store"));
  for (const std::string &Entry : Entries) {
    const std::string Address = Cluster.reservedAddress(Entry, "peer");
    PeerProxies[Entry] = std::make_unique<fault_proxy>(Loop, Address);
    Cluster.post(Cluster.address("store"),
                 "/alias?text=" + Address +
                     "&alias=" + PeerProxies[Entry]->address(),
                 "");
  }
  for (const std::string &Agent : Agents)
    WorkerProxies[Agent] = std::make_unique<fault_proxy>(Loop, "");
}

void soak_site::startWorkers() {
  std::vector<std::string> Proxies;
  for (const std::string &Agent : Agents)
    Proxies.push_back(WorkerProxies[Agent]->address());
  Cluster.startTaskWorkers(Agents, Proxies);
  for (std::size_t I = 0; I < Agents.size(); ++I)
    WorkerProxies[Agents[I]]->setTarget(
        Cluster.address("w" + std::to_string(I + 1)));
}

bool soak_site::isUp(const std::string &Name) const {
  const auto Found = Processes.find(Name);
  return Found != Processes.end() && Found->second.State == process_state::Up &&
         !Found->second.Paused;
}

bool soak_site::drains(const std::string &Name) const {
  return Processes.at(Name).State == process_state::Draining;
}

void soak_site::startIfDown(const std::string &Name) {
  if (Processes[Name].State == process_state::Down)
    start(Name);
}

void soak_site::start(const std::string &Name) {
  if (isEntry(Name))
    Cluster.startJobEntry(Name, StoreProxies[Name]->address());
  else
    Cluster.startJobAgent(Name, StoreProxies[Name]->address());
  site_process &Process = Processes[Name];
  if (Process.Trouble != NoTrouble)
    Checker.endTrouble(Process.Trouble);
  Process = {.State = process_state::Up};
}

void soak_site::kill(const std::string &Name) {
  site_process &Process = Processes[Name];
  if (Process.Trouble == NoTrouble)
    Process.Trouble = Checker.beginTrouble(Name);
  Process.State = process_state::Down;
  Cluster.process(Name).kill();
}

void soak_site::restartGracefully(const std::string &Name) {
  site_process &Process = Processes[Name];
  if (Process.State != process_state::Up)
    return;
  Process.State = process_state::Draining;
  Process.DrainsSince = Cluster.loop().now();
  Cluster.process(Name).signal(SIGTERM);
}

void soak_site::pause(const std::string &Name, duration Time) {
  site_process &Process = Processes[Name];
  if (Process.State == process_state::Down || Process.Paused)
    return;
  Process.Trouble = Checker.beginTrouble(Name);
  Process.Paused = true;
  Cluster.process(Name).signal(SIGSTOP);
  after(Time, [this, Name] { resume(Name); });
}

void soak_site::resume(const std::string &Name) {
  site_process &Process = Processes[Name];
  if (!Process.Paused)
    return;
  Cluster.process(Name).signal(SIGCONT);
  Checker.endTrouble(std::exchange(Process.Trouble, NoTrouble));
  Process.Paused = false;
  Process.DrainsSince = Cluster.loop().now();
}

void soak_site::superviseProcess(const std::string &Name,
                                 site_process &Process) {
  const time_point Now = Cluster.loop().now();
  if (Process.State == process_state::Down)
    return;
  const auto Code = Cluster.process(Name).exitCode();
  const bool Drains = Process.State == process_state::Draining;
  if (Code && (!Drains || *Code != 0))
    Checker.violation(Name + " ended by itself, exit code " +
                      std::to_string(*Code));
  const bool TooLate = Drains && !Code && !Process.Paused &&
                       Now - Process.DrainsSince > GraceTime;
  if (TooLate) {
    Checker.violation(Name + " still runs 6 s after SIGTERM");
    kill(Name);
  }
  if (Code || TooLate)
    start(Name);
}

void soak_site::after(duration Delay, std::function<void()> Function) {
  Due.emplace(Cluster.loop().now() + Delay, std::move(Function));
}

void soak_site::runDue() {
  while (!Due.empty() && Due.begin()->first <= Cluster.loop().now()) {
    const auto Function = std::move(Due.begin()->second);
    Due.erase(Due.begin());
    Function();
  }
  for (auto &[Name, Process] : Processes)
    superviseProcess(Name, Process);
}

void soak_site::runScheduled() {
  for (const auto &[At, Function] : std::exchange(Due, {}))
    Function();
}

bool soak_site::runUntil(const std::function<bool()> &Condition,
                         duration Limit) {
  const time_point End = Cluster.loop().now() + Limit;
  while (!Condition()) {
    if (Cluster.loop().now() >= End)
      return false;
    Cluster.loop().runOnce(LoopWait);
    runDue();
  }
  return true;
}

void soak_site::runFor(duration Time) {
  runUntil([] { return false; }, Time);
}

void soak_site::restoreProcesses() {
  for (auto &[Name, Process] : Processes) {
    resume(Name);
    startIfDown(Name);
  }
  const auto IsUp = [](const auto &Item) {
    return Item.second.State == process_state::Up;
  };
  runUntil(
      [&] { return std::all_of(Processes.begin(), Processes.end(), IsUp); },
      2 * GraceTime);
}

} // namespace geraniumpaddle::tests
