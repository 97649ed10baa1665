#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

struct http_header {
  std::string Name;
  std::string Value;
};

/// How far a call came. Only NotSent proves that the other side saw nothing.
enum class call_status : std::uint8_t {
  Completed, ///< a whole answer arrived
  NotSent,   ///< no connection was made, nothing was written
  Lost,      ///< the connection broke, or the answer was cut short
  TimedOut,  ///< no whole answer within the time limit
};

/// Lower-case name, for logs.
std::string_view name(call_status Status);

/// Whether a call may go over a connection that was kept from an earlier one.
/// A peer may close a kept connection just as the call is written; the call is
/// then Lost although it was probably not handled.
enum class connection_reuse : std::uint8_t {
  ByMethod, ///< for the methods that RFC 9110 defines as idempotent
  Always,   ///< the caller can repeat the call without harm
  Never,
};

struct http_call {
  std::string Address; ///< ip:port
  std::string Method;  ///< GET, POST, PUT, DELETE, ...
  std::string Target;  ///< path and query
  std::vector<http_header> Headers = {};
  std::string Body = {};
  duration Timeout{};
  connection_reuse Reuse = connection_reuse::ByMethod;
  std::string Cause = "http"; ///< under which its bytes are counted
};

struct http_result {
  call_status Status = call_status::NotSent;
  int Code = 0; ///< HTTP status; only if Completed
  std::vector<http_header> Headers = {};
  std::string Body = {};

  bool ok() const {
    return Status == call_status::Completed && Code >= 200 && Code < 300;
  }
};

enum class http_call_id : std::uint64_t {};

/// HTTP/1.1 calls with kept connections, at most a set number per address.
class ihttp_client {
public:
  virtual ~ihttp_client() = default;

  /// Calls \p Done exactly once, from the loop, unless cancelled.
  virtual http_call_id send(http_call Call,
                            std::function<void(const http_result &)> Done) = 0;
  /// Drops the call and its connection; its Done is not called.
  virtual void cancel(http_call_id Call) = 0;
};

} // namespace geraniumpaddle
