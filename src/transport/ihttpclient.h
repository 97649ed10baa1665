#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

struct http_header {
  std::string Name;
  std::string Value;
};

/// How a call ended. Only NotSent proves that the server received nothing.
enum class call_status : std::uint8_t {
  Completed, ///< a complete response arrived
  NotSent,   ///< no byte of the request was written
  Lost,      ///< the connection failed or the response was truncated
  TimedOut,  ///< no complete response within the timeout
};

/// Lower-case name, for logs.
std::string_view name(call_status Status);

/// Whether a call may reuse a keep-alive connection. The server may close an
/// idle connection while the request is being written; the call is then Lost,
/// although the server probably did not handle it.
enum class connection_reuse : std::uint8_t {
  ByMethod, ///< for the methods that RFC 9110 defines as idempotent
  Always,   ///< the caller can safely retry the call
  Never,
};

/// A connection of the client. A server process that has accepted a connection
/// takes it along when it ends, so calls on one connection reach one process.
enum class http_connection_id : std::uint64_t {};

struct http_call {
  std::string Address; ///< ip:port
  std::string Method;  ///< GET, POST, PUT, DELETE, ...
  std::string Target;  ///< path and query
  std::vector<http_header> Headers = {};
  std::string Body = {};
  duration Timeout{};
  connection_reuse Reuse = connection_reuse::ByMethod;
  std::string Cause = "http"; ///< for the traffic_counter
  /// Send on this connection only; the call is NotSent unless it is idle.
  std::optional<http_connection_id> Connection = {};
};

struct http_result {
  call_status Status = call_status::NotSent;
  int Code = 0; ///< HTTP status; only if Completed
  std::vector<http_header> Headers = {};
  std::string Body = {};
  /// The connection of a completed call, if it was kept.
  std::optional<http_connection_id> Connection = {};

  bool ok() const {
    return Status == call_status::Completed && Code >= 200 && Code < 300;
  }
};

enum class http_call_id : std::uint64_t {};

/// HTTP/1.1 client with a bounded pool of keep-alive connections per address.
class ihttp_client {
public:
  virtual ~ihttp_client() = default;

  /// Calls \p Done exactly once, from the loop, unless cancelled. A call to
  /// an unusable address is not sent.
  virtual http_call_id send(http_call Call,
                            std::function<void(const http_result &)> Done) = 0;
  /// Cancels the call and closes its connection; its Done is not called.
  virtual void cancel(http_call_id Call) = 0;
};

} // namespace geraniumpaddle
