#include "core/ledger/logfollower.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

/// Sends events to a follower and keeps the commands of the last one.
class follower_fixture {
public:
  log_follower Follower{follower_settings{}};
  time_point Now{};
  std::vector<follower_command> Commands;

  void send(const follower_event &Event, duration After = 200ms) {
    Now += After;
    auto Span = Follower.handle(Event, Now);
    Commands.assign(Span.begin(), Span.end());
  }
  void completed(std::uint64_t First, std::size_t Count, std::uint64_t Head,
                 std::uint64_t Oldest = 1) {
    send(read_completed{log_offset{First}, Count, log_offset{Head},
                        log_offset{Oldest}});
  }
  void truncated(std::uint64_t Head, std::uint64_t Oldest) {
    send(read_truncated{log_offset{Head}, log_offset{Oldest}});
  }
  void offered(std::uint64_t Covered, std::uint64_t Version = 1) {
    send(state_offered{log_offset{Covered}, config_version{Version}});
  }
  /// The first command of the given type, or nullptr.
  template <typename Command> const Command *find() const {
    for (const follower_command &Candidate : Commands)
      if (const auto *Found = std::get_if<Command>(&Candidate))
        return Found;
    return nullptr;
  }
  std::uint64_t readFrom() const {
    const auto *Read = find<read_log>();
    return Read == nullptr ? 0 : raw(Read->From);
  }
};

} // namespace

TEST_GROUP(LogFollower) {
  follower_fixture Fixture;

  void setup() override { Fixture.send(follower_timer_expired{}); }
};

TEST(LogFollower, IsReadyOnceTheHeadSeenAtStartIsApplied) {
  LONGS_EQUAL(1, Fixture.readFrom());
  Fixture.completed(1, 5, 9);
  CHECK(!Fixture.Follower.ready());
  LONGS_EQUAL(6, Fixture.readFrom());
  CHECK(Fixture.find<read_log>()->Wait == duration{});
  Fixture.completed(6, 4, 12);
  CHECK(Fixture.find<become_ready>() != nullptr);
  LONGS_EQUAL(10, Fixture.readFrom());
  Fixture.completed(10, 3, 12);
  CHECK(Fixture.find<become_ready>() == nullptr);
  CHECK(Fixture.find<read_log>()->Wait > duration{});
}

TEST(LogFollower, IsReadyAtOnceOnAnEmptyLog) {
  Fixture.completed(0, 0, 0);
  CHECK(Fixture.Follower.ready());
}

TEST(LogFollower, AppliesNoRecordTwice) {
  Fixture.completed(1, 5, 5);
  Fixture.completed(3, 4, 6);
  LONGS_EQUAL(3, Fixture.find<apply_records>()->First);
  LONGS_EQUAL(1, Fixture.find<apply_records>()->Count);
  Fixture.completed(2, 3, 6);
  CHECK(Fixture.find<apply_records>() == nullptr);
  LONGS_EQUAL(6, raw(Fixture.Follower.lastApplied()));
}

TEST(LogFollower, ImmediateEmptyReadsDoNotCauseABusyLoop) {
  Fixture.send(read_completed{}, 1ms);
  CHECK(Fixture.find<read_log>() == nullptr);
  CHECK(Fixture.Follower.nextTimerAt().has_value());
  Fixture.send(follower_timer_expired{}, 1ms);
  CHECK(Fixture.find<read_log>() == nullptr);
  Fixture.send(follower_timer_expired{}, 200ms);
  LONGS_EQUAL(1, Fixture.readFrom());
}

TEST(LogFollower, BacksOffAfterFailuresAndRecovers) {
  Fixture.completed(1, 5, 5);
  duration Last{};
  for (int Failure = 0; Failure < 8; ++Failure) {
    Fixture.send(read_failed{});
    CHECK(!Fixture.Follower.logReachable());
    duration Delay = *Fixture.Follower.nextTimerAt() - Fixture.Now;
    CHECK(Delay >= Last && Delay <= 5s);
    Last = Delay;
    Fixture.send(follower_timer_expired{}, Delay);
    LONGS_EQUAL(6, Fixture.readFrom());
  }
  CHECK(Last == 5s);
  Fixture.completed(6, 1, 6);
  CHECK(Fixture.Follower.logReachable());
  CHECK(Fixture.Follower.ready());
}

TEST(LogFollower, InstallsAPeersStateWhileTheLogIsUnreachable) {
  for (int Failure = 0; Failure < 3; ++Failure) {
    CHECK(Fixture.find<find_state>() == nullptr);
    Fixture.send(read_failed{});
    if (Failure < 2)
      Fixture.send(follower_timer_expired{}, 5s);
  }
  CHECK(Fixture.find<find_state>() != nullptr);
  Fixture.offered(40);
  CHECK(Fixture.find<install_state>() != nullptr);
  CHECK(Fixture.find<become_ready>() != nullptr);
  LONGS_EQUAL(41, Fixture.readFrom());
}

TEST(LogFollower, AReadyFollowerAsksNoPeerWhileTheLogIsUnreachable) {
  Fixture.completed(1, 5, 5);
  for (int Failure = 0; Failure < 5; ++Failure) {
    Fixture.send(read_failed{});
    CHECK(Fixture.find<find_state>() == nullptr);
    Fixture.send(follower_timer_expired{}, 5s);
  }
}

TEST(LogFollower, ScansForASnapshotWhenTheNextRecordWasTruncated) {
  Fixture.truncated(100, 60);
  LONGS_EQUAL(60, Fixture.readFrom());
  Fixture.completed(60, 30, 100, 60);
  LONGS_EQUAL(30, Fixture.find<scan_records>()->Count);
  CHECK(Fixture.find<apply_records>() == nullptr);
  Fixture.completed(90, 11, 100, 60);
  CHECK(Fixture.find<find_state>() != nullptr);
  Fixture.offered(75);
  CHECK(Fixture.find<install_state>() != nullptr);
  LONGS_EQUAL(76, Fixture.readFrom());
  CHECK(!Fixture.Follower.ready());
  Fixture.completed(76, 25, 100, 60);
  CHECK(Fixture.Follower.ready());
}

TEST(LogFollower, KeepsScanningUntilAStateIsFound) {
  Fixture.truncated(60, 60);
  Fixture.completed(60, 1, 60, 60);
  Fixture.send(state_unavailable{});
  Fixture.send(follower_timer_expired{}, 5s);
  LONGS_EQUAL(61, Fixture.readFrom());
  Fixture.completed(61, 2, 62, 60);
  CHECK(Fixture.find<find_state>() != nullptr);
}

/// Which offered states are installed after offset 50 was applied and version 7
/// was served. The oldest retained offset is 60.
TEST(LogFollower, RefusesOlderStatesAndVersions) {
  struct {
    std::uint64_t Covered;
    std::uint64_t Version;
    bool Installed;
  } Cases[] = {{50, 9, false}, {49, 9, false}, {90, 6, false},
               {55, 7, false}, {90, 7, true},  {59, 8, true}};
  for (const auto &Case : Cases) {
    follower_fixture CaseFixture;
    CaseFixture.send(follower_timer_expired{});
    CaseFixture.completed(1, 50, 50);
    CaseFixture.Follower.noteServedVersion(config_version{7});
    CaseFixture.truncated(100, 60);
    CaseFixture.offered(Case.Covered, Case.Version);
    CHECK_EQUAL(Case.Installed, CaseFixture.find<install_state>() != nullptr);
    CHECK(raw(CaseFixture.Follower.lastApplied()) >= 50);
  }
}

TEST(LogFollower, AStateInstalledDuringAScanStopsTheScan) {
  Fixture.truncated(100, 60);
  Fixture.offered(80);
  Fixture.completed(60, 10, 100, 60);
  CHECK(Fixture.find<apply_records>() == nullptr);
  LONGS_EQUAL(81, Fixture.readFrom());
  Fixture.completed(95, 5, 100, 60);
  CHECK(Fixture.Commands.empty());
  Fixture.send(follower_timer_expired{}, 5s);
  LONGS_EQUAL(81, Fixture.readFrom());
}
