#pragma once

#include "transport/peerclient.h"
#include "transport/peerserver.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/support/channel_arguments.h>

namespace geraniumpaddle {

/// Channel options that turn off retries, proxies and the other automatic
/// behaviour of gRPC.
grpc::ChannelArguments channelArguments(const peer_client_settings &Settings,
                                        const grpc::ResourceQuota &Quota);

/// Sets the options of a server, except its port and service.
void setServerArguments(grpc::ServerBuilder &Builder,
                        const peer_server_settings &Settings);

/// Name of the kind of a request; the cause under which its traffic is counted.
std::string_view requestKind(const proto::PeerRequest &Request);

} // namespace geraniumpaddle
