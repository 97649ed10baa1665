#pragma once

#include "core/base/error.h"

#include <string_view>

namespace geraniumpaddle {

/// Exit code of a command that succeeded.
constexpr int ExitOk = 0;

/// Exit code for an error of the kind \p Kind, as listed in docs/INTERFACES.md.
int exitCodeOf(error_kind Kind);

/// The error kind with the name \p Name; Internal if there is none.
error_kind errorKindByName(std::string_view Name);

} // namespace geraniumpaddle
