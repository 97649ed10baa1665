#pragma once

#include "transport/eventloop.h"
#include "transport/ihttpclient.h"
#include "transport/traffic.h"

#include <memory>

namespace geraniumpaddle {

struct http_client_limits {
  std::size_t MaxConnectionsPerAddress = 64;
  std::size_t MaxQueuedPerAddress = 1024; ///< further calls are NotSent
  std::size_t MaxHeaderBytes = std::size_t{64} * 1024;
  std::size_t MaxBodyBytes = std::size_t{16} * 1024 * 1024;
  std::chrono::seconds IdleTimeout{20}; ///< until an idle one is closed
  /// Accepts a response without Content-Length or chunked encoding, which ends
  /// when the connection closes. If false, such a call is Lost, because the
  /// response may be truncated.
  bool AcceptCloseDelimited = false;
};

/// HTTP/1.1 client over evhttp.
///
/// A call is NotSent only if no byte of its request was written: the connection
/// failed, the call was still queued, the queue was full, or the call timed out
/// before the first byte. Nothing is retried.
class http_client final : public ihttp_client {
public:
  http_client(event_loop &Loop, const http_client_limits &Limits,
              traffic_counter &Traffic);
  /// Cancels open calls; their Done is not called.
  ~http_client() override;
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// \throws invalid_argument_error if the address or method is malformed.
  http_call_id send(http_call Call,
                    std::function<void(const http_result &)> Done) override;
  void cancel(http_call_id Call) override;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace geraniumpaddle
