#include "core/workhost/runreconciler.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle::work {

namespace {

/// Pause before an order of unknown outcome is repeated, and before a worker
/// that did not answer is asked again.
constexpr duration RetryDelay = std::chrono::milliseconds(200);
/// A listing with ends that are not acknowledged yet would be answered at
/// once; the next one waits for the acknowledgement, but no longer than this.
constexpr duration AcknowledgementWait = std::chrono::milliseconds(400);
/// Listings of a draining worker don't wait for ends: the answer that tells one
/// as the worker ends would be lost, though it was told. They are asked for
/// this often instead.
constexpr duration DrainListingPause = std::chrono::milliseconds(200);
/// Unanswered listings in a row after which the worker counts as unreachable.
constexpr int UnreachableAfter = 2;

} // namespace

run_host::run_host(const host_limits &Limits, worker_description Description)
    : Limits(Limits), Description(std::move(Description)) {}

std::span<const host_command> run_host::handle(const host_event &Event,
                                               time_point Now) {
  Commands.clear();
  if (left())
    return Commands;
  using table =
      member_table<&run_host::onDescribed, &run_host::onOrders,
                   &run_host::onStartAnswered, &run_host::onStopAnswered,
                   &run_host::onListing, &run_host::onListingFailed,
                   &run_host::onLeaves, &run_host::onTimePassed>;
  table::dispatch(*this, Event, Now);
  if (left())
    return Commands;
  reconcile(Now);
  askListing(Now);
  return Commands;
}

void run_host::onDescribed(const worker_described &Event, const time_point &) {
  const bool Late = Event.Description.Sequence < Description.Sequence;
  if (Late)
    return;
  worker_description Before = std::move(Description);
  Description = Event.Description;
  // The numbers of heartbeats and the time left change all the time.
  Before.Sequence = Description.Sequence;
  Before.DrainRemaining = Description.DrainRemaining;
  if (!(Before == Description))
    Commands.emplace_back(report_now{});
}

void run_host::onOrders(const orders_arrived &Event, const time_point &) {
  if (Event.Orders.Version < Orders.Version)
    return;
  if (Event.ReportedClockMs) {
    const std::int64_t End =
        *Event.ReportedClockMs + millisecondsOf(Limits.Lease);
    LeaseEndMs = std::max(LeaseEndMs.value_or(End), End);
  }
  if (Event.Orders.AcknowledgedEnds > Orders.AcknowledgedEnds)
    NextListing.reset();
  Orders = Event.Orders;
  std::map<run_ref, desired_run> Earlier;
  std::swap(Earlier, Wanted);
  for (const desired_run &Run : Orders.Runs) {
    const auto Known = Earlier.find(Run.Run);
    // A body that was sent once stays until the run has started.
    const bool Keep = !Run.HasBody && Known != Earlier.end();
    Wanted.emplace(Run.Run, Keep ? Known->second : Run);
  }
  std::erase_if(Refused,
                [&](const auto &Each) { return !Wanted.contains(Each.first); });
}

void run_host::onStartAnswered(const start_answered &Event,
                               const time_point &Now) {
  Starting.erase(Event.Run);
  switch (Event.Result) {
  case worker_call_result::Done:
    Uncertain.erase(Event.Run);
    Started.insert(Event.Run);
    break;
  case worker_call_result::Unknown:
    Uncertain.insert(Event.Run);
    RetryAt[Event.Run] = Now + RetryDelay;
    break;
  case worker_call_result::Refused:
    // An earlier try may still arrive; a stop bars it before the refusal is
    // told.
    Refused.insert_or_assign(Event.Run,
                             refusal{Event.Reason, AskedListings + 1});
    if (Uncertain.contains(Event.Run))
      sendStop(Event.Run);
    break;
  }
  if (Starting.empty())
    Commands.emplace_back(report_now{});
}

void run_host::onStopAnswered(const stop_answered &Event,
                              const time_point &Now) {
  Stopping.erase(Event.Run);
  if (Event.Result == worker_call_result::Unknown) {
    RetryAt[Event.Run] = Now + RetryDelay;
    return;
  }
  Uncertain.erase(Event.Run);
  Started.erase(Event.Run);
  RetryAt.erase(Event.Run);
  Stopped.insert(Event.Run);
  const auto Told = Refused.find(Event.Run);
  if (Told != Refused.end())
    Told->second.TellWith = AskedListings + 1;
}

void run_host::onListing(const listing_arrived &Event, const time_point &Now) {
  ListingAsked = false;
  ReceivedListing = AskedListings;
  FailedListings = 0;
  const std::uint64_t Before = Listing && !Listing->Finished.empty()
                                   ? Listing->Finished.back().Number
                                   : Orders.AcknowledgedEnds;
  const auto &Ends = Event.Listing.Finished;
  const bool NewEnds = !Ends.empty() && Ends.back().Number > Before;
  const bool OpenEnds =
      !Ends.empty() && Ends.back().Number > Orders.AcknowledgedEnds;
  Listing = Event.Listing;
  Applied = ListingCovers;
  std::erase_if(Started, [&](const run_ref &Run) {
    return listed(Run) || finished(Run);
  });
  std::erase_if(Stopped, [&](const run_ref &Run) { return !listed(Run); });
  // Every listing is reported: the lease counts from it.
  Commands.emplace_back(report_now{});
  if (OpenEnds)
    NextListing = Now + AcknowledgementWait;
  else if (Description.Draining)
    NextListing = Now + DrainListingPause;
  else if (!NewEnds)
    NextListing.reset();
}

void run_host::onListingFailed(const listing_failed &Event,
                               const time_point &Now) {
  ListingAsked = false;
  ListenerMissing =
      Leaving && Event.ConnectionRefused ? ListenerMissing + 1 : 0;
  if (left()) {
    Commands.emplace_back(report_now{});
    return;
  }
  NextListing = Now + RetryDelay;
  if (++FailedListings == UnreachableAfter)
    Commands.emplace_back(report_now{});
}

void run_host::onLeaves(const worker_leaves &, const time_point &) {
  Leaving = true;
}

void run_host::onTimePassed(const host_time_passed &, const time_point &) {}

bool run_host::listed(const run_ref &Run) const {
  return Listing &&
         std::any_of(Listing->Running.begin(), Listing->Running.end(),
                     [&](const auto &Row) { return Row.Run == Run; });
}

bool run_host::finished(const run_ref &Run) const {
  return Listing &&
         std::any_of(Listing->Finished.begin(), Listing->Finished.end(),
                     [&](const auto &Row) { return Row.Run == Run; });
}

void run_host::refuse(const run_ref &Run, start_refusal Reason) {
  const bool IsNew =
      Refused.try_emplace(Run, refusal{Reason, AskedListings + 1}).second;
  // It is told with the next listing.
  if (IsNew)
    NextListing.reset();
}

void run_host::reconcile(time_point Now) {
  if (!Listing)
    return;
  for (const auto &[Key, Desired] : Wanted)
    startWanted(Desired, Now);
  stopUnwanted(Now);
}

void run_host::startWanted(const desired_run &Desired, time_point Now) {
  const run_ref &Run = Desired.Run;
  const bool There = listed(Run) || finished(Run) || Started.contains(Run) ||
                     Starting.contains(Run) || Refused.contains(Run);
  if (There || !LeaseEndMs)
    return;
  if (Description.Draining || !Desired.HasBody) {
    // Without its body the run was there once and is not any more.
    const start_refusal Reason =
        Description.Draining ? start_refusal::Draining : start_refusal::Stale;
    refuse(Run, Reason);
    if (Uncertain.contains(Run))
      sendStop(Run);
    return;
  }
  const auto Retry = RetryAt.find(Run);
  if (Retry != RetryAt.end() && Retry->second > Now) {
    Commands.emplace_back(host_wake_at{Retry->second});
    return;
  }
  Starting.insert(Run);
  Commands.emplace_back(start_run{Desired, *LeaseEndMs});
}

void run_host::stopUnwanted(time_point Now) {
  std::set<run_ref> Present = Uncertain;
  Present.insert(Started.begin(), Started.end());
  for (const running_run &Row : Listing->Running)
    Present.insert(Row.Run);
  for (const run_ref &Run : Present) {
    const bool Keep = Wanted.contains(Run) && !Refused.contains(Run);
    const bool Busy = Starting.contains(Run) || Stopping.contains(Run) ||
                      Stopped.contains(Run) || finished(Run);
    if (Keep || Busy || Orders.Version.Term == 0)
      continue;
    const auto Retry = RetryAt.find(Run);
    if (Retry != RetryAt.end() && Retry->second > Now)
      Commands.emplace_back(host_wake_at{Retry->second});
    else
      sendStop(Run);
  }
}

void run_host::sendStop(const run_ref &Run) {
  if (Stopping.insert(Run).second)
    Commands.emplace_back(stop_run{Run});
}

bool run_host::settled() const {
  if (!Starting.empty() || !Stopping.empty() || !Uncertain.empty())
    return false;
  return std::all_of(
      Started.begin(), Started.end(),
      [this](const run_ref &Run) { return Wanted.contains(Run); });
}

void run_host::askListing(time_point Now) {
  if (ListingAsked)
    return;
  if (NextListing && *NextListing > Now) {
    Commands.emplace_back(host_wake_at{*NextListing});
    return;
  }
  NextListing.reset();
  ListingAsked = true;
  ++AskedListings;
  if (settled())
    ListingCovers = Orders.Version;
  Commands.emplace_back(list_runs{.AcknowledgedEnds = Orders.AcknowledgedEnds,
                                  .LeaseEndMs = LeaseEndMs,
                                  .Wait = Listing && !Description.Draining
                                              ? Limits.ListingWait
                                              : duration{}});
}

worker_report run_host::report() const {
  worker_report Report{.Description = Description,
                       .Listing = Listing,
                       .Applied = Applied,
                       .Reachable = FailedListings < UnreachableAfter,
                       .Left = left()};
  if (Report.Listing)
    for (const run_ref &Run : Started)
      Report.Listing->Running.push_back({.Run = Run});
  for (const auto &[Run, Refusal] : Refused)
    if (!Uncertain.contains(Run) && Refusal.TellWith <= ReceivedListing)
      Report.Refused.push_back({Run, Refusal.Reason});
  return Report;
}

} // namespace geraniumpaddle::work
