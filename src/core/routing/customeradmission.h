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

/// Admission control: admits requests within this entry's share of each
/// customer's rate and concurrency limits.
///
/// The limits are split among the live entries by the demand that each one
/// published last. Entries that see the same demand compute shares that add up
/// to the limit. While a change of demand propagates, a lower share takes
/// effect at once and a higher one after the raise delay; the sum exceeds the
/// limit only if an entry misses the others' demand for longer than that.
class customer_admission {
public:
  customer_admission(node_id Self, duration RaiseDelay);

  /// Replaces the customers; those that remain keep their counts.
  void configure(std::span<const customer_config> Customers, time_point Now);
  void setPeerDemand(const node_id &Entry,
                     std::span<const customer_demand> Demand, time_point Now);
  /// Redistributes the shares of a lost entry to the others.
  void dropPeer(const node_id &Entry, time_point Now);

  /// Admits and counts the request and returns None, or returns the reason for
  /// refusing it.
  not_run_reason admit(const customer_id &Customer, time_point Now);
  /// Ends an admitted request.
  void release(const customer_id &Customer);

  /// Measures this entry's own demand, recomputes the shares with it and
  /// returns it for publication to the other entries. Valid until the next
  /// call.
  std::span<const customer_demand> publishDemand(time_point Now);

  std::size_t customers() const { return States.size(); }

private:
  struct entry_demand {
    double InFlight = 0;
    double RatePerSecond = 0;
  };

  struct shares {
    std::uint32_t InFlight = 0;
    double Rate = 0; ///< per second
  };

  struct customer_state {
    request_limits Limits;
    std::uint32_t InFlight = 0;
    std::uint32_t InFlightRefused = 0; ///< since the last publication
    std::uint32_t Arrived = 0;         ///< since the last publication
    double ArrivalRate = 0;            ///< smoothed, per second
    double Tokens = 0;
    time_point Refilled;
    shares Share;                           ///< in force
    shares PendingShare;                    ///< takes effect at RaiseAt
    std::optional<time_point> RaiseAt;      ///< empty: no raise is pending
    std::map<node_id, entry_demand> Demand; ///< by live entry, own included
  };

  shares targetShares(const customer_state &State) const;
  static double burst(const customer_state &State);
  static void refill(customer_state &State, time_point Now);
  static void applyRaise(customer_state &State, time_point Now);
  void updateShares(customer_state &State, time_point Now, duration RaiseAfter);
  static bool takeToken(customer_state &State, time_point Now);

  node_id Self;
  duration RaiseDelay;
  time_point LastPublished;
  std::map<customer_id, customer_state> States;
  std::map<node_id, std::vector<customer_demand>> Peers;
  std::vector<customer_demand> Published;
};

} // namespace geraniumpaddle
