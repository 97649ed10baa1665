#include "transport/internal/tcpconnector.h"

#include "transport/eventloop.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace geraniumpaddle {

namespace {

struct native_address {
  sockaddr_storage Storage{};
  socklen_t Size = 0;
};

native_address toNative(const socket_address &Address) {
  native_address Native;
  if (Address.isIpv6()) {
    sockaddr_in6 Target{};
    Target.sin6_family = AF_INET6;
    Target.sin6_port = htons(Address.Port);
    ::inet_pton(AF_INET6, Address.Ip.c_str(), &Target.sin6_addr);
    std::memcpy(&Native.Storage, &Target, sizeof Target);
    Native.Size = sizeof Target;
  } else {
    sockaddr_in Target{};
    Target.sin_family = AF_INET;
    Target.sin_port = htons(Address.Port);
    ::inet_pton(AF_INET, Address.Ip.c_str(), &Target.sin_addr);
    std::memcpy(&Native.Storage, &Target, sizeof Target);
    Native.Size = sizeof Target;
  }
  return Native;
}

} // namespace

unique_socket::~unique_socket() {
  if (Descriptor >= 0) {
    ::close(Descriptor);
  }
}

unique_socket::unique_socket(unique_socket &&Other) noexcept
    : Descriptor(Other.release()) {}

unique_socket &unique_socket::operator=(unique_socket &&Other) noexcept {
  std::swap(Descriptor, Other.Descriptor);
  return *this;
}

int unique_socket::release() { return std::exchange(Descriptor, -1); }

unique_socket unique_socket::duplicate() const {
  return unique_socket(::fcntl(Descriptor, F_DUPFD_CLOEXEC, 0));
}

bool unique_socket::established() const {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  return ::getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) == 0 &&
         Info.tcpi_state == TCP_ESTABLISHED;
}

tcp_connector::tcp_connector(event_loop &Loop, const socket_address &Address,
                             duration Timeout, connected_callback Done)
    : Loop(Loop), Done(std::move(Done)), TimeoutTimer(Loop) {
  TimeoutTimer.start(Timeout, [this] { finish(unique_socket()); });
  connect(Address);
  if (!Writable) {
    TimeoutTimer.start(duration::zero(), [this] { finish(unique_socket()); });
  }
}

void tcp_connector::connect(const socket_address &Address) {
  const auto Target = toNative(Address);
  Socket = unique_socket(::socket(
      Target.Storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int NoDelay = 1;
  ::setsockopt(Socket.get(), IPPROTO_TCP, TCP_NODELAY, &NoDelay,
               sizeof NoDelay);
  const int Result = ::connect(
      Socket.get(), reinterpret_cast<const sockaddr *>(&Target.Storage),
      Target.Size);
  if (Result != 0 && errno != EINPROGRESS) {
    return;
  }
  Writable.reset(event_new(
      Loop.base(), Socket.get(), EV_WRITE,
      [](int, short, void *Self) {
        auto *Connector = static_cast<tcp_connector *>(Self);
        Connector->Loop.invoke([Connector] { Connector->onWritable(); });
      },
      this));
  if (Writable && event_add(Writable.get(), nullptr) != 0) {
    Writable.reset();
  }
}

void tcp_connector::onWritable() {
  int Error = 0;
  socklen_t Size = sizeof Error;
  ::getsockopt(Socket.get(), SOL_SOCKET, SO_ERROR, &Error, &Size);
  finish(Error == 0 ? std::move(Socket) : unique_socket());
}

void tcp_connector::finish(unique_socket Result) {
  TimeoutTimer.cancel();
  Writable.reset();
  // The callback may destroy this connector.
  const auto Call = std::move(Done);
  Call(std::move(Result));
}

} // namespace geraniumpaddle
