#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <map>

namespace geraniumpaddle::work {

/// Expected wait of a job that arrives now, by its priority: the time that work
/// of the same and of more urgent priorities occupies the workers. A lower
/// bound, since it assumes perfect packing.
using queue_forecast = std::map<std::uint32_t, duration>;

} // namespace geraniumpaddle::work
