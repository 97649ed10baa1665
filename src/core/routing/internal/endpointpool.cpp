#include "core/routing/endpointpool.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Requests up to this size spill over to other regions when the local ones are
/// full; larger ones only if the own region has no eligible endpoint.
constexpr std::uint32_t MaxSpilledBytes = 64 * 1024;
/// Each further ejection doubles the ejection time, at most this often.
constexpr std::uint32_t MaxEjectionDoublings = 4;
/// Time over which a reported load decays linearly to zero.
constexpr duration LoadReportLifetime = std::chrono::seconds(1);

void setOthersLoad(pooled_endpoint &Endpoint, agent_load Load, time_point Now) {
  const std::uint32_t Reported = Load.InFlight + Load.Queued;
  Endpoint.OthersInFlight = Reported - std::min(Reported, Endpoint.OwnInFlight);
  Endpoint.OthersReportedAt = Now;
}

} // namespace

double pooled_endpoint::load(time_point Now) const {
  const duration Age = std::min(Now - OthersReportedAt, LoadReportLifetime);
  const double Weight =
      1 - double(Age.count()) / double(LoadReportLifetime.count());
  return OwnInFlight + OthersInFlight * Weight;
}

endpoint_pool::endpoint_pool(const router_settings &Settings,
                             const router_identity &Self, std::uint64_t Seed)
    : Settings(Settings), Self(Self),
      Random(static_cast<std::minstd_rand::result_type>(Seed)) {}

std::size_t endpoint_pool::service_endpoints::size() const {
  std::size_t Sum = 0;
  for (const auto &Each : ByTier)
    Sum += Each.size();
  return Sum;
}

const pooled_endpoint &endpoint_pool::at(endpoint_index Index) const {
  return Endpoints[raw(Index)];
}

pooled_endpoint *endpoint_pool::find(const node_id &Agent,
                                     incarnation AgentIncarnation) {
  const auto Found = ByAgent.find(Agent);
  if (Found == ByAgent.end())
    return nullptr;
  return current(Found->second, Agent, AgentIncarnation);
}

pooled_endpoint *endpoint_pool::current(endpoint_index Index,
                                        const node_id &Agent,
                                        incarnation AgentIncarnation) {
  pooled_endpoint &Endpoint = Endpoints[raw(Index)];
  const bool Same =
      Endpoint.Agent == Agent && Endpoint.AgentIncarnation == AgentIncarnation;
  return Same ? &Endpoint : nullptr;
}

endpoint_pool::tier
endpoint_pool::tierOf(const pooled_endpoint &Endpoint) const {
  if (Endpoint.Region != Self.Region)
    return tier::Remote;
  return Endpoint.Zone == Self.Zone ? tier::Zone : tier::Region;
}

void endpoint_pool::announce(const endpoint_announced &Event) {
  const auto Known = ByAgent.find(Event.Agent);
  if (Known != ByAgent.end()) {
    if (Event.AgentIncarnation <= at(Known->second).AgentIncarnation)
      return;
    erase(Known->second);
  }
  if (Free.empty()) {
    Free.push_back(static_cast<endpoint_index>(Endpoints.size()));
    Endpoints.emplace_back();
  }
  const endpoint_index Index = Free.back();
  Free.pop_back();
  pooled_endpoint &Endpoint = Endpoints[raw(Index)];
  Endpoint = {};
  Endpoint.Agent = Event.Agent;
  Endpoint.AgentIncarnation = Event.AgentIncarnation;
  Endpoint.PeerAddress = Event.PeerAddress;
  Endpoint.Service = Event.Service;
  Endpoint.Region = Event.Region;
  Endpoint.Zone = Event.Zone;
  Endpoint.Slots = std::max(1U, Event.Slots);
  insert(Index);
}

void endpoint_pool::insert(endpoint_index Index) {
  const pooled_endpoint &Endpoint = at(Index);
  ByAgent[Endpoint.Agent] = Index;
  service_endpoints &Service = Services[Endpoint.Service];
  Service.ByTier[raw(tierOf(Endpoint))].push_back(Index);
}

void endpoint_pool::erase(endpoint_index Index) {
  pooled_endpoint &Endpoint = Endpoints[raw(Index)];
  ByAgent.erase(Endpoint.Agent);
  const auto Service = Services.find(Endpoint.Service);
  std::erase(Service->second.ByTier[raw(tierOf(Endpoint))], Index);
  if (Service->second.size() == 0)
    Services.erase(Service);
  Endpoint = {};
  Free.push_back(Index);
}

void endpoint_pool::reportLoad(const endpoint_load_reported &Event,
                               time_point Now) {
  pooled_endpoint *Endpoint = find(Event.Agent, Event.AgentIncarnation);
  if (!Endpoint)
    return;
  setOthersLoad(*Endpoint, Event.Load, Now);
  Endpoint->Draining = Endpoint->Draining || Event.Draining;
  Endpoint->Healthy = Event.Healthy;
  Endpoint->Suspected = false;
}

void endpoint_pool::updateLoad(endpoint_index Index, const node_id &Agent,
                               incarnation AgentIncarnation, agent_load Load,
                               time_point Now) {
  if (pooled_endpoint *Endpoint = current(Index, Agent, AgentIncarnation))
    setOthersLoad(*Endpoint, Load, Now);
}

void endpoint_pool::markSuspected(const node_id &Agent,
                                  incarnation AgentIncarnation) {
  if (pooled_endpoint *Endpoint = find(Agent, AgentIncarnation))
    Endpoint->Suspected = true;
}

void endpoint_pool::markDraining(const node_id &Agent,
                                 incarnation AgentIncarnation) {
  if (pooled_endpoint *Endpoint = find(Agent, AgentIncarnation))
    Endpoint->Draining = true;
}

void endpoint_pool::removeAgent(const node_id &Agent,
                                incarnation AgentIncarnation) {
  if (find(Agent, AgentIncarnation))
    erase(ByAgent.at(Agent));
}

bool endpoint_pool::serves(const service_id &Service) const {
  return Services.contains(Service);
}

bool endpoint_pool::anyUsable(const service_id &Service, time_point Now) const {
  const auto Found = Services.find(Service);
  return Found != Services.end() &&
         std::ranges::any_of(Found->second.ByTier, [&](const auto &Tier) {
           return anyEligible(Tier, selection_constraints{}, Now);
         });
}

bool endpoint_pool::eligible(const pooled_endpoint &Endpoint,
                             const selection_constraints &Constraints,
                             time_point Now) const {
  const bool Usable = Endpoint.Healthy && !Endpoint.Draining &&
                      !Endpoint.Suspected && Endpoint.EjectedUntil <= Now;
  return Usable && std::ranges::find(Constraints.Excluded, Endpoint.Agent) ==
                       Constraints.Excluded.end();
}

bool endpoint_pool::anyEligible(std::span<const endpoint_index> Candidates,
                                const selection_constraints &Constraints,
                                time_point Now) const {
  return std::ranges::any_of(Candidates, [&](endpoint_index Index) {
    return eligible(at(Index), Constraints, Now);
  });
}

std::optional<endpoint_index>
endpoint_pool::choose(const service_id &Service,
                      const selection_constraints &Constraints,
                      time_point Now) {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return std::nullopt;
  const auto &[Zone, Region, Remote] = Found->second.ByTier;
  constexpr double SlotsOnly = 1;
  const double Queueing = 1 + Settings.OverCommit;
  // The load of remote endpoints is known from region summaries only, so no
  // request is sent to wait in their queues.
  const bool RemoteAllowed =
      !Remote.empty() && (Constraints.Bytes <= MaxSpilledBytes ||
                          (!anyEligible(Zone, Constraints, Now) &&
                           !anyEligible(Region, Constraints, Now)));
  std::optional<endpoint_index> Chosen =
      chooseFrom(Zone, Constraints, SlotsOnly, Now);
  if (!Chosen)
    Chosen = chooseFrom(Region, Constraints, SlotsOnly, Now);
  if (!Chosen && RemoteAllowed)
    Chosen = chooseFrom(Remote, Constraints, SlotsOnly, Now);
  if (Chosen || Constraints.FreeSlotOnly)
    return Chosen;
  Chosen = chooseFrom(Zone, Constraints, Queueing, Now);
  return Chosen ? Chosen : chooseFrom(Region, Constraints, Queueing, Now);
}

std::optional<endpoint_index>
endpoint_pool::chooseFrom(std::span<const endpoint_index> Candidates,
                          const selection_constraints &Constraints,
                          double LoadFactor, time_point Now) {
  if (Candidates.empty())
    return std::nullopt;
  const auto HasCapacity = [&](endpoint_index Index) {
    const pooled_endpoint &Endpoint = at(Index);
    return Endpoint.load(Now) < Endpoint.Slots * LoadFactor &&
           eligible(Endpoint, Constraints, Now);
  };
  std::uniform_int_distribution<std::size_t> Draw(0, Candidates.size() - 1);
  const std::size_t Start = Draw(Random);
  const endpoint_index First = Candidates[Start];
  const endpoint_index Second = Candidates[Draw(Random)];
  const bool FirstHasCapacity = HasCapacity(First);
  if (HasCapacity(Second)) {
    const double FirstLoad = at(First).load(Now) / at(First).Slots;
    const double SecondLoad = at(Second).load(Now) / at(Second).Slots;
    return FirstHasCapacity && FirstLoad <= SecondLoad ? First : Second;
  }
  if (FirstHasCapacity)
    return First;
  for (std::size_t I = 1; I < Candidates.size(); ++I) {
    const endpoint_index Next = Candidates[(Start + I) % Candidates.size()];
    if (HasCapacity(Next))
      return Next;
  }
  return std::nullopt;
}

void endpoint_pool::start(endpoint_index Index) {
  ++Endpoints[raw(Index)].OwnInFlight;
}

void endpoint_pool::finish(endpoint_index Index, const node_id &Agent,
                           incarnation AgentIncarnation) {
  pooled_endpoint *Endpoint = current(Index, Agent, AgentIncarnation);
  if (Endpoint && Endpoint->OwnInFlight > 0)
    --Endpoint->OwnInFlight;
}

bool endpoint_pool::recordResult(endpoint_index Index, const node_id &Agent,
                                 incarnation AgentIncarnation, bool Failed,
                                 time_point Now) {
  pooled_endpoint *Endpoint = current(Index, Agent, AgentIncarnation);
  if (!Endpoint)
    return false;
  if (!Failed) {
    Endpoint->ConsecutiveFailures = 0;
    Endpoint->EjectionCount = 0;
    return false;
  }
  ++Endpoint->ConsecutiveFailures;
  if (Endpoint->ConsecutiveFailures < Settings.EjectionThreshold ||
      Endpoint->EjectedUntil > Now || !mayEject(Endpoint->Service, Now))
    return false;
  const std::uint32_t Doublings =
      std::min(Endpoint->EjectionCount, MaxEjectionDoublings);
  Endpoint->EjectedUntil = Now + Settings.EjectionTime * (1 << Doublings);
  ++Endpoint->EjectionCount;
  // A single failure after the ejection ends ejects the endpoint again.
  Endpoint->ConsecutiveFailures = Settings.EjectionThreshold - 1;
  return true;
}

bool endpoint_pool::mayEject(const service_id &Service, time_point Now) const {
  const service_endpoints &All = Services.at(Service);
  std::size_t Ejected = 0;
  for (const auto &Tier : All.ByTier) {
    Ejected += static_cast<std::size_t>(
        std::ranges::count_if(Tier, [&](endpoint_index Index) {
          return at(Index).EjectedUntil > Now;
        }));
  }
  const double EjectedWithThisOne = static_cast<double>(Ejected + 1);
  return EjectedWithThisOne <=
         static_cast<double>(All.size()) * Settings.MaxEjectedShare;
}

} // namespace geraniumpaddle
