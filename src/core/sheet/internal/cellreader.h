#pragma once

#include "core/sheet/sheet.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// \p Text without leading and trailing white space.
std::string_view trim(std::string_view Text);

/// The value of a cell, or why it could not be read.
template <typename Value> struct cell_value {
  std::optional<Value> Read;
  sheet_problem Problem = sheet_problem::MissingCell;
};

/// An integer from 0 to \p Maximum, digits only.
cell_value<std::int32_t> readInteger(std::string_view Cell,
                                     std::int32_t Maximum);
/// A non-negative number, with a decimal point or comma.
cell_value<double> readRate(std::string_view Cell);
/// A single line of text; line breaks are replaced by spaces.
cell_value<std::string> readText(std::string_view Cell);
/// A customer id.
cell_value<std::string> readCustomer(std::string_view Cell);

/// Human-readable error message for \p Problem.
std::string_view messageFor(sheet_problem Problem);

} // namespace geraniumpaddle
