#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <optional>
#include <string_view>

namespace geraniumpaddle {

/// Properties of a method according to RFC 9110 and evhttp.
struct http_method {
  std::string_view Name;
  evhttp_cmd_type Command;
  bool Idempotent;
  bool HasBody; ///< evhttp reads a request body
};

/// \returns nothing for a method that evhttp does not know.
std::optional<http_method> findMethod(std::string_view Name);
std::optional<http_method> findMethod(evhttp_cmd_type Command);

/// Bit mask of all methods, for evhttp.
ev_uint16_t allMethods();

} // namespace geraniumpaddle
