#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "core/ledger/types/record.h"
#include "core/routing/types/routermessages.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Admits requests within this entry's share of each customer's limits.
///
/// The limits are shared among the live entries by the demand that each one
/// published last. Entries that see the same demand compute shares that add up
/// to the limit. While a change of demand spreads, a lower share takes effect
/// at once and a higher one after the settling time; the sum goes above the
/// limit only if an entry misses the others' demand for longer than that.
class customer_admission {
public:
  customer_admission(node_id Self, duration Settling);

  /// Replaces the customers; counts of those that stay are kept.
  void configure(std::span<const customer_config> Customers, time_point Now);
  void setPeerDemand(const node_id &Entry,
                     std::span<const customer_demand> Demand, time_point Now);
  /// Gives the shares of a lost entry back to the others.
  void dropPeer(const node_id &Entry, time_point Now);

  /// Counts the request in, or says why it has to be refused; None: admitted.
  not_run_reason admit(const customer_id &Customer, time_point Now);
  /// Counts an admitted request out.
  void release(const customer_id &Customer);

  /// Takes stock of this entry's own demand and publishes it: from now on the
  /// shares are computed from it. Valid until the next call.
  std::span<const customer_demand> publishDemand(time_point Now);

  std::size_t customers() const { return Lanes.size(); }

private:
  struct entry_demand {
    double InFlight = 0;
    double RatePerSecond = 0;
  };

  struct shares {
    std::uint32_t InFlight = 0;
    double Rate = 0; ///< per second
  };

  struct lane {
    request_limits Limits;
    std::uint32_t InFlight = 0;
    std::uint32_t InFlightRefused = 0; ///< since the last publication
    std::uint32_t Arrived = 0;         ///< since the last publication
    double ArrivalRate = 0;            ///< smoothed, per second
    double Tokens = 0;
    time_point Refilled;
    shares Share;                           ///< in force
    shares Raised;                          ///< in force from RaiseAt on
    std::optional<time_point> RaiseAt;      ///< none: no raise is pending
    std::map<node_id, entry_demand> Demand; ///< by live entry, with this one
  };

  shares target(const lane &Lane) const;
  static double burst(const lane &Lane);
  static void refill(lane &Lane, time_point Now);
  static void applyRaise(lane &Lane, time_point Now);
  void share(lane &Lane, time_point Now, duration RaiseAfter);
  static bool takeToken(lane &Lane, time_point Now);

  node_id Self;
  duration Settling;
  time_point LastPublished;
  std::map<customer_id, lane> Lanes;
  std::map<node_id, std::vector<customer_demand>> Peers;
  std::vector<customer_demand> Published;
};

} // namespace geraniumpaddle
