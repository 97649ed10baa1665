#include "core/routing/endpointpool.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Requests no larger than this cross the link to spread load; larger ones only
/// if their own region has no live endpoint.
constexpr std::uint32_t MaxSpilledBytes = 64 * 1024;
/// Most doublings of the ejection time.
constexpr std::uint32_t MaxEjectionShift = 4;
/// Time over which a reported load fades to nothing.
constexpr duration LoadMemory = std::chrono::seconds(1);

void setOthers(pooled_endpoint &Endpoint, agent_load Load, time_point Now) {
  const std::uint32_t Reported = Load.InFlight + Load.Queued;
  Endpoint.Others = Reported - std::min(Reported, Endpoint.Own);
  Endpoint.OthersAt = Now;
}

} // namespace

double pooled_endpoint::load(time_point Now) const {
  const duration Age = std::min(Now - OthersAt, LoadMemory);
  const double Weight = 1 - double(Age.count()) / double(LoadMemory.count());
  return Own + Others * Weight;
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
  setOthers(*Endpoint, Event.Load, Now);
  Endpoint->Draining = Endpoint->Draining || Event.Draining;
  Endpoint->Healthy = Event.Healthy;
  Endpoint->Suspected = false;
}

void endpoint_pool::updateLoad(endpoint_index Index, const node_id &Agent,
                               incarnation AgentIncarnation, agent_load Load,
                               time_point Now) {
  if (pooled_endpoint *Endpoint = current(Index, Agent, AgentIncarnation))
    setOthers(*Endpoint, Load, Now);
}

void endpoint_pool::suspect(const node_id &Agent,
                            incarnation AgentIncarnation) {
  if (pooled_endpoint *Endpoint = find(Agent, AgentIncarnation))
    Endpoint->Suspected = true;
}

void endpoint_pool::drain(const node_id &Agent, incarnation AgentIncarnation) {
  if (pooled_endpoint *Endpoint = find(Agent, AgentIncarnation))
    Endpoint->Draining = true;
}

void endpoint_pool::lose(const node_id &Agent, incarnation AgentIncarnation) {
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
           return anyLive(Tier, choice{}, Now);
         });
}

bool endpoint_pool::live(const pooled_endpoint &Endpoint, const choice &Choice,
                         time_point Now) const {
  const bool Usable = Endpoint.Healthy && !Endpoint.Draining &&
                      !Endpoint.Suspected && Endpoint.EjectedUntil <= Now;
  return Usable && std::ranges::find(Choice.Excluded, Endpoint.Agent) ==
                       Choice.Excluded.end();
}

bool endpoint_pool::anyLive(std::span<const endpoint_index> Candidates,
                            const choice &Choice, time_point Now) const {
  return std::ranges::any_of(Candidates, [&](endpoint_index Index) {
    return live(at(Index), Choice, Now);
  });
}

std::optional<endpoint_index> endpoint_pool::choose(const service_id &Service,
                                                    const choice &Choice,
                                                    time_point Now) {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return std::nullopt;
  const auto &[Zone, Region, Remote] = Found->second.ByTier;
  constexpr double SlotsOnly = 1;
  const double Queueing = 1 + Settings.OverCommit;
  // Remote endpoints are watched through summaries only, and queue nothing.
  const bool LinkAllowed =
      !Remote.empty() &&
      (Choice.Bytes <= MaxSpilledBytes ||
       (!anyLive(Zone, Choice, Now) && !anyLive(Region, Choice, Now)));
  std::optional<endpoint_index> Chosen =
      chooseFrom(Zone, Choice, SlotsOnly, Now);
  if (!Chosen)
    Chosen = chooseFrom(Region, Choice, SlotsOnly, Now);
  if (!Chosen && LinkAllowed)
    Chosen = chooseFrom(Remote, Choice, SlotsOnly, Now);
  if (Chosen || Choice.FreeSlotOnly)
    return Chosen;
  Chosen = chooseFrom(Zone, Choice, Queueing, Now);
  return Chosen ? Chosen : chooseFrom(Region, Choice, Queueing, Now);
}

std::optional<endpoint_index>
endpoint_pool::chooseFrom(std::span<const endpoint_index> Candidates,
                          const choice &Choice, double LoadFactor,
                          time_point Now) {
  if (Candidates.empty())
    return std::nullopt;
  const auto Fits = [&](endpoint_index Index) {
    const pooled_endpoint &Endpoint = at(Index);
    return Endpoint.load(Now) < Endpoint.Slots * LoadFactor &&
           live(Endpoint, Choice, Now);
  };
  std::uniform_int_distribution<std::size_t> Draw(0, Candidates.size() - 1);
  const std::size_t Start = Draw(Random);
  const endpoint_index First = Candidates[Start];
  const endpoint_index Second = Candidates[Draw(Random)];
  const bool FirstFits = Fits(First);
  if (Fits(Second)) {
    const double FirstLoad = at(First).load(Now) / at(First).Slots;
    const double SecondLoad = at(Second).load(Now) / at(Second).Slots;
    return FirstFits && FirstLoad <= SecondLoad ? First : Second;
  }
  if (FirstFits)
    return First;
  for (std::size_t I = 1; I < Candidates.size(); ++I) {
    const endpoint_index Next = Candidates[(Start + I) % Candidates.size()];
    if (Fits(Next))
      return Next;
  }
  return std::nullopt;
}

void endpoint_pool::start(endpoint_index Index) { ++Endpoints[raw(Index)].Own; }

void endpoint_pool::finish(endpoint_index Index, const node_id &Agent,
                           incarnation AgentIncarnation) {
  pooled_endpoint *Endpoint = current(Index, Agent, AgentIncarnation);
  if (Endpoint && Endpoint->Own > 0)
    --Endpoint->Own;
}

bool endpoint_pool::recordResult(endpoint_index Index, const node_id &Agent,
                                 incarnation AgentIncarnation, bool Failed,
                                 time_point Now) {
  pooled_endpoint *Endpoint = current(Index, Agent, AgentIncarnation);
  if (!Endpoint)
    return false;
  if (!Failed) {
    Endpoint->FailuresInRow = 0;
    Endpoint->TimesEjected = 0;
    return false;
  }
  ++Endpoint->FailuresInRow;
  if (Endpoint->FailuresInRow < Settings.EjectAfter ||
      Endpoint->EjectedUntil > Now || !mayEject(Endpoint->Service, Now))
    return false;
  const std::uint32_t Shift =
      std::min(Endpoint->TimesEjected, MaxEjectionShift);
  Endpoint->EjectedUntil = Now + Settings.EjectionTime * (1 << Shift);
  ++Endpoint->TimesEjected;
  // One more failure after its return ejects it again.
  Endpoint->FailuresInRow = Settings.EjectAfter - 1;
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
  const double After = static_cast<double>(Ejected + 1);
  return After <= static_cast<double>(All.size()) * Settings.MaxEjectedShare;
}

} // namespace geraniumpaddle
