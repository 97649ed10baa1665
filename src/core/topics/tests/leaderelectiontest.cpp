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

TEST_GROUP(OfficeHolder) {
  leader_election Holder{election_limits{}, Incarnation};
  time_point Now{std::chrono::hours(1)};

  /// The group deals the office to \p Of, which hears \p Holder of the one
  /// that was in office last.
  std::optional<send_claim> standAgainst(leader_election & Of,
                                         std::uint64_t Generation,
                                         const leader_status &Holder) {
    CHECK(
        find<query_leader>(Of.handle(join_succeeded{Generation, true, 1}, Now))
            .has_value());
    return find<send_claim>(Of.handle(Holder, Now));
  }

  static leader_status inOffice(duration SinceLastAppend = 100ms) {
    return {.State = leader_status::leader_state::Leading,
            .SinceLastAppend = SinceLastAppend,
            .Agents = 5};
  }

  std::uint64_t win(leader_election & Of, std::uint64_t Generation) {
    Of.handle(election_timer_expired{}, Now);
    const auto Claim = standAgainst(Of, Generation, {});
    CHECK(Claim.has_value());
    const auto Won = find<leadership_acquired>(
        Of.handle(claim_stored{.Term = Claim->Term, .TopicEnd = 7}, Now));
    CHECK(Won.has_value());
    LONGS_EQUAL(7, Won->TopicEnd);
    return Won->Term;
  }
};

TEST(OfficeHolder, JoinsAtOnce) {
  CHECK(find<send_join>(Holder.handle(election_timer_expired{}, Now))
            .has_value());
}

TEST(OfficeHolder, IsInOfficeOnceTheClaimIsStored) {
  CHECK(!Holder.term());
  const std::uint64_t Term = win(Holder, 4);
  CHECK(Holder.term() == Term);
}

TEST(OfficeHolder, ALaterGenerationHasAHigherTerm) {
  leader_election Other{election_limits{}, Incarnation - 1000};
  const std::uint64_t First = win(Holder, 4);
  CHECK(win(Other, 5) > First);
}

// A process that was killed comes back under its name before the platform has
// noticed: the group's generation is the same, the term must not be.
TEST(OfficeHolder, AnEntryThatComesBackInTheSameGenerationHasAHigherTerm) {
  const std::uint64_t First = win(Holder, 8);
  leader_election Restarted{election_limits{}, Incarnation + 1};
  CHECK(win(Restarted, 8) > First);
}

// The group deals anew whenever a candidate comes or goes. A change of the
// scheduler costs callers time, and none is needed then.
TEST(OfficeHolder, StaysInOfficeWhateverTheGroupDeals) {
  const std::uint64_t Term = win(Holder, 4);
  Now += 1s;
  CHECK(
      !find<leadership_lost>(Holder.handle(join_succeeded{5, false, 1}, Now)));
  CHECK(Holder.term() == Term);
}

TEST(OfficeHolder, LeavesTheGroupToThoseThatStandBy) {
  const auto Claim = standAgainst(Holder, 4, {});
  CHECK(find<send_leave>(Holder.handle(claim_stored{Claim->Term, 7}, Now))
            .has_value());
  Now += 1min;
  CHECK(!find<send_join>(Holder.handle(election_timer_expired{}, Now)));
}

TEST(OfficeHolder, StandsAgainOnceItsTermIsFenced) {
  const std::uint64_t Term = win(Holder, 4);
  CHECK(find<set_election_timer>(Holder.handle(term_fenced{Term}, Now))
            .has_value());
  CHECK(find<send_join>(Holder.handle(election_timer_expired{}, Now))
            .has_value());
}

TEST(OfficeHolder, LeavesAHolderThatWorksInOffice) {
  for (int Round = 0; Round < 10; ++Round) {
    Now += 250ms;
    CHECK(!standAgainst(Holder, 4, inOffice()));
  }
}

TEST(OfficeHolder, TakesOverAtOnceFromOneThatIsOutOfOffice) {
  CHECK(standAgainst(Holder, 4,
                     {.State = leader_status::leader_state::NotLeading})
            .has_value());
}

TEST(OfficeHolder, TakesOverFromASilentHolderIfOtherEntriesAnswer) {
  CHECK(standAgainst(Holder, 4,
                     {.State = leader_status::leader_state::NoAnswer,
                      .OthersReachable = true})
            .has_value());
}

TEST(OfficeHolder, TakesOverFromASilentHolderIfAgentsReachTheCandidate) {
  leader_status NoAnswer{.State = leader_status::leader_state::NoAnswer};
  CHECK(!standAgainst(Holder, 4, NoAnswer));
  NoAnswer.CandidateAgents = 1;
  CHECK(standAgainst(Holder, 4, NoAnswer).has_value());
}

// After an outage of the store the candidate may reach it first.
TEST(OfficeHolder, GivesAHolderTimeToReachTheStoreAgain) {
  CHECK(!standAgainst(Holder, 4, inOffice(4s)));
  Now += 500ms;
  CHECK(!standAgainst(Holder, 4, inOffice(100ms)));
  Now += 500ms;
  CHECK(!standAgainst(Holder, 4, inOffice(2s)));
  Now += 800ms;
  CHECK(standAgainst(Holder, 4, inOffice(3s)).has_value());
}

TEST(OfficeHolder, TakesOverFromOneThatFewerAgentsReach) {
  leader_status Cut = inOffice();
  Cut.Agents = 1;
  Cut.CandidateAgents = 4;
  Cut.SinceElected = 1s;
  CHECK(!standAgainst(Holder, 4, Cut));
  Cut.SinceElected = 3s;
  CHECK(standAgainst(Holder, 4, Cut).has_value());
}

TEST(OfficeHolder, LetsAnotherStandIfNoAgentReachesIt) {
  Holder.handle(election_timer_expired{}, Now);
  CHECK(!find<send_leave>(Holder.handle(join_succeeded{4, true, 0}, Now)));
  Now += 1600ms;
  Holder.handle(election_timer_expired{}, Now);
  CHECK(find<send_leave>(Holder.handle(join_succeeded{4, true, 0}, Now))
            .has_value());
  Now += 1s;
  CHECK(!find<send_join>(Holder.handle(election_timer_expired{}, Now)));
  Now += 1100ms;
  CHECK(find<send_join>(Holder.handle(election_timer_expired{}, Now))
            .has_value());
}

TEST(OfficeHolder, LosesOfficeWhenItsTermIsFenced) {
  const std::uint64_t Term = win(Holder, 4);
  CHECK(
      find<leadership_lost>(Holder.handle(term_fenced{Term}, Now)).has_value());
}

TEST(OfficeHolder, KeepsOfficeWhileTheStoreDoesNotAnswer) {
  const std::uint64_t Term = win(Holder, 4);
  Now += 1s;
  Holder.handle(election_timer_expired{}, Now);
  Holder.handle(join_failed{}, Now);
  CHECK(Holder.term() == Term);
}

TEST(OfficeHolder, ClaimsAHigherTermAfterARefusal) {
  const auto First = standAgainst(Holder, 4, {});
  Holder.handle(term_fenced{First->Term}, Now);
  Now += 1s;
  Holder.handle(election_timer_expired{}, Now);
  const auto Second = standAgainst(Holder, 4, {});
  CHECK(Second && Second->Term > First->Term);
}

TEST(OfficeHolder, ForgetsAnAnswerThatComesAfterTheDealWasTakenBack) {
  Holder.handle(join_succeeded{4, true, 1}, Now);
  Holder.handle(join_succeeded{5, false, 1}, Now);
  CHECK(!find<send_claim>(Holder.handle(leader_status{}, Now)));
}

TEST(OfficeHolder, NeverStandsAgainAfterRetiring) {
  win(Holder, 4);
  CHECK(find<send_leave>(Holder.handle(retire{}, Now)).has_value());
  Now += 1min;
  CHECK(Holder.handle(election_timer_expired{}, Now).empty());
}
