#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

using json = nlohmann::json;

/// Parses \p Text; nothing if it is not a JSON object.
std::optional<json> parseObject(std::string_view Text);

/// Member \p Name of \p Object; null if it is missing or null.
const json *member(const json &Object, const char *Name);

/// Fields with the value 0, false or empty are omitted on the wire, so a
/// missing field gives that default. A field of another type gives nothing.
std::optional<std::int64_t> integerField(const json &Object, const char *Name);
std::optional<double> numberField(const json &Object, const char *Name);
std::optional<std::string> stringField(const json &Object, const char *Name);
std::optional<bool> boolField(const json &Object, const char *Name);

/// The integer value; floating-point numbers are rounded.
std::optional<std::int64_t> asInteger(const json &Value);

} // namespace geraniumpaddle
