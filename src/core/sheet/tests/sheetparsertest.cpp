#include "core/sheet/sheet.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

using cells = std::vector<std::string>;

const cells Header{"customer",         "display_name",
                   "guarantee_one",    "guarantee_two",
                   "guarantee_four",   "guarantee_eight",
                   "guarantee_worker", "guarantee_rack",
                   "rate_per_second",  "burst",
                   "in_flight",        "max_accelerators"};
const cells ValidRow{"c1", "First", "1", "2", "0", "0",
                     "0",  "1",     "5", "9", "4", "30"};

/// \p Row with the cell at \p Index replaced.
cells with(cells Row, std::size_t Index, std::string Text) {
  Row[Index] = std::move(Text);
  return Row;
}
cells without(cells Row, std::size_t Index) {
  Row.erase(Row.begin() + static_cast<std::ptrdiff_t>(Index));
  return Row;
}
cells withMore(cells Row, std::string Text) {
  Row.push_back(std::move(Text));
  return Row;
}

std::vector<sheet_row> rows(const std::vector<cells> &Table) {
  std::vector<sheet_row> Rows;
  Rows.reserve(Table.size());
  std::uint32_t Line = 0;
  for (const cells &Row : Table)
    Rows.push_back({++Line, Row});
  return Rows;
}

/// The errors of \p Table, each as "line column problem value".
std::string errorsOf(const std::vector<cells> &Table) {
  std::string Text;
  for (const sheet_error &Error : parseSheet(rows(Table)).Errors) {
    CHECK(!Error.Message.empty());
    Text += (Text.empty() ? "" : "; ") + std::to_string(Error.Line) + " " +
            Error.Column + " " + std::string(name(Error.Problem)) + " " +
            Error.Value;
  }
  return Text;
}

} // namespace

TEST_GROUP(SheetParser){};

TEST(SheetParser, ReadsEveryColumn) {
  parsed_sheet Sheet = parseSheet(rows({Header, with(ValidRow, 8, "12,5")}));
  CHECK(Sheet.ok());
  const customer_config &Config = Sheet.Customers[0];
  STRCMP_EQUAL("c1", Config.Id.str().c_str());
  STRCMP_EQUAL("First", Config.DisplayName.c_str());
  CHECK((Config.Guarantees == std::vector<guarantee>{{cell_level::One, 1},
                                                     {cell_level::Two, 2},
                                                     {cell_level::Rack, 1}}));
  DOUBLES_EQUAL(12.5, Config.Limits.RatePerSecond, 0);
  LONGS_EQUAL(9, Config.Limits.Burst);
  LONGS_EQUAL(4, Config.Limits.InFlight);
  LONGS_EQUAL(30, Config.MaxAccelerators);
}

TEST(SheetParser, AcceptsColumnsInAnyOrderAndCase) {
  cells ReversedHeader(Header.rbegin(), Header.rend());
  ReversedHeader[0] = " Max_Accelerators ";
  cells Reversed(ValidRow.rbegin(), ValidRow.rend());
  parsed_sheet Original = parseSheet(rows({Header, ValidRow}));
  parsed_sheet Reordered = parseSheet(rows({ReversedHeader, Reversed}));
  CHECK(Reordered.ok());
  CHECK(Reordered.Customers == Original.Customers);
}

TEST(SheetParser, SkipsEmptyRowsAndTrailingCells) {
  parsed_sheet Sheet = parseSheet(rows(
      {{""}, withMore(Header, ""), withMore(ValidRow, " "), {}, {"", ""}}));
  CHECK(Sheet.ok());
  LONGS_EQUAL(1, Sheet.Customers.size());
}

TEST(SheetParser, ReplacesLineBreaksInTextBySpaces) {
  parsed_sheet Sheet =
      parseSheet(rows({Header, with(ValidRow, 1, "Musei\r\ndi Torino")}));
  STRCMP_EQUAL("Musei di Torino", Sheet.Customers[0].DisplayName.c_str());
}

TEST(SheetParser, ReportsErrorsWithLineAndColumn) {
  struct {
    std::vector<cells> Table;
    const char *Expected;
  } Cases[] = {
      {{}, "0  empty_sheet "},
      {{{"", " "}, {}}, "0  empty_sheet "},
      {{Header}, "0  empty_sheet "},
      {{without(Header, 9), without(ValidRow, 9)}, "1 burst missing_column "},
      {{with(Header, 9, "bursts"), ValidRow},
       "1 bursts unknown_column bursts; 1 burst missing_column "},
      {{withMore(Header, "notes"), ValidRow}, "1 notes unknown_column notes"},
      {{withMore(Header, "burst"), ValidRow}, "1 burst duplicate_column burst"},
      {{Header, without(ValidRow, 11)}, "2 max_accelerators missing_cell "},
      {{Header, withMore(ValidRow, "x")}, "2  extra_cell x"},
      {{Header, with(ValidRow, 0, "")}, "2 customer empty_customer "},
      {{Header, with(ValidRow, 0, "C1")}, "2 customer invalid_customer C1"},
      {{Header, with(ValidRow, 0, "c 1")}, "2 customer invalid_customer c 1"},
      {{Header, with(ValidRow, 0, "c/1")}, "2 customer invalid_customer c/1"},
      {{Header, with(ValidRow, 0, std::string(65, 'a'))},
       "2 customer invalid_customer aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
      {{Header, ValidRow, ValidRow}, "3 customer duplicate_customer c1"},
      {{Header, with(ValidRow, 1, "a\x01")},
       "2 display_name invalid_text a\x01"},
      {{Header, with(ValidRow, 1, "caf\xE9")},
       "2 display_name invalid_text caf\xE9"},
      {{Header, with(ValidRow, 1, std::string(201, 'a'))},
       "2 display_name text_too_long "
       "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
      {{Header, with(ValidRow, 2, "two")}, "2 guarantee_one not_a_number two"},
      {{Header, with(ValidRow, 2, "-")}, "2 guarantee_one not_a_number -"},
      {{Header, with(ValidRow, 2, "1.5")},
       "2 guarantee_one not_an_integer 1.5"},
      {{Header, with(ValidRow, 2, "1,000")},
       "2 guarantee_one not_an_integer 1,000"},
      {{Header, with(ValidRow, 3, "-1")}, "2 guarantee_two negative -1"},
      {{Header, with(ValidRow, 4, "1000001")},
       "2 guarantee_four too_large 1000001"},
      {{Header, with(ValidRow, 5, "99999999999")},
       "2 guarantee_eight too_large 99999999999"},
      {{Header, with(ValidRow, 6, "1 2")},
       "2 guarantee_worker not_a_number 1 2"},
      {{Header, with(ValidRow, 7, "1e3")}, "2 guarantee_rack not_a_number 1e3"},
      {{Header, with(ValidRow, 8, "")}, "2 rate_per_second missing_cell "},
      {{Header, with(ValidRow, 8, "-0,5")}, "2 rate_per_second negative -0,5"},
      {{Header, with(ValidRow, 8, "1.000")},
       "2 rate_per_second ambiguous_number 1.000"},
      {{Header, with(ValidRow, 8, "1.000,5")},
       "2 rate_per_second not_a_number 1.000,5"},
      {{Header, with(ValidRow, 8, "nan")},
       "2 rate_per_second not_a_number nan"},
      {{Header, with(ValidRow, 8, "5,")}, "2 rate_per_second not_a_number 5,"},
      {{Header, with(ValidRow, 8, "1234567890")},
       "2 rate_per_second too_large 1234567890"},
      {{Header, with(ValidRow, 8, "0")}, "2 burst burst_without_rate 9"},
      {{Header, with(ValidRow, 9, "1.0")}, "2 burst not_an_integer 1.0"},
      {{Header, with(ValidRow, 10, "many")}, "2 in_flight not_a_number many"},
      {{Header, with(ValidRow, 10, "")}, "2 in_flight missing_cell "},
      {{Header, with(ValidRow, 11, "4")},
       "2 max_accelerators guarantee_above_limit 4"},
      {{Header, with(ValidRow, 2, "x"), with(ValidRow, 0, "c2"),
        with(ValidRow, 0, "?")},
       "2 guarantee_one not_a_number x; 4 customer invalid_customer ?"},
  };
  for (const auto &Case : Cases)
    STRCMP_EQUAL(Case.Expected, errorsOf(Case.Table).c_str());
}
