#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Classes of failure that reach a caller or an operator. The command-line
/// tool maps each to its own exit code.
enum class error_kind : std::uint8_t {
  InvalidArgument,   ///< the input breaks a documented rule
  InvalidSettings,   ///< a settings file is malformed or inconsistent
  NotFound,          ///< the named object does not exist
  PermissionDenied,  ///< no valid token, or another customer's object
  Conflict,          ///< based on an outdated version
  Infeasible,        ///< can never be satisfied by the registered workers
  ResourceExhausted, ///< a limit or queue bound was reached; nothing was done
  Unavailable,       ///< not done now; may be tried again
  Undetermined,      ///< may or may not have been done; ask with the same id
  MalformedMessage,  ///< bytes that do not decode
  Internal,          ///< a broken invariant of the program itself
};

/// Stable lower-case name of \p Kind, as printed and sent over the wire.
std::string_view name(error_kind Kind);

/// Base of every exception the project throws; each failure has a kind.
class error : public std::runtime_error {
public:
  error(error_kind Kind, const std::string &Message)
      : std::runtime_error(Message), Kind(Kind) {}

  error_kind kind() const { return Kind; }

private:
  error_kind Kind;
};

/// An exception type of its own for one error kind.
template <error_kind FixedKind> class typed_error : public error {
public:
  explicit typed_error(const std::string &Message)
      : error(FixedKind, Message) {}
};

using invalid_argument_error = typed_error<error_kind::InvalidArgument>;
using invalid_settings_error = typed_error<error_kind::InvalidSettings>;
using not_found_error = typed_error<error_kind::NotFound>;
using conflict_error = typed_error<error_kind::Conflict>;
using unavailable_error = typed_error<error_kind::Unavailable>;
using malformed_message_error = typed_error<error_kind::MalformedMessage>;
using internal_error = typed_error<error_kind::Internal>;

} // namespace geraniumpaddle
