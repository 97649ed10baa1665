#pragma once

#include "core/connections/types/connectionlimits.h"
#include "transport/ihttpclient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumpaddle {

/// Valid during the call of the handler only.
struct http_request_view {
  std::string_view Method;
  std::string_view Path; ///< decoded, without the query
  std::string_view Query;
  std::span<const http_header> Headers;
  std::string_view Body;
  std::string_view RemoteAddress;
};

struct http_response {
  int Code = 200;
  std::vector<http_header> Headers = {};
  std::string Body = {};
};

inline http_response textResponse(int Code, std::string Body) {
  return {Code, {{"Content-Type", "text/plain"}}, std::move(Body)};
}

/// Sends the response to one request, at once or later. Destroying it without a
/// response sends status 500.
class ihttp_responder {
public:
  virtual ~ihttp_responder() = default;

  /// Sends the response. Has no effect after the first call or if the
  /// connection is closed.
  virtual void respond(http_response Response) = 0;
  /// Closes the connection without a response.
  virtual void abort() = 0;
  /// \p Handler is called at most once, if the caller disconnects before
  /// the response.
  virtual void onCallerDisconnected(std::function<void()> Handler) = 0;
};

using http_handler = std::function<void(const http_request_view &,
                                        std::shared_ptr<ihttp_responder>)>;

/// Limits of a server on requests and connections.
struct http_server_limits {
  std::size_t MaxHeaderBytes = std::size_t{16} * 1024;
  std::size_t MaxBodyBytes = std::size_t{8} * 1024 * 1024;
  std::chrono::seconds IdleTimeout{30};
  /// For a server with limits of its own.
  connection_limits Connections = {};
};

class ihttp_server {
public:
  virtual ~ihttp_server() = default;

  /// The bound port; the actual one if port 0 was requested.
  virtual std::uint16_t port() const = 0;
  /// Stops listening. Requests on open connections are still served, with
  /// "Connection: close" in each response.
  virtual void stopAccepting() = 0;
  /// Number of requests whose response is not completely written yet.
  virtual std::size_t openRequests() const = 0;
};

} // namespace geraniumpaddle
