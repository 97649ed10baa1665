#pragma once

#include "core/work/types/job.h"

#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// A task's name on the platform: JOB.OCCURRENCE.STEP.INDEX.
std::string taskName(const work::task_ref &Task);
/// Nothing if \p Name has another format.
std::optional<work::task_ref> parseTaskName(std::string_view Name);

} // namespace geraniumpaddle
