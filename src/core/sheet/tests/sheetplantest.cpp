#include "core/sheet/sheet.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

customer_config config(std::string_view Id, double Rate = 1) {
  customer_config Config;
  Config.Id = customer_id(Id);
  Config.DisplayName = Id;
  Config.Limits.RatePerSecond = Rate;
  return Config;
}

customer_entry entry(std::string_view Id, std::uint64_t ChangedAt,
                     change_source Source, double Rate = 1) {
  customer_entry Entry{config(Id, Rate), {}};
  Entry.Config.TokenHash = "hash of " + std::string(Id);
  Entry.LastChange = {log_offset{ChangedAt}, {}, actor_id("ada"), Source};
  return Entry;
}

} // namespace

TEST_GROUP(SheetPlan) {
  std::vector<customer_entry> Customers{entry("a", 3, change_source::Sheet),
                                        entry("b", 3, change_source::Sheet),
                                        entry("c", 8, change_source::Command),
                                        entry("d", 3, change_source::Sheet)};
  std::vector<removed_customer> Removed;
  sheet_rules Rules{true, 100};

  sheet_plan plan(std::vector<customer_config> Wanted) const {
    parsed_sheet Sheet;
    Sheet.Customers = std::move(Wanted);
    return planSheet(Sheet,
                     {config_version{6}, Customers, Removed, log_offset{5}},
                     Rules, "monday.csv");
  }
};

TEST(SheetPlan, TheSameSheetChangesNothing) {
  sheet_plan Plan = plan({config("a"), config("b"), config("c"), config("d")});
  CHECK(Plan.ok());
  CHECK(Plan.Difference.empty());
  CHECK(Plan.Difference.Undone.empty());
  CHECK(Plan.Change.Put.empty());
}

TEST(SheetPlan, ListsAddedChangedAndRemovedCustomers) {
  customer_config Changed = config("b", 2.5);
  Changed.Guarantees = {{cell_level::Four, 3}};
  sheet_plan Plan = plan({config("a"), Changed, config("c"), config("e")});
  CHECK((Plan.Difference.Added == std::vector{customer_id("e")}));
  CHECK((Plan.Difference.Removed == std::vector{customer_id("d")}));
  LONGS_EQUAL(1, Plan.Difference.Changed.size());
  CHECK(
      (Plan.Difference.Changed[0].Fields ==
       std::vector<field_change>{{customer_field::GuaranteeFour, "0", "3"},
                                 {customer_field::RatePerSecond, "1", "2.5"}}));
  LONGS_EQUAL(6, raw(Plan.Change.Base));
  CHECK(Plan.Change.Source == change_source::Sheet);
  STRCMP_EQUAL("monday.csv", Plan.Change.SourceDetail.c_str());
  LONGS_EQUAL(2, Plan.Change.Put.size());
  STRCMP_EQUAL("hash of b", Plan.Change.Put[0].TokenHash.c_str());
}

TEST(SheetPlan, IgnoresZeroGuaranteesAndTheirOrder) {
  Customers[0].Config.Guarantees = {{cell_level::Two, 1}, {cell_level::One, 0}};
  customer_config Same = config("a");
  Same.Guarantees = {{cell_level::Two, 1}};
  CHECK(plan({Same, config("b"), config("c"), config("d")}).Difference.empty());
}

TEST(SheetPlan, ListsTheCommandsSinceTheLastSheetThatItUndoes) {
  Removed.push_back(
      {customer_id("e"),
       {log_offset{9}, {}, actor_id("bo"), change_source::Command}});
  sheet_plan Plan = plan(
      {config("a"), config("b"), config("c", 7), config("d", 7), config("e")});
  LONGS_EQUAL(2, Plan.Difference.Undone.size());
  CHECK(Plan.Difference.Undone[0].Kind == undo_kind::Change);
  STRCMP_EQUAL("c", Plan.Difference.Undone[0].Customer.str().c_str());
  STRCMP_EQUAL("ada", Plan.Difference.Undone[0].Origin.Actor.str().c_str());
  CHECK(Plan.Difference.Undone[1].Kind == undo_kind::Removal);
  Plan = plan({config("a"), config("b"), config("d")});
  CHECK(Plan.Difference.Undone[0].Kind == undo_kind::Addition);
}

TEST(SheetPlan, RefusesRemovalsUnlessAllowed) {
  Rules.AllowRemovals = false;
  sheet_plan Plan = plan({config("a"), config("b")});
  LONGS_EQUAL(2, Plan.Errors.size());
  CHECK(Plan.Errors[0].Problem == sheet_problem::RemovalNotAllowed);
  STRCMP_EQUAL("c", Plan.Errors[0].Value.c_str());
  CHECK(Plan.Change.Removed.empty());
}

TEST(SheetPlan, LimitsTheShareOfChangedCustomers) {
  Rules.MaxChangedPercent = 25;
  CHECK(plan({config("a", 2), config("b"), config("c"), config("d")}).ok());
  sheet_plan Plan =
      plan({config("a", 2), config("b"), config("c"), config("e")});
  LONGS_EQUAL(1, Plan.Errors.size());
  CHECK(Plan.Errors[0].Problem == sheet_problem::TooManyChanges);
  Customers.clear();
  CHECK(plan({config("a"), config("b")}).ok());
}

TEST(SheetPlan, DoesNotPlanASheetWithErrors) {
  parsed_sheet Sheet;
  Sheet.Errors.push_back({2, "burst", "x", sheet_problem::NotANumber, "no"});
  sheet_plan Plan = planSheet(Sheet, {}, Rules, "");
  CHECK(!Plan.ok());
  CHECK(Plan.Difference.empty());
}
