#include "core/sheet/sheet.h"

#include <array>
#include <cstddef>

namespace geraniumpaddle {

namespace {

template <std::size_t Size, typename Enum>
std::string_view lookUp(const std::array<std::string_view, Size> &Names,
                        Enum Value) {
  auto Index = static_cast<std::size_t>(Value);
  return Index < Size ? Names[Index] : std::string_view("unknown");
}

} // namespace

std::string_view name(sheet_problem Problem) {
  static constexpr std::array<std::string_view, 20> Names{
      "empty_sheet",
      "missing_column",
      "unknown_column",
      "duplicate_column",
      "missing_cell",
      "extra_cell",
      "empty_customer",
      "invalid_customer",
      "duplicate_customer",
      "not_a_number",
      "not_an_integer",
      "ambiguous_number",
      "negative",
      "too_large",
      "text_too_long",
      "invalid_text",
      "burst_without_rate",
      "guarantee_above_limit",
      "removal_not_allowed",
      "too_many_changes"};
  return lookUp(Names, Problem);
}

std::string_view name(customer_field Field) {
  static constexpr std::array<std::string_view, 11> Names{
      "display_name",   "guarantee_one",   "guarantee_two",
      "guarantee_four", "guarantee_eight", "guarantee_worker",
      "guarantee_rack", "rate_per_second", "burst",
      "in_flight",      "max_accelerators"};
  return lookUp(Names, Field);
}

} // namespace geraniumpaddle
