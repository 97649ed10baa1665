#include "transport/httpserver.h"

#include "logging/logging.h"
#include "transport/address.h"
#include "transport/internal/evptr.h"
#include "transport/internal/httpheaders.h"
#include "transport/internal/httprequest.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

namespace {

/// Sent with the refusal of a request, while requests that are being handled
/// hold too much. They end within seconds.
constexpr std::chrono::seconds RetryAfter{1};

/// One request whose response is not completely written yet. Owned by its
/// connection.
struct exchange {
  explicit exchange(evhttp_request *Request) : Request(Request) {}

  evhttp_request *Request;
  event_ptr DisconnectWatch; ///< becomes readable when the caller closes
  std::function<void()> DisconnectHandler;
  bool Responded = false;
};

} // namespace

class http_server::impl {
public:
  impl(event_loop &Loop, const socket_address &Address,
       const http_server_limits &Limits,
       std::shared_ptr<connection_limiter> Limiter, http_handler Handler);
  ~impl();

  void stopAccepting();
  void sendResponse(exchange &Exchange, const http_response &Response);
  void abort(exchange &Exchange);

  std::uint16_t Port = 0;
  std::size_t OpenRequests = 0;

  std::size_t openConnections() const { return Connections.size(); }

private:
  struct connection {
    connection(impl &Server, evhttp_connection *Raw)
        : Server(Server), Raw(Raw) {}

    impl &Server;
    evhttp_connection *Raw;
    std::shared_ptr<exchange> Current;
    connection_id Id{};
    std::size_t Received = 0; ///< bytes since the last request was handled
    std::size_t Unsent = 0;
  };

  class responder;

  static bufferevent *onAccept(event_base *Base, void *Self);
  static void onRequest(evhttp_request *Request, void *Self);
  static void onClosed(evhttp_connection *Raw, void *Context);
  static void onResponseWritten(evhttp_request *Request, void *Context);
  static void onReadable(int Descriptor, short, void *Context);
  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Context);
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info, void *Context);

  void registerAccepted();
  void limit(connection &Connection);
  void updateBuffered(const connection &Connection);
  void closeAborted();
  void closed(connection &Connection);
  void handle(connection &Connection, evhttp_request *Request);
  void watchForDisconnect(connection &Connection, exchange &Exchange);
  void finishExchange(connection &Connection);
  static void notifyDisconnect(exchange &Exchange);
  void updateListener(bool MayAccept);
  static bool hasUnreadInput(evhttp_connection *Raw);

  event_loop &Loop;
  http_server_limits Limits;
  http_handler Handler;
  logger Log{"http_server"};
  evhttp_bound_socket *Bound = nullptr;
  bool Stopped = false;
  bool Destroying = false;
  std::vector<bufferevent *> Accepted;
  std::unordered_map<evhttp_connection *, std::unique_ptr<connection>>
      Connections;
  event_ptr RegisterEvent;
  std::vector<evhttp_connection *> Aborted;
  event_ptr CloseAbortedEvent;
  event_ptr CloseListenerEvent;
  std::shared_ptr<connection_limiter> Limiter;
  std::list<connection_limiter::listener>::iterator Listener;
  evhttp_ptr Http;
};

class http_server::impl::responder final : public ihttp_responder {
public:
  responder(impl &Server, std::weak_ptr<exchange> Exchange)
      : Server(Server), Exchange(std::move(Exchange)), Limiter(Server.Limiter) {
  }
  ~responder() override {
    respond({.Code = HTTP_INTERNAL});
    Limiter->endHandling(HeldBytes);
  }
  responder(const responder &) = delete;
  responder &operator=(const responder &) = delete;

  /// Counts the body of the request as held, for as long as the responder
  /// exists.
  /// \returns false if that would be too much.
  bool hold(std::size_t Bytes) {
    if (!Limiter->beginHandling(Bytes)) {
      return false;
    }
    HeldBytes = Bytes;
    return true;
  }

  void respond(http_response Response) override {
    const auto Open = Exchange.lock();
    if (Open && !Open->Responded) {
      Server.sendResponse(*Open, Response);
    }
  }

  void abort() override {
    const auto Open = Exchange.lock();
    if (Open && !Open->Responded) {
      Server.abort(*Open);
    }
  }

  void onCallerDisconnected(std::function<void()> DisconnectHandler) override {
    const auto Open = Exchange.lock();
    if (Open && !Open->Responded) {
      Open->DisconnectHandler = std::move(DisconnectHandler);
    }
  }

private:
  impl &Server; // outlives every exchange
  std::weak_ptr<exchange> Exchange;
  std::shared_ptr<connection_limiter> Limiter;
  std::size_t HeldBytes = 0;
};

http_server::impl::impl(event_loop &Loop, const socket_address &Address,
                        const http_server_limits &Limits,
                        std::shared_ptr<connection_limiter> Limiter,
                        http_handler Handler)
    : Loop(Loop), Limits(Limits), Handler(std::move(Handler)),
      Limiter(std::move(Limiter)), Http(evhttp_new(Loop.base())) {
  RegisterEvent.reset(event_new(
      Loop.base(), -1, 0,
      [](int, short, void *Self) {
        static_cast<impl *>(Self)->registerAccepted();
      },
      this));
  CloseAbortedEvent.reset(event_new(
      Loop.base(), -1, 0,
      [](int, short, void *Self) { static_cast<impl *>(Self)->closeAborted(); },
      this));
  CloseListenerEvent.reset(evtimer_new(
      Loop.base(),
      [](int, short, void *Self) {
        auto &Server = *static_cast<impl *>(Self);
        evhttp_del_accept_socket(Server.Http.get(), Server.Bound);
        Server.Bound = nullptr;
      },
      this));
  if (!Http || !RegisterEvent || !CloseAbortedEvent || !CloseListenerEvent) {
    throw unavailable_error("cannot create the HTTP server");
  }
  evhttp_set_max_headers_size(Http.get(),
                              static_cast<ev_ssize_t>(Limits.MaxHeaderBytes));
  evhttp_set_max_body_size(Http.get(),
                           static_cast<ev_ssize_t>(Limits.MaxBodyBytes));
  evhttp_set_timeout(Http.get(), static_cast<int>(Limits.IdleTimeout.count()));
  evhttp_set_default_content_type(Http.get(), nullptr);
  evhttp_set_allowed_methods(Http.get(), allMethods());
  evhttp_set_bevcb(Http.get(), &impl::onAccept, this);
  evhttp_set_gencb(Http.get(), &impl::onRequest, this);
  Bound = evhttp_bind_socket_with_handle(Http.get(), Address.Ip.c_str(),
                                         Address.Port);
  if (Bound == nullptr) {
    throw bind_error(Address);
  }
  Port = boundPort(evhttp_bound_socket_get_fd(Bound));
  Listener = this->Limiter->addListener(
      [this](bool MayAccept) { updateListener(MayAccept); });
}

http_server::impl::~impl() {
  Destroying = true;
  Limiter->removeListener(Listener);
  Http.reset();
}

// Closing the listener resets connections that the kernel has accepted already,
// so it is closed after the loop has polled it once more and accepted them.
void http_server::impl::stopAccepting() {
  if (!Stopped) {
    Stopped = true;
    const timeval AfterNextPoll{};
    event_add(CloseListenerEvent.get(), &AfterNextPoll);
  }
}

// evhttp reports a new connection before it is set up, and its end only through
// a callback set on the connection. So the callback is set by an event later in
// the same loop iteration, before the connection can have an event.
bufferevent *http_server::impl::onAccept(event_base *Base, void *Self) {
  auto *Server = static_cast<impl *>(Self);
  bufferevent *Buffer = bufferevent_socket_new(Base, -1, 0);
  if (Buffer != nullptr) {
    Server->Accepted.push_back(Buffer);
    event_active(Server->RegisterEvent.get(), EV_TIMEOUT, 1);
    // The listener would go on accepting before others are closed.
    if (!Server->Limiter->hasRoomFor(Server->Accepted.size())) {
      Server->updateListener(false);
    }
  }
  return Buffer;
}

void http_server::impl::registerAccepted() {
  for (bufferevent *Buffer : std::exchange(Accepted, {})) {
    void *Context = nullptr;
    bufferevent_getcb(Buffer, nullptr, nullptr, nullptr, &Context);
    auto *Raw = static_cast<evhttp_connection *>(Context);
    if (Raw == nullptr) {
      continue;
    }
    const int NoDelay = 1;
    ::setsockopt(bufferevent_getfd(Buffer), IPPROTO_TCP, TCP_NODELAY, &NoDelay,
                 sizeof NoDelay);
    auto Connection = std::make_unique<connection>(*this, Raw);
    evhttp_connection_set_closecb(Raw, &impl::onClosed, Connection.get());
    limit(*Connection);
    Connections.emplace(Raw, std::move(Connection));
  }
  updateListener(Limiter->mayAccept());
}

void http_server::impl::limit(connection &Connection) {
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Connection.Raw);
  evbuffer_add_cb(bufferevent_get_input(Buffer), &impl::onInput, &Connection);
  evbuffer_add_cb(bufferevent_get_output(Buffer), &impl::onOutput, &Connection);
  Connection.Id = Limiter->add([this, Raw = Connection.Raw] {
    Loop.invoke([&] { evhttp_connection_free(Raw); });
  });
}

// Bytes that evhttp has moved from the connection's buffer to the request are
// still held, so that only what arrives is counted here.
void http_server::impl::onInput(evbuffer *, const evbuffer_cb_info *Info,
                                void *Context) {
  auto &Connection = *static_cast<connection *>(Context);
  if (Info->n_added > 0) {
    Connection.Received += Info->n_added;
    Connection.Server.updateBuffered(Connection);
  }
}

void http_server::impl::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                                 void *Context) {
  auto &Connection = *static_cast<connection *>(Context);
  Connection.Unsent = Info->orig_size + Info->n_added - Info->n_deleted;
  Connection.Server.updateBuffered(Connection);
}

void http_server::impl::updateBuffered(const connection &Connection) {
  Limiter->setBuffered(Connection.Id, Connection.Received + Connection.Unsent);
}

void http_server::impl::updateListener(bool MayAccept) {
  if (Stopped || Bound == nullptr) {
    return;
  }
  evconnlistener *Accepting = evhttp_bound_socket_get_listener(Bound);
  if (MayAccept) {
    evconnlistener_enable(Accepting);
  } else {
    evconnlistener_disable(Accepting);
  }
}

void http_server::impl::onClosed(evhttp_connection *, void *Context) {
  auto &Connection = *static_cast<connection *>(Context);
  Connection.Server.closed(Connection);
}

void http_server::impl::closed(connection &Connection) {
  const auto Open = std::move(Connection.Current);
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Connection.Raw);
  evbuffer_remove_cb(bufferevent_get_input(Buffer), &impl::onInput,
                     &Connection);
  evbuffer_remove_cb(bufferevent_get_output(Buffer), &impl::onOutput,
                     &Connection);
  Limiter->remove(Connection.Id);
  std::erase(Aborted, Connection.Raw);
  Connections.erase(Connection.Raw);
  if (Open) {
    --OpenRequests;
  }
  if (Destroying) {
    return;
  }
  if (Open && !Open->Responded) {
    Open->Responded = true;
    // evhttp does not own a request any more whose connection it has closed.
    if (Open->Request != nullptr &&
        evhttp_request_get_connection(Open->Request) == nullptr) {
      evhttp_request_free(Open->Request);
    }
    notifyDisconnect(*Open);
  }
}

void http_server::impl::notifyDisconnect(exchange &Exchange) {
  if (const auto Call = std::exchange(Exchange.DisconnectHandler, nullptr)) {
    Call();
  }
}

void http_server::impl::onRequest(evhttp_request *Request, void *Self) {
  auto *Server = static_cast<impl *>(Self);
  auto *Raw = evhttp_request_get_connection(Request);
  const auto Found = Server->Connections.find(Raw);
  if (Found == Server->Connections.end()) {
    evhttp_send_error(Request, HTTP_SERVUNAVAIL, nullptr);
    return;
  }
  Server->Loop.invoke([&] { Server->handle(*Found->second, Request); });
}

void http_server::impl::handle(connection &Connection,
                               evhttp_request *Request) {
  const auto Open = std::make_shared<exchange>(Request);
  Connection.Current = Open;
  Limiter->setAwaitingResponse(Connection.Id, true);
  ++OpenRequests;
  const auto Responder = std::make_shared<responder>(*this, Open);
  const auto Method = findMethod(evhttp_request_get_command(Request));
  const auto Headers = copyHeaders(*evhttp_request_get_input_headers(Request));
  if (!Method || isFramingAmbiguous(*Method, Headers)) {
    Responder->respond(
        {.Code = HTTP_BADREQUEST, .Headers = {{"Connection", "close"}}});
    return;
  }
  watchForDisconnect(Connection, *Open);
  const std::string Path = decodedPath(Request);
  const std::string Body = takeBody(*evhttp_request_get_input_buffer(Request));
  Connection.Received = evbuffer_get_length(
      bufferevent_get_input(evhttp_connection_get_bufferevent(Connection.Raw)));
  updateBuffered(Connection);
  if (!Responder->hold(Body.size())) {
    Responder->respond(
        {.Code = HTTP_SERVUNAVAIL,
         .Headers = {{"Retry-After", std::to_string(RetryAfter.count())}}});
    return;
  }
  char *RemoteIp = nullptr;
  ev_uint16_t RemotePort = 0;
  evhttp_connection_get_peer(Connection.Raw, &RemoteIp, &RemotePort);
  const std::string Remote =
      socket_address{RemoteIp == nullptr ? "" : RemoteIp, RemotePort}.str();
  try {
    Handler({.Method = Method->Name,
             .Path = Path,
             .Query = queryOf(Request),
             .Headers = Headers,
             .Body = Body,
             .RemoteAddress = Remote},
            Responder);
  } catch (const std::exception &Failure) {
    Log.error(Failure.what());
    Responder->respond({.Code = HTTP_INTERNAL});
  }
}

// evhttp does not read while a request is being handled and treats a read then
// as an error. So this event only peeks at the socket.
void http_server::impl::watchForDisconnect(connection &Connection,
                                           exchange &Exchange) {
  const int Descriptor =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection.Raw));
  Exchange.DisconnectWatch.reset(event_new(Loop.base(), Descriptor, EV_READ,
                                           &impl::onReadable, &Connection));
  if (Exchange.DisconnectWatch) {
    event_add(Exchange.DisconnectWatch.get(), nullptr);
  }
}

void http_server::impl::onReadable(int Descriptor, short, void *Context) {
  auto &Connection = *static_cast<connection *>(Context);
  char Byte = 0;
  const auto Size = ::recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool Reset = Size < 0 && errno != EAGAIN && errno != EINTR;
  if (Size > 0) {
    return; // pipelined data hides the end of file
  }
  impl &Server = Connection.Server;
  if (Size == 0) {
    const auto Open = Connection.Current;
    Server.Loop.invoke([&] { notifyDisconnect(*Open); });
  } else if (Reset) {
    // Closing the connection frees the request.
    Connection.Current->Request = nullptr;
    Server.Loop.invoke([&] { evhttp_connection_free(Connection.Raw); });
  } else {
    event_add(Connection.Current->DisconnectWatch.get(), nullptr);
  }
}

void http_server::impl::sendResponse(exchange &Exchange,
                                     const http_response &Response) {
  Exchange.Responded = true;
  Exchange.DisconnectWatch.reset();
  Exchange.DisconnectHandler = nullptr;
  evhttp_request *Request = Exchange.Request;
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  addHeaders(*Headers, Response.Headers);
  // A connection that is closed with unread input is reset, and the response
  // may be lost.
  if (Stopped && !hasUnreadInput(evhttp_request_get_connection(Request))) {
    evhttp_remove_header(Headers, "Connection");
    evhttp_add_header(Headers, "Connection", "close");
  }
  evbuffer *Body = evhttp_request_get_output_buffer(Request);
  evbuffer_add(Body, Response.Body.data(), Response.Body.size());
  auto *Raw = evhttp_request_get_connection(Request);
  connection &Connection = *Connections.at(Raw);
  evhttp_request_set_on_complete_cb(Request, &impl::onResponseWritten,
                                    &Connection);
  Limiter->setAwaitingResponse(Connection.Id, false);
  evhttp_send_reply(Request, Response.Code, nullptr, nullptr);
}

bool http_server::impl::hasUnreadInput(evhttp_connection *Raw) {
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Raw);
  if (evbuffer_get_length(bufferevent_get_input(Buffer)) > 0) {
    return true;
  }
  char Byte = 0;
  return ::recv(bufferevent_getfd(Buffer), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >
         0;
}

// evhttp may still be dispatching the request, so the connection is closed from
// an event of its own.
void http_server::impl::abort(exchange &Exchange) {
  Exchange.Responded = true;
  Exchange.DisconnectWatch.reset();
  Exchange.DisconnectHandler = nullptr;
  Aborted.push_back(evhttp_request_get_connection(Exchange.Request));
  event_active(CloseAbortedEvent.get(), EV_TIMEOUT, 1);
}

void http_server::impl::closeAborted() {
  for (evhttp_connection *Raw : std::exchange(Aborted, {})) {
    evhttp_connection_free(Raw);
  }
}

void http_server::impl::onResponseWritten(evhttp_request *, void *Context) {
  auto &Connection = *static_cast<connection *>(Context);
  Connection.Server.finishExchange(Connection);
}

void http_server::impl::finishExchange(connection &Connection) {
  Connection.Current.reset();
  --OpenRequests;
}

http_server::http_server(event_loop &Loop, std::string_view Listen,
                         const http_server_limits &Limits, http_handler Handler)
    : http_server(
          Loop, Listen, Limits,
          std::make_shared<connection_limiter>(Loop, Limits.Connections),
          std::move(Handler)) {}

http_server::http_server(event_loop &Loop, std::string_view Listen,
                         const http_server_limits &Limits,
                         std::shared_ptr<connection_limiter> Limiter,
                         http_handler Handler)
    : Impl(std::make_unique<impl>(Loop, parseAddress(Listen), Limits,
                                  std::move(Limiter), std::move(Handler))) {}

http_server::~http_server() = default;

std::uint16_t http_server::port() const { return Impl->Port; }

void http_server::stopAccepting() { Impl->stopAccepting(); }

std::size_t http_server::openRequests() const { return Impl->OpenRequests; }

std::size_t http_server::openConnections() const {
  return Impl->openConnections();
}

} // namespace geraniumpaddle
