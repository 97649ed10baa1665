#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

using json = nlohmann::json;

/// Parses \p Text; nothing if it is not a JSON object. Parts that nest very
/// deeply are left out.
std::optional<json> parseObject(std::string_view Text);

/// \p Document as JSON; nothing if it contains a text that is not valid UTF-8.
std::optional<std::string> toText(const json &Document);

/// Member \p Name of \p Object; null if it is missing or null.
const json *member(const json &Object, const char *Name);

/// Fields with the value 0, false or empty are omitted on the wire, so a
/// missing field gives that default. A field of another type gives nothing.
std::optional<std::int64_t> integerField(const json &Object, const char *Name);
std::optional<double> numberField(const json &Object, const char *Name);
std::optional<std::string> stringField(const json &Object, const char *Name);
std::optional<bool> boolField(const json &Object, const char *Name);
/// As above; null for a field of another type.
const json *arrayField(const json &Object, const char *Name);

/// The integer value; nothing for a floating-point number.
std::optional<std::int64_t> asWholeNumber(const json &Value);
/// The integer value; floating-point numbers are rounded.
std::optional<std::int64_t> asInteger(const json &Value);

} // namespace geraniumpaddle
