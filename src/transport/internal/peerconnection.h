#pragma once

#include "transport/internal/tcpconnector.h"
#include "transport/peerclient.h"

#include "peer.grpc.pb.h"

#include <grpcpp/support/channel_arguments.h>

#include <functional>
#include <memory>

namespace geraniumpaddle {

/// One connection to a peer, opened by the loop and then given to gRPC.
///
/// gRPC would open connections by itself, but it does not tell whether a call
/// that failed had been given to one. Here a call is given to gRPC only once
/// there is a connection, so that one which fails before was not sent.
class peer_link {
public:
  using changed_callback = std::function<void(const peer_link &)>;
  enum class state : std::uint8_t { Connecting, Connected, Failed };

  /// \param Changed called once, when the state leaves Connecting.
  peer_link(event_loop &Loop, const socket_address &Address,
            const peer_client_settings &Settings,
            const grpc::ChannelArguments &Arguments, changed_callback Changed);

  state status() const { return Status; }
  /// True unless the connection is known to be closed.
  bool usable() const;
  /// Valid when connected.
  proto::Peer::Stub &stub() const { return *Stub; }

  time_point LastUse{};

private:
  void connected(unique_socket NewSocket);

  std::string Authority;
  peer_client_settings Settings;
  grpc::ChannelArguments Arguments;
  changed_callback Changed;
  state Status = state::Connecting;
  unique_socket Socket; ///< to ask for the state of the connection
  std::unique_ptr<proto::Peer::Stub> Stub;
  std::unique_ptr<tcp_connector> Connector;
};

} // namespace geraniumpaddle
