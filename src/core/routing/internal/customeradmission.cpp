#include "core/routing/customeradmission.h"

#include "core/routing/limitshares.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Weight of the newest sample in the moving average of an arrival rate.
constexpr double RateSmoothing = 0.5;
/// Default burst if none is configured, in seconds at the configured rate.
constexpr double DefaultBurstSeconds = 1;

double seconds(duration Length) {
  return std::chrono::duration<double>(Length).count();
}

double burstLimit(const request_limits &Limits) {
  if (Limits.Burst > 0)
    return Limits.Burst;
  return std::max(1.0, Limits.RatePerSecond * DefaultBurstSeconds);
}

} // namespace

customer_admission::customer_admission(node_id Self, duration RaiseDelay)
    : Self(std::move(Self)), RaiseDelay(RaiseDelay) {}

void customer_admission::configure(std::span<const customer_config> Customers,
                                   time_point Now) {
  std::map<customer_id, customer_state> Next;
  for (const customer_config &Config : Customers) {
    customer_state &State = Next[Config.Id];
    const auto Old = States.find(Config.Id);
    const bool Known = Old != States.end();
    if (Known)
      State = std::move(Old->second);
    const bool Changed = !Known || State.Limits != Config.Limits;
    State.Limits = Config.Limits;
    State.Demand[Self];
    for (const auto &[Entry, Demand] : Peers)
      State.Demand[Entry];
    if (!Changed)
      continue;
    State.Refilled = Known ? State.Refilled : Now;
    State.RaiseAt.reset();
    updateShares(State, Now, duration::zero());
    if (!Known)
      State.Tokens = burst(State);
  }
  States = std::move(Next);
}

void customer_admission::setPeerDemand(const node_id &Entry,
                                       std::span<const customer_demand> Demand,
                                       time_point Now) {
  Peers[Entry].assign(Demand.begin(), Demand.end());
  for (auto &[Customer, State] : States) {
    entry_demand &Known = State.Demand[Entry];
    Known = {};
    const auto Found =
        std::ranges::find(Demand, Customer, &customer_demand::Customer);
    if (Found != Demand.end())
      Known = {static_cast<double>(Found->InFlight), Found->RatePerSecond};
    updateShares(State, Now, RaiseDelay);
  }
}

void customer_admission::dropPeer(const node_id &Entry, time_point Now) {
  Peers.erase(Entry);
  for (auto &[Customer, State] : States) {
    if (State.Demand.erase(Entry) > 0)
      updateShares(State, Now, RaiseDelay);
  }
}

/// Recomputes this entry's shares. Lower ones apply at once, higher ones after
/// \p RaiseAfter. A pending raise keeps its time and can only become smaller;
/// any further increase starts a new raise after the pending one has applied.
void customer_admission::updateShares(customer_state &State, time_point Now,
                                      duration RaiseAfter) {
  applyRaise(State, Now);
  const shares Target = targetShares(State);
  State.Share.InFlight = std::min(State.Share.InFlight, Target.InFlight);
  State.Share.Rate = std::min(State.Share.Rate, Target.Rate);
  const bool Higher =
      Target.InFlight > State.Share.InFlight || Target.Rate > State.Share.Rate;
  if (!State.RaiseAt && Higher) {
    State.RaiseAt = Now + RaiseAfter;
    State.PendingShare = Target;
  }
  State.PendingShare.InFlight =
      std::min(State.PendingShare.InFlight, Target.InFlight);
  State.PendingShare.Rate = std::min(State.PendingShare.Rate, Target.Rate);
  applyRaise(State, Now);
}

/// This entry's shares for the currently known demand.
customer_admission::shares
customer_admission::targetShares(const customer_state &State) const {
  std::vector<double> InFlight;
  std::vector<double> Rate;
  std::size_t OwnIndex = 0;
  for (const auto &[Entry, Demand] : State.Demand) {
    if (Entry == Self)
      OwnIndex = InFlight.size();
    InFlight.push_back(Demand.InFlight);
    Rate.push_back(Demand.RatePerSecond);
  }
  const auto Limit = static_cast<std::uint32_t>(State.Limits.InFlight);
  return {countShares(Limit, InFlight)[OwnIndex],
          rateShare(State.Limits.RatePerSecond, Rate, OwnIndex)};
}

void customer_admission::applyRaise(customer_state &State, time_point Now) {
  if (!State.RaiseAt || Now < *State.RaiseAt)
    return;
  refill(State, Now);
  State.Share = State.PendingShare;
  State.RaiseAt.reset();
}

/// Capacity of this entry's token bucket: its fraction of the customer's burst,
/// but at least one token, since a smaller bucket would admit no request.
double customer_admission::burst(const customer_state &State) {
  if (State.Limits.RatePerSecond <= 0)
    return 0;
  const double Fraction = State.Share.Rate / State.Limits.RatePerSecond;
  return std::max(1.0, burstLimit(State.Limits) * Fraction);
}

void customer_admission::refill(customer_state &State, time_point Now) {
  const double Earned = seconds(Now - State.Refilled) * State.Share.Rate;
  State.Tokens = std::min(burst(State), State.Tokens + Earned);
  State.Refilled = Now;
}

bool customer_admission::takeToken(customer_state &State, time_point Now) {
  if (State.Limits.RatePerSecond <= 0)
    return true;
  refill(State, Now);
  if (State.Tokens < 1)
    return false;
  State.Tokens -= 1;
  return true;
}

not_run_reason customer_admission::admit(const customer_id &Customer,
                                         time_point Now) {
  const auto Found = States.find(Customer);
  if (Found == States.end())
    return not_run_reason::UnknownCustomer;
  customer_state &State = Found->second;
  ++State.Arrived;
  applyRaise(State, Now);
  const bool Limited = State.Limits.InFlight > 0;
  if (Limited && State.InFlight >= State.Share.InFlight) {
    ++State.InFlightRefused;
    return not_run_reason::InFlightLimited;
  }
  if (!takeToken(State, Now))
    return not_run_reason::RateLimited;
  ++State.InFlight;
  return not_run_reason::None;
}

void customer_admission::release(const customer_id &Customer) {
  const auto Found = States.find(Customer);
  if (Found != States.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

std::span<const customer_demand>
customer_admission::publishDemand(time_point Now) {
  const double Elapsed = seconds(Now - LastPublished);
  LastPublished = Now;
  Published.clear();
  for (auto &[Customer, State] : States) {
    if (Elapsed > 0) {
      const double Sample = State.Arrived / Elapsed;
      State.ArrivalRate += (Sample - State.ArrivalRate) * RateSmoothing;
      State.Arrived = 0;
    }
    const std::uint32_t InFlight = State.InFlight + State.InFlightRefused;
    State.InFlightRefused = 0;
    State.Demand[Self] = {static_cast<double>(InFlight), State.ArrivalRate};
    updateShares(State, Now, RaiseDelay);
    Published.push_back({Customer, InFlight, State.ArrivalRate});
  }
  return Published;
}

} // namespace geraniumpaddle
