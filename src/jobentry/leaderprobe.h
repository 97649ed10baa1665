#pragma once

#include "core/topics/types/electionevents.h"
#include "peercodec/peercodec.h"
#include "transport/ipeerclient.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Asks another entry whether it is the leader, and retries over a new
/// connection. If it doesn't answer, checks whether the other entries do, to
/// distinguish its failure from one of this entry's network.
class leader_probe {
public:
  leader_probe(ipeer_client &Peers, const peer_identity &Self)
      : Peers(Peers), Self(Self) {}
  ~leader_probe() { *Alive = false; }
  leader_probe(const leader_probe &) = delete;
  leader_probe &operator=(const leader_probe &) = delete;

  /// \param Leader ip:port of the peer interface of the last known leader.
  /// \param Others addresses of all other entries.
  /// \param Done gets the result; the caller adds the number of this entry's
  ///        agents.
  void run(const std::string &Leader, std::vector<std::string> Others,
           std::function<void(leader_status)> Done);

private:
  struct poll_state {
    std::size_t Answered = 0;
    std::size_t Outstanding = 0;
    std::size_t Required = 0;
    bool Reported = false;
  };
  void sendQuery(const std::string &Address,
                 std::function<void(const peer_result &)> Done);
  void queryWithRetries(const std::string &Leader,
                        std::vector<std::string> Others, int AttemptsLeft,
                        std::function<void(leader_status)> Done);
  /// Calls \p Done with true if at least half of the entries answer.
  void pollOthers(std::span<const std::string> Addresses,
                  const std::function<void(bool)> &Done);
  static void onPollAnswer(poll_state &Poll, bool Answered,
                           const std::function<void(bool)> &Done);

  ipeer_client &Peers;
  const peer_identity Self;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
