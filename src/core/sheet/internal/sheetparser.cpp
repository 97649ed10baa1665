#include "core/sheet/internal/cellreader.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <map>

namespace geraniumpaddle {

namespace {

constexpr std::size_t MaxShownBytes = 40;
constexpr std::int32_t MaxCount = 1'000'000;
constexpr std::string_view CustomerColumn = "customer";
constexpr std::string_view LimitColumn = "max_accelerators";
constexpr std::string_view BurstColumn = "burst";

/// Parses rows cell by cell, with one member function per column.
class sheet_parser {
public:
  parsed_sheet parse(std::span<const sheet_row> Rows) {
    auto Header = std::find_if(Rows.begin(), Rows.end(), hasText);
    if (Header == Rows.end()) {
      report(0, {}, {}, sheet_problem::EmptySheet);
      return std::move(Sheet);
    }
    readHeader(*Header);
    if (!Sheet.ok())
      return std::move(Sheet);
    for (const sheet_row &Row : Rows.subspan(Header - Rows.begin() + 1))
      if (hasText(Row))
        readRow(Row);
    finish();
    return std::move(Sheet);
  }

private:
  using cell_function = void (sheet_parser::*)(std::string_view Cell);
  struct column {
    std::string_view Name;
    cell_function Read;
  };

  static bool hasText(const sheet_row &Row) {
    return std::any_of(
        Row.Cells.begin(), Row.Cells.end(),
        [](const std::string &Cell) { return !trim(Cell).empty(); });
  }

  void report(std::uint32_t Line, std::string_view Column,
              std::string_view Value, sheet_problem Problem) {
    Sheet.Errors.push_back({Line, std::string(Column),
                            std::string(Value.substr(0, MaxShownBytes)),
                            Problem, std::string(messageFor(Problem))});
  }
  void reportCell(std::string_view Cell, sheet_problem Problem) {
    report(Line, Column, Cell, Problem);
  }

  void readHeader(const sheet_row &Row) {
    for (const std::string &Cell : Row.Cells) {
      std::string Name(trim(Cell));
      std::transform(Name.begin(), Name.end(), Name.begin(),
                     [](unsigned char Letter) { return std::tolower(Letter); });
      addColumn(Name, Row.Line);
    }
    while (!Columns.empty() && Columns.back() == nullptr)
      Columns.pop_back();
    for (const column &Known : KnownColumns)
      if (std::find(Columns.begin(), Columns.end(), &Known) == Columns.end())
        report(Row.Line, Known.Name, {}, sheet_problem::MissingColumn);
  }

  void addColumn(std::string_view Name, std::uint32_t HeaderLine) {
    const auto *Known =
        std::find_if(KnownColumns.begin(), KnownColumns.end(),
                     [Name](const column &Each) { return Each.Name == Name; });
    const column *Found = Known == KnownColumns.end() ? nullptr : &*Known;
    if (Found == nullptr && !Name.empty())
      report(HeaderLine, Name, Name, sheet_problem::UnknownColumn);
    if (Found != nullptr &&
        std::find(Columns.begin(), Columns.end(), Found) != Columns.end())
      report(HeaderLine, Name, Name, sheet_problem::DuplicateColumn);
    Columns.push_back(Found);
  }

  void readRow(const sheet_row &Row) {
    Line = Row.Line;
    Config = {};
    const std::size_t ErrorsBefore = Sheet.Errors.size();
    for (std::size_t Index = 0; Index < Row.Cells.size(); ++Index)
      readCell(Index, Row.Cells[Index]);
    for (std::size_t Index = Row.Cells.size(); Index < Columns.size(); ++Index)
      readCell(Index, {});
    // If a cell is invalid, rules over several cells would only report the same
    // error again.
    if (Sheet.Errors.size() == ErrorsBefore)
      checkRow();
    if (!Config.Id.empty())
      addCustomer();
  }

  void readCell(std::size_t Index, std::string_view Cell) {
    const column *Here = Index < Columns.size() ? Columns[Index] : nullptr;
    if (Here == nullptr) {
      Column = {};
      if (!trim(Cell).empty())
        reportCell(Cell, sheet_problem::ExtraCell);
      return;
    }
    Column = Here->Name;
    (this->*Here->Read)(Cell);
  }

  void addCustomer() {
    auto [Position, Added] = Lines.emplace(Config.Id, Line);
    if (Added) {
      Sheet.Customers.push_back(Config);
      return;
    }
    report(Line, CustomerColumn, Config.Id.view(),
           sheet_problem::DuplicateCustomer);
    Sheet.Errors.back().Message +=
        ", first on line " + std::to_string(Position->second);
  }

  void checkRow() {
    if (Config.Limits.Burst > 0 && Config.Limits.RatePerSecond == 0)
      report(Line, BurstColumn, std::to_string(Config.Limits.Burst),
             sheet_problem::BurstWithoutRate);
    static constexpr std::array<std::int64_t, CellLevels> AcceleratorsPerCell{
        1, 2, 4, 8, 0, 0};
    std::int64_t Guaranteed = 0;
    for (const guarantee &Guarantee : Config.Guarantees)
      Guaranteed +=
          AcceleratorsPerCell[static_cast<std::size_t>(Guarantee.Level)] *
          Guarantee.Count;
    if (Config.MaxAccelerators > 0 && Guaranteed > Config.MaxAccelerators)
      report(Line, LimitColumn, std::to_string(Config.MaxAccelerators),
             sheet_problem::GuaranteeAboveLimit);
  }

  void finish() {
    if (Sheet.Customers.empty() && Sheet.ok())
      report(0, {}, {}, sheet_problem::EmptySheet);
    std::sort(Sheet.Customers.begin(), Sheet.Customers.end(),
              [](const customer_config &A, const customer_config &B) {
                return A.Id < B.Id;
              });
  }

  /// Stores the value of the cell, or reports its error.
  template <typename Value, typename Target>
  void storeOrReport(const cell_value<Value> &Cell, std::string_view Text,
                     Target &Destination) {
    if (Cell.Read)
      Destination = Target(*Cell.Read);
    else
      reportCell(Text, Cell.Problem);
  }

  void readId(std::string_view Cell) {
    storeOrReport(readCustomer(Cell), Cell, Config.Id);
  }
  void readDisplayName(std::string_view Cell) {
    storeOrReport(readText(Cell), Cell, Config.DisplayName);
  }
  template <cell_level Level> void readGuarantee(std::string_view Cell) {
    std::int32_t Count = 0;
    if (!trim(Cell).empty())
      storeOrReport(readInteger(Cell, MaxCount), Cell, Count);
    if (Count == 0)
      return;
    // Columns may have any order; guarantees are sorted by level.
    auto Position = std::find_if(
        Config.Guarantees.begin(), Config.Guarantees.end(),
        [](const guarantee &Guarantee) { return Guarantee.Level > Level; });
    Config.Guarantees.insert(Position, {Level, Count});
  }
  void readRatePerSecond(std::string_view Cell) {
    storeOrReport(readRate(Cell), Cell, Config.Limits.RatePerSecond);
  }
  void readBurst(std::string_view Cell) {
    storeOrReport(readInteger(Cell, MaxCount), Cell, Config.Limits.Burst);
  }
  void readInFlight(std::string_view Cell) {
    storeOrReport(readInteger(Cell, MaxCount), Cell, Config.Limits.InFlight);
  }
  void readMaxAccelerators(std::string_view Cell) {
    storeOrReport(readInteger(Cell, MaxCount), Cell, Config.MaxAccelerators);
  }

  static const std::array<column, 12> KnownColumns;

  parsed_sheet Sheet;
  /// By position; nullptr for a column without a name or with an unknown one.
  std::vector<const column *> Columns;
  std::map<customer_id, std::uint32_t> Lines;
  std::uint32_t Line = 0;
  std::string_view Column;
  customer_config Config;
};

const std::array<sheet_parser::column, 12> sheet_parser::KnownColumns{{
    {CustomerColumn, &sheet_parser::readId},
    {"display_name", &sheet_parser::readDisplayName},
    {"guarantee_one", &sheet_parser::readGuarantee<cell_level::One>},
    {"guarantee_two", &sheet_parser::readGuarantee<cell_level::Two>},
    {"guarantee_four", &sheet_parser::readGuarantee<cell_level::Four>},
    {"guarantee_eight", &sheet_parser::readGuarantee<cell_level::Eight>},
    {"guarantee_worker", &sheet_parser::readGuarantee<cell_level::Worker>},
    {"guarantee_rack", &sheet_parser::readGuarantee<cell_level::Rack>},
    {"rate_per_second", &sheet_parser::readRatePerSecond},
    {BurstColumn, &sheet_parser::readBurst},
    {"in_flight", &sheet_parser::readInFlight},
    {LimitColumn, &sheet_parser::readMaxAccelerators},
}};

} // namespace

parsed_sheet parseSheet(std::span<const sheet_row> Rows) {
  return sheet_parser().parse(Rows);
}

} // namespace geraniumpaddle
