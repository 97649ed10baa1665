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

/// A TCP connection whose bytes a test sees and sends as they are.
class raw_connection {
public:
  raw_connection(event_loop &Loop, int Descriptor);
  raw_connection(event_loop &Loop, std::string_view Address);
  ~raw_connection();
  raw_connection(const raw_connection &) = delete;
  raw_connection &operator=(const raw_connection &) = delete;

  void send(std::string_view Bytes);
  /// Ends the sending half once everything was written.
  void finishSending();
  /// Closes after what was sent has been written.
  void closeWhenWritten();
  /// Closes so that the peer gets a reset.
  void reset();
  /// Reads no more and writes no more, but stays open.
  void goSilent();

  std::string Received;
  bool Ended = false;
  std::function<void()> OnReceived;

private:
  void setUp();

  bufferevent *Buffer;
  bool ClosePending = false;
};

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

/// A port whose queue of connections is full: further ones get no answer.
class full_listener {
public:
  full_listener();
  ~full_listener();
  full_listener(const full_listener &) = delete;
  full_listener &operator=(const full_listener &) = delete;

  std::uint16_t port() const { return Port; }

private:
  int Listener;
  std::vector<int> Callers;
  std::uint16_t Port = 0;
};

/// Answers what arrives on each connection with fixed bytes.
class canned_server {
public:
  enum class after : std::uint8_t { KeepOpen, Close, Reset };

  canned_server(event_loop &Loop, std::string Answer, after Then);

  std::uint16_t port() const { return Listener.port(); }
  std::vector<std::unique_ptr<raw_connection>> Connections;

private:
  void answer(raw_connection &Connection);

  std::string Answer;
  after Then;
  raw_listener Listener;
};

/// Passes bytes between its callers and a target until told to go silent.
class silent_proxy {
public:
  silent_proxy(event_loop &Loop, std::string Target);

  std::uint16_t port() const { return Listener.port(); }
  /// Connections that are open now pass nothing on any more; new ones do.
  void silenceOpenConnections();
  std::size_t accepted() const { return Pairs.size(); }

private:
  struct pair {
    std::unique_ptr<raw_connection> Caller;
    std::unique_ptr<raw_connection> Target;
  };

  event_loop &Loop;
  std::string Target;
  std::vector<std::unique_ptr<pair>> Pairs;
  raw_listener Listener;
};

} // namespace geraniumpaddle::test
