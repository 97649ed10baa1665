#pragma once

#include "transport/eventloop.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace geraniumpaddle::tests {

enum class link_fault : std::uint8_t {
  None,
  Delay,  ///< what arrives is passed on later
  Silent, ///< nothing is passed on, connections stay open
  OneWay, ///< requests pass, answers do not
  Refuse, ///< new connections are closed at once
};

/// A TCP proxy on loopback that does to connections what a network does.
class link_proxy {
public:
  /// \param Target ip:port that connections are passed on to.
  link_proxy(event_loop &Loop, std::string Target);
  ~link_proxy();
  link_proxy(const link_proxy &) = delete;
  link_proxy &operator=(const link_proxy &) = delete;

  std::string address() const;
  /// Holds for open and for new connections.
  void set(link_fault Fault) { Current = Fault; }
  /// Resets every open connection.
  void reset();
  /// Open connections go silent for good; new ones work.
  void silenceOpen();

private:
  struct pair;
  struct listener;

  void accepted(int Descriptor);
  void passOn(pair &Pair, bool FromCaller);
  void close(pair &Pair);

  event_loop &Loop;
  const std::string Target;
  link_fault Current = link_fault::None;
  std::unique_ptr<listener> Listener;
  std::list<std::unique_ptr<pair>> Pairs;
};

} // namespace geraniumpaddle::tests
