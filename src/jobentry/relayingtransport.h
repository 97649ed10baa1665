#pragma once

#include "core/topics/storeroute.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "platform/istoretransport.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/ipeerserver.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Calls the store directly, or through another entry while the store rejects
/// or does not answer the calls of this one.
class relaying_transport final : public istore_transport {
public:
  using find_relays = std::function<std::vector<std::string>()>;

  relaying_transport(ievent_loop &Loop, ipeer_client &Peers,
                     istore_transport &Direct, const peer_identity &Self);
  ~relaying_transport() override { *Alive = false; }
  relaying_transport(const relaying_transport &) = delete;
  relaying_transport &operator=(const relaying_transport &) = delete;

  /// \param Relays returns the peer addresses of the other entries.
  void setPeers(find_relays Relays) { FindRelays = std::move(Relays); }

  void call(store_request Request,
            std::function<void(const store_reply &)> Done) override;
  /// Executes a call of another entry, always directly: relayed calls are not
  /// relayed again.
  void serve(const proto::work::StoreCall &Call, peer_responder Respond);

private:
  void callDirect(store_request Request,
                  std::function<void(const store_reply &)> Done);
  void callViaRelay(const store_request &Request,
                    std::function<void(const store_reply &)> Done);
  void probe();
  void onDirectResult(const store_reply &Reply);

  ievent_loop &Loop;
  ipeer_client &Peers;
  istore_transport &Direct;
  const peer_identity Self;
  find_relays FindRelays;
  store_route Route;
  logger Log{"store"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
