#include "core/workhost/runreconciler.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle::work {

namespace {

/// Pause before a call of unknown outcome is repeated, and after a listing that
/// failed.
constexpr duration RetryDelay = std::chrono::milliseconds(200);
/// A worker answers a listing at once while it has finished runs that are not
/// acknowledged. The next listing therefore waits for the acknowledgement, but
/// no longer than this.
constexpr duration AcknowledgementWait = std::chrono::milliseconds(400);
/// Listings of a draining worker don't wait for a run to finish: if the worker
/// exits while it answers, a finished run that it counts as reported is lost.
/// Such workers are polled instead.
constexpr duration DrainListingInterval = std::chrono::milliseconds(200);
/// Failed listings in a row after which the worker counts as unreachable.
constexpr int UnreachableAfter = 2;

} // namespace

run_reconciler::run_reconciler(const reconciler_limits &Limits,
                               worker_description Description,
                               earlier_session Earlier)
    : Limits(Limits), Earlier(Earlier), Description(std::move(Description)) {}

std::span<const reconciler_command>
run_reconciler::handle(const reconciler_event &Event, time_point Now) {
  Commands.clear();
  if (workerGone())
    return Commands;
  using table = member_table<
      &run_reconciler::onDescription, &run_reconciler::onOrders,
      &run_reconciler::onStartAnswered, &run_reconciler::onStopAnswered,
      &run_reconciler::onListing, &run_reconciler::onListingFailed,
      &run_reconciler::onShutdownAnnounced, &run_reconciler::onTimerExpired>;
  table::dispatch(*this, Event, Now);
  if (workerGone())
    return Commands;
  reconcile(Now);
  requestListing(Now);
  return Commands;
}

void run_reconciler::onDescription(const description_received &Event,
                                   const time_point &) {
  const bool Outdated = Event.Description.Sequence < Description.Sequence;
  if (Outdated)
    return;
  worker_description Before = std::move(Description);
  Description = Event.Description;
  // The sequence number and the remaining time change with each heartbeat.
  Before.Sequence = Description.Sequence;
  Before.DrainRemaining = Description.DrainRemaining;
  if (!(Before == Description))
    Commands.emplace_back(send_report{});
}

void run_reconciler::onOrders(const orders_received &Event,
                              const time_point &) {
  if (Event.Orders.Version < Orders.Version)
    return;
  if (Event.ReportedClockMs) {
    const std::int64_t End =
        *Event.ReportedClockMs + millisecondsOf(Limits.Lease);
    LeaseEndMs = std::max(LeaseEndMs.value_or(End), End);
  }
  if (Event.Orders.AcknowledgedEnds > Orders.AcknowledgedEnds)
    NextListingAt.reset();
  Orders = Event.Orders;
  std::map<run_ref, desired_run> PreviousRuns;
  std::swap(PreviousRuns, DesiredRuns);
  for (const desired_run &Run : Orders.Runs) {
    const auto Previous = PreviousRuns.find(Run.Run);
    // Bodies are sent only once and kept until the run has started.
    const bool Keep = !Run.HasBody && Previous != PreviousRuns.end();
    DesiredRuns.emplace(Run.Run, Keep ? Previous->second : Run);
  }
  std::erase_if(Refused, [&](const auto &Each) {
    return !DesiredRuns.contains(Each.first);
  });
}

void run_reconciler::onStartAnswered(const start_answered &Event,
                                     const time_point &Now) {
  StartsInFlight.erase(Event.Run);
  switch (Event.Result) {
  case worker_call_result::Done:
    UnconfirmedStarts.erase(Event.Run);
    Started.insert(Event.Run);
    break;
  case worker_call_result::Unknown:
    InstanceAnswers = false;
    UnconfirmedStarts.insert(Event.Run);
    RetryAt[Event.Run] = Now + RetryDelay;
    break;
  case worker_call_result::Refused:
    // An earlier attempt may still reach the worker. A stop makes the worker
    // refuse it; the refusal is reported only after that.
    Refused.insert_or_assign(Event.Run,
                             refusal{Event.Reason, RequestedListings + 1});
    if (UnconfirmedStarts.contains(Event.Run))
      sendStop(Event.Run);
    break;
  }
  if (StartsInFlight.empty())
    Commands.emplace_back(send_report{});
}

void run_reconciler::onStopAnswered(const stop_answered &Event,
                                    const time_point &Now) {
  StopsInFlight.erase(Event.Run);
  if (Event.Result == worker_call_result::Unknown) {
    RetryAt[Event.Run] = Now + RetryDelay;
    return;
  }
  UnconfirmedStarts.erase(Event.Run);
  Started.erase(Event.Run);
  RetryAt.erase(Event.Run);
  Stopped.insert_or_assign(Event.Run, RequestedListings + 1);
  const auto Refusal = Refused.find(Event.Run);
  if (Refusal != Refused.end())
    Refusal->second.ReportWith = RequestedListings + 1;
}

void run_reconciler::onListing(const listing_received &Event,
                               const time_point &Now) {
  InstanceAnswers = true;
  ListingPending = false;
  LastReceived = RequestedListings;
  FailedListings = 0;
  const std::uint64_t Before = Listing && !Listing->Finished.empty()
                                   ? Listing->Finished.back().Number
                                   : Orders.AcknowledgedEnds;
  const auto &Ends = Event.Listing.Finished;
  const bool NewEnds = !Ends.empty() && Ends.back().Number > Before;
  const bool UnacknowledgedEnds =
      !Ends.empty() && Ends.back().Number > Orders.AcknowledgedEnds;
  Listing = Event.Listing;
  Applied = PendingVersion;
  // A start that is repeated after the run has ended does nothing.
  const auto IsShown = [this](const run_ref &Run) { return isShown(Run); };
  std::erase_if(Started, IsShown);
  std::erase_if(UnconfirmedStarts, IsShown);
  std::erase_if(Stopped, [&](const auto &Each) {
    return Each.second <= LastReceived && !isListed(Each.first);
  });
  // Every listing is reported, since the lease counts from it.
  Commands.emplace_back(send_report{});
  if (UnacknowledgedEnds)
    NextListingAt = Now + AcknowledgementWait;
  else if (Description.Draining)
    NextListingAt = Now + DrainListingInterval;
  else if (!NewEnds)
    NextListingAt.reset();
}

void run_reconciler::onListingFailed(const listing_failed &Event,
                                     const time_point &Now) {
  InstanceAnswers = false;
  ListingPending = false;
  RefusedConnections =
      ShutdownAnnounced && Event.ConnectionRefused ? RefusedConnections + 1 : 0;
  if (workerGone()) {
    Commands.emplace_back(send_report{});
    return;
  }
  NextListingAt = Now + RetryDelay;
  if (++FailedListings == UnreachableAfter)
    Commands.emplace_back(send_report{});
}

void run_reconciler::onShutdownAnnounced(const shutdown_announced &,
                                         const time_point &) {
  ShutdownAnnounced = true;
}

void run_reconciler::onTimerExpired(const reconciler_timer_expired &,
                                    const time_point &) {}

bool run_reconciler::isListed(const run_ref &Run) const {
  return Listing &&
         std::any_of(Listing->Running.begin(), Listing->Running.end(),
                     [&](const auto &Row) { return Row.Run == Run; });
}

bool run_reconciler::isFinished(const run_ref &Run) const {
  return Listing &&
         std::any_of(Listing->Finished.begin(), Listing->Finished.end(),
                     [&](const auto &Row) { return Row.Run == Run; });
}

/// Whether a refused run neither runs nor can start any more. A run that was
/// started before its refusal occupies the worker until its stop has ended, and
/// its end may be missing from an incomplete listing.
bool run_reconciler::isOver(const run_ref &Run, const refusal &Refusal) const {
  return !UnconfirmedStarts.contains(Run) &&
         Refusal.ReportWith <= LastReceived && !isListed(Run) &&
         Listing->EndsComplete;
}

void run_reconciler::refuse(const run_ref &Run, start_refusal Reason) {
  const bool IsNew =
      Refused.try_emplace(Run, refusal{Reason, RequestedListings + 1}).second;
  // Reported with the next listing.
  if (IsNew)
    NextListingAt.reset();
}

void run_reconciler::reconcile(time_point Now) {
  if (!Listing)
    return;
  // A run that an incomplete listing lacks may have ended.
  if (Listing->EndsComplete)
    for (const auto &[Key, Desired] : DesiredRuns)
      startMissing(Desired, Now);
  stopUnwanted(Now);
}

void run_reconciler::startMissing(const desired_run &Desired, time_point Now) {
  const run_ref &Run = Desired.Run;
  const bool AlreadyKnown = isShown(Run) || Started.contains(Run) ||
                            StartsInFlight.contains(Run) ||
                            Refused.contains(Run);
  if (AlreadyKnown || !LeaseEndMs)
    return;
  if (Description.Draining || !Desired.HasBody) {
    // Orders omit the body of a run that the worker already had, so that this
    // run has disappeared there.
    const start_refusal Reason =
        Description.Draining ? start_refusal::Draining : start_refusal::Stale;
    refuse(Run, Reason);
    if (UnconfirmedStarts.contains(Run))
      sendStop(Run);
    return;
  }
  if (UnconfirmedStarts.contains(Run) && !InstanceAnswers)
    return; // continues with the next listing
  const auto Retry = RetryAt.find(Run);
  if (Retry != RetryAt.end() && Retry->second > Now) {
    Commands.emplace_back(set_reconciler_timer{Retry->second});
    return;
  }
  StartsInFlight.insert(Run);
  Commands.emplace_back(start_run{Desired, *LeaseEndMs});
}

void run_reconciler::stopUnwanted(time_point Now) {
  std::set<run_ref> Present = UnconfirmedStarts;
  Present.insert(Started.begin(), Started.end());
  for (const running_run &Row : Listing->Running)
    Present.insert(Row.Run);
  // Without orders, the runs are those of an earlier agent process, or were
  // started by calls to the worker's earlier instance.
  const bool MayStop =
      Orders.Version.Term > 0 || Earlier == earlier_session::SameProcess;
  for (const run_ref &Run : Present) {
    const bool Keep = DesiredRuns.contains(Run) && !Refused.contains(Run);
    const bool Busy = StartsInFlight.contains(Run) ||
                      StopsInFlight.contains(Run) || Stopped.contains(Run) ||
                      isFinished(Run);
    if (Keep || Busy || !MayStop)
      continue;
    const auto Retry = RetryAt.find(Run);
    if (Retry != RetryAt.end() && Retry->second > Now)
      Commands.emplace_back(set_reconciler_timer{Retry->second});
    else
      sendStop(Run);
  }
}

void run_reconciler::sendStop(const run_ref &Run) {
  if (StopsInFlight.insert(Run).second)
    Commands.emplace_back(stop_run{Run});
}

/// Whether no run can start any more that the orders don't contain. Those that
/// they contain may still be starting.
bool run_reconciler::ordersApplied() const {
  const auto Wanted = [this](const run_ref &Run) {
    return DesiredRuns.contains(Run);
  };
  const auto AllWanted = [&](const std::set<run_ref> &Some) {
    return std::all_of(Some.begin(), Some.end(), Wanted);
  };
  return StopsInFlight.empty() && AllWanted(StartsInFlight) &&
         AllWanted(UnconfirmedStarts) && AllWanted(Started);
}

void run_reconciler::requestListing(time_point Now) {
  if (ListingPending)
    return;
  if (NextListingAt && *NextListingAt > Now) {
    Commands.emplace_back(set_reconciler_timer{*NextListingAt});
    return;
  }
  NextListingAt.reset();
  ListingPending = true;
  ++RequestedListings;
  if (ordersApplied())
    PendingVersion = Orders.Version;
  const bool MayWait = InstanceAnswers && !Description.Draining;
  Commands.emplace_back(
      list_runs{.AcknowledgedEnds = Orders.AcknowledgedEnds,
                .LeaseEndMs = LeaseEndMs,
                .Wait = MayWait ? Limits.ListingWait : duration{}});
}

/// Runs that may be on the worker although the listing lacks them.
std::vector<run_ref> run_reconciler::unlistedRuns() const {
  std::set<run_ref> Runs = StartsInFlight;
  Runs.insert(UnconfirmedStarts.begin(), UnconfirmedStarts.end());
  for (const auto &[Run, ConfirmedWith] : Stopped)
    Runs.insert(Run);
  std::erase_if(Runs, [this](const run_ref &Run) { return isShown(Run); });
  return {Runs.begin(), Runs.end()};
}

worker_report run_reconciler::report() const {
  const bool Reachable = FailedListings < UnreachableAfter;
  worker_report Report{.Description = Description,
                       .Applied = Applied,
                       .Reachable = Reachable,
                       .Left = workerGone()};
  if (Reachable || Report.Left)
    Report.Listing = Listing;
  if (Report.Listing)
    for (const run_ref &Run : Started)
      Report.Listing->Running.push_back({.Run = Run});
  Report.Unlisted = unlistedRuns();
  for (const auto &[Run, Refusal] : Refused)
    if (isOver(Run, Refusal))
      Report.Refused.push_back({Run, Refusal.Reason});
  return Report;
}

} // namespace geraniumpaddle::work
