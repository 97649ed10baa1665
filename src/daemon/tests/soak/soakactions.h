#pragma once

#include "daemon/tests/soak/soaksite.h"

#include <random>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle::tests {

enum class soak_mix : std::uint8_t {
  PlannedWork, ///< SIGTERM, SIGHUP and configurations only
  Workers,     ///< workers, their links and their agents
  Processes,   ///< our processes and their links
  Everything,
};

/// Draws actions by seed. Each begins at once and ends later by itself, so that
/// several overlap.
class soak_actions {
public:
  soak_actions(soak_site &Site, unsigned Seed, soak_mix Mix);

  void runNext();
  /// An action right before the end; the faults before it may run out.
  void runLast();
  /// Ends all faults and starts what is down.
  void clear();

private:
  using action = void (soak_actions::*)();

  std::span<const action> table() const;
  int randomBelow(int Count) { return static_cast<int>(Random() % Count); }
  duration randomTime(duration Least, duration Most);
  const std::string &randomEntry();
  const std::string &randomAgent();
  const std::string &randomProcess();
  void record(const std::string &What);
  void kill(const std::string &Name);
  void restartGracefully(const std::string &Name);
  /// Sets a fault of a link to or from a machine for some time.
  void disturbLink(fault_proxy &Proxy, const std::string &Entry,
                   const std::string &What);
  void breakConnections(fault_proxy &Proxy, const std::string &Entry,
                        const std::string &What);

  /// Crashes a worker, which starts again as \p NextName.
  bool endWorker(const std::string &Name, duration Down,
                 const std::string &NextName);

  void terminateEntry();
  void terminateEntryTwice();
  void terminateAgent();
  void terminateEntryAndAgent();
  void hangUp();
  void changeConfiguration();
  void killEntry();
  void killAgent();
  void killAll();
  void pauseProcess();
  void suspendAgent();
  void loseWorker();
  void crashWorker();
  void replaceWorker();
  void disturbWorkerLink();
  void breakWorkerConnections();
  void disturbPeerLink();
  /// Cuts an entry off from the store and all processes of ours, but not from
  /// its callers; the other processes reach each other through the store only.
  void isolateEntry();
  void breakPeerConnections();
  void disturbStoreLink();
  void breakStoreConnections();
  void disturbStore();
  void compactStore();

  soak_site &Site;
  std::mt19937 Random;
  const soak_mix Mix;
  int ConfigurationVersion = 1;
  unsigned WorkerCount = soak_site::AgentCount;
  std::vector<std::string> Workers;
  bool StoreDisturbed = false;
};

} // namespace geraniumpaddle::tests
