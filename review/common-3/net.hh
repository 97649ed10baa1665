// Small HTTP/1.1 server and client on loopback addresses, with a thread for
// each connection. Shared by the stand-ins of the third review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review3 {

struct request {
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
};

struct response {
  int Code = 200;
  std::string Body;
  bool Reset = false; ///< close the connection without an answer
};

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr) != 1 ||
      Ip.rfind("127.", 0) != 0)
    throw std::runtime_error("not a loopback address: " + Ip);
  return Address;
}

/// A socket that reads and writes whole HTTP messages.
class connection {
public:
  explicit connection(int Socket) : Socket(Socket) {
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;
  ~connection() { close(Socket); }

  bool write(const std::string &Bytes) {
    std::size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const ssize_t Count =
          send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Reads the first line and the body of one message; headers are dropped.
  bool read(std::string &FirstLine, std::string &Body) {
    std::size_t HeaderEnd = 0;
    while ((HeaderEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!readMore())
        return false;
    std::string Header = Buffer.substr(0, HeaderEnd + 2);
    FirstLine = Header.substr(0, Header.find("\r\n"));
    for (char &Each : Header)
      Each = static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
    std::size_t Length = 0;
    const std::size_t At = Header.find("\r\ncontent-length:");
    if (At != std::string::npos)
      Length = std::strtoull(Header.c_str() + At + 17, nullptr, 10);
    const std::size_t Whole = HeaderEnd + 4 + Length;
    while (Buffer.size() < Whole)
      if (!readMore())
        return false;
    Body = Buffer.substr(HeaderEnd + 4, Length);
    Buffer.erase(0, Whole);
    return true;
  }

private:
  bool readMore() {
    char Bytes[65536];
    const ssize_t Count = recv(Socket, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket;
  std::string Buffer;
};

using handler = std::function<response(const request &)>;

/// An HTTP server that can be stopped and started again, like a process whose
/// listening socket is kept by a supervisor: connections that nobody has
/// accepted wait for the next start.
class server {
public:
  server(std::string Ip, int Port, bool CloseEach, handler Handler)
      : Ip(std::move(Ip)), Port(Port), CloseEach(CloseEach),
        Handler(std::move(Handler)) {}

  void start() {
    const std::lock_guard Lock(Mutex);
    Accepting = true;
    if (Listener >= 0) {
      InOrderUntil =
          std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
      return;
    }
    Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int On = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    const sockaddr_in Address = addressOf(Ip, Port);
    if (bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
        listen(Listener, 128) != 0)
      throw std::runtime_error("can't listen on " + Ip);
    std::thread([this] { acceptAll(); }).detach();
  }
  void stopAccepting() {
    const std::lock_guard Lock(Mutex);
    Accepting = false;
  }
  /// Ends all accepted connections.
  void endConnections() {
    const std::lock_guard Lock(Mutex);
    for (const int Socket : Sockets)
      shutdown(Socket, SHUT_RDWR);
  }

private:
  void acceptAll() {
    for (;;) {
      pollfd Ready{.fd = Listener, .events = POLLIN, .revents = 0};
      poll(&Ready, 1, 100);
      bool Waits = true;
      {
        const std::lock_guard Lock(Mutex);
        const int Socket =
            Accepting ? accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC) : -1;
        if (Socket >= 0) {
          Waits = false;
          Sockets.insert(Socket);
          if (std::chrono::steady_clock::now() < InOrderUntil)
            Oldest = Socket;
          else
            std::thread([this, Socket] { answerAll(Socket); }).detach();
        }
      }
      if (Oldest >= 0)
        answerAll(std::exchange(Oldest, -1));
      if (Waits)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  void answerAll(int Socket) {
    connection Connection(Socket);
    std::string Line;
    std::string Body;
    while (Connection.read(Line, Body)) {
      request Request;
      const std::size_t Space = Line.find(' ');
      const std::size_t End = Line.find(' ', Space + 1);
      Request.Method = Line.substr(0, Space);
      Request.Path = Line.substr(Space + 1, End - Space - 1);
      Request.Body = std::move(Body);
      const std::size_t Mark = Request.Path.find('?');
      if (Mark != std::string::npos) {
        Request.Query = Request.Path.substr(Mark + 1);
        Request.Path.resize(Mark);
      }
      const response Response = Handler(Request);
      if (Response.Reset ||
          !Connection.write(
              "HTTP/1.1 " + std::to_string(Response.Code) +
              " -\r\nContent-Type: application/json\r\n" +
              (CloseEach ? "Connection: close\r\n" : "") +
              "Content-Length: " + std::to_string(Response.Body.size()) +
              "\r\n\r\n" + Response.Body) ||
          CloseEach)
        break;
    }
    const std::lock_guard Lock(Mutex);
    Sockets.erase(Socket);
  }

  std::string Ip;
  int Port;
  bool CloseEach;
  handler Handler;
  std::mutex Mutex;
  int Listener = -1;
  bool Accepting = false;
  /// Until then connections are served one after the other: those that have
  /// waited, in their order.
  std::chrono::steady_clock::time_point InOrderUntil;
  int Oldest = -1;
  std::set<int> Sockets;
};

/// One request on a new connection; code 0 if there is no complete answer.
inline response call(const std::string &Ip, int Port, const std::string &Method,
                     const std::string &Target, const std::string &Headers,
                     const std::string &Body, int TimeoutMs) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  connection Connection(Socket);
  timeval Timeout{.tv_sec = TimeoutMs / 1000,
                  .tv_usec = TimeoutMs % 1000 * 1000};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof Timeout);
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof Timeout);
  const sockaddr_in Address = addressOf(Ip, Port);
  response Response{.Code = 0};
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address) != 0)
    return Response;
  std::string Line;
  if (!Connection.write(Method + " " + Target + " HTTP/1.1\r\n" + Headers +
                        "Connection: close\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body) ||
      !Connection.read(Line, Response.Body))
    return {.Code = 0};
  Response.Code = std::atoi(Line.c_str() + Line.find(' ') + 1);
  return Response;
}

} // namespace review3
