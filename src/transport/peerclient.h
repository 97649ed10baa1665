#pragma once

#include "transport/eventloop.h"
#include "transport/ipeerclient.h"
#include "transport/traffic.h"

#include <memory>

namespace geraniumpaddle {

struct peer_client_settings {
  int MaxMessageBytes = 16 * 1024 * 1024;
  std::size_t MaxCallsInFlight =
      std::size_t{16} * 1024; ///< further calls are NotSent
  std::chrono::milliseconds ConnectTimeout{2000};
  std::chrono::seconds KeepaliveTime{30};
  std::chrono::seconds KeepaliveTimeout{10};
  std::size_t BufferBytes =
      std::size_t{64} * 1024 * 1024; ///< quota of the gRPC library
};

/// Client of the Peer service over gRPC. It opens one connection per address on
/// demand.
///
/// A call is passed to gRPC only once its connection is established; before
/// that, a failure is NotSent. Afterwards it is TimedOut if the timeout passed,
/// else Lost. Because gRPC gets established connections, its name resolution,
/// load balancing, retries, reconnects and proxy support are not used.
class peer_client final : public ipeer_client {
public:
  peer_client(event_loop &Loop, const peer_client_settings &Settings,
              traffic_counter &Traffic);
  /// Cancels open calls; their Done is not called.
  ~peer_client() override;
  peer_client(const peer_client &) = delete;
  peer_client &operator=(const peer_client &) = delete;

  /// \throws invalid_argument_error if the address is malformed.
  void call(std::string_view Address, const proto::PeerRequest &Request,
            duration Timeout,
            std::function<void(const peer_result &)> Done) override;
  void reconnect(std::string_view Address) override;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace geraniumpaddle
