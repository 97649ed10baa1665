#include "transport/internal/httpconnection.h"

#include "core/base/error.h"
#include "transport/internal/httpheaders.h"
#include "transport/internal/httpmethod.h"

#include <event2/bufferevent.h>

#include <cerrno>
#include <charconv>
#include <sys/socket.h>

namespace geraniumpaddle {

namespace {

// evhttp has timeouts of its own, which must expire after those of the calls.
constexpr std::chrono::seconds EvhttpTimeoutMargin{5};

constexpr int NoContent = 204;
constexpr int NotModified = 304;

} // namespace

http_connection::http_connection(event_loop &Loop,
                                 const socket_address &Address,
                                 const http_client_limits &Limits,
                                 change_callback Changed)
    : Address(Address), Limits(Limits), Changed(std::move(Changed)),
      Buffer(bufferevent_socket_new(Loop.base(), -1, 0)) {
  if (Buffer == nullptr) {
    throw unavailable_error("cannot create an HTTP connection");
  }
  Raw.reset(evhttp_connection_base_bufferevent_new(
      Loop.base(), nullptr, Buffer, Address.Ip.c_str(), Address.Port));
  if (!Raw) {
    bufferevent_free(Buffer);
    throw unavailable_error("cannot create an HTTP connection");
  }
  evhttp_connection_set_retries(Raw.get(), 0);
  evhttp_connection_set_max_headers_size(
      Raw.get(), static_cast<ev_ssize_t>(Limits.MaxHeaderBytes));
  evhttp_connection_set_max_body_size(
      Raw.get(), static_cast<ev_ssize_t>(Limits.MaxBodyBytes));
  evhttp_connection_set_closecb(Raw.get(), &http_connection::onClosed, this);
  evbuffer_add_cb(bufferevent_get_output(Buffer), &http_connection::onWritten,
                  this);
  evbuffer_add_cb(bufferevent_get_input(Buffer), &http_connection::onRead,
                  this);
}

http_connection::~http_connection() {
  Changed = nullptr;
  evhttp_connection_set_closecb(Raw.get(), nullptr, nullptr);
}

void http_connection::start(const http_call &Call) {
  Method = Call.Method;
  Result = {};
  Finished = false;
  Written = 0;
  Read = 0;
  const auto EvhttpTimeout =
      std::chrono::ceil<std::chrono::seconds>(Call.Timeout) +
      EvhttpTimeoutMargin;
  evhttp_connection_set_timeout(Raw.get(),
                                static_cast<int>(EvhttpTimeout.count()));
  evhttp_request *Request = newRequest(Call);
  const auto Command = findMethod(Call.Method)->Command;
  if (evhttp_make_request(Raw.get(), Request, Command, Call.Target.c_str()) !=
          0 &&
      !Finished) {
    Closed = true;
    finish(nullptr);
  }
}

evhttp_request *http_connection::newRequest(const http_call &Call) {
  evhttp_request *Request = evhttp_request_new(&http_connection::onDone, this);
  if (Request == nullptr) {
    throw unavailable_error("cannot create an HTTP request");
  }
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  addHeaders(*Headers, Call.Headers);
  if (findHeader(Call.Headers, "Host") == nullptr) {
    evhttp_add_header(Headers, "Host", Address.str().c_str());
  }
  const bool HasBody = findMethod(Call.Method)->HasBody;
  if (HasBody || !Call.Body.empty()) {
    evhttp_add_header(Headers, "Content-Length",
                      std::to_string(Call.Body.size()).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(Request), Call.Body.data(),
               Call.Body.size());
  return Request;
}

bool http_connection::usable() const {
  if (Closed || (Finished && Result.Status != call_status::Completed)) {
    return false;
  }
  char Byte = 0;
  const auto Size =
      ::recv(bufferevent_getfd(Buffer), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Size < 0 && errno == EAGAIN;
}

void http_connection::onDone(evhttp_request *Request, void *Self) {
  static_cast<http_connection *>(Self)->finish(Request);
}

void http_connection::finish(evhttp_request *Request) {
  if (Finished) {
    return;
  }
  Finished = true;
  if (Request != nullptr && evhttp_request_get_response_code(Request) != 0 &&
      isComplete(*Request)) {
    Result.Status = call_status::Completed;
    Result.Code = evhttp_request_get_response_code(Request);
    Result.Headers = copyHeaders(*evhttp_request_get_input_headers(Request));
    Result.Body = takeBody(*evhttp_request_get_input_buffer(Request));
  } else {
    Result.Status = nothingWritten() ? call_status::NotSent : call_status::Lost;
  }
  if (Changed) {
    Changed(*this);
  }
}

// Without framing headers, evhttp takes the end of the connection for the end
// of the body.
bool http_connection::isComplete(const evhttp_request &Request) const {
  auto *Raw = const_cast<evhttp_request *>(&Request);
  const int Code = evhttp_request_get_response_code(Raw);
  if (Method == "HEAD" || Code == NoContent || Code == NotModified) {
    return true;
  }
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  if (evhttp_find_header(Headers, "Transfer-Encoding") != nullptr) {
    return true;
  }
  const char *Length = evhttp_find_header(Headers, "Content-Length");
  if (Length == nullptr) {
    return Limits.AcceptCloseDelimited;
  }
  std::size_t Expected = 0;
  const std::string_view Text(Length);
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Expected);
  return Parsed.ec == std::errc() &&
         evbuffer_get_length(evhttp_request_get_input_buffer(Raw)) == Expected;
}

void http_connection::onClosed(evhttp_connection *, void *Self) {
  auto *Connection = static_cast<http_connection *>(Self);
  Connection->Closed = true;
  if (Connection->Finished && Connection->Changed) {
    Connection->Changed(*Connection);
  }
}

// Bytes leave the output buffer when they are written to the socket. evhttp
// also drains the buffer when a connection fails; the call is then reported as
// Lost rather than NotSent, which is the safe side.
void http_connection::onWritten(evbuffer *, const evbuffer_cb_info *Info,
                                void *Self) {
  static_cast<http_connection *>(Self)->Written += Info->n_deleted;
}

void http_connection::onRead(evbuffer *, const evbuffer_cb_info *Info,
                             void *Self) {
  static_cast<http_connection *>(Self)->Read += Info->n_added;
}

} // namespace geraniumpaddle
