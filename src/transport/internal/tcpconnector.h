#pragma once

#include "transport/address.h"
#include "transport/internal/evptr.h"
#include "transport/timer.h"

#include <functional>

namespace geraniumpaddle {

class event_loop;

/// A socket descriptor that is closed with its owner.
class unique_socket {
public:
  explicit unique_socket(int Descriptor = -1) : Descriptor(Descriptor) {}
  ~unique_socket();
  unique_socket(unique_socket &&Other) noexcept;
  unique_socket &operator=(unique_socket &&Other) noexcept;

  int get() const { return Descriptor; }
  int release();
  explicit operator bool() const { return Descriptor >= 0; }
  /// A further descriptor of the same socket.
  unique_socket duplicate() const;
  /// True if neither end has closed the TCP connection.
  bool established() const;

private:
  int Descriptor;
};

/// Opens one TCP connection without blocking the loop.
class tcp_connector {
public:
  /// Given an empty socket if the connection failed.
  using connected_callback = std::function<void(unique_socket)>;

  /// Calls \p Done once, from the loop, unless destroyed before.
  tcp_connector(event_loop &Loop, const socket_address &Address,
                duration Timeout, connected_callback Done);

private:
  void connect(const socket_address &Address);
  void connected();
  void finish(unique_socket Result);

  event_loop &Loop;
  connected_callback Done;
  unique_socket Socket;
  event_ptr Writable;
  timer Limit;
};

} // namespace geraniumpaddle
