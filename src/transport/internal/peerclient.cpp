#include "transport/peerclient.h"

#include "transport/address.h"
#include "transport/internal/grpcarguments.h"
#include "transport/internal/peerconnection.h"
#include "transport/mailbox.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

namespace {

// Connections to replaced processes are let go after this time.
constexpr std::chrono::minutes UnusedLinkLife{10};
// How long the destructor waits for gRPC to end the calls that it cancelled.
constexpr std::chrono::seconds CancelWait{1};

/// One call. Only the loop owns it: its end may close the channel, which gRPC
/// does not survive on a thread of its own.
struct open_call {
  explicit open_call(event_loop &Loop) : ConnectLimit(Loop) {}

  std::shared_ptr<peer_link> Link;
  std::string Address;
  grpc::ClientContext Context;
  proto::PeerRequest Request;
  peer_result Result;
  std::function<void(const peer_result &)> Done;
  timer ConnectLimit;
  bool Started = false;
};

call_status statusOf(const grpc::Status &Status) {
  if (Status.ok()) {
    return call_status::Completed;
  }
  return Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED
             ? call_status::TimedOut
             : call_status::Lost;
}

gpr_timespec deadlineAfter(duration Timeout) {
  return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
                      gpr_time_from_micros(Timeout.count(), GPR_TIMESPAN));
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
  void connected(const peer_link &Link);
  void start(open_call &Call);
  void ended(open_call &Call, const grpc::Status &Status);
  void finish(open_call &Call, call_status Status);
  void forget(const std::shared_ptr<peer_link> &Link);

  event_loop &Loop;
  peer_client_settings Settings;
  traffic_counter &Traffic;
  grpc::ResourceQuota Quota{"peer_client"};
  std::map<std::string, std::shared_ptr<peer_link>> Links;
  std::unordered_map<open_call *, std::unique_ptr<open_call>> Calls;
  mailbox Inbox;
};

peer_client::impl::impl(event_loop &Loop, const peer_client_settings &Settings,
                        traffic_counter &Traffic)
    : Loop(Loop), Settings(Settings), Traffic(Traffic), Inbox(Loop) {
  Quota.Resize(Settings.BufferBytes);
}

peer_client::impl::~impl() {
  std::erase_if(Calls, [](const auto &Each) { return !Each.first->Started; });
  for (const auto &Each : Calls) {
    Each.first->Done = nullptr;
    Each.first->Context.TryCancel();
  }
  while (!Calls.empty() && Inbox.waitAndRun(CancelWait)) {
  }
  Inbox.close();
  for (auto &Each : Calls) {
    // gRPC still writes to it, so it cannot be freed any more.
    [[maybe_unused]] const auto *Kept = Each.second.release();
  }
}

std::shared_ptr<peer_link>
peer_client::impl::linkTo(const socket_address &Address) {
  auto &Link = Links[Address.str()];
  if (!Link || !Link->usable()) {
    Link = std::make_shared<peer_link>(
        Loop, Address, Settings, channelArguments(Settings, Quota),
        [this](const peer_link &Changed) { connected(Changed); });
    Link->LastUse = Loop.now();
    auto Created = Link;
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
  auto Owned = std::make_unique<open_call>(Loop);
  open_call &Call = *Owned;
  Call.Address = Address;
  Call.Request = Request;
  Call.Done = std::move(Done);
  Call.Context.set_deadline(deadlineAfter(Timeout));
  Call.Link = linkTo(Parsed);
  Calls.emplace(&Call, std::move(Owned));
  if (Call.Link->status() == peer_link::state::Connected) {
    start(Call);
  } else {
    Call.ConnectLimit.start(
        Timeout, [this, &Call] { finish(Call, call_status::NotSent); });
  }
}

void peer_client::impl::connected(const peer_link &Link) {
  std::vector<open_call *> Waiting;
  for (const auto &Each : Calls) {
    if (Each.first->Link.get() == &Link) {
      Waiting.push_back(Each.first);
    }
  }
  for (open_call *Call : Waiting) {
    if (Link.status() == peer_link::state::Connected) {
      start(*Call);
    } else {
      finish(*Call, call_status::NotSent);
    }
  }
}

void peer_client::impl::start(open_call &Call) {
  Call.ConnectLimit.cancel();
  Call.Started = true;
  // The callback runs on a thread of gRPC.
  Call.Link->stub().async()->Exchange(
      &Call.Context, &Call.Request, &Call.Result.Response,
      [this, &Call, Inbox = Inbox.address()](const grpc::Status &Status) {
        Inbox.post([this, &Call, Status] { ended(Call, Status); });
      });
}

void peer_client::impl::ended(open_call &Call, const grpc::Status &Status) {
  if (Status.error_code() == grpc::StatusCode::UNAVAILABLE) {
    forget(Call.Link);
  }
  Traffic.add(Call.Address, causeOf(Call.Request),
              Call.Result.Response.ByteSizeLong(), Call.Request.ByteSizeLong());
  finish(Call, statusOf(Status));
}

void peer_client::impl::finish(open_call &Call, call_status Status) {
  const auto Owned = std::move(Calls.extract(&Call).mapped());
  Owned->ConnectLimit.cancel();
  Owned->Result.Status = Status;
  if (Owned->Done) {
    Owned->Done(Owned->Result);
  }
}

void peer_client::impl::forget(const std::shared_ptr<peer_link> &Link) {
  std::erase_if(Links, [&](const auto &Entry) { return Entry.second == Link; });
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
