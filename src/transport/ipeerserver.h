#pragma once

#include "peer.pb.h"

#include <cstdint>
#include <functional>

namespace geraniumpaddle {

/// Sends the response of one call; the first invocation counts.
using peer_responder = std::function<void(proto::PeerResponse)>;
using peer_handler =
    std::function<void(const proto::PeerRequest &, peer_responder)>;

class ipeer_server {
public:
  virtual ~ipeer_server() = default;

  /// The bound port, also if 0 was asked for.
  virtual std::uint16_t port() const = 0;
  /// Refuses new calls and waits, without blocking the loop, for open ones.
  virtual void stopAccepting() = 0;
  virtual std::size_t openCalls() const = 0;
};

} // namespace geraniumpaddle
