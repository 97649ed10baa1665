#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/routing/types/routermessages.h"
#include "core/routing/types/routersettings.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

/// Index of an endpoint in its pool; reused after the endpoint is removed.
enum class endpoint_index : std::uint32_t {};

/// An endpoint and the incarnation of the agent that serves it.
struct pooled_endpoint {
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress;
  service_id Service;
  region_id Region;
  availability_zone_id Zone;
  std::uint32_t Slots = 0;
  std::uint32_t OwnInFlight = 0;    ///< requests in flight from this entry
  std::uint32_t OthersInFlight = 0; ///< from other entries, as last reported
  time_point OthersReportedAt;      ///< time of that report
  bool Draining = false;
  bool Healthy = true;
  bool Suspected = false;
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t EjectionCount = 0; ///< since the last success
  time_point EjectedUntil;

  /// Estimated requests at the endpoint. The load reported for other entries
  /// decays, so that an old report does not keep requests from an idle
  /// endpoint.
  double load(time_point Now) const;
};

/// Load balancing over the endpoints that one entry knows. Prefers the entry's
/// own availability zone, then its region, then other regions; within each
/// tier, takes the less loaded of two random endpoints.
class endpoint_pool {
public:
  endpoint_pool(const router_settings &Settings, const router_identity &Self,
                std::uint64_t Seed);

  /// Adds an endpoint or replaces its agent's earlier incarnation.
  void announce(const endpoint_announced &Event);
  void reportLoad(const endpoint_load_reported &Event, time_point Now);
  void markSuspected(const node_id &Agent, incarnation AgentIncarnation);
  void removeAgent(const node_id &Agent, incarnation AgentIncarnation);
  void markDraining(const node_id &Agent, incarnation AgentIncarnation);

  bool serves(const service_id &Service) const;
  /// True if the service has a usable endpoint, whatever its load.
  bool anyUsable(const service_id &Service, time_point Now) const;
  std::size_t size() const { return ByAgent.size(); }
  const pooled_endpoint &at(endpoint_index Index) const;

  /// Constraints on the choice of an endpoint.
  struct selection_constraints {
    std::span<const node_id> Excluded; ///< agents that were already tried
    std::uint32_t Bytes = 0;
    bool FreeSlotOnly = false; ///< only endpoints with a free slot
  };
  /// An endpoint with capacity for one more request, or nullopt.
  std::optional<endpoint_index> choose(const service_id &Service,
                                       const selection_constraints &Constraints,
                                       time_point Now);

  /// Count a request in flight at its start and end. finish() does nothing if
  /// the agent's incarnation has been replaced in between.
  void start(endpoint_index Index);
  void finish(endpoint_index Index, const node_id &Agent,
              incarnation AgentIncarnation);
  /// Records the load that the agent reported with an attempt.
  void updateLoad(endpoint_index Index, const node_id &Agent,
                  incarnation AgentIncarnation, agent_load Load,
                  time_point Now);
  /// Outlier ejection; true if this failure ejected the endpoint.
  bool recordResult(endpoint_index Index, const node_id &Agent,
                    incarnation AgentIncarnation, bool Failed, time_point Now);

private:
  enum class tier : std::uint8_t { Zone, Region, Remote };
  static constexpr std::size_t Tiers = 3;

  struct service_endpoints {
    std::array<std::vector<endpoint_index>, Tiers> ByTier;
    std::size_t size() const;
  };

  pooled_endpoint *find(const node_id &Agent, incarnation AgentIncarnation);
  pooled_endpoint *current(endpoint_index Index, const node_id &Agent,
                           incarnation AgentIncarnation);
  tier tierOf(const pooled_endpoint &Endpoint) const;
  void insert(endpoint_index Index);
  void erase(endpoint_index Index);
  bool eligible(const pooled_endpoint &Endpoint,
                const selection_constraints &Constraints, time_point Now) const;
  bool anyEligible(std::span<const endpoint_index> Candidates,
                   const selection_constraints &Constraints,
                   time_point Now) const;
  std::optional<endpoint_index>
  chooseFrom(std::span<const endpoint_index> Candidates,
             const selection_constraints &Constraints, double LoadFactor,
             time_point Now);
  bool mayEject(const service_id &Service, time_point Now) const;

  router_settings Settings;
  router_identity Self;
  std::minstd_rand Random;
  std::vector<pooled_endpoint> Endpoints;
  std::vector<endpoint_index> Free;
  std::unordered_map<node_id, endpoint_index> ByAgent;
  std::unordered_map<service_id, service_endpoints> Services;
};

} // namespace geraniumpaddle
