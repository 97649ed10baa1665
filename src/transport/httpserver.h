#pragma once

#include "transport/connectionlimiter.h"
#include "transport/eventloop.h"
#include "transport/ihttpserver.h"

#include <memory>
#include <string_view>

namespace geraniumpaddle {

/// HTTP/1.1 server over evhttp. One handler serves all methods.
///
/// A caller that closes its side of the connection before the response counts
/// as disconnected. A later response is sent all the same, because the caller
/// may have shut down only its sending direction.
class http_server final : public ihttp_server {
public:
  /// \param Listen ip:port; port 0 selects a free port.
  /// \param Handler called on the loop for each complete request; an
  ///        exception from it is answered with status 500.
  /// \throws invalid_argument_error, bind_error
  http_server(event_loop &Loop, std::string_view Listen,
              const http_server_limits &Limits, http_handler Handler);
  /// The connections count for \p Limiter, together with those of other
  /// servers.
  http_server(event_loop &Loop, std::string_view Listen,
              const http_server_limits &Limits,
              std::shared_ptr<connection_limiter> Limiter,
              http_handler Handler);
  /// Closes all connections; disconnect handlers are not called.
  ~http_server() override;
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  std::uint16_t port() const override;
  void stopAccepting() override;
  std::size_t openRequests() const override;
  std::size_t openConnections() const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace geraniumpaddle
