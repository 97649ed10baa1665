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

/// Options of an agent process and of the worker and endpoint that it serves.
struct agent_options {
  std::string Name = "1"; ///< suffix of agent-, worker- and endpoint-
  std::string Region = "perth-metro";
  std::string Zone = "perth-east";
  /// The agent gets the peer address of this entry in place of the load
  /// balancer's.
  std::string Entry = "entry-1";
  int Slots = 8;
};

/// Runs processes of the system and stand-ins for external services on
/// loopback, on ports that the kernel chooses. Waits poll a condition, up to a
/// timeout.
class process_cluster {
public:
  static constexpr auto DefaultTimeout = std::chrono::seconds(30);

  /// \param LogDirectory directory for the files of the processes, which is
  /// kept; empty: a temporary one, which is kept only if the test fails.
  explicit process_cluster(const std::string &LogDirectory = "");
  ~process_cluster();
  process_cluster(const process_cluster &) = delete;
  process_cluster &operator=(const process_cluster &) = delete;

  void startLog(const std::vector<std::string> &Flags = {});
  void startEntry(const std::string &Name,
                  const std::string &Region = "perth-metro",
                  const std::string &Zone = "perth-east",
                  const std::string &ExtraSettings = "");
  /// Starts a worker, an endpoint and their agent.
  void startAgent(const agent_options &Options);
  /// Starts only the agent, for a worker and an endpoint that run already.
  void restartAgent(const agent_options &Options);
  /// Starts the log service, one entry and agents 1 to \p Agents, waits until
  /// the agents are linked and adds the customer "swan-coast" with the token
  /// "secret".
  void startDefaultCluster(int Agents, int Slots = 8);

  /// The address that a daemon of the platform has bound or is going to bind.
  std::string reservedAddress(const std::string &Name,
                              const std::string &Interface);
  // The users' platform. Its daemons keep their ports when they are started
  // again.
  /// Selects the program of the daemons started from now on.
  void useDaemon(std::string Path) { Daemon = std::move(Path); }
  void startStore();
  /// Starts an entry of the users' platform; its interface for callers is at
  /// address(Name + ".front").
  /// \param Store ip:port of the store or a proxy; empty: the store itself.
  /// \param ExtraSettings appended to the settings file.
  void startJobEntry(const std::string &Name, const std::string &Store = "",
                     const std::string &ExtraSettings = "");
  /// Starts an agent of the users' platform; workers send their heartbeats to
  /// address(Name + ".control"), which stays the same when it starts again.
  void startJobAgent(const std::string &Name, const std::string &Store = "",
                     const std::string &ExtraSettings = "");
  /// Starts one process that simulates a worker for each agent, two per rack.
  /// Its control interface is at address("workers"), the workers themselves at
  /// address("w1") and so on.
  /// \param Proxies addresses that the workers' heartbeats name; empty: their
  /// own.
  void startTaskWorkers(const std::vector<std::string> &Agents,
                        const std::vector<std::string> &Proxies = {});
  /// Writes a configuration with the queues /urgent/ and /batch/ of the host
  /// jobs.example and the key "key".
  void putConfiguration(int Version);
  /// Calls the job API of an entry.
  /// \param Method POST, GET or DELETE.
  http_result jobCall(const std::string &Entry, const std::string &Method,
                      const std::string &Path, const std::string &Body = "");
  /// The same without waiting; \p Done gets the response while the loop runs.
  void jobCallAsync(const std::string &Entry, const std::string &Method,
                    const std::string &Path, const std::string &Body,
                    std::function<void(const http_result &)> Done);

  child_process &process(const std::string &Name) {
    return *Processes.at(Name);
  }
  void remove(const std::string &Name) { Processes.erase(Name); }
  /// ip:port of a stand-in, or of a daemon's HTTP interface.
  std::string address(const std::string &Name);
  std::string peerAddress(const std::string &Name);

  /// Runs the loop until \p Condition holds.
  /// \returns false if it does not hold within \p Limit.
  bool waitFor(const std::function<bool()> &Condition,
               duration Limit = DefaultTimeout);
  /// Sends an HTTP request and runs the loop until it completes.
  http_result call(http_call Call);
  http_result get(const std::string &Address, const std::string &Target);
  http_result post(const std::string &Address, const std::string &Target,
                   const std::string &Body);
  /// Sends a caller's request without waiting; \p Done gets the response while
  /// the loop runs.
  void request(const std::string &Entry, const std::string &Target,
               bool Idempotent, std::function<void(const http_result &)> Done,
               duration Timeout = DefaultTimeout);
  /// Injects a fault into a stand-in; \p Json is the body of its /faults call.
  void setFault(const std::string &Name, const std::string &Json);

  /// Adds or replaces one customer.
  /// \param Base configuration version that the change is based on.
  /// \param EightCells guaranteed cells of eight accelerators.
  http_result putCustomer(const std::string &Entry, const std::string &Customer,
                          std::uint64_t Base, int EightCells = 1);
  /// The same without waiting; \p Done gets the response while the loop runs.
  void putCustomerAsync(const std::string &Entry, const std::string &Customer,
                        std::uint64_t Base, int EightCells,
                        std::function<void(const http_result &)> Done);
  std::uint64_t configVersion(const std::string &Entry);
  bool hasLinkedAgents(const std::string &Entry, std::size_t Count);
  http_result submitJob(const std::string &Entry, const std::string &Job,
                        int Tasks, const std::string &Command,
                        bool Idempotent = true);
  proto::JobStatus job(const std::string &Entry, const std::string &Job);
  proto::WorkerStatus worker(const std::string &Entry,
                             const std::string &Worker);
  /// Value of a daemon's metric that has no labels; -1 if it does not exist.
  double metric(const std::string &Name, const std::string &Metric);
  /// How often the endpoint \p Name has run requests with the tag \p Tag.
  int runCount(const std::string &Name, const std::string &Tag);

  event_loop &loop() { return Loop; }

private:
  std::string filePrefix(const std::string &Name) const {
    return Directory + "/" + Name;
  }
  void startStandin(const std::string &Name, std::vector<std::string> Command);
  void startDaemon(const std::string &Name, const std::string &Settings);
  /// Addresses of the additional HTTP interfaces of a daemon, in the order in
  /// which it binds them.
  std::vector<std::string> extraAddresses(const std::string &Name,
                                          std::size_t Count);
  std::string jobRoleSettings(const std::string &Role, const std::string &Node,
                              const std::string &Store);
  std::string listenSettings(const std::string &Name,
                             const std::vector<std::string> &Interfaces);
  std::string listenAddress(const std::string &Name, const std::string &Field);
  /// Renames the output of an earlier process of this name.
  void keepOutput(const std::string &Name);

  std::string Directory;
  bool KeepDirectory = false;
  std::string Daemon;
  event_loop Loop;
  traffic_counter Traffic;
  http_client Http;
  std::map<std::string, std::unique_ptr<child_process>> Processes;
  std::map<std::string, std::string> Addresses;
};

/// Value of a response header; empty if there is none.
std::string header(const http_result &Result, const std::string &Name);

} // namespace geraniumpaddle::tests
