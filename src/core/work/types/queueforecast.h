#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <map>

namespace geraniumpaddle::work {

/// How long the room is taken by work that goes first, by priority of what
/// comes now. No longer than it will be: packing is taken to be perfect.
using queue_forecast = std::map<std::uint32_t, duration>;

} // namespace geraniumpaddle::work
