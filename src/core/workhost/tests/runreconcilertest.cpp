#include "core/workhost/runreconciler.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

TEST_GROUP(RunReconciler) {
  run_reconciler Reconciler{reconciler_limits{},
                            work::testing::makeWorker("w1")};
  time_point Now{std::chrono::hours(1)};
  run_ref Run{{job_id("j1"), {}}, 1};
  std::optional<start_run> Start;
  std::optional<run_ref> Stop;
  std::optional<list_runs> List;

  void feed(const reconciler_event &Event) {
    Start.reset();
    Stop.reset();
    List.reset();
    for (const reconciler_command &Each : Reconciler.handle(Event, Now)) {
      if (const auto *Found = std::get_if<start_run>(&Each))
        Start = *Found;
      if (const auto *Found = std::get_if<stop_run>(&Each))
        Stop = Found->Run;
      if (const auto *Found = std::get_if<list_runs>(&Each))
        List = *Found;
    }
  }

  void listing(const worker_listing &Given = {}) {
    feed(listing_received{Given});
  }

  void orders(std::uint64_t Number, bool Wanted, std::uint64_t Term = 1) {
    worker_orders Orders{.Version = {Term, Number},
                         .Instance = Reconciler.description().Instance};
    if (Wanted)
      Orders.Runs.push_back({.Run = Run, .HasBody = true});
    feed(orders_received{Orders, 1000});
  }

  void begin() {
    feed(reconciler_timer_expired{});
    listing();
    orders(1, true);
  }
};

TEST(RunReconciler, StartsRunsOfTheOrders) {
  begin();
  CHECK(Start && Start->Run.Run == Run);
  LONGS_EQUAL(7000, Start->LeaseEndMs);
  feed(start_answered{Run, worker_call_result::Done});
  LONGS_EQUAL(1, Reconciler.report().Listing->Running.size());
}

// TWICE: without orders, a run on the next instance of a worker can only come
// from a call to the earlier one.
TEST(RunReconciler, StopsWhatACallToTheEarlierInstanceStarted) {
  for (const auto Earlier :
       {earlier_session::None, earlier_session::SameProcess}) {
    run_reconciler Next{reconciler_limits{},
                        work::testing::makeWorker("w1", "r1", 2), Earlier};
    Next.handle(reconciler_timer_expired{}, Now);
    std::size_t Stops = 0;
    for (const reconciler_command &Each :
         Next.handle(listing_received{{.Running = {{.Run = Run}}}}, Now))
      Stops += std::holds_alternative<stop_run>(Each);
    LONGS_EQUAL(Earlier == earlier_session::SameProcess ? 1 : 0, Stops);
  }
}

TEST(RunReconciler, StartsNothingWithoutALease) {
  feed(reconciler_timer_expired{});
  listing();
  worker_orders Orders{.Version = {1, 1},
                       .Instance = Reconciler.description().Instance};
  Orders.Runs.push_back({.Run = Run, .HasBody = true});
  feed(orders_received{Orders, std::nullopt});
  CHECK(!Start);
}

TEST(RunReconciler, IgnoresOlderOrders) {
  begin();
  feed(start_answered{Run, worker_call_result::Done});
  orders(9, false, 2);
  CHECK(Stop.has_value());
  feed(stop_answered{Run, worker_call_result::Done});
  orders(50, true, 1);
  CHECK(!Start);
}

// The worker may have restarted under its id since the last listing.
TEST(RunReconciler, RepeatsAStartOfUnknownOutcomeOnlyAfterAnotherListing) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  CHECK(!Start);
  Now += 200ms;
  feed(reconciler_timer_expired{});
  CHECK(!Start);
  listing();
  CHECK(Start.has_value());
}

TEST(RunReconciler, AStartWithoutAnAnswerDoesNotHoldUpOthers) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  const run_ref Other{{job_id("j2"), {}}, 1};
  worker_orders Orders{.Version = {1, 2},
                       .Instance = Reconciler.description().Instance};
  for (const run_ref &Each : {Run, Other})
    Orders.Runs.push_back({.Run = Each, .HasBody = true});
  feed(orders_received{Orders, 1000});
  CHECK(Start && Start->Run.Run == Other);
}

TEST(RunReconciler, AListingAfterOneThatFailedDoesNotWait) {
  feed(reconciler_timer_expired{});
  listing();
  feed(listing_failed{});
  Now += 200ms;
  feed(reconciler_timer_expired{});
  CHECK(List && List->Wait == duration{});
}

TEST(RunReconciler, StopsARunOfUnknownOutcomeThatTheOrdersNoLongerContain) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  Now += 200ms;
  orders(2, false);
  CHECK(Stop == Run);
  // The orders are applied once the stop is confirmed and a listing follows.
  listing();
  CHECK(Reconciler.report().Applied.Number < 2);
  feed(stop_answered{Run, worker_call_result::Done});
  listing();
  listing();
  LONGS_EQUAL(2, Reconciler.report().Applied.Number);
}

// On a busy worker some start is always in flight. A task whose run was barred
// would otherwise wait until the worker has nothing more to start.
TEST(RunReconciler, StartsOfOtherRunsDoNotHoldUpTheReportOfABarredRun) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  Now += 200ms;
  worker_orders Orders{.Version = {1, 2},
                       .Instance = Reconciler.description().Instance};
  const run_ref Other{{job_id("j2"), {}}, 1};
  Orders.Runs.push_back({.Run = Other, .HasBody = true});
  feed(orders_received{Orders, 1000});
  CHECK(Start && Start->Run.Run == Other);
  CHECK(Stop == Run);
  listing(); // requested before the stop
  listing(); // requested while the stop is in flight
  CHECK(Reconciler.report().Applied.Number < 2);
  feed(stop_answered{Run, worker_call_result::Done});
  listing(); // the same
  CHECK(Reconciler.report().Applied.Number < 2);
  listing();
  LONGS_EQUAL(2, Reconciler.report().Applied.Number);
}

TEST(RunReconciler, AStartInFlightThatIsNoLongerWantedHoldsUpItsOrders) {
  begin();
  orders(2, false);
  listing();
  listing();
  CHECK(Reconciler.report().Applied.Number < 2);
  feed(start_answered{Run, worker_call_result::Unknown});
  Now += 200ms;
  listing();
  listing();
  CHECK(Reconciler.report().Applied.Number < 2);
  feed(stop_answered{Run, worker_call_result::Done});
  listing();
  listing();
  LONGS_EQUAL(2, Reconciler.report().Applied.Number);
}

// The run may have started and finished since the last listing. If the refusal
// were reported before its end, the scheduler would start the run again.
TEST(RunReconciler, ReportsARefusalOnlyWithAListingRequestedAfterIt) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  Now += 200ms;
  listing();
  feed(start_answered{Run, worker_call_result::Refused, start_refusal::Stale});
  CHECK(Stop == Run);
  feed(stop_answered{Run, worker_call_result::Done});
  CHECK(Reconciler.report().Refused.empty());
  listing(); // requested before the refusal
  CHECK(Reconciler.report().Refused.empty());
  CHECK(List.has_value());
  listing({.Finished = {
               {.Number = 1, .Run = Run, .EndReason = run_end_reason::Done}}});
  LONGS_EQUAL(1, Reconciler.report().Refused.size());
  LONGS_EQUAL(1, Reconciler.report().Listing->Finished.size());
}

TEST(RunReconciler, StartsNothingOnADrainingWorker) {
  worker_description Draining = work::testing::makeWorker("w1");
  Draining.Draining = true;
  Draining.Sequence = 2;
  feed(reconciler_timer_expired{});
  feed(description_received{Draining});
  listing();
  orders(1, true);
  CHECK(!Start);
  listing();
  listing();
  LONGS_EQUAL(1, Reconciler.report().Refused.size());
  CHECK(Reconciler.report().Refused[0].Reason == start_refusal::Draining);
}

// A start whose answer was lost is taken back when the worker drains. Until its
// stop has ended, the task would run twice if the run were reported as refused.
TEST(RunReconciler, DoesNotReportARefusalWhileTheRunIsStillBeingStopped) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  worker_description Draining = Reconciler.description();
  Draining.Draining = true;
  ++Draining.Sequence;
  feed(description_received{Draining});
  CHECK(Stop == Run);
  feed(stop_answered{Run, worker_call_result::Done});
  const worker_listing StillRunning{.Running = {{.Run = Run}}};
  for (int I = 0; I < 4; ++I) {
    listing(StillRunning);
    CHECK(Reconciler.report().Refused.empty());
    Now += 200ms;
    feed(reconciler_timer_expired{});
  }
  listing(
      {.Finished = {
           {.Number = 1, .Run = Run, .EndReason = run_end_reason::Stopped}}});
  LONGS_EQUAL(1, Reconciler.report().Refused.size());
  LONGS_EQUAL(1, Reconciler.report().Listing->Finished.size());
}

// Between the answer to a stop and the next listing, a new scheduler would
// otherwise take the run's capacity for free.
TEST(RunReconciler, ReportsRunsThatTheListingDoesNotShowYet) {
  const auto Unlisted = [this] { return Reconciler.report().Unlisted; };
  begin();
  CHECK(Unlisted() == std::vector{Run}); // its start is in flight
  feed(start_answered{Run, worker_call_result::Unknown});
  CHECK(Unlisted() == std::vector{Run});
  Now += 200ms;
  orders(2, false);
  CHECK(Stop == Run);
  feed(stop_answered{Run, worker_call_result::Done});
  CHECK(Unlisted() == std::vector{Run});
  listing(); // requested before the stop was answered
  CHECK(Unlisted() == std::vector{Run});
  listing({.Running = {{.Run = Run}}});
  CHECK(Unlisted().empty()); // listed as running
  listing();
  CHECK(Unlisted().empty());
}

// While the store is down, a worker has more ended runs than one listing shows.
// A run that ended must not count as one that the worker does not have.
TEST(RunReconciler, ConcludesNothingFromAListingThatLacksEnds) {
  begin();
  feed(start_answered{Run, worker_call_result::Done});
  listing({.Running = {{.Run = Run}}});
  worker_orders Orders{.Version = {1, 2},
                       .Instance = Reconciler.description().Instance};
  const run_ref Other{{job_id("j2"), {}}, 1};
  Orders.Runs = {{.Run = Run}, {.Run = Other, .HasBody = true}};
  const worker_listing Incomplete{
      .Finished = {{.Number = 1, .Run = {{job_id("j3"), {}}, 1}}},
      .EndsComplete = false};
  listing(Incomplete);
  feed(orders_received{Orders, 1000});
  for (int I = 0; I < 4; ++I) {
    Now += 400ms;
    feed(reconciler_timer_expired{});
    CHECK(!Start);
    listing(Incomplete);
    CHECK(Reconciler.report().Refused.empty());
  }
  listing({.Finished = {{.Number = 2, .Run = Run}}});
  CHECK(Start && Start->Run.Run == Other);
  CHECK(Reconciler.report().Refused.empty());
}

TEST(RunReconciler, IgnoresAnOutdatedHeartbeat) {
  worker_description Draining = work::testing::makeWorker("w1");
  Draining.Draining = true;
  Draining.Sequence = 5;
  feed(description_received{Draining});
  worker_description Late = work::testing::makeWorker("w1");
  Late.Sequence = 4;
  feed(description_received{Late});
  CHECK(Reconciler.description().Draining);
}

TEST(RunReconciler,
     WaitsForTheAcknowledgementOfFinishedRunsBeforeTheNextListing) {
  begin();
  listing({.Finished = {
               {.Number = 1, .Run = Run, .EndReason = run_end_reason::Done}}});
  CHECK(!List);
  worker_orders Orders{.Version = {1, 2},
                       .Instance = Reconciler.description().Instance,
                       .AcknowledgedEnds = 1};
  feed(orders_received{Orders, 1000});
  CHECK(List && List->AcknowledgedEnds == 1);
}

TEST(RunReconciler, ReportsAWorkerThatDoesNotAnswerAsUnreachable) {
  begin();
  feed(listing_failed{});
  CHECK(Reconciler.report().Reachable);
  Now += 1s;
  feed(reconciler_timer_expired{});
  feed(listing_failed{});
  CHECK(!Reconciler.report().Reachable);
  CHECK(!Reconciler.report().Listing); // the last one shows nothing any more
  Now += 1s;
  feed(reconciler_timer_expired{});
  listing();
  CHECK(Reconciler.report().Reachable);
}

TEST(RunReconciler, AWorkerThatAnnouncedShutdownAndRefusesConnectionsIsGone) {
  begin();
  feed(shutdown_announced{});
  feed(listing_failed{.ConnectionRefused = true});
  CHECK(!Reconciler.report().Left);
  Now += 1s;
  feed(listing_failed{.ConnectionRefused = true});
  CHECK(Reconciler.report().Left);
  Now += 1s;
  feed(reconciler_timer_expired{});
  CHECK(!List);
}

// The network may refuse connections while the worker is still running.
TEST(RunReconciler, AWorkerThatOnlyRefusesConnectionsIsNotGone) {
  begin();
  for (int I = 0; I < 5; ++I) {
    feed(listing_failed{.ConnectionRefused = true});
    Now += 1s;
  }
  CHECK(!Reconciler.report().Left);
}

TEST(RunReconciler, AWorkerThatAnnouncedShutdownAndDoesNotAnswerIsNotGone) {
  begin();
  feed(shutdown_announced{});
  for (int I = 0; I < 5; ++I) {
    feed(listing_failed{.ConnectionRefused = false});
    Now += 1s;
  }
  CHECK(!Reconciler.report().Left);
}

// If the worker exits while it answers, finished runs in the answer are lost.
TEST(RunReconciler, ListingsOfADrainingWorkerDoNotWaitForRunsToFinish) {
  begin();
  worker_description Draining = Reconciler.description();
  ++Draining.Sequence;
  Draining.Draining = true;
  feed(description_received{Draining});
  listing();
  CHECK(!List);
  Now += 200ms;
  feed(reconciler_timer_expired{});
  CHECK(List && List->Wait == duration{});
}
