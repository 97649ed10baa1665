#include "standins/endpoint/endpointserver.h"

#include "core/base/error.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace geraniumpaddle::standins {

namespace {

/// Time to write the response to POST /faults before connections are closed.
constexpr timeval OutageStartDelay{0, 20000};

timeval toTimeval(duration Length) {
  constexpr auto Micros = std::chrono::microseconds::period::den;
  return {Length.count() / Micros, Length.count() % Micros};
}

/// Returns an unsigned query parameter, or \p Default if it is absent.
std::uint64_t queryNumber(evhttp_request *Request, const char *Name,
                          std::uint64_t Default) {
  const char *Query =
      evhttp_uri_get_query(evhttp_request_get_evhttp_uri(Request));
  if (!Query)
    return Default;
  evkeyvalq Pairs;
  evhttp_parse_query_str(Query, &Pairs);
  const char *Text = evhttp_find_header(&Pairs, Name);
  const std::uint64_t Value = Text ? std::strtoull(Text, nullptr, 10) : Default;
  evhttp_clear_headers(&Pairs);
  return Value;
}

std::string header(evhttp_request *Request, const char *Name) {
  const char *Value =
      evhttp_find_header(evhttp_request_get_input_headers(Request), Name);
  return Value ? Value : "";
}

std::string_view methodName(evhttp_request *Request) {
  static constexpr std::array<std::pair<evhttp_cmd_type, std::string_view>, 5>
      Names = {{{EVHTTP_REQ_GET, "GET"},
                {EVHTTP_REQ_POST, "POST"},
                {EVHTTP_REQ_PUT, "PUT"},
                {EVHTTP_REQ_DELETE, "DELETE"},
                {EVHTTP_REQ_PATCH, "PATCH"}}};
  for (const auto &[Type, Name] : Names) {
    if (Type == evhttp_request_get_command(Request))
      return Name;
  }
  return "OTHER";
}

std::string path(evhttp_request *Request) {
  const char *Path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(Request));
  return Path ? Path : "";
}

std::string requestBody(evhttp_request *Request) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Request);
  const std::size_t Length = evbuffer_get_length(Buffer);
  const auto *Bytes =
      reinterpret_cast<const char *>(evbuffer_pullup(Buffer, -1));
  return Length == 0 ? std::string() : std::string(Bytes, Length);
}

void reply(evhttp_request *Request, int Code, std::string_view Body) {
  evbuffer *Buffer = evhttp_request_get_output_buffer(Request);
  evbuffer_add(Buffer, Body.data(), Body.size());
  evhttp_send_reply(Request, Code, nullptr, nullptr);
}

std::string toJson(const google::protobuf::Struct &Message) {
  std::string Text;
  const auto Status =
      google::protobuf::util::MessageToJsonString(Message, &Text);
  if (!Status.ok())
    throw internal_error("cannot encode the run history as JSON");
  return Text;
}

fault_plan parsePlan(const std::string &Text) {
  google::protobuf::Struct Message;
  if (!google::protobuf::util::JsonStringToMessage(Text, &Message).ok())
    throw malformed_message_error("fault plan is not a JSON object");
  auto &Fields = *Message.mutable_fields();
  fault_plan Plan;
  Plan.Fault = parseFault(Fields["mode"].string_value());
  Plan.Delay = std::chrono::milliseconds(
      static_cast<std::int64_t>(Fields["delay_ms"].number_value()));
  Plan.Count = static_cast<std::uint32_t>(Fields["count"].number_value());
  return Plan;
}

std::uint16_t portOf(evhttp_bound_socket *Socket) {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  getsockname(evhttp_bound_socket_get_fd(Socket),
              reinterpret_cast<sockaddr *>(&Address), &Length);
  return ntohs(Address.sin_port);
}

} // namespace

struct endpoint_server::running_request {
  endpoint_server *Server;
  evhttp_connection *Connection;
  evhttp_request *Request;
  endpoint_fault Fault;
  std::string Answer;
  std::unique_ptr<event, decltype(&event_free)> Timer{nullptr, event_free};
};

endpoint_server::endpoint_server(event_base *Base, const std::string &Listen,
                                 std::size_t MaxConnections, duration Latency,
                                 endpoint_model &Model)
    : Base(Base), MaxConnections(MaxConnections), Latency(Latency),
      Model(Model), Http(evhttp_new(Base)) {
  const std::size_t Colon = Listen.rfind(':');
  if (Colon == std::string::npos)
    throw invalid_argument_error("invalid listen address, expected ip:port: " +
                                 Listen);
  Ip = Listen.substr(0, Colon);
  Port = static_cast<std::uint16_t>(
      std::strtoul(Listen.c_str() + Colon + 1, nullptr, 10));
  evhttp_set_gencb(Http, onRequest, this);
  evhttp_set_allowed_methods(Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                       EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                       EVHTTP_REQ_PATCH);
  bind();
}

endpoint_server::~endpoint_server() { evhttp_free(Http); }

void endpoint_server::bind() {
  Socket = evhttp_bind_socket_with_handle(Http, Ip.c_str(), Port);
  if (!Socket)
    throw unavailable_error("cannot listen on " + Ip);
  Port = portOf(Socket);
}

void endpoint_server::onRequest(evhttp_request *Request, void *Context) {
  static_cast<endpoint_server *>(Context)->serve(Request);
}

void endpoint_server::serve(evhttp_request *Request) {
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  evhttp_connection_set_closecb(Connection, onClosed, this);
  Connections.insert(Connection);
  const std::string Path = path(Request);
  if (Path == "/history")
    return sendHistory(Request);
  if (Path == "/faults")
    return setFaults(Request);
  if (Connections.size() > MaxConnections)
    return reply(Request, HTTP_SERVUNAVAIL, "too many connections\n");
  start(Request);
}

void endpoint_server::start(evhttp_request *Request) {
  const std::string Tag = header(Request, "X-Request-Tag");
  const auto DefaultMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Latency).count();
  const std::chrono::milliseconds RequestedLatency(
      queryNumber(Request, "ms", static_cast<std::uint64_t>(DefaultMs)));
  const request_plan Plan = Model.begin(Tag, RequestedLatency);
  if (!Plan.Accepted)
    return reply(Request, HTTP_SERVUNAVAIL, "busy\n");
  std::string Answer(methodName(Request));
  Answer += ' ' + path(Request) + ' ' + Tag + '\n';
  Answer.resize(
      std::max<std::size_t>(Answer.size(), queryNumber(Request, "bytes", 0)),
      'x');
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  evhttp_add_header(evhttp_request_get_output_headers(Request), "X-Request-Tag",
                    Tag.c_str());
  auto &Slot = Running[Connection];
  Slot = std::make_unique<running_request>(
      running_request{this, Connection, Request, Plan.Fault, Answer});
  if (Plan.Fault == endpoint_fault::Silent) {
    // The request holds its slot until the caller closes the connection, which
    // is detected only while reading is enabled.
    bufferevent_enable(evhttp_connection_get_bufferevent(Connection), EV_READ);
    return;
  }
  Slot->Timer.reset(evtimer_new(Base, onDelayExpired, Slot.get()));
  const timeval Delay = toTimeval(Plan.Latency);
  evtimer_add(Slot->Timer.get(), &Delay);
}

void endpoint_server::onDelayExpired(int, short, void *Context) {
  auto &Running = *static_cast<running_request *>(Context);
  Running.Server->complete(Running);
}

void endpoint_server::complete(running_request &Finished) {
  const std::unique_ptr<running_request> Completed =
      std::move(Running[Finished.Connection]);
  Running.erase(Finished.Connection);
  Model.finish();
  switch (Completed->Fault) {
  case endpoint_fault::LoseAnswer:
    evhttp_connection_free(Completed->Connection);
    break;
  case endpoint_fault::HalfBody:
    sendHalfBody(*Completed);
    evhttp_connection_free(Completed->Connection);
    break;
  case endpoint_fault::Error500:
    reply(Completed->Request, HTTP_INTERNAL, Completed->Answer);
    break;
  default:
    reply(Completed->Request, HTTP_OK, Completed->Answer);
  }
  stopIfDrained();
}

/// Writes the header and half of the body directly to the socket, since evhttp
/// can only send a complete response.
void endpoint_server::sendHalfBody(const running_request &Running) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Running.Connection);
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(Running.Answer.size()) + "\r\n\r\n";
  const std::string Bytes =
      Head + Running.Answer.substr(0, Running.Answer.size() / 2);
  evbuffer *Buffer = evbuffer_new();
  evbuffer_add(Buffer, Bytes.data(), Bytes.size());
  evbuffer_write(Buffer, bufferevent_getfd(Stream));
  evbuffer_free(Buffer);
}

void endpoint_server::onClosed(evhttp_connection *Connection, void *Context) {
  auto &Server = *static_cast<endpoint_server *>(Context);
  Server.Connections.erase(Connection);
  if (Server.Running.erase(Connection) == 0)
    return;
  Server.Model.finish();
  Server.stopIfDrained();
}

void endpoint_server::sendHistory(evhttp_request *Request) {
  google::protobuf::Struct Message;
  auto &Fields = *Message.mutable_fields();
  auto &Runs = *Fields["runs"].mutable_struct_value()->mutable_fields();
  for (const auto &[Tag, Count] : Model.runs())
    Runs[Tag].set_number_value(static_cast<double>(Count));
  Fields["peak"].set_number_value(Model.peak());
  Fields["refused"].set_number_value(static_cast<double>(Model.refused()));
  evhttp_add_header(evhttp_request_get_output_headers(Request), "Content-Type",
                    "application/json");
  reply(Request, HTTP_OK, toJson(Message));
}

void endpoint_server::setFaults(evhttp_request *Request) {
  try {
    const fault_plan Plan = parsePlan(requestBody(Request));
    if (Plan.Fault == endpoint_fault::Down) {
      OutageTime = Plan.Delay;
      event_base_once(Base, -1, EV_TIMEOUT, onOutageStart, this,
                      &OutageStartDelay);
    } else {
      Model.setFault(Plan);
    }
    reply(Request, HTTP_OK, "{}");
  } catch (const error &Failure) {
    reply(Request, HTTP_BADREQUEST, Failure.what());
  }
}

/// Closes the listening socket, so that new connections are refused, and all
/// open connections.
void endpoint_server::onOutageStart(int, short, void *Context) {
  auto &Server = *static_cast<endpoint_server *>(Context);
  if (!Server.Socket)
    return;
  evhttp_del_accept_socket(Server.Http, Server.Socket);
  Server.Socket = nullptr;
  const std::set<evhttp_connection *> Open = Server.Connections;
  for (evhttp_connection *Connection : Open)
    evhttp_connection_free(Connection);
  const timeval OutageTime = toTimeval(Server.OutageTime);
  event_base_once(Server.Base, -1, EV_TIMEOUT, onOutageEnd, Context,
                  &OutageTime);
}

void endpoint_server::onOutageEnd(int, short, void *Context) {
  static_cast<endpoint_server *>(Context)->bind();
}

void endpoint_server::drain() {
  Model.drain();
  stopIfDrained();
}

void endpoint_server::stopIfDrained() {
  // The delay lets pending responses be written before the loop stops.
  constexpr timeval FlushTime{0, 100000};
  if (Model.draining() && Model.idle())
    event_base_loopexit(Base, &FlushTime);
}

} // namespace geraniumpaddle::standins
