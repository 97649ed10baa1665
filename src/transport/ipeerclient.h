#pragma once

#include "core/base/types/time.h"
#include "transport/ihttpclient.h"

#include "peer.pb.h"

#include <functional>
#include <string_view>

namespace geraniumpaddle {

struct peer_result {
  call_status Status = call_status::NotSent;
  proto::PeerResponse Response; ///< only if Completed
};

/// Sends unary requests to other processes of the system.
class ipeer_client {
public:
  virtual ~ipeer_client() = default;

  /// Calls \p Done exactly once, from the loop.
  /// \param Address ip:port of the peer interface. A call to an unusable one
  ///        is not sent.
  virtual void call(std::string_view Address, const proto::PeerRequest &Request,
                    duration Timeout,
                    std::function<void(const peer_result &)> Done) = 0;
  /// Makes the next call to \p Address open a new connection. Calls in flight
  /// continue on the old connection until their timeouts.
  virtual void reconnect(std::string_view Address) = 0;
};

} // namespace geraniumpaddle
