#include "core/topics/officeholder.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

template <typename Command>
std::optional<Command> find(std::span<const office_command> Commands) {
  for (const office_command &Each : Commands)
    if (const auto *Found = std::get_if<Command>(&Each))
      return *Found;
  return std::nullopt;
}

constexpr std::uint64_t Incarnation = 1'772'000'000;

} // namespace

TEST_GROUP(OfficeHolder) {
  office_holder Holder{office_limits{}, Incarnation};
  time_point Now{std::chrono::hours(1)};

  /// The group deals the office to \p Of, which hears \p Holder of the one
  /// that was in office last.
  std::optional<send_claim> standAgainst(office_holder & Of,
                                         std::uint64_t Generation,
                                         const holder_answered &Holder) {
    CHECK(find<ask_holder>(Of.handle(join_answered{Generation, true, 1}, Now))
              .has_value());
    return find<send_claim>(Of.handle(Holder, Now));
  }

  static holder_answered inOffice(duration SinceStored = 100ms) {
    return {.State = holder_answered::holder_state::InOffice,
            .SinceStored = SinceStored,
            .Agents = 5};
  }

  std::uint64_t win(office_holder & Of, std::uint64_t Generation) {
    Of.handle(office_time_passed{}, Now);
    const auto Claim = standAgainst(Of, Generation, {});
    CHECK(Claim.has_value());
    const auto Won = find<office_won>(
        Of.handle(claim_stored{.Term = Claim->Term, .TopicEnd = 7}, Now));
    CHECK(Won.has_value());
    LONGS_EQUAL(7, Won->TopicEnd);
    return Won->Term;
  }
};

TEST(OfficeHolder, JoinsAtOnce) {
  CHECK(find<send_join>(Holder.handle(office_time_passed{}, Now)).has_value());
}

TEST(OfficeHolder, IsInOfficeOnceTheClaimIsStored) {
  CHECK(!Holder.term());
  const std::uint64_t Term = win(Holder, 4);
  CHECK(Holder.term() == Term);
}

TEST(OfficeHolder, ALaterGenerationHasAHigherTerm) {
  office_holder Other{office_limits{}, Incarnation - 1000};
  const std::uint64_t First = win(Holder, 4);
  CHECK(win(Other, 5) > First);
}

// A process that was killed comes back under its name before the platform has
// noticed: the group's generation is the same, the term must not be.
TEST(OfficeHolder, AnEntryThatComesBackInTheSameGenerationHasAHigherTerm) {
  const std::uint64_t First = win(Holder, 8);
  office_holder Restarted{office_limits{}, Incarnation + 1};
  CHECK(win(Restarted, 8) > First);
}

// The group deals anew whenever a candidate comes or goes. A change of the
// scheduler costs callers time, and none is needed then.
TEST(OfficeHolder, StaysInOfficeWhateverTheGroupDeals) {
  const std::uint64_t Term = win(Holder, 4);
  Now += 1s;
  CHECK(!find<office_lost>(Holder.handle(join_answered{5, false, 1}, Now)));
  CHECK(Holder.term() == Term);
}

TEST(OfficeHolder, LeavesTheGroupToThoseThatStandBy) {
  const auto Claim = standAgainst(Holder, 4, {});
  CHECK(find<send_leave>(Holder.handle(claim_stored{Claim->Term, 7}, Now))
            .has_value());
  Now += 1min;
  CHECK(!find<send_join>(Holder.handle(office_time_passed{}, Now)));
}

TEST(OfficeHolder, StandsAgainOnceItsTermIsFenced) {
  const std::uint64_t Term = win(Holder, 4);
  CHECK(
      find<office_wake_at>(Holder.handle(term_fenced{Term}, Now)).has_value());
  CHECK(find<send_join>(Holder.handle(office_time_passed{}, Now)).has_value());
}

TEST(OfficeHolder, LeavesAHolderThatWorksInOffice) {
  for (int Round = 0; Round < 10; ++Round) {
    Now += 250ms;
    CHECK(!standAgainst(Holder, 4, inOffice()));
  }
}

TEST(OfficeHolder, TakesOverAtOnceFromOneThatIsOutOfOffice) {
  CHECK(standAgainst(Holder, 4,
                     {.State = holder_answered::holder_state::OutOfOffice})
            .has_value());
}

TEST(OfficeHolder, TakesOverFromASilentHolderIfOtherEntriesAnswer) {
  CHECK(standAgainst(Holder, 4,
                     {.State = holder_answered::holder_state::Silent,
                      .OthersAnswer = true})
            .has_value());
}

TEST(OfficeHolder, TakesOverFromASilentHolderIfAgentsReachTheCandidate) {
  holder_answered Silent{.State = holder_answered::holder_state::Silent};
  CHECK(!standAgainst(Holder, 4, Silent));
  Silent.AgentsHere = 1;
  CHECK(standAgainst(Holder, 4, Silent).has_value());
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
  holder_answered Cut = inOffice();
  Cut.Agents = 1;
  Cut.AgentsHere = 4;
  Cut.SinceWon = 1s;
  CHECK(!standAgainst(Holder, 4, Cut));
  Cut.SinceWon = 3s;
  CHECK(standAgainst(Holder, 4, Cut).has_value());
}

TEST(OfficeHolder, LetsAnotherStandIfNoAgentReachesIt) {
  Holder.handle(office_time_passed{}, Now);
  CHECK(!find<send_leave>(Holder.handle(join_answered{4, true, 0}, Now)));
  Now += 1600ms;
  Holder.handle(office_time_passed{}, Now);
  CHECK(find<send_leave>(Holder.handle(join_answered{4, true, 0}, Now))
            .has_value());
  Now += 1s;
  CHECK(!find<send_join>(Holder.handle(office_time_passed{}, Now)));
  Now += 1100ms;
  CHECK(find<send_join>(Holder.handle(office_time_passed{}, Now)).has_value());
}

TEST(OfficeHolder, LosesOfficeWhenItsTermIsFenced) {
  const std::uint64_t Term = win(Holder, 4);
  CHECK(find<office_lost>(Holder.handle(term_fenced{Term}, Now)).has_value());
}

TEST(OfficeHolder, KeepsOfficeWhileTheStoreDoesNotAnswer) {
  const std::uint64_t Term = win(Holder, 4);
  Now += 1s;
  Holder.handle(office_time_passed{}, Now);
  Holder.handle(join_failed{}, Now);
  CHECK(Holder.term() == Term);
}

TEST(OfficeHolder, ClaimsAHigherTermAfterARefusal) {
  const auto First = standAgainst(Holder, 4, {});
  Holder.handle(term_fenced{First->Term}, Now);
  Now += 1s;
  Holder.handle(office_time_passed{}, Now);
  const auto Second = standAgainst(Holder, 4, {});
  CHECK(Second && Second->Term > First->Term);
}

TEST(OfficeHolder, ForgetsAnAnswerThatComesAfterTheDealWasTakenBack) {
  Holder.handle(join_answered{4, true, 1}, Now);
  Holder.handle(join_answered{5, false, 1}, Now);
  CHECK(!find<send_claim>(Holder.handle(holder_answered{}, Now)));
}

TEST(OfficeHolder, NeverStandsAgainAfterRetiring) {
  win(Holder, 4);
  CHECK(find<send_leave>(Holder.handle(retire{}, Now)).has_value());
  Now += 1min;
  CHECK(Holder.handle(office_time_passed{}, Now).empty());
}
