// Starts the store stand-in, the entries and the agents of a small deployment
// as processes on loopback addresses, and plays clients and workers.

#pragma once

#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using geraniumpaddle::duration;
using geraniumpaddle::time_point;
using json = nlohmann::json;

/// Bounds of the small deployment "swancoast-sched".
constexpr int HeartbeatMs = 1500;
constexpr int HoldMaxMs = 6000;
constexpr int StopMs = 200;
constexpr int DrainMs = 2500;
constexpr int GangWaitMs = 3000;
constexpr int ReclaimMs = 2700;

/// Exit codes of a script.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Paths given by run.sh.
struct paths {
  std::string Daemon;
  std::string Store;
  std::string Temporary; ///< an empty folder
  std::string Record;    ///< the file record.txt
};

/// Writes what was sent, answered and run, with the time since the start.
class recorder {
public:
  recorder(geraniumpaddle::event_loop &Loop, const std::string &Path);
  ~recorder();
  recorder(const recorder &) = delete;
  recorder &operator=(const recorder &) = delete;

  void write(const std::string &Line);

private:
  geraniumpaddle::event_loop &Loop;
  time_point Start;
  std::FILE *File;
};

/// How long a task works, and how it ends.
struct task_plan {
  duration Work = std::chrono::milliseconds(2500);
  bool EndsDone = true; ///< otherwise it runs until it is stopped
};

/// A worker as the protocol page describes it: runs under a lease on its own
/// clock, fencing tokens, numbered ends, heartbeats.
class worker {
public:
  struct shape {
    std::string Id;
    std::string Rack;
    std::string Ip;
    std::string Control; ///< address of its agent
    std::string Service;
  };
  using plan_function = std::function<task_plan(const std::string &Task)>;
  /// Called when a run begins and when it has ended, with the way it ended.
  using run_function =
      std::function<void(const worker &, const std::string &Task, int Run,
                         const std::string &How)>;

  worker(geraniumpaddle::event_loop &Loop, geraniumpaddle::http_client &Client,
         recorder &Record, shape Shape, plan_function PlanOf,
         run_function OnRun);

  /// Registers and sends heartbeats from now on.
  void start();
  std::string address() const;
  const std::string &id() const { return Shape.Id; }
  std::uint64_t startTimeMs() const { return StartTimeMs; }
  /// While cut off, it receives nothing and sends nothing, and runs on.
  void cut();
  void heal();
  /// Crashes and starts again under its id, at the same address.
  void restart();
  /// Announces that it leaves, serves on for DrainMs after the confirmation and
  /// a little longer, deregisters and ends.
  void leave();
  bool hasLeft() const { return !Server; }
  bool runs(const std::string &Task) const;

private:
  struct active_run {
    int Run = 0;
    task_plan Plan;
    time_point Began{};
    std::optional<time_point> StopAt;
  };

  void handle(const geraniumpaddle::http_request_view &Request,
              const std::shared_ptr<geraniumpaddle::ihttp_responder> &Answer);
  void startRun(const json &Body,
                const std::shared_ptr<geraniumpaddle::ihttp_responder> &Answer);
  void stopRun(const json &Body,
               const std::shared_ptr<geraniumpaddle::ihttp_responder> &Answer);
  void hold(const json &Body,
            const std::shared_ptr<geraniumpaddle::ihttp_responder> &Answer);
  void answerHold(const std::shared_ptr<geraniumpaddle::ihttp_responder> &);
  void extend(const json &Body);
  void advance();
  void end(const std::string &Task, const std::string &How);
  /// Sends heartbeats until the instance has ended.
  void sendHeartbeats(std::uint64_t OfInstance);
  void beat(const std::function<void(bool Confirmed)> &Done);
  void deregister();
  void finish();
  json heartbeat();
  std::int64_t clockMs() const;
  void respond(const std::shared_ptr<geraniumpaddle::ihttp_responder> &Answer,
               int Code, json Body);

  geraniumpaddle::event_loop &Loop;
  geraniumpaddle::http_client &Client;
  recorder &Record;
  const shape Shape;
  const plan_function PlanOf;
  const run_function OnRun;
  std::unique_ptr<geraniumpaddle::http_server> Server;
  std::string ListenAddress;
  std::uint64_t StartTimeMs = 0;
  time_point ClockStart{};
  std::uint64_t Sequence = 0;
  std::uint64_t Token = 0;
  std::int64_t LeaseEndMs = 0;
  std::uint64_t LastEnd = 0;
  std::map<std::string, active_run> Active;
  std::map<std::string, int> HighestRun; ///< stopped or ended here
  struct finished {
    std::uint64_t Number = 0;
    std::string Task;
    int Run = 0;
    std::string How;
  };
  std::vector<finished> Finished;
  struct waiting_hold {
    std::shared_ptr<geraniumpaddle::ihttp_responder> Answer;
    time_point Until{};
  };
  std::vector<waiting_hold> Holds;
  /// Calls that arrived while it was cut off; never answered.
  std::vector<std::shared_ptr<geraniumpaddle::ihttp_responder>> Swallowed;
  bool IsCut = false;
  bool Draining = false;
  time_point DrainEnd{};
};

/// One deployment: a store, entries and agents, each a process.
class deployment {
public:
  deployment(geraniumpaddle::event_loop &Loop, paths Paths, int Entries,
             int Agents);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// Runs the loop until \p Condition holds. \returns false after \p Limit.
  bool waitFor(const std::function<bool()> &Condition, duration Limit);
  void run(duration Length);

  /// Starts all processes; false if they don't become ready.
  bool start();
  recorder &record() { return Record; }
  geraniumpaddle::http_client &client() { return Client; }
  std::string agentIp(int Agent) const;
  std::string control(int Agent) const { return Controls.at(Agent); }

  /// A consumer's call at an entry; sent once.
  geraniumpaddle::http_result call(int Entry, const std::string &Method,
                                   const std::string &Path,
                                   const std::string &Body = "");
  /// As shown by an entry; empty if there is no such answer.
  std::string state(int Entry, const std::string &Path);

private:
  void endChildren();
  pid_t spawn(const std::string &Name, const std::vector<std::string> &Command);
  std::string writeSettings(const std::string &Name, const std::string &Text);
  bool putConfiguration();
  geraniumpaddle::http_result send(geraniumpaddle::http_call Call);

  geraniumpaddle::event_loop &Loop;
  const paths Paths;
  const int EntryCount;
  const int AgentCount;
  recorder Record;
  geraniumpaddle::traffic_counter Traffic;
  geraniumpaddle::http_client Client;
  std::string StoreAddress;
  std::vector<std::string> Fronts;
  std::vector<std::string> Readiness;
  std::vector<std::string> Controls;
  std::map<pid_t, std::string> Children;
};

/// Body of a job with one step.
std::string jobBody(int Count, int Cpu, int MemMb, int Gpu, int EstimatedMs,
                    const json &MoreFields = json::object());

/// Reads the paths and TROUBLE from the environment of run.sh.
paths pathsFromArguments(int Count, char **Arguments);
bool withTrouble();

} // namespace review
