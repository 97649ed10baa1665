#pragma once

#include "settings/types/settings.h"

#include <span>
#include <string_view>
#include <variant>

namespace geraniumpaddle {

/// Member that a key sets; its type determines how the value is parsed.
using setting_member =
    std::variant<std::string settings::*, std::int64_t settings::*,
                 std::chrono::milliseconds settings::*,
                 std::vector<std::string> settings::*, double settings::*,
                 node_role settings::*, objective_setting settings::*,
                 log_format_setting settings::*>;

/// Additional constraint on the text of a value.
enum class value_rule : std::uint8_t {
  None,
  Name,            ///< letters, digits, '-', '_', '.'
  Address,         ///< ip:port
  OptionalAddress, ///< ip:port or empty
  Path,            ///< empty or starting with '/'
  Severity,        ///< trace, debug, info, warning, error
  SaltedHash,      ///< empty or a hash that the command "token hash" printed
};

/// Roles that require a key. JobRoles are JobEntry and JobAgent.
enum class required_by : std::uint8_t {
  NoRole,
  Entry,
  Agent,
  EntryAndAgent,
  JobEntry,
  JobAgent,
  JobRoles,
  AllRoles,
};

/// A key of the settings file, with its constraints.
struct setting_field {
  std::string_view Key; ///< dotted path
  setting_member Member;
  value_rule Rule = value_rule::None;
  required_by RequiredBy = required_by::NoRole;
  std::int64_t Min = 0; ///< for numbers and milliseconds
  std::int64_t Max = 0;
  std::string_view Comment;
  bool Secret = false; ///< never printed or quoted
};

/// All keys of a settings file, in the order in which they are printed.
std::span<const setting_field> settingsSchema();

} // namespace geraniumpaddle
