#include "platform/internal/jsonfields.h"

#include <cmath>
#include <utility>

namespace geraniumpaddle {

namespace {

/// 2^53: a double represents all integers up to this one exactly.
constexpr double MaxExactInteger = 9007199254740992.0;

/// The messages of the platform nest 5 levels. Deeper parts belong to fields
/// that aren't known; each of their levels would take ten times its size in
/// memory.
constexpr std::size_t MaxNesting = 64;

bool nestsTooDeeply(std::string_view Text) {
  std::size_t Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char Each = Text[I];
    if (Each == '"')
      InString = !InString;
    else if (InString)
      I += Each == '\\' ? 1 : 0;
    else if (Each == '[' || Each == '{')
      ++Depth;
    else if (Depth > 0 && (Each == ']' || Each == '}'))
      --Depth;
    if (Depth > MaxNesting)
      return true;
  }
  return false;
}

} // namespace

std::optional<json> parseObject(std::string_view Text) {
  json::parser_callback_t DropDeepParts;
  if (nestsTooDeeply(Text))
    DropDeepParts = [](int Depth, json::parse_event_t, json &) {
      return std::cmp_less_equal(Depth, MaxNesting);
    };
  json Document = json::parse(Text, DropDeepParts, false);
  if (!Document.is_object())
    return std::nullopt;
  return Document;
}

std::optional<std::string> toText(const json &Document) {
  try {
    return Document.dump();
  } catch (const json::type_error &) {
    return std::nullopt;
  }
}

const json *member(const json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found == Object.end() || Found->is_null() ? nullptr : &*Found;
}

std::optional<std::int64_t> asWholeNumber(const json &Value) {
  if (!Value.is_number_integer())
    return std::nullopt;
  const bool Fits = !Value.is_number_unsigned() ||
                    std::in_range<std::int64_t>(Value.get<std::uint64_t>());
  return Fits ? std::optional(Value.get<std::int64_t>()) : std::nullopt;
}

std::optional<std::int64_t> asInteger(const json &Value) {
  if (Value.is_number_integer())
    return asWholeNumber(Value);
  if (!Value.is_number_float())
    return std::nullopt;
  const auto Number = Value.get<double>();
  if (!std::isfinite(Number) || std::abs(Number) > MaxExactInteger)
    return std::nullopt;
  return std::llround(Number);
}

std::optional<std::int64_t> integerField(const json &Object, const char *Name) {
  const json *Value = member(Object, Name);
  return Value ? asInteger(*Value) : 0;
}

std::optional<double> numberField(const json &Object, const char *Name) {
  const json *Value = member(Object, Name);
  if (!Value)
    return 0;
  return Value->is_number() ? std::optional(Value->get<double>())
                            : std::nullopt;
}

std::optional<std::string> stringField(const json &Object, const char *Name) {
  const json *Value = member(Object, Name);
  if (!Value)
    return "";
  return Value->is_string() ? std::optional(Value->get<std::string>())
                            : std::nullopt;
}

std::optional<bool> boolField(const json &Object, const char *Name) {
  const json *Value = member(Object, Name);
  if (!Value)
    return false;
  return Value->is_boolean() ? std::optional(Value->get<bool>()) : std::nullopt;
}

const json *arrayField(const json &Object, const char *Name) {
  static const json None = json::array();
  const json *Value = member(Object, Name);
  if (!Value)
    return &None;
  return Value->is_array() ? Value : nullptr;
}

} // namespace geraniumpaddle
