#pragma once

#include "core/routing/attempttable.h"
#include "core/routing/requestrouter.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace geraniumpaddle::testing {

/// What the network does with one message.
enum class fate : std::uint8_t { Deliver, Late, Duplicate, Drop };

/// What an endpoint does with the requests that reach it.
enum class endpoint_fault : std::uint8_t { None, Down, HalfBody, Stuck };

/// Real routers and attempt tables on a model of network, endpoints and time.
class routing_simulation {
public:
  struct caller {
    std::size_t Entry = 0;
    bool Idempotent = false;
    bool MayMissOutcome = false; ///< it or its entry has gone
    int Runs = 0;                ///< at any endpoint
    std::vector<request_outcome> Outcomes;
    bool AnswerIsOwn = false;
  };

  routing_simulation(std::size_t Entries, std::size_t Agents,
                     const router_settings &Router = {},
                     const attempt_settings &Table = {});

  // Load.
  std::size_t request(std::size_t Entry, bool Idempotent, duration Timeout,
                      const std::string &Customer = "c1");
  void leaveCaller(std::size_t Request);

  // Faults.
  std::vector<fate> Fates; ///< of the next messages, in turn; empty: Deliver
  void killEntry(std::size_t Entry);
  void killAgent(std::size_t Agent);
  /// Starts the next run at the same address; entries hear of it after
  /// \p AnnounceAfter.
  void restartAgent(std::size_t Agent, duration AnnounceAfter);
  void pauseAgent(std::size_t Agent, duration Length);
  void drainAgent(std::size_t Agent);
  /// Messages of deliveries vanish until a query opens a new connection.
  void silenceLink(std::size_t Entry, std::size_t Agent);
  void suspectAgent(std::size_t Agent);
  void setEndpoint(std::size_t Agent, endpoint_fault Fault);

  void run(duration Length);
  time_point now() const { return Now; }
  const caller &at(std::size_t Request) const { return Callers[Request]; }
  std::size_t callers() const { return Callers.size(); }
  const request_router &router(std::size_t Entry) const {
    return *Entries[Entry].Router;
  }
  bool agentAlive(std::size_t Agent) const { return Agents[Agent].Alive; }
  int peakAtEndpoint() const { return Peak; }

  /// The first property that does not hold, or empty.
  std::string violation() const;

  duration Service = std::chrono::milliseconds(20); ///< time of an endpoint
  double ServiceSpread = 0; ///< of it, to both sides, at random
  duration OneWay = std::chrono::milliseconds(1);

private:
  struct entry {
    std::unique_ptr<request_router> Router;
    incarnation Run{1};
    time_point Wake = time_point::max();
  };

  struct agent {
    std::unique_ptr<attempt_table> Table;
    incarnation Run{1};
    bool Alive = true;
    time_point PausedUntil;
    time_point Wake = time_point::max();
    endpoint_fault Fault = endpoint_fault::None;
    int AtEndpoint = 0;
    std::map<attempt_id, std::size_t> Requests; ///< bytes kept
    std::map<attempt_id, std::size_t> Answers;
    std::vector<bool> SilentTo; ///< by entry
  };

  /// One call from an entry to an agent.
  struct call {
    std::size_t Entry = 0;
    std::size_t Agent = 0;
    incarnation EntryRun{};
    attempt_id Attempt;
    std::size_t Request = 0; ///< of a delivery
    bool IsQuery = false;
    bool Open = true;
  };

  void after(duration Delay, std::function<void()> Act);
  fate nextFate();
  bool silent(const call &Call) const;
  void toRouter(std::size_t Entry, const router_event &Event);
  void toTable(std::size_t Agent, incarnation Run, const attempt_event &Event);
  void execute(std::size_t Entry, const router_command &Command);
  void execute(std::size_t Agent, const attempt_command &Command);
  void openCall(std::size_t Entry, const attempt_id &Attempt,
                const node_id &Agent, duration Timeout, bool IsQuery,
                const std::function<attempt_event(call_handle)> &Event,
                std::size_t Request);
  void transmit(const call &Call, const std::function<void()> &Arrive);
  void closeCall(call_handle Handle, attempt_state State,
                 attempt_refusal Refusal, agent_load Load,
                 std::optional<std::size_t> Answer);
  void callEndpoint(std::size_t Agent, const call_endpoint &Command);
  duration serviceTime();
  void announce(std::size_t Agent);

  time_point Now{std::chrono::seconds(100)};
  router_settings RouterSettings;
  attempt_settings TableSettings;
  std::vector<entry> Entries;
  std::vector<agent> Agents;
  std::vector<call> Calls;
  std::vector<caller> Callers;
  std::multimap<time_point, std::function<void()>> Agenda;
  std::size_t NextFate = 0;
  std::optional<std::size_t> AnswerInHand;
  int Peak = 0;
  std::minstd_rand Random;
};

} // namespace geraniumpaddle::testing
