#pragma once

#include "transport/eventloop.h"
#include "transport/ipeerserver.h"
#include "transport/traffic.h"

#include <memory>
#include <string_view>

namespace geraniumpaddle {

struct peer_server_settings {
  int MaxMessageBytes = 16 * 1024 * 1024;
  int MaxConcurrentStreams = 1024; ///< per connection
  int MaxThreads = 4;              ///< of the gRPC library
  std::size_t BufferBytes =
      std::size_t{64} * 1024 * 1024; ///< quota of the gRPC library
  std::chrono::seconds KeepaliveTime{30};
  std::chrono::seconds KeepaliveTimeout{10};
};

/// Server of the Peer service over gRPC. The threads of gRPC post each call to
/// the loop, where the handler runs.
class peer_server final : public ipeer_server {
public:
  /// \param Listen ip:port; port 0 selects a free port.
  /// \param Handler called on the loop for each call. If it throws, or if the
  ///        responder is destroyed without a response, the call fails and
  ///        the caller sees Lost.
  /// \throws invalid_argument_error, bind_error
  peer_server(event_loop &Loop, std::string_view Listen,
              const peer_server_settings &Settings, peer_handler Handler,
              traffic_counter &Traffic);
  /// Fails all open calls; their responders have no effect any more.
  ~peer_server() override;
  peer_server(const peer_server &) = delete;
  peer_server &operator=(const peer_server &) = delete;

  std::uint16_t port() const override;
  /// Makes the server answer new calls with REFUSAL_DRAINING.
  void stopAccepting() override;
  std::size_t openCalls() const override;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace geraniumpaddle
