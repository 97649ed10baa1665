#pragma once

#include "core/topics/types/officeevents.h"
#include "peercodec/peercodec.h"
#include "transport/ipeerclient.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace geraniumpaddle {

/// Asks another entry whether it is in office, over a new connection if the
/// first question stays without an answer.
class office_inquiry {
public:
  office_inquiry(ipeer_client &Peers, const peer_identity &Self)
      : Peers(Peers), Self(Self) {}
  ~office_inquiry() { *Alive = false; }
  office_inquiry(const office_inquiry &) = delete;
  office_inquiry &operator=(const office_inquiry &) = delete;

  /// \param Address ip:port of the peer interface.
  /// \param Done gets the state and figures of the other entry only.
  void ask(const std::string &Address,
           std::function<void(holder_answered)> Done);

  /// Tells whether at least half of the entries answer.
  /// \param Addresses ip:port of their peer interfaces; none: they don't.
  void survey(std::span<const std::string> Addresses,
              const std::function<void(bool)> &Done);

private:
  struct survey_count {
    std::size_t Answered = 0;
    std::size_t Open = 0;
    std::size_t Wanted = 0;
    bool Told = false;
  };
  static void counted(survey_count &Count, bool Answered,
                      const std::function<void(bool)> &Done);
  void tryOnce(const std::string &Address, int TriesLeft,
               std::function<void(holder_answered)> Done);

  ipeer_client &Peers;
  const peer_identity Self;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
