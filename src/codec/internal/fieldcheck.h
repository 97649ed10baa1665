#pragma once

#include "core/base/error.h"

#include <google/protobuf/generated_enum_util.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Size limit of an identifier, address or other short text, in bytes.
constexpr std::size_t MaxNameBytes = 128;
/// Size limit of a command, detail or other free text, in bytes.
constexpr std::size_t MaxTextBytes = 16U << 10U;

/// Runs \p Decode for \p Field and prepends \p Field to the path in a
/// malformed_message_error that it throws.
template <typename Function>
auto decodeField(std::string_view Field, Function Decode) {
  try {
    return Decode();
  } catch (const malformed_message_error &Failure) {
    throw malformed_message_error(std::string(Field) + "." + Failure.what());
  }
}

/// Like decodeField(), for element \p Index of a repeated field.
template <typename Function>
auto decodeElement(std::string_view Field, int Index, Function Decode) {
  // The path is built only on failure, because decoding is the slowest step of
  // applying a record.
  try {
    return Decode();
  } catch (const malformed_message_error &Failure) {
    throw malformed_message_error(std::string(Field) + "[" +
                                  std::to_string(Index) + "]." +
                                  Failure.what());
  }
}

/// Throws malformed_message_error "FIELD: PROBLEM".
[[noreturn]] void rejectField(std::string_view Field, std::string_view Problem);

/// Checks that \p Name has at most MaxNameBytes and only printable characters,
/// and that it is not empty unless \p Optional.
const std::string &checkName(std::string_view Field, const std::string &Name,
                             bool Optional = false);
/// Checks that \p Text has at most MaxTextBytes.
const std::string &checkText(std::string_view Field, const std::string &Text);
/// Checks that \p Value is not negative.
template <typename Number>
Number checkCount(std::string_view Field, Number Value) {
  if (Value < 0)
    rejectField(Field, "negative");
  return Value;
}
/// Checks that \p Value is finite and not negative.
double checkRate(std::string_view Field, double Value);

/// Converts an enumerator that has the same number in the core type and in the
/// message.
template <typename Core, typename Message>
Core checkEnum(std::string_view Field, Message Value, Message Last) {
  if (Value < 0 || Value > Last)
    rejectField(Field, "unknown value");
  return static_cast<Core>(static_cast<int>(Value));
}

} // namespace geraniumpaddle
