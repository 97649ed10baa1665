#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle::tests {

/// What each caller of a crowd sends: a head, then a piece some number of
/// times.
struct crowd_message {
  std::string Head;
  std::string Piece = {};
  std::size_t Pieces = 0;
};

/// Callers that keep to no limits, on connections to one address on loopback.
/// They read nothing of what they are sent.
class caller_crowd {
public:
  /// Opens the connections; some may still wait to be accepted.
  caller_crowd(std::string_view Address, std::size_t Count);
  ~caller_crowd();
  caller_crowd(const caller_crowd &) = delete;
  caller_crowd &operator=(const caller_crowd &) = delete;

  /// Sends \p Message on all connections until the peer has taken or refused
  /// all of it, or takes nothing for some time.
  void send(const crowd_message &Message);

private:
  struct caller {
    int Descriptor = -1;
    std::size_t Sent = 0;
    bool Closed = false; ///< by the peer
  };

  /// \returns whether the peer has taken anything.
  static bool sendSome(caller &Caller, const crowd_message &Message);

  std::vector<caller> Callers;
};

/// Header lines of a request with a body. \param Framing the lines that
/// announce the body, each with its line end.
std::string requestHead(std::string_view Target, std::string_view Framing);

} // namespace geraniumpaddle::tests
