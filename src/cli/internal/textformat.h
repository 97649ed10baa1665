#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// "2026-12-04 11:17:08.123" in UTC, from milliseconds since the epoch.
std::string timeText(std::int64_t Milliseconds);

} // namespace geraniumpaddle
