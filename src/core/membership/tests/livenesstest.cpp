#include "core/membership/liveness.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration Interval = 1s;

/// Runs a liveness instance and its timer in virtual time.
struct liveness_simulation {
  liveness Liveness{liveness_settings{}};
  time_point Now{100s};
  time_point TimerAt = time_point::max();
  std::vector<std::string> Notices;

  void handle(const liveness_event &Event) {
    for (const liveness_command &Command : Liveness.handle(Event, Now)) {
      if (const auto *Timer = std::get_if<set_liveness_timer>(&Command))
        TimerAt = Timer->At;
      else if (const auto *Suspect = std::get_if<node_suspected>(&Command))
        Notices.push_back("suspect " + Suspect->Node.str());
      else if (const auto *Recovered = std::get_if<node_recovered>(&Command))
        Notices.push_back("recovered " + Recovered->Node.str());
      else if (const auto *Lost = std::get_if<node_lost>(&Command))
        Notices.push_back("lost " + Lost->Node.str());
      else if (const auto *Self = std::get_if<self_suspicion_changed>(&Command))
        Notices.push_back(Self->Suspected ? "self suspected" : "self trusted");
    }
  }

  void heartbeat(int Node, std::uint64_t Incarnation = 1) {
    handle(heartbeat_received{node_id("n" + std::to_string(Node)),
                              incarnation{Incarnation}, Interval});
  }

  /// Advances the time; only nodes in [0, LiveNodes) send heartbeats.
  void run(duration Length, int LiveNodes) {
    const time_point End = Now + Length;
    time_point NextHeartbeat = Now;
    while (std::min(NextHeartbeat, TimerAt) <= End) {
      Now = std::max(Now, std::min(NextHeartbeat, TimerAt));
      if (TimerAt <= Now) {
        TimerAt = time_point::max();
        handle(liveness_timer_expired{});
        continue;
      }
      for (int I = 0; I < LiveNodes; ++I)
        heartbeat(I);
      NextHeartbeat = Now + Interval;
    }
    Now = End;
  }

  bool reported(const std::string &Text) const {
    return std::ranges::find(Notices, Text) != Notices.end();
  }
};

} // namespace

TEST_GROUP(Liveness){};

TEST(Liveness, SuspectsAndThenDeclaresLostANodeThatMissesHeartbeats) {
  liveness_simulation Nodes;
  for (int I = 0; I < 5; ++I)
    Nodes.heartbeat(I);
  Nodes.run(2400ms, 4);
  CHECK(Nodes.Notices.empty());
  Nodes.run(200ms, 4);
  CHECK(Nodes.reported("suspect n4"));
  Nodes.run(2300ms, 4);
  CHECK_FALSE(Nodes.reported("lost n4"));
  Nodes.run(200ms, 4);
  CHECK(Nodes.reported("lost n4"));
  LONGS_EQUAL(2, Nodes.Notices.size());
  LONGS_EQUAL(4, Nodes.Liveness.nodes());
}

TEST(Liveness, ASuspectedNodeRecoversWithAHeartbeat) {
  liveness_simulation Nodes;
  for (int I = 0; I < 5; ++I)
    Nodes.heartbeat(I);
  Nodes.run(3s, 4);
  Nodes.heartbeat(4);
  CHECK(Nodes.reported("recovered n4"));
  Nodes.run(10s, 5);
  LONGS_EQUAL(2, Nodes.Notices.size());
}

TEST(Liveness, DefersAMassLossAndSuspectsItself) {
  liveness_simulation Nodes;
  for (int I = 0; I < 10; ++I)
    Nodes.heartbeat(I);
  Nodes.run(15s, 0);
  CHECK(Nodes.reported("self suspected"));
  CHECK(Nodes.Liveness.selfSuspected());
  LONGS_EQUAL(10, Nodes.Liveness.nodes());
  Nodes.run(3600s, 0);
  LONGS_EQUAL(10, Nodes.Liveness.nodes());
  for (int I = 0; I < 10; ++I)
    Nodes.heartbeat(I);
  CHECK(Nodes.reported("self trusted"));
  LONGS_EQUAL(10, Nodes.Liveness.nodes());
}

TEST(Liveness, DeclaresAMassLossAfterTheHoldIfOthersSendHeartbeats) {
  liveness_simulation Nodes;
  for (int I = 0; I < 10; ++I)
    Nodes.heartbeat(I);
  Nodes.run(20s, 4);
  LONGS_EQUAL(10, Nodes.Liveness.nodes());
  Nodes.run(10s, 4);
  LONGS_EQUAL(4, Nodes.Liveness.nodes());
}

TEST(Liveness, DefersAMassLossOfNodesWithLongIntervals) {
  liveness_simulation Nodes;
  for (int I = 0; I < 85; ++I) {
    Nodes.handle(heartbeat_received{node_id("far" + std::to_string(I)),
                                    incarnation{1}, 8500ms});
    Nodes.run(100ms, 0);
  }
  Nodes.run(60s, 0);
  CHECK(Nodes.Liveness.selfSuspected());
  LONGS_EQUAL(85, Nodes.Liveness.nodes());
}

TEST(Liveness, ExtendsDeadlinesAfterItWasPausedItself) {
  liveness_simulation Nodes;
  Nodes.heartbeat(0);
  Nodes.heartbeat(1);
  Nodes.Now += 60s;
  Nodes.handle(liveness_timer_expired{});
  CHECK(Nodes.Notices.empty());
  Nodes.run(30s, 2);
  CHECK(Nodes.Notices.empty());
}

TEST(Liveness, RemovesANodeThatLeftAndIgnoresPreviousIncarnations) {
  liveness_simulation Nodes;
  Nodes.heartbeat(0, 2);
  Nodes.heartbeat(0, 1);
  Nodes.handle(node_left{node_id("n0"), incarnation{1}});
  LONGS_EQUAL(1, Nodes.Liveness.nodes());
  Nodes.handle(node_left{node_id("n0"), incarnation{2}});
  LONGS_EQUAL(0, Nodes.Liveness.nodes());
  Nodes.run(30s, 0);
  CHECK(Nodes.Notices.empty());
}

TEST(Liveness, DetectsAMissedHeartbeatSoonAfterALongInterval) {
  liveness_simulation Nodes;
  for (int I = 0; I < 5; ++I)
    Nodes.heartbeat(I);
  Nodes.handle(heartbeat_received{node_id("slow"), incarnation{1}, 8500ms});
  Nodes.run(9900ms, 5);
  CHECK(Nodes.Notices.empty());
  Nodes.run(200ms, 5);
  CHECK(Nodes.reported("suspect slow"));
  Nodes.run(2500ms, 5);
  CHECK(Nodes.reported("lost slow"));
}

TEST(Liveness, IncreasesTheIntervalForManyNodes) {
  liveness_simulation Nodes;
  CHECK(Nodes.Liveness.heartbeatInterval() == duration(1s));
  for (int I = 0; I < 850; ++I)
    Nodes.heartbeat(I);
  CHECK(Nodes.Liveness.heartbeatInterval() == duration(34s));
}
