#pragma once

#include "daemon/tests/processcluster.h"
#include "daemon/tests/soak/faultproxy.h"
#include "daemon/tests/soak/soakchecker.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpaddle::tests {

/// The processes of a soak, with a proxy on each kind of link: from every entry
/// and agent to the store, from the agents to every entry, and from every agent
/// to its worker.
class soak_site {
public:
  static constexpr int EntryCount = 3;
  static constexpr int AgentCount = 6;

  /// \param LogDirectory keeps the output of all processes.
  soak_site(const std::string &LogDirectory, const std::string &Daemon);

  process_cluster &cluster() { return Cluster; }
  soak_checker &checker() { return Checker; }
  const std::vector<std::string> &entries() const { return Entries; }
  const std::vector<std::string> &agents() const { return Agents; }
  bool isEntry(const std::string &Name) const { return Name[0] == 'e'; }

  fault_proxy &storeProxy(const std::string &Process) {
    return *StoreProxies.at(Process);
  }
  fault_proxy &peerProxy(const std::string &Entry) {
    return *PeerProxies.at(Entry);
  }
  fault_proxy &workerProxy(const std::string &Agent) {
    return *WorkerProxies.at(Agent);
  }

  bool isUp(const std::string &Name) const;
  bool drains(const std::string &Name) const;
  void start(const std::string &Name);
  void startIfDown(const std::string &Name);
  /// Ends a process at once; it is not started again.
  void kill(const std::string &Name);
  /// Sends SIGTERM to a process, and starts it again once it has ended.
  void restartGracefully(const std::string &Name);
  /// Sends SIGSTOP, and SIGCONT after \p Time.
  void pause(const std::string &Name, duration Time);

  /// Calls \p Function after \p Delay, outside the callbacks of the loop.
  void after(duration Delay, std::function<void()> Function);
  /// Runs the loop and what is due until \p Condition holds.
  bool runUntil(const std::function<bool()> &Condition, duration Limit);
  void runFor(duration Time);
  bool hasScheduled() const { return !Due.empty(); }
  /// Calls at once what after() has scheduled for later.
  void runScheduled();
  /// Starts and resumes all processes, and waits for those that drain.
  void restoreProcesses();

private:
  enum class process_state : std::uint8_t { Down, Up, Draining };
  struct site_process {
    process_state State = process_state::Down;
    bool Paused = false;
    time_point DrainsSince{};
    std::size_t Trouble = NoTrouble;
  };
  static constexpr std::size_t NoTrouble = static_cast<std::size_t>(-1);

  void createProxies();
  void startWorkers();
  void resume(const std::string &Name);
  void superviseProcess(const std::string &Name, site_process &Process);
  void runDue();

  process_cluster Cluster;
  soak_checker Checker;
  std::vector<std::string> Entries;
  std::vector<std::string> Agents;
  std::map<std::string, site_process> Processes;
  std::map<std::string, std::unique_ptr<fault_proxy>> StoreProxies;
  std::map<std::string, std::unique_ptr<fault_proxy>> PeerProxies;
  std::map<std::string, std::unique_ptr<fault_proxy>> WorkerProxies;
  std::multimap<time_point, std::function<void()>> Due;
};

} // namespace geraniumpaddle::tests
