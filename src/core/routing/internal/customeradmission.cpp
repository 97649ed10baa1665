#include "core/routing/customeradmission.h"

#include "core/routing/limitshares.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Weight of the newest measurement of an arrival rate.
constexpr double RateSmoothing = 0.5;
/// Burst in seconds of the rate, where none is configured.
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

customer_admission::customer_admission(node_id Self, duration Settling)
    : Self(std::move(Self)), Settling(Settling) {}

void customer_admission::configure(std::span<const customer_config> Customers,
                                   time_point Now) {
  std::map<customer_id, lane> Next;
  for (const customer_config &Config : Customers) {
    lane &Lane = Next[Config.Id];
    const auto Old = Lanes.find(Config.Id);
    const bool Known = Old != Lanes.end();
    if (Known)
      Lane = std::move(Old->second);
    const bool Changed = !Known || Lane.Limits != Config.Limits;
    Lane.Limits = Config.Limits;
    Lane.Demand[Self];
    for (const auto &[Entry, Demand] : Peers)
      Lane.Demand[Entry];
    if (!Changed)
      continue;
    Lane.Refilled = Known ? Lane.Refilled : Now;
    Lane.RaiseAt.reset();
    share(Lane, Now, duration::zero());
    if (!Known)
      Lane.Tokens = burst(Lane);
  }
  Lanes = std::move(Next);
}

void customer_admission::setPeerDemand(const node_id &Entry,
                                       std::span<const customer_demand> Demand,
                                       time_point Now) {
  Peers[Entry].assign(Demand.begin(), Demand.end());
  for (auto &[Customer, Lane] : Lanes) {
    entry_demand &Known = Lane.Demand[Entry];
    Known = {};
    const auto Found =
        std::ranges::find(Demand, Customer, &customer_demand::Customer);
    if (Found != Demand.end())
      Known = {static_cast<double>(Found->InFlight), Found->RatePerSecond};
    share(Lane, Now, Settling);
  }
}

void customer_admission::dropPeer(const node_id &Entry, time_point Now) {
  Peers.erase(Entry);
  for (auto &[Customer, Lane] : Lanes) {
    if (Lane.Demand.erase(Entry) > 0)
      share(Lane, Now, Settling);
  }
}

/// Recomputes this entry's shares. Lower ones apply at once, higher ones after
/// \p RaiseAfter. A raise that is already pending keeps its time and can only
/// become smaller; what is left of it starts anew once it is in force.
void customer_admission::share(lane &Lane, time_point Now,
                               duration RaiseAfter) {
  applyRaise(Lane, Now);
  const shares Target = target(Lane);
  Lane.Share.InFlight = std::min(Lane.Share.InFlight, Target.InFlight);
  Lane.Share.Rate = std::min(Lane.Share.Rate, Target.Rate);
  const bool Higher =
      Target.InFlight > Lane.Share.InFlight || Target.Rate > Lane.Share.Rate;
  if (!Lane.RaiseAt && Higher) {
    Lane.RaiseAt = Now + RaiseAfter;
    Lane.Raised = Target;
  }
  Lane.Raised.InFlight = std::min(Lane.Raised.InFlight, Target.InFlight);
  Lane.Raised.Rate = std::min(Lane.Raised.Rate, Target.Rate);
  applyRaise(Lane, Now);
}

/// This entry's shares by the demand that is known now.
customer_admission::shares customer_admission::target(const lane &Lane) const {
  std::vector<double> InFlight;
  std::vector<double> Rate;
  std::size_t Own = 0;
  for (const auto &[Entry, Demand] : Lane.Demand) {
    if (Entry == Self)
      Own = InFlight.size();
    InFlight.push_back(Demand.InFlight);
    Rate.push_back(Demand.RatePerSecond);
  }
  const auto Limit = static_cast<std::uint32_t>(Lane.Limits.InFlight);
  return {countShares(Limit, InFlight)[Own],
          rateShare(Lane.Limits.RatePerSecond, Rate, Own)};
}

void customer_admission::applyRaise(lane &Lane, time_point Now) {
  if (!Lane.RaiseAt || Now < *Lane.RaiseAt)
    return;
  refill(Lane, Now);
  Lane.Share = Lane.Raised;
  Lane.RaiseAt.reset();
}

/// Requests that may arrive at once: this entry's part of the burst, at least
/// one so that a small share is of use.
double customer_admission::burst(const lane &Lane) {
  if (Lane.Limits.RatePerSecond <= 0)
    return 0;
  const double Part = Lane.Share.Rate / Lane.Limits.RatePerSecond;
  return std::max(1.0, burstLimit(Lane.Limits) * Part);
}

void customer_admission::refill(lane &Lane, time_point Now) {
  const double Earned = seconds(Now - Lane.Refilled) * Lane.Share.Rate;
  Lane.Tokens = std::min(burst(Lane), Lane.Tokens + Earned);
  Lane.Refilled = Now;
}

bool customer_admission::takeToken(lane &Lane, time_point Now) {
  if (Lane.Limits.RatePerSecond <= 0)
    return true;
  refill(Lane, Now);
  if (Lane.Tokens < 1)
    return false;
  Lane.Tokens -= 1;
  return true;
}

not_run_reason customer_admission::admit(const customer_id &Customer,
                                         time_point Now) {
  const auto Found = Lanes.find(Customer);
  if (Found == Lanes.end())
    return not_run_reason::UnknownCustomer;
  lane &Lane = Found->second;
  ++Lane.Arrived;
  applyRaise(Lane, Now);
  const bool Limited = Lane.Limits.InFlight > 0;
  if (Limited && Lane.InFlight >= Lane.Share.InFlight) {
    ++Lane.InFlightRefused;
    return not_run_reason::InFlightLimited;
  }
  if (!takeToken(Lane, Now))
    return not_run_reason::RateLimited;
  ++Lane.InFlight;
  return not_run_reason::None;
}

void customer_admission::release(const customer_id &Customer) {
  const auto Found = Lanes.find(Customer);
  if (Found != Lanes.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

std::span<const customer_demand>
customer_admission::publishDemand(time_point Now) {
  const double Elapsed = seconds(Now - LastPublished);
  LastPublished = Now;
  Published.clear();
  for (auto &[Customer, Lane] : Lanes) {
    if (Elapsed > 0) {
      const double Newest = Lane.Arrived / Elapsed;
      Lane.ArrivalRate += (Newest - Lane.ArrivalRate) * RateSmoothing;
      Lane.Arrived = 0;
    }
    const std::uint32_t InFlight = Lane.InFlight + Lane.InFlightRefused;
    Lane.InFlightRefused = 0;
    Lane.Demand[Self] = {static_cast<double>(InFlight), Lane.ArrivalRate};
    share(Lane, Now, Settling);
    Published.push_back({Customer, InFlight, Lane.ArrivalRate});
  }
  return Published;
}

} // namespace geraniumpaddle
