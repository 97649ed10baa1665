#include "transport/peerserver.h"

#include "logging/logging.h"
#include "transport/address.h"
#include "transport/internal/grpcarguments.h"
#include "transport/mailbox.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <unordered_set>

namespace geraniumpaddle {

namespace {

/// Address of the caller: "ipv4:1.2.3.4:5" without the scheme.
std::string remoteAddress(const grpc::CallbackServerContext &Context) {
  const std::string Peer = Context.peer();
  return Peer.substr(Peer.find(':') + 1);
}

/// One call. gRPC uses it until OnDone(), the loop until it has responded.
class server_call final : public grpc::ServerUnaryReactor {
public:
  using finished_callback = std::function<void(const server_call &)>;

  server_call(const proto::PeerRequest &Request, proto::PeerResponse &Response,
              std::string Remote, mailbox::sender Inbox,
              finished_callback OnFinished)
      : Request(Request), Response(Response), Remote(std::move(Remote)),
        Inbox(std::move(Inbox)), OnFinished(std::move(OnFinished)) {}

  /// Holds a reference to the object itself until OnDone().
  void keepAlive(std::shared_ptr<server_call> Self) {
    SelfReference = std::move(Self);
  }

  /// Valid until respond() or fail().
  const proto::PeerRequest &request() const { return Request; }
  const std::string &remote() const { return Remote; }
  bool open() const { return !Finished; }

  void respond(proto::PeerResponse &&NewResponse) {
    if (!std::exchange(Finished, true)) {
      Response = std::move(NewResponse);
      Finish(grpc::Status::OK);
    }
  }

  void fail() {
    if (!std::exchange(Finished, true)) {
      Finish(grpc::Status(grpc::StatusCode::ABORTED, "not answered"));
    }
  }

private:
  void OnDone() override { // NOLINT(readability-identifier-naming)
    const auto Self = std::move(SelfReference);
    Inbox.post([Self] { Self->OnFinished(*Self); });
  }

  const proto::PeerRequest &Request;
  proto::PeerResponse &Response;
  std::string Remote;
  mailbox::sender Inbox;
  finished_callback OnFinished;
  std::shared_ptr<server_call> SelfReference;
  bool Finished = false;
};

/// Fails the call on destruction if it has no response by then.
class call_guard {
public:
  explicit call_guard(std::shared_ptr<server_call> Call)
      : Call(std::move(Call)) {}
  ~call_guard() { Call->fail(); }
  call_guard(const call_guard &) = delete;
  call_guard &operator=(const call_guard &) = delete;

  const std::shared_ptr<server_call> Call;
};

} // namespace

class peer_server::impl final : public proto::Peer::CallbackService {
public:
  impl(event_loop &Loop, const socket_address &Address,
       const peer_server_settings &Settings, peer_handler Handler,
       traffic_counter &Traffic);
  ~impl() override;

  // NOLINTNEXTLINE(readability-identifier-naming)
  grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *Context,
                                     const proto::PeerRequest *Request,
                                     proto::PeerResponse *Response) override;

  int Port = 0;
  bool Stopped = false;
  std::unordered_set<std::shared_ptr<server_call>> Open;

private:
  void onCall(const std::shared_ptr<call_guard> &Guard);
  void respond(server_call &Call, proto::PeerResponse &&Response);

  peer_handler Handler;
  traffic_counter &Traffic;
  logger Log{"peer_server"};
  mailbox Inbox;
  std::unique_ptr<grpc::Server> Server;
};

peer_server::impl::impl(event_loop &Loop, const socket_address &Address,
                        const peer_server_settings &Settings,
                        peer_handler Handler, traffic_counter &Traffic)
    : Handler(std::move(Handler)), Traffic(Traffic), Inbox(Loop) {
  grpc::ServerBuilder Builder;
  setServerArguments(Builder, Settings);
  Builder.AddListeningPort(Address.str(), grpc::InsecureServerCredentials(),
                           &Port);
  Builder.RegisterService(this);
  Server = Builder.BuildAndStart();
  if (!Server || Port == 0) {
    throw bind_error(Address);
  }
}

peer_server::impl::~impl() {
  // With the mailbox closed, a new call fails on the gRPC thread that posts it.
  Inbox.close();
  for (const auto &Each : Open) {
    Each->fail();
  }
  Server->Shutdown(std::chrono::system_clock::now());
}

// Called on a thread of gRPC.
grpc::ServerUnaryReactor *
peer_server::impl::Exchange(grpc::CallbackServerContext *Context,
                            const proto::PeerRequest *Request,
                            proto::PeerResponse *Response) {
  const auto Call = std::make_shared<server_call>(
      *Request, *Response, remoteAddress(*Context), Inbox.address(),
      [this](const server_call &Done) {
        std::erase_if(Open,
                      [&](const auto &Each) { return Each.get() == &Done; });
      });
  Call->keepAlive(Call);
  Inbox.address().post(
      [this, Guard = std::make_shared<call_guard>(Call)] { onCall(Guard); });
  return Call.get();
}

void peer_server::impl::onCall(const std::shared_ptr<call_guard> &Guard) {
  Open.insert(Guard->Call);
  const auto Respond = [this, Guard](proto::PeerResponse Response) {
    if (Guard->Call->open()) {
      respond(*Guard->Call, std::move(Response));
    }
  };
  if (Stopped) {
    proto::PeerResponse Refused;
    Refused.set_refusal(proto::REFUSAL_DRAINING);
    Respond(std::move(Refused));
    return;
  }
  try {
    Handler(Guard->Call->request(), Respond);
  } catch (const std::exception &Failure) {
    Log.error(Failure.what());
    Guard->Call->fail();
  }
}

void peer_server::impl::respond(server_call &Call,
                                proto::PeerResponse &&Response) {
  Traffic.add(Call.remote(), requestKind(Call.request()),
              Call.request().ByteSizeLong(), Response.ByteSizeLong());
  Call.respond(std::move(Response));
}

peer_server::peer_server(event_loop &Loop, std::string_view Listen,
                         const peer_server_settings &Settings,
                         peer_handler Handler, traffic_counter &Traffic)
    : Impl(std::make_unique<impl>(Loop, parseAddress(Listen), Settings,
                                  std::move(Handler), Traffic)) {}

peer_server::~peer_server() = default;

std::uint16_t peer_server::port() const {
  return static_cast<std::uint16_t>(Impl->Port);
}

void peer_server::stopAccepting() { Impl->Stopped = true; }

std::size_t peer_server::openCalls() const { return Impl->Open.size(); }

} // namespace geraniumpaddle
