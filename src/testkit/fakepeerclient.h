#pragma once

#include "transport/ipeerclient.h"

#include <deque>
#include <string>
#include <vector>

namespace geraniumpaddle::testing {

/// A peer client that keeps calls until the test answers them.
class fake_peer_client final : public ipeer_client {
public:
  struct open_call {
    std::string Address;
    proto::PeerRequest Request;
    std::function<void(const peer_result &)> Done;
  };

  void call(std::string_view Address, const proto::PeerRequest &Request,
            duration, std::function<void(const peer_result &)> Done) override {
    Calls.push_back({std::string(Address), Request, std::move(Done)});
  }
  void reconnect(std::string_view Address) override {
    Reconnected.emplace_back(Address);
  }

  /// Removes and returns the oldest open call.
  open_call take() {
    open_call Call = std::move(Calls.front());
    Calls.pop_front();
    return Call;
  }
  void answer(const proto::PeerResponse &Response) {
    take().Done({call_status::Completed, Response});
  }
  void fail(call_status Status) { take().Done({Status, {}}); }

  std::deque<open_call> Calls;
  std::vector<std::string> Reconnected;
};

} // namespace geraniumpaddle::testing
