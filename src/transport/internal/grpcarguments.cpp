#include "transport/internal/grpcarguments.h"

namespace geraniumpaddle {

namespace {

// Allows 30 Mbit/s at a round-trip time of 40 ms, without BDP probes.
constexpr int StreamWindowBytes = 256 * 1024;
constexpr std::chrono::milliseconds MinPingInterval{5000};

int milliseconds(std::chrono::milliseconds Length) {
  return static_cast<int>(Length.count());
}

} // namespace

grpc::ChannelArguments channelArguments(const peer_client_settings &Settings,
                                        const grpc::ResourceQuota &Quota) {
  grpc::ChannelArguments Arguments;
  Arguments.SetResourceQuota(Quota);
  Arguments.SetMaxReceiveMessageSize(Settings.MaxMessageBytes);
  Arguments.SetMaxSendMessageSize(Settings.MaxMessageBytes);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  Arguments.SetInt(GRPC_ARG_ENABLE_CHANNELZ, 0);
  Arguments.SetInt(GRPC_ARG_MAX_CHANNEL_TRACE_EVENT_MEMORY_PER_NODE, 0);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS,
                   milliseconds(Settings.KeepaliveTime));
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                   milliseconds(Settings.KeepaliveTimeout));
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
  Arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, StreamWindowBytes);
  return Arguments;
}

void setServerArguments(grpc::ServerBuilder &Builder,
                        const peer_server_settings &Settings) {
  grpc::ResourceQuota Quota("peer_server");
  Quota.Resize(Settings.BufferBytes);
  Quota.SetMaxThreads(Settings.MaxThreads);
  Builder.SetResourceQuota(Quota);
  Builder.SetMaxReceiveMessageSize(Settings.MaxMessageBytes);
  Builder.SetMaxSendMessageSize(Settings.MaxMessageBytes);
  // A second server on the same port must fail to bind, instead of receiving a
  // share of the calls.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddChannelArgument(GRPC_ARG_ENABLE_CHANNELZ, 0);
  Builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS,
                             Settings.MaxConcurrentStreams);
  Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS,
                             milliseconds(Settings.KeepaliveTime));
  Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                             milliseconds(Settings.KeepaliveTimeout));
  Builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      milliseconds(MinPingInterval));
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES,
                             StreamWindowBytes);
}

std::string_view requestKind(const proto::PeerRequest &Request) {
  const auto *Field =
      proto::PeerRequest::descriptor()->FindFieldByNumber(Request.body_case());
  return Field == nullptr ? std::string_view("none")
                          : std::string_view(Field->name());
}

} // namespace geraniumpaddle
