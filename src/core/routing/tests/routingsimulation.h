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

/// How the simulated network transmits one message.
enum class transmission : std::uint8_t { Deliver, Late, Duplicate, Drop };

/// Fault of a simulated endpoint.
enum class endpoint_fault : std::uint8_t { None, Down, HalfBody, Stuck };

/// Simulation of entries and agents: real routers and attempt tables with a
/// simulated network, endpoints and clock.
class routing_simulation {
public:
  struct caller {
    std::size_t Entry = 0;
    bool Idempotent = false;
    bool MayMissOutcome = false; ///< it disconnected, or its entry was killed
    int Executions = 0;          ///< executions, at all endpoints together
    std::vector<request_outcome> Outcomes;
    bool AnswerMatches = false;
  };

  routing_simulation(std::size_t Entries, std::size_t Agents,
                     const router_settings &Router = {},
                     const attempt_settings &Table = {});

  // Load.
  std::size_t request(std::size_t Entry, bool Idempotent, duration Timeout,
                      const std::string &Customer = "c1");
  void disconnectCaller(std::size_t Request);

  // Faults.
  /// Of the next messages, used cyclically; empty: all are delivered.
  std::vector<transmission> Transmissions;
  void killEntry(std::size_t Entry);
  void killAgent(std::size_t Agent);
  /// Starts the next incarnation at the same address; it is announced to the
  /// entries after \p AnnounceAfter.
  void restartAgent(std::size_t Agent, duration AnnounceAfter);
  void pauseAgent(std::size_t Agent, duration Length);
  void drainAgent(std::size_t Agent);
  /// Drops all messages of deliveries until a query opens a new connection.
  void blackholeLink(std::size_t Entry, std::size_t Agent);
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

  /// Description of the first violated invariant, or empty.
  std::string violation() const;

  duration Service = std::chrono::milliseconds(20); ///< of an endpoint
  double ServiceSpread = 0; ///< random variation, as a fraction to both sides
  /// Delay of a message in one direction.
  duration OneWay = std::chrono::milliseconds(1);

private:
  struct entry {
    std::unique_ptr<request_router> Router;
    incarnation Incarnation{1};
    time_point NextTimer = time_point::max();
  };

  struct agent {
    std::unique_ptr<attempt_table> Table;
    incarnation Incarnation{1};
    bool Alive = true;
    time_point PausedUntil;
    time_point NextTimer = time_point::max();
    endpoint_fault Fault = endpoint_fault::None;
    int AtEndpoint = 0;
    std::map<attempt_id, std::size_t> Requests; ///< index of the stored request
    std::map<attempt_id, std::size_t> Answers;
    std::vector<bool> BlackholedEntries; ///< by entry
  };

  /// One call from an entry to an agent.
  struct call {
    std::size_t Entry = 0;
    std::size_t Agent = 0;
    incarnation EntryIncarnation{};
    attempt_id Attempt;
    std::size_t Request = 0; ///< of a delivery
    bool IsQuery = false;
    bool Open = true;
  };

  void schedule(duration Delay, std::function<void()> Action);
  transmission nextTransmission();
  bool blackholed(const call &Call) const;
  void sendToRouter(std::size_t Entry, const router_event &Event);
  void sendToTable(std::size_t Agent, incarnation Incarnation,
                   const attempt_event &Event);
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
  std::multimap<time_point, std::function<void()>> ScheduledActions;
  std::size_t NextTransmission = 0;
  std::optional<std::size_t> DeliveredAnswer;
  int Peak = 0;
  std::minstd_rand Random;
};

} // namespace geraniumpaddle::testing
