#include "platform/internal/jsonfields.h"

#include <cmath>

namespace geraniumpaddle {

namespace {

/// 2^53: a double represents all integers up to this one exactly.
constexpr double MaxExactInteger = 9007199254740992.0;

} // namespace

std::optional<json> parseObject(std::string_view Text) {
  json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object())
    return std::nullopt;
  return Document;
}

const json *member(const json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found == Object.end() || Found->is_null() ? nullptr : &*Found;
}

std::optional<std::int64_t> asInteger(const json &Value) {
  if (Value.is_number_integer())
    return Value.get<std::int64_t>();
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

} // namespace geraniumpaddle
