#pragma once

#include "transport/internal/tcpconnector.h"
#include "transport/peerclient.h"

#include "peer.grpc.pb.h"

#include <grpcpp/support/channel_arguments.h>

#include <functional>
#include <memory>

namespace geraniumpaddle {

/// One connection to a peer, opened by the event loop and then handed to gRPC.
///
/// gRPC could open connections itself, but it does not report whether a failed
/// call had already been assigned to one. So calls are passed to gRPC only once
/// the connection is established; a call that fails before was not sent.
class peer_connection {
public:
  using changed_callback = std::function<void(const peer_connection &)>;
  enum class state : std::uint8_t { Connecting, Connected, Failed };

  /// \param Changed called once, when the state leaves Connecting.
  peer_connection(event_loop &Loop, const socket_address &Address,
                  const peer_client_settings &Settings,
                  const grpc::ChannelArguments &Arguments,
                  changed_callback Changed);

  state status() const { return Status; }
  /// True unless the connection is known to be closed.
  bool usable() const;
  /// Valid only in state Connected.
  proto::Peer::Stub &stub() const { return *Stub; }

  time_point LastUse{};

private:
  void onConnected(unique_socket NewSocket);

  std::string Authority;
  peer_client_settings Settings;
  grpc::ChannelArguments Arguments;
  changed_callback Changed;
  state Status = state::Connecting;
  unique_socket Socket; ///< duplicate, to query the TCP state
  std::unique_ptr<proto::Peer::Stub> Stub;
  std::unique_ptr<tcp_connector> Connector;
};

} // namespace geraniumpaddle
