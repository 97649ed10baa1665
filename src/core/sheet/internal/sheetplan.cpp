#include "core/sheet/internal/cellreader.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace geraniumpaddle {

namespace {

std::string toText(double Number) {
  std::array<char, 32> Buffer;
  char *End =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Number).ptr;
  return {Buffer.data(), End};
}

template <cell_level Level> std::string guaranteeOf(const customer_config &C) {
  std::int64_t Count = 0;
  for (const guarantee &Guarantee : C.Guarantees)
    if (Guarantee.Level == Level)
      Count += Guarantee.Count;
  return std::to_string(Count);
}

/// Functions that format a field as text; indexed by customer_field.
constexpr std::array<std::string (*)(const customer_config &), 11> FieldTexts{
    [](const customer_config &C) { return C.DisplayName; },
    &guaranteeOf<cell_level::One>,
    &guaranteeOf<cell_level::Two>,
    &guaranteeOf<cell_level::Four>,
    &guaranteeOf<cell_level::Eight>,
    &guaranteeOf<cell_level::Worker>,
    &guaranteeOf<cell_level::Rack>,
    [](const customer_config &C) { return toText(C.Limits.RatePerSecond); },
    [](const customer_config &C) { return std::to_string(C.Limits.Burst); },
    [](const customer_config &C) { return std::to_string(C.Limits.InFlight); },
    [](const customer_config &C) { return std::to_string(C.MaxAccelerators); },
};

std::vector<field_change> compareFields(const customer_config &Before,
                                        const customer_config &After) {
  std::vector<field_change> Changes;
  for (std::size_t Field = 0; Field < FieldTexts.size(); ++Field) {
    std::string Old = FieldTexts[Field](Before);
    std::string New = FieldTexts[Field](After);
    if (Old != New)
      Changes.push_back(
          {static_cast<customer_field>(Field), std::move(Old), std::move(New)});
  }
  return Changes;
}

const customer_entry *findCurrent(const current_configuration &Current,
                                  const customer_id &Id) {
  auto Found =
      std::lower_bound(Current.Customers.begin(), Current.Customers.end(), Id,
                       [](const customer_entry &A, const customer_id &B) {
                         return A.Config.Id < B;
                       });
  if (Found == Current.Customers.end() || Found->Config.Id != Id)
    return nullptr;
  return &*Found;
}

const customer_config *findWanted(std::span<const customer_config> Wanted,
                                  const customer_id &Id) {
  auto Found = std::lower_bound(
      Wanted.begin(), Wanted.end(), Id,
      [](const customer_config &A, const customer_id &B) { return A.Id < B; });
  return Found == Wanted.end() || Found->Id != Id ? nullptr : &*Found;
}

/// True if a command made the change after the last sheet was applied.
bool isCommandSinceLastSheet(const change_origin &Origin,
                             const current_configuration &Current) {
  return Origin.Source == change_source::Command &&
         Origin.Offset > Current.LastSheet;
}

void compareWanted(const customer_config &Config,
                   const current_configuration &Current,
                   sheet_difference &Difference) {
  const customer_entry *Entry = findCurrent(Current, Config.Id);
  if (Entry == nullptr) {
    Difference.Added.push_back(Config.Id);
    for (const removed_customer &Removed : Current.RemovedByCommand)
      if (Removed.Id == Config.Id)
        Difference.Undone.push_back(
            {Config.Id, undo_kind::Removal, Removed.Removal});
    return;
  }
  std::vector<field_change> Fields = compareFields(Entry->Config, Config);
  if (Fields.empty())
    return;
  Difference.Changed.push_back({Config.Id, std::move(Fields)});
  if (isCommandSinceLastSheet(Entry->LastChange, Current))
    Difference.Undone.push_back(
        {Config.Id, undo_kind::Change, Entry->LastChange});
}

sheet_error sheetError(std::string_view Value, sheet_problem Problem) {
  return {0, {}, std::string(Value), Problem, std::string(messageFor(Problem))};
}

void checkRules(sheet_plan &Plan, const current_configuration &Current,
                const sheet_rules &Rules) {
  const sheet_difference &Difference = Plan.Difference;
  if (!Rules.AllowRemovals)
    for (const customer_id &Id : Difference.Removed)
      Plan.Errors.push_back(
          sheetError(Id.view(), sheet_problem::RemovalNotAllowed));
  const std::size_t ChangedCustomers = Difference.Added.size() +
                                       Difference.Changed.size() +
                                       Difference.Removed.size();
  constexpr std::uint32_t NoLimit = 100;
  // The first sheet adds every customer, so the limit does not apply to it.
  if (Current.Customers.empty() || Rules.MaxChangedPercent >= NoLimit)
    return;
  if (ChangedCustomers * 100 >
      Current.Customers.size() * Rules.MaxChangedPercent)
    Plan.Errors.push_back(sheetError(std::to_string(ChangedCustomers),
                                     sheet_problem::TooManyChanges));
}

/// \p Config with the token hash, which is not in the sheet, taken from
/// \p Entry.
customer_config withCurrentTokenHash(customer_config Config,
                                     const customer_entry *Entry) {
  if (Entry != nullptr)
    Config.TokenHash = Entry->Config.TokenHash;
  return Config;
}

} // namespace

sheet_difference compareSheet(std::span<const customer_config> Wanted,
                              const current_configuration &Current) {
  sheet_difference Difference;
  for (const customer_config &Config : Wanted)
    compareWanted(Config, Current, Difference);
  for (const customer_entry &Entry : Current.Customers) {
    if (findWanted(Wanted, Entry.Config.Id) != nullptr)
      continue;
    Difference.Removed.push_back(Entry.Config.Id);
    if (isCommandSinceLastSheet(Entry.LastChange, Current))
      Difference.Undone.push_back(
          {Entry.Config.Id, undo_kind::Addition, Entry.LastChange});
  }
  return Difference;
}

sheet_plan planSheet(const parsed_sheet &Sheet,
                     const current_configuration &Current,
                     const sheet_rules &Rules, std::string_view SourceDetail) {
  sheet_plan Plan;
  Plan.Errors = Sheet.Errors;
  if (!Sheet.ok())
    return Plan;
  Plan.Difference = compareSheet(Sheet.Customers, Current);
  checkRules(Plan, Current, Rules);
  if (!Plan.ok())
    return Plan;
  Plan.Change.Base = Current.Version;
  Plan.Change.Source = change_source::Sheet;
  Plan.Change.SourceDetail = SourceDetail;
  Plan.Change.Removed = Plan.Difference.Removed;
  for (const customer_config &Config : Sheet.Customers) {
    const customer_entry *Entry = findCurrent(Current, Config.Id);
    if (Entry == nullptr || !compareFields(Entry->Config, Config).empty())
      Plan.Change.Put.push_back(withCurrentTokenHash(Config, Entry));
  }
  return Plan;
}

} // namespace geraniumpaddle
