#include "codec/csvreader.h"
#include "core/base/error.h"

#include <fstream>
#include <iterator>

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

/// Rows as "line:cell|cell" joined by spaces.
std::string rowsOf(std::string_view Bytes) {
  std::string Text;
  for (const sheet_row &Row : readCsv(Bytes)) {
    Text += (Text.empty() ? "" : " ") + std::to_string(Row.Line) + ":";
    for (std::size_t Index = 0; Index < Row.Cells.size(); ++Index)
      Text += (Index == 0 ? "" : "|") + Row.Cells[Index];
  }
  return Text;
}

std::string errorOf(std::string_view Bytes) {
  try {
    readCsv(Bytes);
    return {};
  } catch (const malformed_message_error &Failure) {
    return Failure.what();
  }
}

parsed_sheet parseFile(const std::string &Name) {
  std::ifstream File(GP_EXAMPLES_DIR "/" + Name, std::ios::binary);
  std::string Bytes(std::istreambuf_iterator<char>(File), {});
  return parseSheet(readCsv(Bytes));
}

} // namespace

TEST_GROUP(CsvReader){};

TEST(CsvReader, ReadsExportsOfSpreadsheetPrograms) {
  struct {
    const char *Bytes;
    const char *Expected;
  } Cases[] = {
      {"", ""},
      {"a,b\n1,2\n", "1:a|b 2:1|2"},
      {"a,b\n1,2", "1:a|b 2:1|2"},
      {"a;b\r\n1,5;2\r\n", "1:a|b 2:1,5|2"},
      {"\xEF\xBB\xBF"
       "a;b\n",
       "1:a|b"},
      {"a,b\n\n\n1,2\n", "1:a|b 4:1|2"},
      {"a,b\n,\n1,2\n,\n,\n", "1:a|b 3:1|2"},
      {"a,b\n\"x,y\",\"say \"\"hi\"\"\"\n", "1:a|b 2:x,y|say \"hi\""},
      {"a,b\n\"two\nlines\",1\n3,4\n", "1:a|b 2:two\nlines|1 4:3|4"},
      {"\"x;y;z\",b\n1,2\n", "1:x;y;z|b 2:1|2"},
      {"a,b\n1\n1,2,3\n", "1:a|b 2:1 3:1|2|3"},
      {"only\n1\n", "1:only 2:1"},
  };
  for (const auto &Case : Cases)
    STRCMP_EQUAL(Case.Expected, rowsOf(Case.Bytes).c_str());
}

TEST(CsvReader, RejectsMalformedFiles) {
  STRCMP_EQUAL("line 2: a quote is not closed",
               errorOf("a,b\n\"1,2\n3,4\n").c_str());
  STRCMP_EQUAL("line 3: a quote inside a cell has to be doubled",
               errorOf("a,b\n1,2\n\"x\"y,2\n").c_str());
  STRCMP_EQUAL("the sheet is not text in UTF-8",
               errorOf(std::string_view("\xFF\xFE"
                                        "a\0",
                                        4))
                   .c_str());
  STRCMP_EQUAL("the sheet is larger than 4 MiB",
               errorOf(std::string(MaxSheetBytes + 1, 'a')).c_str());
}

TEST(CsvReader, ExampleSheetsAreValid) {
  for (const char *Name : {"swancoast-customers.csv", "notti-customers.csv"}) {
    parsed_sheet Sheet = parseFile(Name);
    LONGS_EQUAL(0, Sheet.Errors.size());
    LONGS_EQUAL(4, Sheet.Customers.size());
  }
  parsed_sheet Notti = parseFile("notti-customers.csv");
  STRCMP_EQUAL("Castelli e \"rocche\"", Notti.Customers[1].DisplayName.c_str());
  DOUBLES_EQUAL(7.25, Notti.Customers[1].Limits.RatePerSecond, 0);
}
