#pragma once

#include "transport/eventloop.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace geraniumpaddle::tests {

enum class network_fault : std::uint8_t {
  None,
  Delay,  ///< data is forwarded with a delay
  Silent, ///< data is discarded, connections stay open
  OneWay, ///< requests are forwarded, responses are discarded
  Refuse, ///< new connections are closed at once
  Hold,   ///< data is kept and forwarded once the fault is cleared
};

/// A TCP proxy on loopback that injects network faults.
class fault_proxy {
public:
  /// \param Target ip:port that connections are forwarded to; empty: none yet.
  fault_proxy(event_loop &Loop, std::string Target);
  ~fault_proxy();
  fault_proxy(const fault_proxy &) = delete;
  fault_proxy &operator=(const fault_proxy &) = delete;

  std::string address() const;
  /// Applies to open and to new connections.
  void setFault(network_fault Fault);
  /// Applies to new connections.
  void setTarget(std::string Address) { Target = std::move(Address); }
  /// Resets every open connection.
  void resetConnections();
  /// Discards all further data of the open connections; new ones work.
  void silenceConnections();

private:
  struct connection;
  struct listener;

  void onAccept(int Descriptor);
  void forward(connection &Connection, bool FromCaller);
  void onEnd(connection &Connection);
  void close(connection &Connection);

  event_loop &Loop;
  std::string Target;
  network_fault CurrentFault = network_fault::None;
  std::unique_ptr<listener> Listener;
  std::list<std::unique_ptr<connection>> Connections;
};

} // namespace geraniumpaddle::tests
