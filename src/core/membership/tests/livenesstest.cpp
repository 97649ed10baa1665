#include "core/membership/liveness.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration Interval = 1s;

/// A watch that is woken when it asks for it.
struct watched_nodes {
  liveness Watch{liveness_settings{}};
  time_point Now{100s};
  time_point Wake = time_point::max();
  std::vector<std::string> Seen;

  void tell(const liveness_event &Event) {
    for (const liveness_command &Command : Watch.handle(Event, Now)) {
      if (const auto *Armed = std::get_if<set_liveness_timer>(&Command))
        Wake = Armed->At;
      else if (const auto *Suspect = std::get_if<node_suspected>(&Command))
        Seen.push_back("suspect " + Suspect->Node.str());
      else if (const auto *Recovered = std::get_if<node_recovered>(&Command))
        Seen.push_back("recovered " + Recovered->Node.str());
      else if (const auto *Lost = std::get_if<node_lost>(&Command))
        Seen.push_back("lost " + Lost->Node.str());
      else if (const auto *Self = std::get_if<self_suspicion_changed>(&Command))
        Seen.push_back(Self->Suspected ? "self suspected" : "self trusted");
    }
  }

  void heartbeat(int Node, std::uint64_t Run = 1) {
    tell(heartbeat_received{node_id("n" + std::to_string(Node)),
                            incarnation{Run}, Interval});
  }

  /// Lets time pass; nodes in [0, Beating) send heartbeats, the rest do not.
  void pass(duration Length, int Beating) {
    const time_point End = Now + Length;
    time_point Beat = Now;
    while (std::min(Beat, Wake) <= End) {
      Now = std::max(Now, std::min(Beat, Wake));
      if (Wake <= Now) {
        Wake = time_point::max();
        tell(liveness_timer_expired{});
        continue;
      }
      for (int I = 0; I < Beating; ++I)
        heartbeat(I);
      Beat = Now + Interval;
    }
    Now = End;
  }

  bool saw(const std::string &Text) const {
    return std::ranges::find(Seen, Text) != Seen.end();
  }
};

} // namespace

TEST_GROUP(Liveness){};

TEST(Liveness, SuspectsThenLosesASilentNode) {
  watched_nodes Nodes;
  for (int I = 0; I < 5; ++I)
    Nodes.heartbeat(I);
  Nodes.pass(2400ms, 4);
  CHECK(Nodes.Seen.empty());
  Nodes.pass(200ms, 4);
  CHECK(Nodes.saw("suspect n4"));
  Nodes.pass(2300ms, 4);
  CHECK_FALSE(Nodes.saw("lost n4"));
  Nodes.pass(200ms, 4);
  CHECK(Nodes.saw("lost n4"));
  LONGS_EQUAL(2, Nodes.Seen.size());
  LONGS_EQUAL(4, Nodes.Watch.nodes());
}

TEST(Liveness, TakesASuspectedNodeBack) {
  watched_nodes Nodes;
  for (int I = 0; I < 5; ++I)
    Nodes.heartbeat(I);
  Nodes.pass(3s, 4);
  Nodes.heartbeat(4);
  CHECK(Nodes.saw("recovered n4"));
  Nodes.pass(10s, 5);
  LONGS_EQUAL(2, Nodes.Seen.size());
}

TEST(Liveness, HoldsBackAMassLossAndSuspectsItself) {
  watched_nodes Nodes;
  for (int I = 0; I < 10; ++I)
    Nodes.heartbeat(I);
  Nodes.pass(15s, 0);
  CHECK(Nodes.saw("self suspected"));
  CHECK(Nodes.Watch.selfSuspected());
  LONGS_EQUAL(10, Nodes.Watch.nodes());
  Nodes.pass(3600s, 0);
  LONGS_EQUAL(10, Nodes.Watch.nodes());
  for (int I = 0; I < 10; ++I)
    Nodes.heartbeat(I);
  CHECK(Nodes.saw("self trusted"));
  LONGS_EQUAL(10, Nodes.Watch.nodes());
}

TEST(Liveness, DeclaresAMassLossInTheEndIfOthersAreHeard) {
  watched_nodes Nodes;
  for (int I = 0; I < 10; ++I)
    Nodes.heartbeat(I);
  Nodes.pass(20s, 4);
  LONGS_EQUAL(10, Nodes.Watch.nodes());
  Nodes.pass(10s, 4);
  LONGS_EQUAL(4, Nodes.Watch.nodes());
}

TEST(Liveness, HoldsBackAMassLossOfNodesWithLongIntervals) {
  watched_nodes Nodes;
  for (int I = 0; I < 85; ++I) {
    Nodes.tell(heartbeat_received{node_id("far" + std::to_string(I)),
                                  incarnation{1}, 8500ms});
    Nodes.pass(100ms, 0);
  }
  Nodes.pass(60s, 0);
  CHECK(Nodes.Watch.selfSuspected());
  LONGS_EQUAL(85, Nodes.Watch.nodes());
}

TEST(Liveness, ExcusesSilenceWhileItWasPausedItself) {
  watched_nodes Nodes;
  Nodes.heartbeat(0);
  Nodes.heartbeat(1);
  Nodes.Now += 60s;
  Nodes.tell(liveness_timer_expired{});
  CHECK(Nodes.Seen.empty());
  Nodes.pass(30s, 2);
  CHECK(Nodes.Seen.empty());
}

TEST(Liveness, ForgetsANodeThatLeftAndIgnoresEarlierRuns) {
  watched_nodes Nodes;
  Nodes.heartbeat(0, 2);
  Nodes.heartbeat(0, 1);
  Nodes.tell(node_left{node_id("n0"), incarnation{1}});
  LONGS_EQUAL(1, Nodes.Watch.nodes());
  Nodes.tell(node_left{node_id("n0"), incarnation{2}});
  LONGS_EQUAL(0, Nodes.Watch.nodes());
  Nodes.pass(30s, 0);
  CHECK(Nodes.Seen.empty());
}

TEST(Liveness, NoticesSilenceSoonAfterALongIntervalToo) {
  watched_nodes Nodes;
  for (int I = 0; I < 5; ++I)
    Nodes.heartbeat(I);
  Nodes.tell(heartbeat_received{node_id("slow"), incarnation{1}, 8500ms});
  Nodes.pass(9900ms, 5);
  CHECK(Nodes.Seen.empty());
  Nodes.pass(200ms, 5);
  CHECK(Nodes.saw("suspect slow"));
  Nodes.pass(2500ms, 5);
  CHECK(Nodes.saw("lost slow"));
}

TEST(Liveness, SpreadsTheHeartbeatsOfManyNodes) {
  watched_nodes Nodes;
  CHECK(Nodes.Watch.heartbeatInterval() == duration(1s));
  for (int I = 0; I < 850; ++I)
    Nodes.heartbeat(I);
  CHECK(Nodes.Watch.heartbeatInterval() == duration(34s));
}
