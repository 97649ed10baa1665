#include "codec/csvreader.h"
#include "core/base/error.h"

#include <csv.h>

#include <algorithm>
#include <string>

namespace geraniumpaddle {

namespace {

constexpr std::string_view Utf8ByteOrderMark = "\xEF\xBB\xBF";

[[noreturn]] void rejectLine(std::uint32_t Line, std::string_view Problem) {
  throw malformed_message_error("line " + std::to_string(Line) + ": " +
                                std::string(Problem));
}

/// The more frequent of comma and semicolon in the first line, outside quotes.
char detectSeparator(std::string_view Bytes) {
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

/// Reads one file with libcsv, byte by byte, because the library does not
/// report line numbers.
class csv_file_reader {
public:
  explicit csv_file_reader(char Separator) {
    if (csv_init(&Parser, CSV_STRICT | CSV_STRICT_FINI) != 0)
      throw internal_error("cannot initialize the CSV parser");
    csv_set_delim(&Parser, static_cast<unsigned char>(Separator));
  }
  csv_file_reader(const csv_file_reader &) = delete;
  csv_file_reader &operator=(const csv_file_reader &) = delete;
  ~csv_file_reader() { csv_free(&Parser); }

  std::vector<sheet_row> read(std::string_view Bytes) {
    for (char Byte : Bytes)
      parseByte(Byte);
    if (csv_fini(&Parser, &onCell, &onRow, this) != 0)
      rejectLine(RowLine, "a quote is not closed");
    return std::move(Rows);
  }

private:
  void parseByte(char Byte) {
    const bool LineBreak = Byte == '\n' || Byte == '\r';
    if (!InRow && !LineBreak) {
      InRow = true;
      RowLine = Line;
    }
    if (csv_parse(&Parser, &Byte, 1, &onCell, &onRow, this) != 1)
      rejectLine(Line, "a quote inside a cell has to be doubled");
    Line += Byte == '\n';
  }

  static void onCell(void *Text, std::size_t Size, void *Reader) {
    auto &Self = *static_cast<csv_file_reader *>(Reader);
    Self.Cells.emplace_back(static_cast<const char *>(Text), Size);
  }

  static void onRow(int /*End*/, void *Reader) {
    auto &Self = *static_cast<csv_file_reader *>(Reader);
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
  if (Bytes.starts_with(Utf8ByteOrderMark))
    Bytes.remove_prefix(Utf8ByteOrderMark.size());
  return csv_file_reader(detectSeparator(Bytes)).read(Bytes);
}

} // namespace geraniumpaddle
