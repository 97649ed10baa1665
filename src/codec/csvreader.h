#pragma once

#include "core/sheet/sheet.h"

#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// Largest sheet that is read, in bytes.
constexpr std::size_t MaxSheetBytes = 4U << 20U;

/// Splits a CSV file into rows of cells: comma or semicolon (told by the first
/// line), an optional byte order mark, LF or CRLF, quoted cells that may hold
/// separators and line breaks. Empty rows are left out.
/// \throws malformed_message_error with the line of an unfinished quote, or if
/// the file is too large.
std::vector<sheet_row> readCsv(std::string_view Bytes);

} // namespace geraniumpaddle
