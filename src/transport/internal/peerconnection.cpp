#include "transport/internal/peerconnection.h"

#include <grpcpp/create_channel_posix.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace geraniumpaddle {

peer_connection::peer_connection(event_loop &Loop,
                                 const socket_address &Address,
                                 const peer_client_settings &Settings,
                                 const grpc::ChannelArguments &Arguments,
                                 changed_callback Changed)
    : Authority(Address.str()), Settings(Settings), Arguments(Arguments),
      Changed(std::move(Changed)),
      Connector(std::make_unique<tcp_connector>(
          Loop, Address, Settings.ConnectTimeout,
          [this](unique_socket Result) { onConnected(std::move(Result)); })) {}

void peer_connection::onConnected(unique_socket NewSocket) {
  const auto FinishedConnector = std::move(Connector);
  Status = state::Failed;
  if (NewSocket) {
    // The kernel drops a connection with unacknowledged data after the same
    // time as gRPC one with an unanswered ping.
    const auto UserTimeout = static_cast<unsigned>(
        std::chrono::milliseconds(Settings.KeepaliveTimeout).count());
    ::setsockopt(NewSocket.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeout,
                 sizeof UserTimeout);
    Socket = NewSocket.duplicate();
    Stub = proto::Peer::NewStub(grpc::CreateCustomInsecureChannelFromFd(
        Authority, NewSocket.release(), Arguments));
    Status = state::Connected;
  }
  const auto Callback = std::move(Changed);
  Callback(*this);
}

bool peer_connection::usable() const {
  return Status == state::Connecting ||
         (Status == state::Connected && Socket.established());
}

} // namespace geraniumpaddle
