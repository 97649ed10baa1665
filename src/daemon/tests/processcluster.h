#pragma once

#include "daemon/tests/childprocess.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/traffic.h"

#include "api.pb.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpaddle::tests {

/// What an agent process of the cluster is given.
struct agent_plan {
  std::string Name = "1"; ///< of agent-, worker- and endpoint-
  std::string Region = "perth-metro";
  std::string Zone = "perth-east";
  std::string Entry = "entry-1"; ///< whose peer address stands for the balancer
  int Slots = 8;
};

/// Processes of the system and its stand-ins on loopback, each with a port
/// chosen by the kernel. All waits are on conditions and bounded.
class process_cluster {
public:
  static constexpr auto Patience = std::chrono::seconds(30);

  process_cluster();
  ~process_cluster();
  process_cluster(const process_cluster &) = delete;
  process_cluster &operator=(const process_cluster &) = delete;

  void startLog(const std::vector<std::string> &Flags = {});
  void startEntry(const std::string &Name,
                  const std::string &Region = "perth-metro",
                  const std::string &Zone = "perth-east",
                  const std::string &MoreSettings = "");
  /// Starts a worker, an endpoint and the agent between them.
  void startAgent(const agent_plan &Plan);
  /// Starts only the agent, beside a worker and an endpoint that run.
  void restartAgent(const agent_plan &Plan);
  /// Log service, one entry, agents 1 to \p Agents, customer "swan-coast" with
  /// the token "secret", everything linked.
  void startUsual(int Agents, int Slots = 8);

  // The users' platform.
  void startStore();
  /// Entry of the users' platform; its front is address(Name + ".front").
  /// \param Store its way to the store; empty: straight.
  void startJobEntry(const std::string &Name, const std::string &Store = "");
  /// Agent of the users' platform; address(Name + ".control") takes heartbeats.
  void startJobAgent(const std::string &Name, const std::string &Store = "");
  /// One worker beside each of the agents, two to a rack, in one process.
  void startTaskWorkers(const std::vector<std::string> &Agents);
  /// Writes a configuration with the queues /urgent/ and /batch/ of the host
  /// jobs.example and the key "key".
  void putConfiguration(int Version);
  /// \param Method POST, GET or DELETE of a job.
  http_result jobCall(const std::string &Entry, const std::string &Method,
                      const std::string &Path, const std::string &Body = "");

  child_process &process(const std::string &Name) {
    return *Processes.at(Name);
  }
  void remove(const std::string &Name) { Processes.erase(Name); }
  /// ip:port of a stand-in, or of a daemon's HTTP interface.
  std::string address(const std::string &Name);
  std::string peerAddress(const std::string &Name);

  /// Runs the loop until \p Condition holds or \p Limit is over.
  bool waitFor(const std::function<bool()> &Condition,
               duration Limit = Patience);
  /// Runs the loop for as long as it takes to get an answer.
  http_result call(http_call Call);
  http_result get(const std::string &Address, const std::string &Target);
  http_result post(const std::string &Address, const std::string &Target,
                   const std::string &Body);
  /// Sends a caller's request; \p Done gets its answer in some later wait.
  void request(const std::string &Entry, const std::string &Target,
               bool Idempotent, std::function<void(const http_result &)> Done,
               duration Timeout = Patience);
  /// Sets a fault of a stand-in, as its page says.
  void setFault(const std::string &Name, const std::string &Json);

  /// Puts one customer on top of the version in force.
  http_result putCustomer(const std::string &Entry, const std::string &Customer,
                          std::uint64_t Base, int Eights = 1);
  /// The same without waiting; \p Done gets the answer in some later wait.
  void putCustomerLater(const std::string &Entry, const std::string &Customer,
                        std::uint64_t Base, int Eights,
                        std::function<void(const http_result &)> Done);
  std::uint64_t version(const std::string &Entry);
  bool linkedAgents(const std::string &Entry, std::size_t Count);
  http_result submitJob(const std::string &Entry, const std::string &Job,
                        int Tasks, const std::string &Command,
                        bool Idempotent = true);
  proto::JobStatus job(const std::string &Entry, const std::string &Job);
  proto::WorkerStatus worker(const std::string &Entry,
                             const std::string &Worker);
  /// Value of a metric without labels of a daemon; -1 if there is none.
  double metric(const std::string &Name, const std::string &Metric);
  /// Runs that the endpoint \p Name has counted for \p Tag.
  int runsOf(const std::string &Name, const std::string &Tag);

  event_loop &loop() { return Loop; }

private:
  std::string stem(const std::string &Name) const {
    return Folder + "/" + Name;
  }
  void startStandin(const std::string &Name, std::vector<std::string> Command);
  void startDaemon(const std::string &Name, const std::string &Settings);
  /// Further interfaces that a daemon listens on, in their order.
  std::vector<std::string> otherInterfaces(const std::string &Name,
                                           std::size_t Count);
  std::string jobSettings(const std::string &Role, const std::string &Node,
                          const std::string &Store);
  std::string listeningField(const std::string &Name, const std::string &Field);

  std::string Folder;
  event_loop Loop;
  traffic_counter Traffic;
  http_client Http;
  std::map<std::string, std::unique_ptr<child_process>> Processes;
  std::map<std::string, std::string> Addresses;
};

/// Value of a response header; empty if there is none.
std::string header(const http_result &Result, const std::string &Name);

} // namespace geraniumpaddle::tests
