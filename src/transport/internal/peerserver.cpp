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

/// "ipv4:1.2.3.4:5" without the scheme.
std::string remoteOf(const grpc::CallbackServerContext &Context) {
  const std::string Peer = Context.peer();
  return Peer.substr(Peer.find(':') + 1);
}

/// One call. gRPC needs it until OnDone, the loop until it is answered.
class exchange final : public grpc::ServerUnaryReactor {
public:
  using closed_function = std::function<void(const exchange &)>;

  exchange(const proto::PeerRequest &Request, proto::PeerResponse &Response,
           std::string Remote, mailbox::sender Inbox, closed_function Closed)
      : Request(Request), Response(Response), Remote(std::move(Remote)),
        Inbox(std::move(Inbox)), Closed(std::move(Closed)) {}

  /// Keeps the object until gRPC is done with it.
  void hold(std::shared_ptr<exchange> Self) { Held = std::move(Self); }

  /// Valid until answer() or fail().
  const proto::PeerRequest &request() const { return Request; }
  const std::string &remote() const { return Remote; }
  bool open() const { return !Finished; }

  void answer(proto::PeerResponse &&Answer) {
    if (!std::exchange(Finished, true)) {
      Response = std::move(Answer);
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
    const auto Self = std::move(Held);
    Inbox.post([Self] { Self->Closed(*Self); });
  }

  const proto::PeerRequest &Request;
  proto::PeerResponse &Response;
  std::string Remote;
  mailbox::sender Inbox;
  closed_function Closed;
  std::shared_ptr<exchange> Held;
  bool Finished = false;
};

/// Fails the call unless it was answered by the time this is destroyed.
class answer_duty {
public:
  explicit answer_duty(std::shared_ptr<exchange> Exchange)
      : Exchange(std::move(Exchange)) {}
  ~answer_duty() { Exchange->fail(); }
  answer_duty(const answer_duty &) = delete;
  answer_duty &operator=(const answer_duty &) = delete;

  const std::shared_ptr<exchange> Exchange;
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
  std::unordered_set<std::shared_ptr<exchange>> Open;

private:
  void arrived(const std::shared_ptr<answer_duty> &Duty);
  void answer(exchange &Exchange, proto::PeerResponse &&Response);

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
  // From here on a call that arrives is failed by the thread that brings it.
  Inbox.close();
  for (const auto &Each : Open) {
    Each->fail();
  }
  Server->Shutdown(std::chrono::system_clock::now());
}

// Runs on a thread of gRPC.
grpc::ServerUnaryReactor *
peer_server::impl::Exchange(grpc::CallbackServerContext *Context,
                            const proto::PeerRequest *Request,
                            proto::PeerResponse *Response) {
  const auto Call =
      std::make_shared<exchange>(*Request, *Response, remoteOf(*Context),
                                 Inbox.address(), [this](const exchange &Done) {
                                   std::erase_if(Open, [&](const auto &Each) {
                                     return Each.get() == &Done;
                                   });
                                 });
  Call->hold(Call);
  Inbox.address().post(
      [this, Duty = std::make_shared<answer_duty>(Call)] { arrived(Duty); });
  return Call.get();
}

void peer_server::impl::arrived(const std::shared_ptr<answer_duty> &Duty) {
  Open.insert(Duty->Exchange);
  const auto Respond = [this, Duty](proto::PeerResponse Response) {
    if (Duty->Exchange->open()) {
      answer(*Duty->Exchange, std::move(Response));
    }
  };
  if (Stopped) {
    proto::PeerResponse Refused;
    Refused.set_refusal(proto::REFUSAL_DRAINING);
    Respond(std::move(Refused));
    return;
  }
  try {
    Handler(Duty->Exchange->request(), Respond);
  } catch (const std::exception &Failure) {
    Log.error(Failure.what());
    Duty->Exchange->fail();
  }
}

void peer_server::impl::answer(exchange &Exchange,
                               proto::PeerResponse &&Response) {
  Traffic.add(Exchange.remote(), causeOf(Exchange.request()),
              Exchange.request().ByteSizeLong(), Response.ByteSizeLong());
  Exchange.answer(std::move(Response));
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
