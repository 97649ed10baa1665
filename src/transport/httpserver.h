#pragma once

#include "transport/eventloop.h"
#include "transport/ihttpserver.h"

#include <memory>
#include <string_view>

namespace geraniumpaddle {

/// HTTP/1.1 server over evhttp. All methods reach the one handler.
///
/// A caller that sends an end-of-stream before its answer counts as gone; an
/// answer that is given nevertheless is still sent, since the caller may have
/// closed its sending half only.
class http_server final : public ihttp_server {
public:
  /// \param Listen ip:port; port 0 takes a free one.
  /// \param Handler called on the loop for each whole request; an exception
  ///        that leaves it is answered with 500.
  /// \throws invalid_argument_error, bind_error
  http_server(event_loop &Loop, std::string_view Listen,
              const http_server_limits &Limits, http_handler Handler);
  /// Open connections are closed; callbacks of open responders are dropped.
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
