#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

using json = nlohmann::json;

/// The document in \p Text; nothing if it is not an object.
std::optional<json> parseObject(std::string_view Text);

/// Member \p Name of \p Object, or null if there is none.
const json *member(const json &Object, const char *Name);

/// Fields whose value is 0, false or empty are left out on the wire, so a
/// missing one reads as its default. One of another type reads as nothing.
std::optional<std::int64_t> integerField(const json &Object, const char *Name);
std::optional<double> numberField(const json &Object, const char *Name);
std::optional<std::string> textField(const json &Object, const char *Name);
std::optional<bool> flagField(const json &Object, const char *Name);

/// A whole number, also one written with a fraction of zero.
std::optional<std::int64_t> asInteger(const json &Value);

} // namespace geraniumpaddle
