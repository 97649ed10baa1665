#pragma once

#include "transport/peerclient.h"
#include "transport/peerserver.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/support/channel_arguments.h>

namespace geraniumpaddle {

/// Channel options with all that gRPC decides by itself turned off.
grpc::ChannelArguments channelArguments(const peer_client_settings &Settings,
                                        const grpc::ResourceQuota &Quota);

/// Sets the options of a server; the port and the service are left to set.
void setServerArguments(grpc::ServerBuilder &Builder,
                        const peer_server_settings &Settings);

/// Name of the kind of a request, under which its bytes are counted.
std::string_view causeOf(const proto::PeerRequest &Request);

} // namespace geraniumpaddle
