#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// "2026-12-04 11:17:08.123" in UTC, from milliseconds since the epoch.
std::string timeText(std::int64_t Milliseconds);

/// Percent-encodes all of \p Text except letters, digits and -_. for use in a
/// URL.
std::string urlEscape(std::string_view Text);

} // namespace geraniumpaddle
