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

/// Position of an endpoint in its pool; used again after the endpoint is lost.
enum class endpoint_index : std::uint32_t {};

/// One run of an agent and the endpoint beside it.
struct pooled_endpoint {
  node_id Agent;
  incarnation AgentIncarnation{};
  std::string PeerAddress;
  service_id Service;
  region_id Region;
  availability_zone_id Zone;
  std::uint32_t Slots = 0;
  std::uint32_t Own = 0;    ///< requests of this entry in flight with it
  std::uint32_t Others = 0; ///< requests of other entries, as last reported
  time_point OthersAt;      ///< when they were reported
  bool Draining = false;
  bool Healthy = true;
  bool Suspected = false;
  std::uint32_t FailuresInRow = 0;
  std::uint32_t TimesEjected = 0; ///< since the last success
  time_point EjectedUntil;

  /// Requests at the endpoint. What was reported of other entries fades, so
  /// that an old report does not keep requests from an idle endpoint.
  double load(time_point Now) const;
};

/// The endpoints that one entry knows, and the choice among them: the own
/// availability zone first, then the region, across the link last; within each,
/// the less loaded of two random ones.
class endpoint_pool {
public:
  endpoint_pool(const router_settings &Settings, const router_identity &Self,
                std::uint64_t Seed);

  /// Adds an endpoint or replaces its agent's earlier run.
  void announce(const endpoint_announced &Event);
  void reportLoad(const endpoint_load_reported &Event, time_point Now);
  void suspect(const node_id &Agent, incarnation AgentIncarnation);
  void lose(const node_id &Agent, incarnation AgentIncarnation);
  void drain(const node_id &Agent, incarnation AgentIncarnation);

  bool serves(const service_id &Service) const;
  /// True if an endpoint of the service could take requests but for its load.
  bool anyUsable(const service_id &Service, time_point Now) const;
  std::size_t size() const { return ByAgent.size(); }
  const pooled_endpoint &at(endpoint_index Index) const;

  /// What a choice has to respect.
  struct choice {
    std::span<const node_id> Excluded; ///< agents that were tried already
    std::uint32_t Bytes = 0;
    bool FreeSlotOnly = false; ///< do not queue at the agent
  };
  /// An endpoint with room for one more request, or none.
  std::optional<endpoint_index> choose(const service_id &Service,
                                       const choice &Choice, time_point Now);

  /// Counts a request in, and out again. The run that it was sent to may have
  /// been replaced in between.
  void start(endpoint_index Index);
  void finish(endpoint_index Index, const node_id &Agent,
              incarnation AgentIncarnation);
  /// Takes the load that the agent reported with an attempt.
  void updateLoad(endpoint_index Index, const node_id &Agent,
                  incarnation AgentIncarnation, agent_load Load,
                  time_point Now);
  /// Feeds outlier ejection; true if the endpoint was ejected by this failure.
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
  bool live(const pooled_endpoint &Endpoint, const choice &Choice,
            time_point Now) const;
  bool anyLive(std::span<const endpoint_index> Candidates, const choice &Choice,
               time_point Now) const;
  std::optional<endpoint_index>
  chooseFrom(std::span<const endpoint_index> Candidates, const choice &Choice,
             double LoadFactor, time_point Now);
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
