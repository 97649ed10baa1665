#include "daemon/tests/callercrowd.h"

#include "core/base/error.h"
#include "transport/address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumpaddle::tests {

namespace {

/// Polls without any progress after which a crowd counts as stuck. A peer that
/// reads goes on within a fraction of this time.
constexpr int MaxIdlePolls = 20;
constexpr int PollMs = 50;
constexpr int SendBufferBytes = 16 * 1024;

int connectTo(std::string_view Address) {
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(parseAddress(Address).Port);
  Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (Descriptor < 0)
    throw internal_error("cannot open a socket");
  // What is sent is then mostly read, too, and not kept in the kernel.
  ::setsockopt(Descriptor, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes,
               sizeof SendBufferBytes);
  const int Result = ::connect(
      Descriptor, reinterpret_cast<const sockaddr *>(&Target), sizeof Target);
  if (Result != 0 && errno != EINPROGRESS)
    throw internal_error("cannot connect to a test port");
  return Descriptor;
}

/// The part of \p Message that begins at \p Offset.
std::string_view partAt(const crowd_message &Message, std::size_t Offset) {
  if (Offset < Message.Head.size())
    return std::string_view(Message.Head).substr(Offset);
  Offset -= Message.Head.size();
  if (Message.Piece.empty() || Offset >= Message.Piece.size() * Message.Pieces)
    return {};
  return std::string_view(Message.Piece).substr(Offset % Message.Piece.size());
}

} // namespace

caller_crowd::caller_crowd(std::string_view Address, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    Callers.push_back({.Descriptor = connectTo(Address)});
}

caller_crowd::~caller_crowd() {
  for (const caller &Each : Callers)
    ::close(Each.Descriptor);
}

bool caller_crowd::sendSome(caller &Caller, const crowd_message &Message) {
  bool Progress = false;
  while (!Caller.Closed) {
    const std::string_view Part = partAt(Message, Caller.Sent);
    if (Part.empty())
      break;
    const auto Size =
        ::send(Caller.Descriptor, Part.data(), Part.size(), MSG_NOSIGNAL);
    if (Size < 0) {
      Caller.Closed = errno != EAGAIN && errno != ENOTCONN;
      break;
    }
    Caller.Sent += static_cast<std::size_t>(Size);
    Progress = true;
  }
  return Progress;
}

void caller_crowd::send(const crowd_message &Message) {
  const std::size_t Size =
      Message.Head.size() + Message.Piece.size() * Message.Pieces;
  for (caller &Each : Callers)
    Each.Sent = 0;
  for (int IdlePolls = 0; IdlePolls < MaxIdlePolls; ++IdlePolls) {
    std::vector<pollfd> Waiting;
    for (caller &Each : Callers) {
      if (sendSome(Each, Message))
        IdlePolls = 0;
      if (!Each.Closed && Each.Sent < Size)
        Waiting.push_back({.fd = Each.Descriptor, .events = POLLOUT});
    }
    if (Waiting.empty())
      return;
    ::poll(Waiting.data(), Waiting.size(), PollMs);
  }
}

std::string requestHead(std::string_view Target, std::string_view Framing) {
  std::string Head = "POST ";
  Head.append(Target).append(
      " HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer key\r\n");
  return Head.append(Framing).append("\r\n");
}

} // namespace geraniumpaddle::tests
