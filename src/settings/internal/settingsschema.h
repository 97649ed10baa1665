#pragma once

#include "settings/types/settings.h"

#include <span>
#include <string_view>
#include <variant>

namespace geraniumpaddle {

/// Member that a key sets; the alternative decides how the value is read.
using setting_member =
    std::variant<std::string settings::*, std::int64_t settings::*,
                 std::chrono::milliseconds settings::*,
                 std::vector<std::string> settings::*, node_role settings::*,
                 objective_setting settings::*, log_format_setting settings::*>;

/// Extra rule on the text of a value.
enum class value_rule : std::uint8_t {
  None,
  Name,       ///< letters, digits, '-', '_', '.'
  Address,    ///< ip:port
  Listener,   ///< ip:port, or empty where a role does not listen
  Path,       ///< empty, or begins with '/'
  Severity,   ///< trace, debug, info, warning, error
  SaltedHash, ///< empty, or as printed by the tool's hash command
};

/// Which roles need a value. Both: the two of the project's own interface;
/// Jobs: the two of the users' platform.
enum class needed_by : std::uint8_t {
  Nobody,
  Entry,
  Agent,
  Both,
  JobEntry,
  JobAgent,
  Jobs,
  Everybody,
};

struct setting_field {
  std::string_view Key; ///< dotted path
  setting_member Member;
  value_rule Rule = value_rule::None;
  needed_by Needed = needed_by::Nobody;
  std::int64_t Least = 0; ///< of numbers and milliseconds
  std::int64_t Most = 0;
  std::string_view Comment;
  bool Secret = false;
};

/// Every key that a settings file may hold, in the order it is printed.
std::span<const setting_field> settingsSchema();

} // namespace geraniumpaddle
