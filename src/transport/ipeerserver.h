#pragma once

#include "peer.pb.h"

#include <cstdint>
#include <functional>

namespace geraniumpaddle {

/// Sends the response to one call; only its first invocation has an effect.
using peer_responder = std::function<void(proto::PeerResponse)>;
using peer_handler =
    std::function<void(const proto::PeerRequest &, peer_responder)>;

class ipeer_server {
public:
  virtual ~ipeer_server() = default;

  /// The bound port; the actual one if port 0 was requested.
  virtual std::uint16_t port() const = 0;
  /// Refuses new calls; open ones can still be answered. Does not block.
  virtual void stopAccepting() = 0;
  virtual std::size_t openCalls() const = 0;
};

} // namespace geraniumpaddle
