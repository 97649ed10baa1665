#pragma once

#include "core/gang/types/gangmessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Id of a task at its worker: "<token>/<task index>".
std::string formatTaskId(const gang_task_id &Id);

/// \returns nothing if \p Text was not made by formatTaskId().
std::optional<gang_task_id> parseTaskId(std::string_view Text);

} // namespace geraniumpaddle
