#pragma once

#include "transport/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace geraniumpaddle::test {

/// A TCP connection on which a test sends and receives raw bytes.
class raw_connection {
public:
  raw_connection(event_loop &Loop, int Descriptor);
  raw_connection(event_loop &Loop, std::string_view Address);
  ~raw_connection();
  raw_connection(const raw_connection &) = delete;
  raw_connection &operator=(const raw_connection &) = delete;

  void send(std::string_view Bytes);
  /// Shuts down the sending direction.
  void finishSending();
  /// Closes the connection once all sent bytes are written.
  void closeWhenWritten();
  /// Closes the connection with a TCP reset.
  void reset();
  /// Stops reading and writing but leaves the connection open.
  void stall();

  std::string Received;
  bool ClosedByPeer = false;
  std::function<void()> OnReceived;

private:
  void installCallbacks();

  bufferevent *Buffer;
  bool ClosePending = false;
};

/// Connects to a port on loopback and sends \p Bytes without running the loop.
/// \returns the descriptor of the connection.
int connectAndSend(std::uint16_t Port, std::string_view Bytes);

/// Accepts connections and hands each to the test.
class raw_listener {
public:
  using accept_function = std::function<void(std::unique_ptr<raw_connection>)>;

  raw_listener(event_loop &Loop, accept_function Accepted);
  ~raw_listener();
  raw_listener(const raw_listener &) = delete;
  raw_listener &operator=(const raw_listener &) = delete;

  std::uint16_t port() const;

private:
  event_loop &Loop;
  accept_function Accepted;
  evconnlistener *Listener;
};

/// A listening port with a full accept queue: further connection attempts hang.
class full_listener {
public:
  full_listener();
  ~full_listener();
  full_listener(const full_listener &) = delete;
  full_listener &operator=(const full_listener &) = delete;

  std::uint16_t port() const { return Port; }

private:
  int Listener;
  std::vector<int> Clients;
  std::uint16_t Port = 0;
};

/// Sends a fixed response whenever bytes arrive on a connection.
class canned_server {
public:
  enum class close_mode : std::uint8_t { KeepOpen, Close, Reset };

  canned_server(event_loop &Loop, std::string Response, close_mode CloseMode);

  std::uint16_t port() const { return Listener.port(); }
  std::vector<std::unique_ptr<raw_connection>> Connections;

private:
  void respond(raw_connection &Connection);

  std::string Response;
  close_mode CloseMode;
  raw_listener Listener;
};

/// Forwards bytes between its clients and a target; a test can stall the open
/// connections.
class stalling_proxy {
public:
  stalling_proxy(event_loop &Loop, std::string Target);

  std::uint16_t port() const { return Listener.port(); }
  /// Stops forwarding on the connections that are open now, but not on new
  /// ones.
  void stallOpenConnections();
  std::size_t accepted() const { return Pairs.size(); }

private:
  struct connection_pair {
    std::unique_ptr<raw_connection> Client;
    std::unique_ptr<raw_connection> Target;
  };

  event_loop &Loop;
  std::string Target;
  std::vector<std::unique_ptr<connection_pair>> Pairs;
  raw_listener Listener;
};

} // namespace geraniumpaddle::test
