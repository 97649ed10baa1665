#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Kinds of errors that are reported to a caller or an operator. The
/// command-line tool has a separate exit code for each.
enum class error_kind : std::uint8_t {
  InvalidArgument,   ///< the input violates a documented rule
  InvalidSettings,   ///< a settings file is malformed or inconsistent
  NotFound,          ///< the named object does not exist
  PermissionDenied,  ///< no valid token, or another customer's object
  Conflict,          ///< based on an outdated version
  Infeasible,        ///< the registered workers can never satisfy the request
  ResourceExhausted, ///< a limit or full queue; the request had no effect
  Unavailable,       ///< the request had no effect and may be retried
  Undetermined,      ///< unknown whether it took effect; query it by its id
  MalformedMessage,  ///< the bytes cannot be decoded
  Internal,          ///< an invariant of the program was violated
};

/// Stable lower-case name of \p Kind, for output and the wire format.
std::string_view name(error_kind Kind);

/// Base class of all exceptions that the project throws.
class error : public std::runtime_error {
public:
  error(error_kind Kind, const std::string &Message)
      : std::runtime_error(Message), Kind(Kind) {}

  error_kind kind() const { return Kind; }

private:
  error_kind Kind;
};

/// Exception type for one error kind.
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
