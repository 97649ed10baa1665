#include "codec/csvreader.h"
#include "core/base/error.h"

#include <csv.h>

#include <algorithm>
#include <string>

namespace geraniumpaddle {

namespace {

constexpr std::string_view Utf8Mark = "\xEF\xBB\xBF";

[[noreturn]] void rejectLine(std::uint32_t Line, std::string_view Problem) {
  throw malformed_message_error("line " + std::to_string(Line) + ": " +
                                std::string(Problem));
}

/// The more frequent of comma and semicolon in the first line, outside quotes.
char separatorOf(std::string_view Bytes) {
  bool Quoted = false;
  int Commas = 0;
  int Semicolons = 0;
  for (char Byte : Bytes) {
    if (Byte == '"')
      Quoted = !Quoted;
    if (Quoted)
      continue;
    if (Byte == '\n')
      break;
    Commas += Byte == ',';
    Semicolons += Byte == ';';
  }
  return Semicolons > Commas ? ';' : ',';
}

/// One run of libcsv over a file. The library does not count lines, so it is
/// fed byte by byte.
class csv_run {
public:
  explicit csv_run(char Separator) {
    if (csv_init(&Parser, CSV_STRICT | CSV_STRICT_FINI) != 0)
      throw internal_error("csv reader: cannot initialize");
    csv_set_delim(&Parser, static_cast<unsigned char>(Separator));
  }
  csv_run(const csv_run &) = delete;
  csv_run &operator=(const csv_run &) = delete;
  ~csv_run() { csv_free(&Parser); }

  std::vector<sheet_row> read(std::string_view Bytes) {
    for (char Byte : Bytes)
      feed(Byte);
    if (csv_fini(&Parser, &onCell, &onRow, this) != 0)
      rejectLine(RowLine, "a quote is not closed");
    return std::move(Rows);
  }

private:
  void feed(char Byte) {
    const bool Break = Byte == '\n' || Byte == '\r';
    if (!InRow && !Break) {
      InRow = true;
      RowLine = Line;
    }
    if (csv_parse(&Parser, &Byte, 1, &onCell, &onRow, this) != 1)
      rejectLine(Line, "a quote inside a cell has to be doubled");
    Line += Byte == '\n';
  }

  static void onCell(void *Text, std::size_t Size, void *Run) {
    auto &Self = *static_cast<csv_run *>(Run);
    Self.Cells.emplace_back(static_cast<const char *>(Text), Size);
  }

  static void onRow(int /*End*/, void *Run) {
    auto &Self = *static_cast<csv_run *>(Run);
    Self.InRow = false;
    const bool Blank =
        std::all_of(Self.Cells.begin(), Self.Cells.end(),
                    [](const std::string &Cell) { return Cell.empty(); });
    if (!Blank)
      Self.Rows.push_back({Self.RowLine, std::move(Self.Cells)});
    Self.Cells.clear();
  }

  csv_parser Parser{};
  std::uint32_t Line = 1;
  std::uint32_t RowLine = 1;
  bool InRow = false;
  std::vector<std::string> Cells;
  std::vector<sheet_row> Rows;
};

} // namespace

std::vector<sheet_row> readCsv(std::string_view Bytes) {
  if (Bytes.size() > MaxSheetBytes)
    throw malformed_message_error("the sheet is larger than 4 MiB");
  if (Bytes.find('\0') != std::string_view::npos)
    throw malformed_message_error("the sheet is not text in UTF-8");
  if (Bytes.starts_with(Utf8Mark))
    Bytes.remove_prefix(Utf8Mark.size());
  return csv_run(separatorOf(Bytes)).read(Bytes);
}

} // namespace geraniumpaddle
