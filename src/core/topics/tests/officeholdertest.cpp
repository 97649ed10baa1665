#include "core/topics/officeholder.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace geraniumpaddle;

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

  std::uint64_t win(office_holder & Of, std::uint64_t Generation) {
    Of.handle(office_time_passed{}, Now);
    const auto Claim =
        find<send_claim>(Of.handle(join_answered{Generation, true}, Now));
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

TEST(OfficeHolder, LosesOfficeWhenTheGroupDealsItToAnother) {
  win(Holder, 4);
  Now += std::chrono::seconds(1);
  Holder.handle(office_time_passed{}, Now);
  CHECK(find<office_lost>(Holder.handle(join_answered{5, false}, Now))
            .has_value());
  CHECK(!Holder.term());
}

TEST(OfficeHolder, LosesOfficeWhenItsTermIsFenced) {
  const std::uint64_t Term = win(Holder, 4);
  CHECK(find<office_lost>(Holder.handle(term_fenced{Term}, Now)).has_value());
}

TEST(OfficeHolder, KeepsOfficeWhileTheStoreDoesNotAnswer) {
  const std::uint64_t Term = win(Holder, 4);
  Now += std::chrono::seconds(1);
  Holder.handle(office_time_passed{}, Now);
  Holder.handle(join_failed{}, Now);
  CHECK(Holder.term() == Term);
}

TEST(OfficeHolder, ClaimsAHigherTermAfterARefusal) {
  Holder.handle(office_time_passed{}, Now);
  const auto First =
      find<send_claim>(Holder.handle(join_answered{4, true}, Now));
  Holder.handle(term_fenced{First->Term}, Now);
  Now += std::chrono::seconds(1);
  Holder.handle(office_time_passed{}, Now);
  const auto Second =
      find<send_claim>(Holder.handle(join_answered{4, true}, Now));
  CHECK(Second && Second->Term > First->Term);
}

TEST(OfficeHolder, StandsAsideAfterResigning) {
  win(Holder, 4);
  const auto Commands = Holder.handle(resign{}, Now);
  CHECK(find<send_leave>(Commands).has_value());
  CHECK(find<office_lost>(Commands).has_value());
  Now += std::chrono::seconds(2);
  CHECK(!find<send_join>(Holder.handle(office_time_passed{}, Now)));
  Now += std::chrono::seconds(5);
  CHECK(find<send_join>(Holder.handle(office_time_passed{}, Now)).has_value());
}

TEST(OfficeHolder, NeverStandsAgainAfterRetiring) {
  win(Holder, 4);
  CHECK(find<send_leave>(Holder.handle(retire{}, Now)).has_value());
  Now += std::chrono::minutes(1);
  CHECK(Holder.handle(office_time_passed{}, Now).empty());
}
