#pragma once

#include "core/sheet/sheet.h"

#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// Size limit of a sheet, in bytes.
constexpr std::size_t MaxSheetBytes = 4U << 20U;

/// Splits a CSV file into rows of cells. The separator is a comma or a
/// semicolon, detected from the first line. The file may start with a byte
/// order mark, and lines end with LF or CRLF. Quoted cells may contain
/// separators and line breaks. Empty rows are skipped. \throws
/// malformed_message_error with the line of a quoting error, or if the file is
/// too large or not UTF-8.
std::vector<sheet_row> readCsv(std::string_view Bytes);

} // namespace geraniumpaddle
