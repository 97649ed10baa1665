#include "core/workhost/runreconciler.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

TEST_GROUP(RunHost) {
  run_host Host{host_limits{}, work::testing::makeWorker("w1")};
  time_point Now{std::chrono::hours(1)};
  run_ref Run{{job_id("j1"), {}}, 1};
  std::optional<start_run> Start;
  std::optional<run_ref> Stop;
  std::optional<list_runs> List;

  void feed(const host_event &Event) {
    Start.reset();
    Stop.reset();
    List.reset();
    for (const host_command &Each : Host.handle(Event, Now)) {
      if (const auto *Found = std::get_if<start_run>(&Each))
        Start = *Found;
      if (const auto *Found = std::get_if<stop_run>(&Each))
        Stop = Found->Run;
      if (const auto *Found = std::get_if<list_runs>(&Each))
        List = *Found;
    }
  }

  void listing(const worker_listing &Given = {}) {
    feed(listing_arrived{Given});
  }

  void orders(std::uint64_t Number, bool Wanted, std::uint64_t Term = 1) {
    worker_orders Orders{.Version = {Term, Number},
                         .Life = Host.description().Life};
    if (Wanted)
      Orders.Runs.push_back({.Run = Run, .HasBody = true});
    feed(orders_arrived{Orders, 1000});
  }

  void begin() {
    feed(host_time_passed{});
    listing();
    orders(1, true);
  }
};

TEST(RunHost, StartsWhatItShallRun) {
  begin();
  CHECK(Start && Start->Run.Run == Run);
  LONGS_EQUAL(7000, Start->LeaseEndMs);
  feed(start_answered{Run, worker_call_result::Done});
  LONGS_EQUAL(1, Host.report().Listing->Running.size());
}

TEST(RunHost, StartsNothingWithoutALease) {
  feed(host_time_passed{});
  listing();
  worker_orders Orders{.Version = {1, 1}, .Life = Host.description().Life};
  Orders.Runs.push_back({.Run = Run, .HasBody = true});
  feed(orders_arrived{Orders, std::nullopt});
  CHECK(!Start);
}

TEST(RunHost, OlderOrdersChangeNothing) {
  begin();
  feed(start_answered{Run, worker_call_result::Done});
  orders(9, false, 2);
  CHECK(Stop.has_value());
  feed(stop_answered{Run, worker_call_result::Done});
  orders(50, true, 1);
  CHECK(!Start);
}

TEST(RunHost, AStartOfUnknownOutcomeIsRepeated) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  CHECK(!Start);
  Now += 200ms;
  feed(host_time_passed{});
  CHECK(Start.has_value());
}

TEST(RunHost, AStartOfUnknownOutcomeIsBarredOnceItIsNotWanted) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  Now += 200ms;
  orders(2, false);
  CHECK(Stop == Run);
  // Not settled until the stop was answered and the worker was listed again.
  listing();
  CHECK(Host.report().Applied.Number < 2);
  feed(stop_answered{Run, worker_call_result::Done});
  listing();
  listing();
  LONGS_EQUAL(2, Host.report().Applied.Number);
}

// The run may have come and gone since the worker was last listed: its end has
// to be told before the refusal, or it would be run again.
TEST(RunHost, ARefusalIsToldWithAListingThatIsYoungerOnly) {
  begin();
  feed(start_answered{Run, worker_call_result::Unknown});
  Now += 200ms;
  feed(host_time_passed{});
  feed(start_answered{Run, worker_call_result::Refused, start_refusal::Stale});
  CHECK(Stop == Run);
  feed(stop_answered{Run, worker_call_result::Done});
  CHECK(Host.report().Refused.empty());
  listing(); // asked for before the refusal
  CHECK(Host.report().Refused.empty());
  CHECK(List.has_value());
  listing({.Finished = {
               {.Number = 1, .Run = Run, .EndReason = run_end_reason::Done}}});
  LONGS_EQUAL(1, Host.report().Refused.size());
  LONGS_EQUAL(1, Host.report().Listing->Finished.size());
}

TEST(RunHost, ADrainingWorkerGetsNothingNew) {
  worker_description Draining = work::testing::makeWorker("w1");
  Draining.Draining = true;
  Draining.Sequence = 2;
  feed(host_time_passed{});
  feed(worker_described{Draining});
  listing();
  orders(1, true);
  CHECK(!Start);
  listing();
  listing();
  LONGS_EQUAL(1, Host.report().Refused.size());
  CHECK(Host.report().Refused[0].Reason == start_refusal::Draining);
}

TEST(RunHost, ALateHeartbeatChangesNothing) {
  worker_description Draining = work::testing::makeWorker("w1");
  Draining.Draining = true;
  Draining.Sequence = 5;
  feed(worker_described{Draining});
  worker_description Late = work::testing::makeWorker("w1");
  Late.Sequence = 4;
  feed(worker_described{Late});
  CHECK(Host.description().Draining);
}

TEST(RunHost, WaitsForTheAcknowledgementOfEndsBeforeItListsAgain) {
  begin();
  listing({.Finished = {
               {.Number = 1, .Run = Run, .EndReason = run_end_reason::Done}}});
  CHECK(!List);
  worker_orders Orders{.Version = {1, 2},
                       .Life = Host.description().Life,
                       .AcknowledgedEnds = 1};
  feed(orders_arrived{Orders, 1000});
  CHECK(List && List->AcknowledgedEnds == 1);
}

TEST(RunHost, AWorkerThatDoesNotAnswerIsToldAsUnreachable) {
  begin();
  feed(listing_failed{});
  CHECK(Host.report().Reachable);
  Now += 1s;
  feed(host_time_passed{});
  feed(listing_failed{});
  CHECK(!Host.report().Reachable);
  Now += 1s;
  feed(host_time_passed{});
  listing();
  CHECK(Host.report().Reachable);
}

TEST(RunHost, AWorkerThatSaidSoAndTakesNoConnectionsHasLeft) {
  begin();
  feed(worker_leaves{});
  feed(listing_failed{.ConnectionRefused = true});
  CHECK(!Host.report().Left);
  Now += 1s;
  feed(listing_failed{.ConnectionRefused = true});
  CHECK(Host.report().Left);
  Now += 1s;
  feed(host_time_passed{});
  CHECK(!List);
}

// A link may refuse connections while the worker runs on.
TEST(RunHost, AWorkerThatTakesNoConnectionsMayLive) {
  begin();
  for (int I = 0; I < 5; ++I) {
    feed(listing_failed{.ConnectionRefused = true});
    Now += 1s;
  }
  CHECK(!Host.report().Left);
}

TEST(RunHost, AWorkerThatWasNotHeardOfSinceItSaidThatItLeavesMayLive) {
  begin();
  feed(worker_leaves{});
  for (int I = 0; I < 5; ++I) {
    feed(listing_failed{.ConnectionRefused = false});
    Now += 1s;
  }
  CHECK(!Host.report().Left);
}

// The answer that tells an end is lost if the worker ends at that moment.
TEST(RunHost, ListingsOfADrainingWorkerDoNotWaitForEnds) {
  begin();
  worker_description Draining = Host.description();
  ++Draining.Sequence;
  Draining.Draining = true;
  feed(worker_described{Draining});
  listing();
  CHECK(!List);
  Now += 200ms;
  feed(host_time_passed{});
  CHECK(List && List->Wait == duration{});
}
