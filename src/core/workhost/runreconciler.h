#pragma once

#include "core/workhost/types/reconcilerevents.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace geraniumpaddle::work {

/// Reconciles the runs of one worker instance with the scheduler's orders,
/// which are the desired state.
///
/// Starts and stops are idempotent. A start of unknown outcome is repeated
/// while the orders contain the run. Once they don't, a stop makes the worker
/// refuse a start that is still in flight; only then is the run reported as
/// absent, with a listing that does not have it as running.
///
/// The worker may restart under its id, and calls name nothing but the id. So a
/// start is repeated only once this instance has answered another listing.
class run_reconciler {
public:
  /// \param Earlier whether this process has had a session with an earlier
  ///        instance of the worker.
  run_reconciler(const reconciler_limits &Limits,
                 worker_description Description,
                 earlier_session Earlier = earlier_session::None);

  /// \returns commands that are valid until the next call.
  std::span<const reconciler_command> handle(const reconciler_event &Event,
                                             time_point Now);

  /// Current report for the scheduler.
  worker_report report() const;
  /// A listing request that does not wait, to be sent even if one is in flight.
  list_runs finalListing() const {
    return {.AcknowledgedEnds = Orders.AcknowledgedEnds};
  }
  const worker_description &description() const { return Description; }
  bool hasListing() const { return Listing.has_value(); }
  /// Whether the worker, and with it each of its runs, has ended.
  bool workerGone() const { return RefusedConnections >= GoneAfterRefusals; }

private:
  /// A worker that announced its shutdown is gone after this many refused
  /// connections in a row. Refused connections alone don't prove it, since the
  /// network may refuse connections as well.
  static constexpr int GoneAfterRefusals = 2;

  /// A start that will not happen. It is reported together with a listing that
  /// was requested after the refusal was certain, since the run may have
  /// started and finished before.
  struct refusal {
    start_refusal Reason = start_refusal::Stale;
    std::uint64_t ReportWith = 0; ///< number of the listing
  };

  void onDescription(const description_received &Event, const time_point &Now);
  void onOrders(const orders_received &Event, const time_point &Now);
  void onStartAnswered(const start_answered &Event, const time_point &Now);
  void onStopAnswered(const stop_answered &Event, const time_point &Now);
  void onListing(const listing_received &Event, const time_point &Now);
  void onListingFailed(const listing_failed &Event, const time_point &Now);
  void onShutdownAnnounced(const shutdown_announced &Event,
                           const time_point &Now);
  void onTimerExpired(const reconciler_timer_expired &Event,
                      const time_point &Now);

  void reconcile(time_point Now);
  void startMissing(const desired_run &Desired, time_point Now);
  void stopUnwanted(time_point Now);
  void sendStop(const run_ref &Run);
  void refuse(const run_ref &Run, start_refusal Reason);
  void requestListing(time_point Now);
  bool ordersApplied() const;
  bool isOver(const run_ref &Run, const refusal &Refusal) const;
  bool isFinished(const run_ref &Run) const;
  bool isListed(const run_ref &Run) const;
  bool isShown(const run_ref &Run) const {
    return isListed(Run) || isFinished(Run);
  }
  std::vector<run_ref> unlistedRuns() const;

  const reconciler_limits Limits;
  const earlier_session Earlier;
  worker_description Description;
  std::optional<worker_listing> Listing;
  worker_orders Orders;
  std::map<run_ref, desired_run> DesiredRuns;
  std::set<run_ref> StartsInFlight;
  std::set<run_ref> StopsInFlight;
  std::set<run_ref> UnconfirmedStarts; ///< of unknown outcome
  std::set<run_ref> Started;           ///< confirmed, not listed yet
  /// Confirmed stops, until a listing that was requested later lacks the run;
  /// with the number of the first such listing.
  std::map<run_ref, std::uint64_t> Stopped;
  std::map<run_ref, refusal> Refused;
  std::map<run_ref, time_point> RetryAt;
  std::optional<std::int64_t> LeaseEndMs;
  orders_version Applied;        ///< reflected by Listing
  orders_version PendingVersion; ///< reflected by the pending listing
  /// This instance has answered a listing since the last call without an
  /// answer.
  bool InstanceAnswers = false;
  bool ListingPending = false;
  std::uint64_t RequestedListings = 0;
  std::uint64_t LastReceived = 0; ///< number of the last listing
  std::optional<time_point> NextListingAt;
  int FailedListings = 0;
  int RefusedConnections = 0; ///< in a row, since the shutdown was announced
  bool ShutdownAnnounced = false;
  std::vector<reconciler_command> Commands;
};

} // namespace geraniumpaddle::work
