#include "daemon/tests/soak/soakactions.h"

#include <array>
#include <csignal>
#include <cstdio>

namespace geraniumpaddle::tests {

namespace {

using namespace std::chrono_literals;

/// Bounds of the platform's rules.
constexpr duration JudgedAfterTerm = 7s;
constexpr duration ConfigurationApplies = 2500ms;
constexpr duration LongestFault = 12s;
constexpr duration LostForGood = 600s;

} // namespace

soak_actions::soak_actions(soak_site &Site, unsigned Seed, soak_mix Mix)
    : Site(Site), Random(Seed), Mix(Mix) {
  for (int I = 1; I <= soak_site::AgentCount; ++I)
    Workers.push_back("w" + std::to_string(I));
}

std::span<const soak_actions::action> soak_actions::table() const {
  static constexpr std::array<action, 6> PlannedWork{
      &soak_actions::terminateEntry,         &soak_actions::terminateEntryTwice,
      &soak_actions::terminateAgent,         &soak_actions::hangUp,
      &soak_actions::terminateEntryAndAgent, &soak_actions::changeConfiguration,
  };
  static constexpr std::array<action, 10> WorkerTrouble{
      &soak_actions::crashWorker,       &soak_actions::crashWorker,
      &soak_actions::replaceWorker,     &soak_actions::disturbWorkerLink,
      &soak_actions::disturbWorkerLink, &soak_actions::breakWorkerConnections,
      &soak_actions::suspendAgent,      &soak_actions::suspendAgent,
      &soak_actions::killAgent,         &soak_actions::terminateAgent,
  };
  static constexpr std::array<action, 13> ProcessTrouble{
      &soak_actions::killEntry,        &soak_actions::killAgent,
      &soak_actions::killAll,          &soak_actions::pauseProcess,
      &soak_actions::pauseProcess,     &soak_actions::disturbPeerLink,
      &soak_actions::disturbStoreLink, &soak_actions::breakPeerConnections,
      &soak_actions::disturbStore,     &soak_actions::breakStoreConnections,
      &soak_actions::compactStore,     &soak_actions::terminateAgent,
      &soak_actions::isolateEntry,
  };
  static constexpr std::array<action, 21> Everything{
      &soak_actions::terminateEntry,
      &soak_actions::terminateEntryTwice,
      &soak_actions::terminateAgent,
      &soak_actions::hangUp,
      &soak_actions::terminateEntryAndAgent,
      &soak_actions::changeConfiguration,
      &soak_actions::killEntry,
      &soak_actions::killAgent,
      &soak_actions::killAll,
      &soak_actions::pauseProcess,
      &soak_actions::crashWorker,
      &soak_actions::replaceWorker,
      &soak_actions::disturbWorkerLink,
      &soak_actions::disturbPeerLink,
      &soak_actions::breakWorkerConnections,
      &soak_actions::disturbStoreLink,
      &soak_actions::breakPeerConnections,
      &soak_actions::disturbStore,
      &soak_actions::breakStoreConnections,
      &soak_actions::compactStore,
      &soak_actions::isolateEntry,
  };
  switch (Mix) {
  case soak_mix::PlannedWork:
    return PlannedWork;
  case soak_mix::Workers:
    return WorkerTrouble;
  case soak_mix::Processes:
    return ProcessTrouble;
  case soak_mix::Everything:
    break;
  }
  return Everything;
}

void soak_actions::runNext() {
  const auto Table = table();
  (this->*Table[static_cast<std::size_t>(
              randomBelow(static_cast<int>(Table.size())))])();
}

void soak_actions::runLast() {
  static constexpr std::array<action, 4> LastActions{
      &soak_actions::loseWorker, &soak_actions::killAll,
      &soak_actions::suspendAgent, &soak_actions::crashWorker};
  if (Mix != soak_mix::PlannedWork)
    (this->*LastActions[static_cast<std::size_t>(
                randomBelow(LastActions.size()))])();
  if (randomBelow(2) == 0)
    Site.runUntil([this] { return !Site.hasScheduled(); }, LongestFault);
}

duration soak_actions::randomTime(duration Least, duration Most) {
  return Least +
         1ms * randomBelow(static_cast<int>(millisecondsOf(Most - Least)));
}

const std::string &soak_actions::randomEntry() {
  return Site
      .entries()[static_cast<std::size_t>(randomBelow(soak_site::EntryCount))];
}
const std::string &soak_actions::randomAgent() {
  return Site
      .agents()[static_cast<std::size_t>(randomBelow(soak_site::AgentCount))];
}
const std::string &soak_actions::randomProcess() {
  return randomBelow(2) == 0 ? randomEntry() : randomAgent();
}

void soak_actions::record(const std::string &What) {
  Site.checker().action(What);
}

void soak_actions::kill(const std::string &Name) {
  record("kill " + Name);
  Site.kill(Name);
  Site.after(randomTime(0ms, 3s), [this, Name] { Site.startIfDown(Name); });
}

void soak_actions::restartGracefully(const std::string &Name) {
  if (!Site.isUp(Name))
    return;
  record("SIGTERM " + Name);
  if (Site.isEntry(Name))
    Site.checker().planned(Name, "SIGTERM", JudgedAfterTerm, JudgedAfterTerm);
  Site.restartGracefully(Name);
}

void soak_actions::disturbLink(fault_proxy &Proxy, const std::string &Entry,
                               const std::string &What) {
  static constexpr std::array<std::pair<network_fault, const char *>, 6> Faults{
      {{network_fault::Hold, "holds"},
       {network_fault::Hold, "holds"},
       {network_fault::Silent, "is silent"},
       {network_fault::OneWay, "loses responses"},
       {network_fault::Refuse, "refuses"},
       {network_fault::Delay, "is slow"}}};
  const auto &[Fault, Text] =
      Faults[static_cast<std::size_t>(randomBelow(Faults.size()))];
  const duration Time = randomTime(1s, LongestFault);
  record(What + " " + Text + " for " + std::to_string(millisecondsOf(Time)) +
         " ms");
  const std::size_t Trouble = Site.checker().beginTrouble(Entry);
  Proxy.setFault(Fault);
  Site.after(Time, [this, &Proxy, Trouble] {
    Proxy.setFault(network_fault::None);
    Site.checker().endTrouble(Trouble);
  });
}

void soak_actions::breakConnections(fault_proxy &Proxy,
                                    const std::string &Entry,
                                    const std::string &What) {
  const bool Reset = randomBelow(2) == 0;
  record(What + (Reset ? " resets connections" : " silences connections"));
  Site.checker().endTrouble(Site.checker().beginTrouble(Entry));
  if (Reset)
    Proxy.resetConnections();
  else
    Proxy.silenceConnections();
}

void soak_actions::terminateEntry() { restartGracefully(randomEntry()); }

void soak_actions::terminateEntryTwice() {
  const std::string &Name = randomEntry();
  if (!Site.isUp(Name))
    return;
  restartGracefully(Name);
  Site.after(randomTime(0ms, 1s), [this, Name] {
    if (Site.drains(Name))
      Site.cluster().process(Name).signal(SIGTERM);
  });
}

void soak_actions::terminateAgent() { restartGracefully(randomAgent()); }

void soak_actions::terminateEntryAndAgent() {
  terminateEntry();
  terminateAgent();
}

void soak_actions::hangUp() {
  const std::string &Name = randomProcess();
  if (!Site.isUp(Name))
    return;
  record("SIGHUP " + Name);
  Site.checker().planned(Name, "SIGHUP", ConfigurationApplies, 10s);
  Site.cluster().process(Name).signal(SIGHUP);
}

void soak_actions::changeConfiguration() {
  if (StoreDisturbed)
    return;
  record("configuration " + std::to_string(++ConfigurationVersion));
  Site.checker().planned("", "configuration", ConfigurationApplies + 1s,
                         ConfigurationApplies + 1s);
  Site.cluster().putConfiguration(ConfigurationVersion);
}

void soak_actions::killEntry() { kill(randomEntry()); }
void soak_actions::killAgent() { kill(randomAgent()); }

void soak_actions::killAll() {
  record("kill all");
  for (const auto *Names : {&Site.entries(), &Site.agents()})
    for (const std::string &Name : *Names)
      Site.kill(Name);
  const duration Down = randomTime(0ms, 2s);
  for (const auto *Names : {&Site.entries(), &Site.agents()})
    for (const std::string &Name : *Names)
      Site.after(Down, [this, Name] { Site.startIfDown(Name); });
}

void soak_actions::pauseProcess() {
  const std::string &Name = randomProcess();
  const duration Time = randomTime(200ms, 8s);
  record("pause " + Name + " for " + std::to_string(millisecondsOf(Time)) +
         " ms");
  Site.pause(Name, Time);
}

void soak_actions::suspendAgent() {
  const std::string &Name = randomAgent();
  const duration Time = randomTime(6s, LongestFault);
  record("pause " + Name + " for " + std::to_string(millisecondsOf(Time)) +
         " ms");
  Site.pause(Name, Time);
}

void soak_actions::loseWorker() {
  // The other racks have workers with each of the labels.
  const std::string &Name = Workers[static_cast<std::size_t>(randomBelow(2))];
  record("lose " + Name);
  endWorker(Name, LostForGood, Name);
}

bool soak_actions::endWorker(const std::string &Name, duration Down,
                             const std::string &NextName) {
  return Site.cluster()
      .post(Site.cluster().address("workers"), "/crash",
            R"({"worker":")" + Name + R"(","new_id":")" +
                (NextName == Name ? "" : NextName) + R"(","down_ms":)" +
                std::to_string(millisecondsOf(Down)) + "}")
      .ok();
}

void soak_actions::crashWorker() {
  const std::string &Name =
      Workers[static_cast<std::size_t>(randomBelow(soak_site::AgentCount))];
  const duration Down = randomTime(100ms, 4s);
  record("crash " + Name + " for " + std::to_string(millisecondsOf(Down)) +
         " ms");
  endWorker(Name, Down, Name);
}

void soak_actions::replaceWorker() {
  std::string &Name =
      Workers[static_cast<std::size_t>(randomBelow(soak_site::AgentCount))];
  const std::string Next = "w" + std::to_string(++WorkerCount);
  const duration Down = randomTime(500ms, 4s);
  record("lose " + Name + ", " + Next + " after " +
         std::to_string(millisecondsOf(Down)) + " ms");
  if (endWorker(Name, Down, Next))
    Name = Next;
}

void soak_actions::disturbWorkerLink() {
  const std::string &Agent = randomAgent();
  disturbLink(Site.workerProxy(Agent), Agent,
              "link of " + Agent + " to worker");
}

void soak_actions::breakWorkerConnections() {
  const std::string &Agent = randomAgent();
  breakConnections(Site.workerProxy(Agent), Agent,
                   "link of " + Agent + " to worker");
}

void soak_actions::disturbPeerLink() {
  const std::string &Entry = randomEntry();
  disturbLink(Site.peerProxy(Entry), Entry, "link of agents to " + Entry);
}

void soak_actions::isolateEntry() {
  const std::string &Isolated = randomEntry();
  const duration Time = randomTime(1s, LongestFault);
  record("links to all entries and of " + Isolated + " to store hold for " +
         std::to_string(millisecondsOf(Time)) + " ms");
  const std::size_t Trouble = Site.checker().beginTrouble("");
  const auto SetFault = [this, Isolated](network_fault Fault) {
    for (const std::string &Entry : Site.entries())
      Site.peerProxy(Entry).setFault(Fault);
    Site.storeProxy(Isolated).setFault(Fault);
  };
  SetFault(network_fault::Hold);
  Site.after(Time, [this, Trouble, SetFault] {
    SetFault(network_fault::None);
    Site.checker().endTrouble(Trouble);
  });
}

void soak_actions::breakPeerConnections() {
  const std::string &Entry = randomEntry();
  breakConnections(Site.peerProxy(Entry), Entry, "link of agents to " + Entry);
}

void soak_actions::disturbStoreLink() {
  const std::string &Name = randomProcess();
  disturbLink(Site.storeProxy(Name), Name, "link of " + Name + " to store");
}

void soak_actions::breakStoreConnections() {
  const std::string &Name = randomProcess();
  breakConnections(Site.storeProxy(Name), Name,
                   "link of " + Name + " to store");
}

void soak_actions::disturbStore() {
  static constexpr std::array<const char *, 5> Modes{
      R"({"mode":"slow","delay_ms":200})", R"({"mode":"refuse"})",
      R"({"mode":"silent"})", R"({"mode":"lose_answer"})",
      R"({"mode":"down"})"};
  if (StoreDisturbed)
    return;
  const char *Mode = Modes[static_cast<std::size_t>(randomBelow(5))];
  const duration Time = randomTime(500ms, 5s);
  record(std::string("store ") + Mode + " for " +
         std::to_string(millisecondsOf(Time)) + " ms");
  StoreDisturbed = true;
  const std::size_t Trouble = Site.checker().beginTrouble("");
  Site.cluster().setFault("store", Mode);
  Site.after(Time, [this, Trouble] {
    Site.cluster().setFault("store", R"({"mode":"none"})");
    Site.checker().endTrouble(Trouble);
    StoreDisturbed = false;
  });
}

void soak_actions::compactStore() {
  record("compact store");
  Site.cluster().post(Site.cluster().address("store"), "/compact", "");
}

void soak_actions::clear() {
  record("clear");
  Site.runScheduled();
  Site.restoreProcesses();
}

} // namespace geraniumpaddle::tests
