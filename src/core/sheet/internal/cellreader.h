#pragma once

#include "core/sheet/sheet.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// \p Text without white space at both ends.
std::string_view trim(std::string_view Text);

/// A value or what is wrong with the cell.
template <typename Value> struct cell_value {
  std::optional<Value> Read;
  sheet_problem Problem = sheet_problem::MissingCell;
};

/// A whole number from 0 to \p Largest, digits only.
cell_value<std::int32_t> readInteger(std::string_view Cell,
                                     std::int32_t Largest);
/// A number that is not negative, with a decimal point or comma.
cell_value<double> readRate(std::string_view Cell);
/// Text of one line; line breaks become spaces.
cell_value<std::string> readText(std::string_view Cell);
/// A customer's id.
cell_value<std::string> readCustomer(std::string_view Cell);

/// What \p Problem means, for people.
std::string_view explain(sheet_problem Problem);

} // namespace geraniumpaddle
