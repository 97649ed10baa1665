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

/// Asks another entry whether it is in office, over a new connection if the
/// first question stays without an answer; if it is silent, whether the other
/// entries answer.
class leader_probe {
public:
  leader_probe(ipeer_client &Peers, const peer_identity &Self)
      : Peers(Peers), Self(Self) {}
  ~leader_probe() { *Alive = false; }
  leader_probe(const leader_probe &) = delete;
  leader_probe &operator=(const leader_probe &) = delete;

  /// \param Holder ip:port of the peer interface.
  /// \param Others those of the other entries.
  /// \param Done gets what the entries answered; CandidateAgents is left to the
  ///        caller.
  void ask(const std::string &Holder, std::vector<std::string> Others,
           std::function<void(leader_status)> Done);

private:
  struct survey_count {
    std::size_t Answered = 0;
    std::size_t Open = 0;
    std::size_t Wanted = 0;
    bool Told = false;
  };
  void question(const std::string &Address,
                std::function<void(const peer_result &)> Done);
  void tryOnce(const std::string &Holder, std::vector<std::string> Others,
               int TriesLeft, std::function<void(leader_status)> Done);
  /// Tells whether at least half of the entries answer.
  void survey(std::span<const std::string> Addresses,
              const std::function<void(bool)> &Done);
  static void counted(survey_count &Count, bool Answered,
                      const std::function<void(bool)> &Done);

  ipeer_client &Peers;
  const peer_identity Self;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
