#include "transport/peerclient.h"

#include "logging/logging.h"
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

// Connections to processes that were replaced are closed after this time.
constexpr std::chrono::minutes UnusedConnectionTimeout{10};
// How long the destructor waits for gRPC to finish the calls it cancelled.
constexpr std::chrono::seconds CancelTimeout{1};

/// One call. Only the loop thread owns and destroys it: that may close the
/// channel, and gRPC crashes if one of its own threads does so.
struct open_call {
  explicit open_call(event_loop &Loop) : ConnectTimer(Loop) {}

  std::shared_ptr<peer_connection> Connection;
  std::string Address;
  grpc::ClientContext Context;
  proto::PeerRequest Request;
  peer_result Result;
  std::function<void(const peer_result &)> Done;
  timer ConnectTimer;
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
  std::shared_ptr<peer_connection> connectionTo(const socket_address &Address);
  void dropUnusedConnections();
  void onConnected(const peer_connection &Connection);
  void start(open_call &Call);
  void onCallEnded(open_call &Call, const grpc::Status &Status);
  void finish(open_call &Call, call_status Status);
  void dropConnection(const std::shared_ptr<peer_connection> &Connection);

  event_loop &Loop;
  peer_client_settings Settings;
  traffic_counter &Traffic;
  grpc::ResourceQuota Quota{"peer_client"};
  std::map<std::string, std::shared_ptr<peer_connection>> Connections;
  std::unordered_map<open_call *, std::unique_ptr<open_call>> Calls;
  mailbox Inbox;
  logger Log{"peer_client"};
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
  while (!Calls.empty() && Inbox.waitAndRun(CancelTimeout)) {
  }
  Inbox.close();
  for (auto &Each : Calls) {
    // Leaked deliberately: gRPC may still write to it.
    [[maybe_unused]] const auto *Leaked = Each.second.release();
  }
}

std::shared_ptr<peer_connection>
peer_client::impl::connectionTo(const socket_address &Address) {
  auto &Connection = Connections[Address.str()];
  if (!Connection || !Connection->usable()) {
    Connection = std::make_shared<peer_connection>(
        Loop, Address, Settings, channelArguments(Settings, Quota),
        [this](const peer_connection &Changed) { onConnected(Changed); });
    Connection->LastUse = Loop.now();
    auto Created = Connection;
    dropUnusedConnections();
    return Created;
  }
  Connection->LastUse = Loop.now();
  return Connection;
}

void peer_client::impl::dropUnusedConnections() {
  std::erase_if(Connections, [&](const auto &Entry) {
    return Loop.now() - Entry.second->LastUse > UnusedConnectionTimeout;
  });
}

void peer_client::impl::call(std::string_view Address,
                             const proto::PeerRequest &Request,
                             duration Timeout,
                             std::function<void(const peer_result &)> Done) {
  const auto Parsed = findAddress(Address);
  if (!Parsed) {
    Log.warningEvent("address_unusable", {{"address", Address}});
  }
  if (!Parsed || Calls.size() >= Settings.MaxCallsInFlight) {
    Inbox.address().post([Done = std::move(Done)] { Done({}); });
    return;
  }
  auto Owned = std::make_unique<open_call>(Loop);
  open_call &Call = *Owned;
  Call.Address = Address;
  Call.Request = Request;
  Call.Done = std::move(Done);
  Call.Context.set_deadline(deadlineAfter(Timeout));
  Call.Connection = connectionTo(*Parsed);
  Calls.emplace(&Call, std::move(Owned));
  if (Call.Connection->status() == peer_connection::state::Connected) {
    start(Call);
  } else {
    Call.ConnectTimer.start(
        Timeout, [this, &Call] { finish(Call, call_status::NotSent); });
  }
}

void peer_client::impl::onConnected(const peer_connection &Connection) {
  std::vector<open_call *> Waiting;
  for (const auto &Each : Calls) {
    if (Each.first->Connection.get() == &Connection) {
      Waiting.push_back(Each.first);
    }
  }
  for (open_call *Call : Waiting) {
    if (Connection.status() == peer_connection::state::Connected) {
      start(*Call);
    } else {
      finish(*Call, call_status::NotSent);
    }
  }
}

void peer_client::impl::start(open_call &Call) {
  Call.ConnectTimer.cancel();
  Call.Started = true;
  // The lambda runs on a thread of gRPC.
  Call.Connection->stub().async()->Exchange(
      &Call.Context, &Call.Request, &Call.Result.Response,
      [this, &Call, Inbox = Inbox.address()](const grpc::Status &Status) {
        Inbox.post([this, &Call, Status] { onCallEnded(Call, Status); });
      });
}

void peer_client::impl::onCallEnded(open_call &Call,
                                    const grpc::Status &Status) {
  if (Status.error_code() == grpc::StatusCode::UNAVAILABLE) {
    dropConnection(Call.Connection);
  }
  Traffic.add(Call.Address, requestKind(Call.Request),
              Call.Result.Response.ByteSizeLong(), Call.Request.ByteSizeLong());
  finish(Call, statusOf(Status));
}

void peer_client::impl::finish(open_call &Call, call_status Status) {
  const auto Owned = std::move(Calls.extract(&Call).mapped());
  Owned->ConnectTimer.cancel();
  Owned->Result.Status = Status;
  if (Owned->Done) {
    Owned->Done(Owned->Result);
  }
}

void peer_client::impl::dropConnection(
    const std::shared_ptr<peer_connection> &Connection) {
  std::erase_if(Connections,
                [&](const auto &Entry) { return Entry.second == Connection; });
}

void peer_client::impl::reconnect(std::string_view Address) {
  if (const auto Parsed = findAddress(Address)) {
    Connections.erase(Parsed->str());
  }
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
