#pragma once

#include "caserecord.hh"
#include "childprocess.hh"
#include "storeproxy.hh"
#include "workermachine.hh"

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace review2 {

using geraniumpaddle::http_result;

/// The case could not be run; it shows nothing about the system.
struct case_not_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct deployment_options {
  int Entries = 3;
  int Workers = 11;
  int HoldMaxMs = 6000;
  int StopMs = 200;
  /// Changes the options of worker I.
  std::function<void(int, worker_options &)> Adjust;
};

/// A small deployment on loopback: the system's own programs, started with the
/// commands and templates of the deploy file, the project's stand-in of the
/// store, and workers. Each machine has an address of its own.
class deployment {
public:
  /// \param Root the repository.
  deployment(const std::string &Root, case_record &Record,
             const deployment_options &Options);
  ~deployment();

  /// Starts everything and waits until all entries are ready and a job has run.
  void start();

  geraniumpaddle::event_loop &loop() { return Loop; }
  run_history &history() { return History; }
  worker_machine &worker(int I) { return *Workers.at(I); }
  store_proxy &entryStore(int I) { return *Proxies.at(I); }
  /// Sends a consumer's call to the front of entry \p I and writes it and its
  /// answer into the record.
  void call(int I, const std::string &Method, const std::string &Path,
            const std::string &Body,
            std::function<void(const http_result &)> Done);
  /// The same, waits for the answer.
  http_result callAndWait(int I, const std::string &Method,
                          const std::string &Path,
                          const std::string &Body = "");
  /// Runs the loop until \p Condition holds.
  /// \returns false if it does not within \p Limit.
  bool runUntil(const std::function<bool()> &Condition, duration Limit);
  void runFor(duration Time);
  /// Runs the loop until \p Seconds after the start of the case.
  void runToSecond(double Seconds);
  std::string stateOf(int I, const std::string &Path);

private:
  using fields = std::map<std::string, std::string>;

  static std::string entryName(int I) { return "edge-" + std::to_string(I); }
  std::string ip(int Class, int I) const;
  fields settingsFields(const std::string &Node, const std::string &Ip,
                        const std::string &Store) const;
  void chooseAddresses();
  void startRole(const std::string &Role, const std::string &Node,
                 const fields &Fields);
  void putConfiguration();

  const std::string Root;
  case_record &Record;
  const deployment_options Options;
  std::string Directory;
  int Block = 0;
  geraniumpaddle::event_loop Loop;
  geraniumpaddle::traffic_counter Traffic;
  geraniumpaddle::http_client Http;
  run_history History;
  std::map<std::string, std::unique_ptr<child_process>> Processes;
  std::vector<std::unique_ptr<store_proxy>> Proxies;
  std::vector<std::unique_ptr<worker_machine>> Workers;
};

/// A job of one step as a consumer hands it in. \p StepFields are added to the
/// step.
std::string jobBody(int Count, int Cpu, int Ms, int EachMs,
                    const json &StepFields = json::object());
/// Prefixes of the two queues, of priority 1 and 0.
std::string queuePath();
std::string urgentQueuePath();
std::string jobId(int Number);
/// Path of job number \p Number of the queue of priority 1.
std::string jobPath(int Number);

/// Runs \p Scenario, which returns true if the rule held. A case has 110 s.
/// \param Arguments ROOT RECORD
/// \returns the exit status: 0 held, 1 broken, 2 not run.
int runCase(int ArgumentCount, char **Arguments, const deployment_options &,
            const std::function<bool(deployment &, case_record &, bool Trouble)>
                &Scenario);

} // namespace review2
