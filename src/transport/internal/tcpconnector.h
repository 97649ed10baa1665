#pragma once

#include "transport/address.h"
#include "transport/internal/evptr.h"
#include "transport/timer.h"

#include <functional>

namespace geraniumpaddle {

class event_loop;

/// Owns a socket descriptor and closes it.
class unique_socket {
public:
  explicit unique_socket(int Descriptor = -1) : Descriptor(Descriptor) {}
  ~unique_socket();
  unique_socket(unique_socket &&Other) noexcept;
  unique_socket &operator=(unique_socket &&Other) noexcept;

  int get() const { return Descriptor; }
  int release();
  explicit operator bool() const { return Descriptor >= 0; }
  /// Another descriptor of the same socket.
  unique_socket duplicate() const;
  /// True if neither side has closed the TCP connection.
  bool established() const;

private:
  int Descriptor;
};

/// Opens one TCP connection asynchronously.
class tcp_connector {
public:
  /// Gets an empty socket if the connection failed.
  using connected_callback = std::function<void(unique_socket)>;

  /// Calls \p Done once, from the loop, unless destroyed first.
  tcp_connector(event_loop &Loop, const socket_address &Address,
                duration Timeout, connected_callback Done);

private:
  void connect(const socket_address &Address);
  void onWritable();
  void finish(unique_socket Result);

  event_loop &Loop;
  connected_callback Done;
  unique_socket Socket;
  event_ptr Writable;
  timer TimeoutTimer;
};

} // namespace geraniumpaddle
