#include "transport/tests/rawsocket.h"

#include "transport/address.h"
#include "transport/tests/testloop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumpaddle::test {

namespace {

sockaddr_in loopbackAddress(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace

raw_connection::raw_connection(event_loop &Loop, int Descriptor)
    : Buffer(bufferevent_socket_new(Loop.base(), Descriptor,
                                    BEV_OPT_CLOSE_ON_FREE)) {
  installCallbacks();
}

raw_connection::raw_connection(event_loop &Loop, std::string_view Address)
    : Buffer(bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  installCallbacks();
  sockaddr_in Target = loopbackAddress(parseAddress(Address).Port);
  bufferevent_socket_connect(Buffer, reinterpret_cast<sockaddr *>(&Target),
                             sizeof Target);
}

raw_connection::~raw_connection() {
  if (Buffer != nullptr) {
    bufferevent_free(Buffer);
  }
}

void raw_connection::installCallbacks() {
  bufferevent_setcb(
      Buffer,
      [](bufferevent *Buffer, void *Self) {
        auto *Connection = static_cast<raw_connection *>(Self);
        evbuffer *Input = bufferevent_get_input(Buffer);
        const std::size_t Size = evbuffer_get_length(Input);
        const std::size_t Old = Connection->Received.size();
        Connection->Received.resize(Old + Size);
        evbuffer_remove(Input, Connection->Received.data() + Old, Size);
        if (Connection->OnReceived) {
          Connection->OnReceived();
        }
      },
      [](bufferevent *, void *Self) {
        auto *Connection = static_cast<raw_connection *>(Self);
        if (Connection->ClosePending) {
          bufferevent_free(std::exchange(Connection->Buffer, nullptr));
        }
      },
      [](bufferevent *, short What, void *Self) {
        if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
          static_cast<raw_connection *>(Self)->ClosedByPeer = true;
        }
      },
      this);
  bufferevent_enable(Buffer, EV_READ | EV_WRITE);
}

void raw_connection::send(std::string_view Bytes) {
  if (Buffer != nullptr) {
    bufferevent_write(Buffer, Bytes.data(), Bytes.size());
  }
}

void raw_connection::finishSending() {
  ::shutdown(bufferevent_getfd(Buffer), SHUT_WR);
}

void raw_connection::closeWhenWritten() { ClosePending = true; }

void raw_connection::reset() {
  const linger Abort{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(bufferevent_getfd(Buffer), SOL_SOCKET, SO_LINGER, &Abort,
               sizeof Abort);
  bufferevent_free(std::exchange(Buffer, nullptr));
}

void raw_connection::stall() {
  OnReceived = nullptr;
  bufferevent_disable(Buffer, EV_READ | EV_WRITE);
}

int connectAndSend(std::uint16_t Port, std::string_view Bytes) {
  const sockaddr_in Address = loopbackAddress(Port);
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0 ||
      ::send(Descriptor, Bytes.data(), Bytes.size(), 0) < 0) {
    throw unavailable_error("cannot connect to a test port");
  }
  evutil_make_socket_nonblocking(Descriptor);
  return Descriptor;
}

raw_listener::raw_listener(event_loop &Loop, accept_function Accepted)
    : Loop(Loop), Accepted(std::move(Accepted)) {
  sockaddr_in Address = loopbackAddress(0);
  Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, int Descriptor, sockaddr *, int, void *Self) {
        auto *Owner = static_cast<raw_listener *>(Self);
        Owner->Accepted(
            std::make_unique<raw_connection>(Owner->Loop, Descriptor));
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Address), sizeof Address);
}

raw_listener::~raw_listener() { evconnlistener_free(Listener); }

std::uint16_t raw_listener::port() const {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  ::getsockname(evconnlistener_get_fd(Listener),
                reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

full_listener::full_listener() : Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
  constexpr int Fillers = 3; // the kernel queues one more than the backlog
  sockaddr_in Address = loopbackAddress(0);
  socklen_t Size = sizeof Address;
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0) {
    throw unavailable_error("cannot bind a test port");
  }
  ::listen(Listener, 0);
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  for (int Index = 0; Index < Fillers; ++Index) {
    Clients.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    static_cast<void>(::connect(Clients.back(),
                                reinterpret_cast<sockaddr *>(&Address), Size));
  }
}

full_listener::~full_listener() {
  for (const int Client : Clients) {
    ::close(Client);
  }
  ::close(Listener);
}

canned_server::canned_server(event_loop &Loop, std::string Response,
                             close_mode CloseMode)
    : Response(std::move(Response)), CloseMode(CloseMode),
      Listener(Loop, [this](std::unique_ptr<raw_connection> Accepted) {
        raw_connection &Connection = *Accepted;
        Connections.push_back(std::move(Accepted));
        Connection.OnReceived = [this, &Connection] { respond(Connection); };
      }) {}

void canned_server::respond(raw_connection &Connection) {
  if (CloseMode == close_mode::Reset) {
    Connection.OnReceived = nullptr;
    Connection.reset();
    return;
  }
  if (CloseMode == close_mode::Close) {
    Connection.closeWhenWritten();
  }
  Connection.send(Response);
}

stalling_proxy::stalling_proxy(event_loop &Loop, std::string Target)
    : Loop(Loop), Target(std::move(Target)),
      Listener(Loop, [this](std::unique_ptr<raw_connection> Accepted) {
        auto Pair = std::make_unique<connection_pair>();
        Pair->Client = std::move(Accepted);
        Pair->Target =
            std::make_unique<raw_connection>(this->Loop, this->Target);
        const auto Forward = [](raw_connection &From, raw_connection &To) {
          From.OnReceived = [&From, &To] {
            To.send(std::exchange(From.Received, {}));
          };
        };
        Forward(*Pair->Client, *Pair->Target);
        Forward(*Pair->Target, *Pair->Client);
        Pairs.push_back(std::move(Pair));
      }) {}

void stalling_proxy::stallOpenConnections() {
  for (const auto &Pair : Pairs) {
    Pair->Client->stall();
    Pair->Target->stall();
  }
}

} // namespace geraniumpaddle::test
