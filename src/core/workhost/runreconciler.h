#pragma once

#include "core/workhost/types/reconcilerevents.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace geraniumpaddle::work {

/// Brings what one life of a worker runs in line with the scheduler's orders.
///
/// Starts and stops may be repeated without harm. A start of unknown outcome is
/// repeated while the run is wanted, and barred by a stop once it is not; only
/// then is the run reported as not there.
class run_host {
public:
  run_host(const host_limits &Limits, worker_description Description);

  /// \returns commands that are valid until the next call.
  std::span<const host_command> handle(const host_event &Event, time_point Now);

  /// What to tell the scheduler now.
  worker_report report() const;
  /// Asks for a listing at once, beside one that may be open.
  list_runs lastListing() const {
    return {.AcknowledgedEnds = Orders.AcknowledgedEnds};
  }
  const worker_description &description() const { return Description; }
  bool hasListing() const { return Listing.has_value(); }
  /// The worker is gone, and with it all that ran there.
  bool left() const { return ListenerMissing >= GoneAfter; }

private:
  /// A worker that said that it leaves is gone once nobody took this many
  /// connections in a row. Alone that is no proof: a link may refuse as well.
  static constexpr int GoneAfter = 2;

  void onDescribed(const worker_described &Event, const time_point &Now);
  void onOrders(const orders_arrived &Event, const time_point &Now);
  void onStartAnswered(const start_answered &Event, const time_point &Now);
  void onStopAnswered(const stop_answered &Event, const time_point &Now);
  void onListing(const listing_arrived &Event, const time_point &Now);
  void onListingFailed(const listing_failed &Event, const time_point &Now);
  void onLeaves(const worker_leaves &Event, const time_point &Now);
  void onTimePassed(const host_time_passed &Event, const time_point &Now);

  void reconcile(time_point Now);
  void startWanted(const desired_run &Desired, time_point Now);
  void stopUnwanted(time_point Now);
  void sendStop(const run_ref &Run);
  void refuse(const run_ref &Run, start_refusal Reason);
  void askListing(time_point Now);
  bool settled() const;
  bool finished(const run_ref &Run) const;
  bool listed(const run_ref &Run) const;

  const host_limits Limits;
  worker_description Description;
  std::optional<worker_listing> Listing;
  worker_orders Orders;
  std::map<run_ref, desired_run> Wanted;
  std::set<run_ref> Starting;  ///< start calls in flight
  std::set<run_ref> Stopping;  ///< stop calls in flight
  std::set<run_ref> Uncertain; ///< started without an answer
  std::set<run_ref> Started;   ///< answered, not in a listing yet
  std::set<run_ref> Stopped;   ///< stop was answered
  /// A start that will not happen. It is told with a listing that was asked for
  /// after it was certain: the run may have come and gone before.
  struct refusal {
    start_refusal Reason = start_refusal::Stale;
    std::uint64_t TellWith = 0; ///< number of that listing
  };
  std::map<run_ref, refusal> Refused;
  std::map<run_ref, time_point> RetryAt;
  std::optional<std::int64_t> LeaseEndMs;
  orders_version Applied;       ///< that the listing reflects
  orders_version ListingCovers; ///< of the listing that is asked for
  bool ListingAsked = false;
  std::uint64_t AskedListings = 0;
  std::uint64_t ReceivedListing = 0; ///< number of the last one
  std::optional<time_point> NextListing;
  int FailedListings = 0;
  int ListenerMissing = 0; ///< in a row, since the worker said that it leaves
  bool Leaving = false;
  std::vector<host_command> Commands;
};

} // namespace geraniumpaddle::work
