#include "core/sheet/internal/cellreader.h"

#include <algorithm>
#include <charconv>

namespace geraniumpaddle {

namespace {

constexpr std::size_t MaxCustomerBytes = 64;
constexpr std::size_t MaxTextBytes = 200;
constexpr std::size_t MaxDigits = 9;
constexpr std::string_view Digits = "0123456789";
constexpr std::string_view CustomerCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-_.";

bool allDigits(std::string_view Text) {
  return !Text.empty() &&
         Text.find_first_not_of(Digits) == std::string_view::npos;
}

/// Length of the UTF-8 sequence at the start of \p Text; 0 if it is invalid.
std::size_t sequenceLength(std::string_view Text) {
  const auto Lead = static_cast<unsigned char>(Text.front());
  std::size_t Length = 0;
  if (Lead < 0x80U)
    Length = 1;
  else if (Lead >= 0xC2U && Lead < 0xE0U)
    Length = 2;
  else if (Lead >= 0xE0U && Lead < 0xF0U)
    Length = 3;
  else if (Lead >= 0xF0U && Lead < 0xF5U)
    Length = 4;
  if (Length > Text.size())
    return 0;
  const bool ValidContinuation =
      std::all_of(Text.begin() + (Length == 0 ? 0 : 1), Text.begin() + Length,
                  [](unsigned char Byte) { return (Byte & 0xC0U) == 0x80U; });
  return ValidContinuation ? Length : 0;
}

bool validText(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t Length = sequenceLength(Text);
    const auto Lead = static_cast<unsigned char>(Text.front());
    if (Length == 0 || Lead < 0x20U || Lead == 0x7FU)
      return false;
    Text.remove_prefix(Length);
  }
  return true;
}

/// The error for a cell that should be an integer but is not all digits.
sheet_problem integerProblem(std::string_view Cell) {
  if (Cell.front() == '-' && allDigits(Cell.substr(1)))
    return sheet_problem::Negative;
  const bool Numeric =
      Cell.find_first_not_of("+-0123456789.,'") == std::string_view::npos &&
      Cell.find_first_of(Digits) != std::string_view::npos;
  return Numeric ? sheet_problem::NotAnInteger : sheet_problem::NotANumber;
}

/// True for a number like "1.000", whose separator may be a decimal point or a
/// thousands separator.
bool ambiguous(std::string_view Whole, std::string_view Fraction) {
  constexpr std::size_t GroupSize = 3;
  return Fraction.size() == GroupSize && Whole != "0";
}

} // namespace

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blank = " \t\r\n";
  const std::size_t First = Text.find_first_not_of(Blank);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blank) - First + 1);
}

cell_value<std::int32_t> readInteger(std::string_view Cell,
                                     std::int32_t Maximum) {
  Cell = trim(Cell);
  if (Cell.empty())
    return {{}, sheet_problem::MissingCell};
  if (!allDigits(Cell))
    return {{}, integerProblem(Cell)};
  std::int32_t Value = 0;
  auto Result = std::from_chars(Cell.data(), Cell.data() + Cell.size(), Value);
  if (Result.ec != std::errc() || Value > Maximum)
    return {{}, sheet_problem::TooLarge};
  return {Value, {}};
}

cell_value<double> readRate(std::string_view Cell) {
  Cell = trim(Cell);
  if (Cell.empty())
    return {{}, sheet_problem::MissingCell};
  const bool Negative = Cell.front() == '-';
  if (Negative)
    Cell.remove_prefix(1);
  const std::size_t Separator = Cell.find_first_of(".,");
  const bool Fractional = Separator != std::string_view::npos;
  const std::string_view Whole = Cell.substr(0, Separator);
  const std::string_view Fraction =
      Fractional ? Cell.substr(Separator + 1) : std::string_view();
  if (!allDigits(Whole) || (Fractional && !allDigits(Fraction)))
    return {{}, sheet_problem::NotANumber};
  if (Negative)
    return {{}, sheet_problem::Negative};
  if (ambiguous(Whole, Fraction))
    return {{}, sheet_problem::AmbiguousNumber};
  if (Whole.size() > MaxDigits || Fraction.size() > MaxDigits)
    return {{}, sheet_problem::TooLarge};
  std::string Text(Whole);
  Text += '.';
  Text += Fraction;
  double Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return {Value, {}};
}

cell_value<std::string> readText(std::string_view Cell) {
  std::string Text;
  for (char Character : trim(Cell)) {
    const bool LineBreak = Character == '\n' || Character == '\r';
    if (!LineBreak)
      Text += Character;
    else if (Text.back() != ' ')
      Text += ' ';
  }
  if (Text.size() > MaxTextBytes)
    return {{}, sheet_problem::TextTooLong};
  if (!validText(Text))
    return {{}, sheet_problem::InvalidText};
  return {Text, {}};
}

cell_value<std::string> readCustomer(std::string_view Cell) {
  Cell = trim(Cell);
  if (Cell.empty())
    return {{}, sheet_problem::EmptyCustomer};
  const bool Valid =
      Cell.size() <= MaxCustomerBytes &&
      Cell.find_first_not_of(CustomerCharacters) == std::string_view::npos;
  if (!Valid)
    return {{}, sheet_problem::InvalidCustomer};
  return {std::string(Cell), {}};
}

std::string_view messageFor(sheet_problem Problem) {
  switch (Problem) {
  case sheet_problem::EmptySheet:
    return "the sheet has no row that names the columns, or no customer";
  case sheet_problem::MissingColumn:
    return "the sheet lacks this column";
  case sheet_problem::UnknownColumn:
    return "there is no such column";
  case sheet_problem::DuplicateColumn:
    return "the column appears twice";
  case sheet_problem::MissingCell:
    return "a value is required; 0 means no limit";
  case sheet_problem::ExtraCell:
    return "the row has more cells than there are columns";
  case sheet_problem::EmptyCustomer:
    return "the row names no customer";
  case sheet_problem::InvalidCustomer:
    return "a customer is at most 64 of a-z, 0-9, '-', '_' and '.'";
  case sheet_problem::DuplicateCustomer:
    return "the customer appears twice";
  case sheet_problem::NotANumber:
    return "not a number";
  case sheet_problem::NotAnInteger:
    return "not a whole number; write digits only";
  case sheet_problem::AmbiguousNumber:
    return "the separator may be decimal or group thousands; write 1000 or 1.0";
  case sheet_problem::Negative:
    return "must not be negative";
  case sheet_problem::TooLarge:
    return "too large";
  case sheet_problem::TextTooLong:
    return "longer than 200 bytes";
  case sheet_problem::InvalidText:
    return "not UTF-8, or has control characters";
  case sheet_problem::BurstWithoutRate:
    return "a burst needs a rate_per_second";
  case sheet_problem::GuaranteeAboveLimit:
    return "the guarantees need more than max_accelerators";
  case sheet_problem::RemovalNotAllowed:
    return "in force but not in the sheet; removals have to be allowed";
  case sheet_problem::TooManyChanges:
    return "more than the allowed share of the customers changes";
  }
  return "";
}

} // namespace geraniumpaddle
