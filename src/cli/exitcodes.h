#pragma once

#include "core/base/error.h"

#include <string_view>

namespace geraniumpaddle {

/// Exit code of a command that did what it was asked.
constexpr int ExitOk = 0;

/// Exit code of the tool for a failure of that kind; docs/INTERFACES.md lists
/// them.
int exitCodeOf(error_kind Kind);

/// The kind of that name; Internal if there is none.
error_kind kindOf(std::string_view Name);

} // namespace geraniumpaddle
