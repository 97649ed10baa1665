#include "cli/exitcodes.h"

#include <array>

namespace geraniumpaddle {

namespace {

struct exit_code {
  error_kind Kind;
  int Code;
};

constexpr auto ExitCodes = std::to_array<exit_code>({
    {error_kind::InvalidArgument, 2},
    {error_kind::PermissionDenied, 3},
    {error_kind::NotFound, 4},
    {error_kind::Conflict, 5},
    {error_kind::Infeasible, 6},
    {error_kind::ResourceExhausted, 7},
    {error_kind::Unavailable, 8},
    {error_kind::Undetermined, 9},
    {error_kind::MalformedMessage, 10},
    {error_kind::Internal, 11},
    {error_kind::InvalidSettings, 78},
});

} // namespace

int exitCodeOf(error_kind Kind) {
  for (const exit_code &ExitCode : ExitCodes)
    if (ExitCode.Kind == Kind)
      return ExitCode.Code;
  return 1;
}

error_kind errorKindByName(std::string_view Name) {
  for (const exit_code &ExitCode : ExitCodes)
    if (name(ExitCode.Kind) == Name)
      return ExitCode.Kind;
  return error_kind::Internal;
}

} // namespace geraniumpaddle
