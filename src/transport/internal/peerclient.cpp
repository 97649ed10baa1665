#include "transport/peerclient.h"

#include "transport/address.h"
#include "transport/internal/grpcarguments.h"
#include "transport/mailbox.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <unordered_set>

namespace geraniumpaddle {

namespace {

// Channels to replaced processes are let go after this time.
constexpr std::chrono::minutes UnusedLinkLife{10};
// How long the destructor waits for gRPC to end the calls that it cancelled.
constexpr std::chrono::seconds CancelWait{1};

/// The target has another form than the address that gRPC gives for the peer
/// of a call, so that the two can be told apart.
std::string targetOf(const socket_address &Address) {
  const std::string Port = ":" + std::to_string(Address.Port);
  return Address.isIpv6() ? "ipv6:///%5B" + Address.Ip + "%5D" + Port
                          : "ipv4:///" + Address.Ip + Port;
}

/// One channel, which holds at most one connection.
struct peer_link {
  peer_link(const socket_address &Address,
            const grpc::ChannelArguments &Arguments)
      : Target(targetOf(Address)),
        Stub(proto::Peer::NewStub(grpc::CreateCustomChannel(
            Target, grpc::InsecureChannelCredentials(), Arguments))) {}

  const std::string Target;
  const std::unique_ptr<proto::Peer::Stub> Stub;
  time_point LastUse{};
};

/// One call. The callback of gRPC owns it until the call has ended.
struct open_call {
  std::shared_ptr<peer_link> Link;
  std::string Address;
  grpc::ClientContext Context;
  proto::PeerRequest Request;
  peer_result Result;
  std::function<void(const peer_result &)> Done;
};

call_status statusOf(const grpc::Status &Status) {
  if (Status.ok()) {
    return call_status::Completed;
  }
  return Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED
             ? call_status::TimedOut
             : call_status::Lost;
}

} // namespace

class peer_client::impl {
public:
  impl(event_loop &Loop, const peer_client_settings &Settings,
       traffic_counter &Traffic);
  ~impl();

  void call(std::string_view Address, const proto::PeerRequest &Request,
            duration Timeout, std::function<void(const peer_result &)> Done);
  void reconnect(std::string_view Address);

private:
  std::shared_ptr<peer_link> linkTo(const socket_address &Address);
  void dropUnusedLinks();
  void start(const std::shared_ptr<open_call> &Call);
  void ended(const std::shared_ptr<open_call> &Call,
             const grpc::Status &Status);

  event_loop &Loop;
  peer_client_settings Settings;
  traffic_counter &Traffic;
  grpc::ResourceQuota Quota{"peer_client"};
  std::map<std::string, std::shared_ptr<peer_link>> Links;
  std::unordered_set<std::shared_ptr<open_call>> Calls;
  mailbox Inbox;
};

peer_client::impl::impl(event_loop &Loop, const peer_client_settings &Settings,
                        traffic_counter &Traffic)
    : Loop(Loop), Settings(Settings), Traffic(Traffic), Inbox(Loop) {
  Quota.Resize(Settings.BufferBytes);
}

peer_client::impl::~impl() {
  for (const auto &Call : Calls) {
    Call->Done = nullptr;
    Call->Context.TryCancel();
  }
  while (!Calls.empty() && Inbox.waitAndRun(CancelWait)) {
  }
}

std::shared_ptr<peer_link>
peer_client::impl::linkTo(const socket_address &Address) {
  auto &Link = Links[Address.str()];
  if (!Link) {
    Link =
        std::make_shared<peer_link>(Address, channelArguments(Settings, Quota));
    Link->LastUse = Loop.now();
    const auto Created = Link;
    dropUnusedLinks();
    return Created;
  }
  Link->LastUse = Loop.now();
  return Link;
}

void peer_client::impl::dropUnusedLinks() {
  std::erase_if(Links, [&](const auto &Entry) {
    return Loop.now() - Entry.second->LastUse > UnusedLinkLife;
  });
}

void peer_client::impl::call(std::string_view Address,
                             const proto::PeerRequest &Request,
                             duration Timeout,
                             std::function<void(const peer_result &)> Done) {
  const auto Parsed = parseAddress(Address);
  if (Calls.size() >= Settings.MaxCallsInFlight) {
    Inbox.address().post([Done = std::move(Done)] { Done({}); });
    return;
  }
  const auto Call = std::make_shared<open_call>();
  Call->Link = linkTo(Parsed);
  Call->Address = Address;
  Call->Request = Request;
  Call->Done = std::move(Done);
  Call->Context.set_deadline(
      gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
                   gpr_time_from_micros(Timeout.count(), GPR_TIMESPAN)));
  Calls.insert(Call);
  start(Call);
}

void peer_client::impl::start(const std::shared_ptr<open_call> &Call) {
  // The callback runs on a thread of gRPC.
  Call->Link->Stub->async()->Exchange(
      &Call->Context, &Call->Request, &Call->Result.Response,
      [this, Call, Inbox = Inbox.address()](const grpc::Status &Status) {
        Inbox.post([this, Call, Status] { ended(Call, Status); });
      });
}

void peer_client::impl::ended(const std::shared_ptr<open_call> &Call,
                              const grpc::Status &Status) {
  Calls.erase(Call);
  Call->Result.Status = statusOf(Status);
  const bool Sent = Call->Result.Status != call_status::NotSent;
  Traffic.add(Call->Address, causeOf(Call->Request),
              Call->Result.Response.ByteSizeLong(),
              Sent ? Call->Request.ByteSizeLong() : 0);
  if (Call->Done) {
    Call->Done(Call->Result);
  }
}

void peer_client::impl::reconnect(std::string_view Address) {
  Links.erase(parseAddress(Address).str());
}

peer_client::peer_client(event_loop &Loop, const peer_client_settings &Settings,
                         traffic_counter &Traffic)
    : Impl(std::make_unique<impl>(Loop, Settings, Traffic)) {}

peer_client::~peer_client() = default;

void peer_client::call(std::string_view Address,
                       const proto::PeerRequest &Request, duration Timeout,
                       std::function<void(const peer_result &)> Done) {
  Impl->call(Address, Request, Timeout, std::move(Done));
}

void peer_client::reconnect(std::string_view Address) {
  Impl->reconnect(Address);
}

} // namespace geraniumpaddle
