#include "core/base/error.h"

namespace geraniumpaddle {

std::string_view name(error_kind Kind) {
  switch (Kind) {
  case error_kind::InvalidArgument:
    return "invalid_argument";
  case error_kind::InvalidSettings:
    return "invalid_settings";
  case error_kind::NotFound:
    return "not_found";
  case error_kind::PermissionDenied:
    return "permission_denied";
  case error_kind::Conflict:
    return "conflict";
  case error_kind::Infeasible:
    return "infeasible";
  case error_kind::ResourceExhausted:
    return "resource_exhausted";
  case error_kind::Unavailable:
    return "unavailable";
  case error_kind::Undetermined:
    return "undetermined";
  case error_kind::MalformedMessage:
    return "malformed_message";
  case error_kind::Internal:
    return "internal";
  }
  return "internal";
}

} // namespace geraniumpaddle
