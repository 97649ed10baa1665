#pragma once

#include "core/base/error.h"

#include <google/protobuf/generated_enum_util.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Longest identifier, address or other short text, in bytes.
constexpr std::size_t MaxNameBytes = 128;
/// Longest command, detail or other free text, in bytes.
constexpr std::size_t MaxTextBytes = 16U << 10U;

/// Runs \p Decode; a malformed_message_error that it throws names its field
/// relative to \p Field.
template <typename Function>
auto within(std::string_view Field, Function Decode) {
  try {
    return Decode();
  } catch (const malformed_message_error &Failure) {
    throw malformed_message_error(std::string(Field) + "." + Failure.what());
  }
}

/// Like within(), for element \p Index of a repeated field.
template <typename Function>
auto withinElement(std::string_view Field, int Index, Function Decode) {
  // The path is built only on failure; decoding is the slowest step of a fold.
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

/// A name of at most MaxNameBytes printable characters; empty only if
/// \p Optional.
const std::string &checkName(std::string_view Field, const std::string &Name,
                             bool Optional = false);
/// Text of at most MaxTextBytes.
const std::string &checkText(std::string_view Field, const std::string &Text);
/// A number that is not negative.
template <typename Number>
Number checkCount(std::string_view Field, Number Value) {
  if (Value < 0)
    rejectField(Field, "negative");
  return Value;
}
/// A finite number that is not negative.
double checkRate(std::string_view Field, double Value);

/// Converts an enumerator whose numbers are the same in core and message.
template <typename Core, typename Message>
Core checkEnum(std::string_view Field, Message Value, Message Last) {
  if (Value < 0 || Value > Last)
    rejectField(Field, "unknown value");
  return static_cast<Core>(static_cast<int>(Value));
}

} // namespace geraniumpaddle
