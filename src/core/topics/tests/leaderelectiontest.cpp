#include "core/topics/leaderelection.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

template <typename Command>
std::optional<Command> find(std::span<const election_command> Commands) {
  for (const election_command &Each : Commands)
    if (const auto *Found = std::get_if<Command>(&Each))
      return *Found;
  return std::nullopt;
}

constexpr std::uint64_t Incarnation = 1'772'000'000;

} // namespace

TEST_GROUP(LeaderElection) {
  leader_election Election{election_limits{}, Incarnation};
  time_point Now{std::chrono::hours(1)};

  /// The group assigns the candidacy to \p Candidate, which gets the answer
  /// \p Leader to its query. \returns the claim, if it makes one.
  std::optional<send_claim> claimAgainst(leader_election & Candidate,
                                         std::uint64_t Generation,
                                         const leader_status &Leader) {
    CHECK(find<query_leader>(
              Candidate.handle(join_succeeded{Generation, true, 1}, Now))
              .has_value());
    return find<send_claim>(Candidate.handle(Leader, Now));
  }

  static leader_status leading(duration SinceLastAppend = 100ms) {
    return {.State = leader_status::leader_state::Leading,
            .SinceLastAppend = SinceLastAppend,
            .Agents = 5};
  }

  std::uint64_t becomeLeader(leader_election & Candidate,
                             std::uint64_t Generation) {
    Candidate.handle(election_timer_expired{}, Now);
    const auto Claim = claimAgainst(Candidate, Generation, {});
    CHECK(Claim.has_value());
    const auto Acquired = find<leadership_acquired>(Candidate.handle(
        claim_stored{.Term = Claim->Term, .TopicEnd = 7}, Now));
    CHECK(Acquired.has_value());
    LONGS_EQUAL(7, Acquired->TopicEnd);
    return Acquired->Term;
  }
};

TEST(LeaderElection, JoinsTheGroupImmediately) {
  CHECK(find<send_join>(Election.handle(election_timer_expired{}, Now))
            .has_value());
}

TEST(LeaderElection, BecomesLeaderOnceTheClaimIsStored) {
  CHECK(!Election.term());
  const std::uint64_t Term = becomeLeader(Election, 4);
  CHECK(Election.term() == Term);
}

TEST(LeaderElection, ALaterGenerationHasAHigherTerm) {
  leader_election Other{election_limits{}, Incarnation - 1000};
  const std::uint64_t First = becomeLeader(Election, 4);
  CHECK(becomeLeader(Other, 5) > First);
}

// A killed process may restart under the same name before its membership of the
// group expires. The generation is the same then, but the term must be higher.
TEST(LeaderElection, ARestartedEntryHasAHigherTermInTheSameGeneration) {
  const std::uint64_t First = becomeLeader(Election, 8);
  leader_election Restarted{election_limits{}, Incarnation + 1};
  CHECK(becomeLeader(Restarted, 8) > First);
}

// The group reassigns the candidacy whenever a member joins or leaves. A change
// of the leader delays callers, and is not needed then.
TEST(LeaderElection, StaysLeaderWhenTheGroupReassignsTheCandidacy) {
  const std::uint64_t Term = becomeLeader(Election, 4);
  Now += 1s;
  CHECK(!find<leadership_lost>(
      Election.handle(join_succeeded{5, false, 1}, Now)));
  CHECK(Election.term() == Term);
}

TEST(LeaderElection, LeavesTheGroupOnceElected) {
  const auto Claim = claimAgainst(Election, 4, {});
  CHECK(find<send_leave>(Election.handle(claim_stored{Claim->Term, 7}, Now))
            .has_value());
  Now += 1min;
  CHECK(!find<send_join>(Election.handle(election_timer_expired{}, Now)));
}

TEST(LeaderElection, RejoinsTheGroupOnceItsTermIsFenced) {
  const std::uint64_t Term = becomeLeader(Election, 4);
  CHECK(find<set_election_timer>(Election.handle(term_fenced{Term}, Now))
            .has_value());
  CHECK(find<send_join>(Election.handle(election_timer_expired{}, Now))
            .has_value());
}

TEST(LeaderElection, DoesNotReplaceAWorkingLeader) {
  for (int Round = 0; Round < 10; ++Round) {
    Now += 250ms;
    CHECK(!claimAgainst(Election, 4, leading()));
  }
}

TEST(LeaderElection, ImmediatelyReplacesALeaderThatSteppedDown) {
  CHECK(claimAgainst(Election, 4,
                     {.State = leader_status::leader_state::NotLeading})
            .has_value());
}

TEST(LeaderElection, ReplacesAnUnresponsiveLeaderIfOtherEntriesAnswer) {
  CHECK(claimAgainst(Election, 4,
                     {.State = leader_status::leader_state::NoAnswer,
                      .OthersReachable = true})
            .has_value());
}

TEST(LeaderElection, ReplacesAnUnresponsiveLeaderIfAgentsReachTheCandidate) {
  leader_status Status{.State = leader_status::leader_state::NoAnswer};
  CHECK(!claimAgainst(Election, 4, Status));
  Status.CandidateAgents = 1;
  CHECK(claimAgainst(Election, 4, Status).has_value());
}

// After an outage the store may be reachable for the candidate first.
TEST(LeaderElection, GivesALeaderTimeToReachTheStoreAgain) {
  CHECK(!claimAgainst(Election, 4, leading(4s)));
  Now += 500ms;
  CHECK(!claimAgainst(Election, 4, leading(100ms)));
  Now += 500ms;
  CHECK(!claimAgainst(Election, 4, leading(2s)));
  Now += 800ms;
  CHECK(claimAgainst(Election, 4, leading(3s)).has_value());
}

TEST(LeaderElection, ReplacesALeaderThatFewerAgentsReach) {
  leader_status Unreached = leading();
  Unreached.Agents = 1;
  Unreached.CandidateAgents = 4;
  Unreached.SinceElected = 1s;
  CHECK(!claimAgainst(Election, 4, Unreached));
  Unreached.SinceElected = 3s;
  CHECK(claimAgainst(Election, 4, Unreached).has_value());
}

TEST(LeaderElection, LeavesTheGroupIfNoAgentReachesIt) {
  Election.handle(election_timer_expired{}, Now);
  CHECK(!find<send_leave>(Election.handle(join_succeeded{4, true, 0}, Now)));
  Now += 1600ms;
  Election.handle(election_timer_expired{}, Now);
  CHECK(find<send_leave>(Election.handle(join_succeeded{4, true, 0}, Now))
            .has_value());
  Now += 1s;
  CHECK(!find<send_join>(Election.handle(election_timer_expired{}, Now)));
  Now += 1100ms;
  CHECK(find<send_join>(Election.handle(election_timer_expired{}, Now))
            .has_value());
}

TEST(LeaderElection, StepsDownWhenItsTermIsFenced) {
  const std::uint64_t Term = becomeLeader(Election, 4);
  CHECK(find<leadership_lost>(Election.handle(term_fenced{Term}, Now))
            .has_value());
}

TEST(LeaderElection, StaysLeaderWhileTheStoreDoesNotAnswer) {
  const std::uint64_t Term = becomeLeader(Election, 4);
  Now += 1s;
  Election.handle(election_timer_expired{}, Now);
  Election.handle(join_failed{}, Now);
  CHECK(Election.term() == Term);
}

TEST(LeaderElection, ClaimsAHigherTermAfterAFencedClaim) {
  const auto First = claimAgainst(Election, 4, {});
  Election.handle(term_fenced{First->Term}, Now);
  Now += 1s;
  Election.handle(election_timer_expired{}, Now);
  const auto Second = claimAgainst(Election, 4, {});
  CHECK(Second && Second->Term > First->Term);
}

// A group without members may begin again with its first generation.
TEST(LeaderElection, JoinsAgainAfterAnAnswerWithAnEarlierGeneration) {
  const std::uint64_t Term = becomeLeader(Election, 9);
  Election.handle(term_fenced{Term}, Now);
  Election.handle(election_timer_expired{}, Now);
  CHECK(find<set_election_timer>(
            Election.handle(join_succeeded{2, false, 1}, Now))
            .has_value());
  Now += 1s;
  const auto Join =
      find<send_join>(Election.handle(election_timer_expired{}, Now));
  CHECK(Join.has_value());
  LONGS_EQUAL(2, Join->Generation);
}

TEST(LeaderElection, ClaimsAHigherTermThanTheLastOneInAnEarlierGeneration) {
  const std::uint64_t LastTerm = becomeLeader(Election, 400);
  leader_election Other{election_limits{}, Incarnation - 1000};
  const auto Claim = claimAgainst(Other, 2, {.Term = LastTerm});
  CHECK(Claim && Claim->Term > LastTerm);
  leader_election Third{election_limits{}, Incarnation + 1000};
  CHECK(claimAgainst(Third, 2, {.Term = LastTerm})->Term != Claim->Term);
}

TEST(LeaderElection,
     IgnoresALeaderStatusThatArrivesAfterItsCandidacyWasRevoked) {
  Election.handle(join_succeeded{4, true, 1}, Now);
  Election.handle(join_succeeded{5, false, 1}, Now);
  CHECK(!find<send_claim>(Election.handle(leader_status{}, Now)));
}

TEST(LeaderElection, NeverRejoinsAfterRetiring) {
  becomeLeader(Election, 4);
  CHECK(find<send_leave>(Election.handle(retire{}, Now)).has_value());
  Now += 1min;
  CHECK(Election.handle(election_timer_expired{}, Now).empty());
}

// A scheduler on a VM with a small share of a core falls behind under load.
TEST(LeaderElection, AWeakCandidateJoinsOnlyWhileNoLeaderIsActive) {
  Election.handle(strength_compared{3}, Now);
  CHECK(!find<send_join>(Election.handle(election_timer_expired{}, Now)));
  Now += 1900ms;
  Election.handle(leader_active{}, Now);
  Now += 1900ms;
  CHECK(!find<send_join>(Election.handle(election_timer_expired{}, Now)));
  Now += 200ms;
  CHECK(find<send_join>(Election.handle(election_timer_expired{}, Now))
            .has_value());
  CHECK(claimAgainst(Election, 4, {}).has_value());
}

TEST(LeaderElection, AWeakCandidateLeavesTheGroupOnceALeaderIsActive) {
  Election.handle(election_timer_expired{}, Now);
  Election.handle(strength_compared{3}, Now);
  Election.handle(leader_active{}, Now);
  const auto Commands = Election.handle(join_succeeded{4, true, 1}, Now);
  CHECK(find<send_leave>(Commands).has_value());
  CHECK(!find<query_leader>(Commands));
}

TEST(LeaderElection, ACandidateWithFewStrongerOnesJoinsImmediately) {
  Election.handle(strength_compared{2}, Now);
  CHECK(find<send_join>(Election.handle(election_timer_expired{}, Now))
            .has_value());
}

TEST(LeaderElection, ReplacesAWeakerLeaderOnceTheAgentsHadTimeToFindIt) {
  leader_status Weaker = leading();
  Weaker.Weaker = true;
  Weaker.SinceElected = 1s;
  CHECK(!claimAgainst(Election, 4, Weaker));
  Weaker.SinceElected = 3s;
  CHECK(claimAgainst(Election, 4, Weaker).has_value());
}

// A leader under load may answer later than a query waits. Taking over then
// only adds the work of a new term.
TEST(LeaderElection, DoesNotReplaceABusyLeaderWhoseRecordsArrive) {
  Election.handle(leader_active{}, Now);
  const leader_status NoAnswer{.State = leader_status::leader_state::NoAnswer,
                               .OthersReachable = true};
  Now += 900ms;
  CHECK(!claimAgainst(Election, 4, NoAnswer));
  Now += 200ms;
  CHECK(claimAgainst(Election, 4, NoAnswer).has_value());
}
