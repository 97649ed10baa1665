#include "standins/worker/workerserver.h"

#include "core/base/error.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <netinet/in.h>

namespace geraniumpaddle::standins {

namespace {

time_point monotonicNow() {
  const auto Since = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<duration>(Since));
}

wall_time wallClockNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

timeval toTimeval(duration Time) {
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Time);
  return {static_cast<time_t>(Seconds.count()),
          static_cast<suseconds_t>((Time - Seconds).count())};
}

std::string bodyOf(evhttp_request *Request) {
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  std::string Body(evbuffer_get_length(Input), '\0');
  evbuffer_copyout(Input, Body.data(), Body.size());
  return Body;
}

std::string pathOf(evhttp_request *Request) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Path = Uri ? evhttp_uri_get_path(Uri) : nullptr;
  return Path ? Path : "";
}

std::uint16_t portOf(evhttp_bound_socket *Socket) {
  sockaddr_in Address{};
  socklen_t Length = sizeof Address;
  getsockname(evhttp_bound_socket_get_fd(Socket),
              reinterpret_cast<sockaddr *>(&Address), &Length);
  return ntohs(Address.sin_port);
}

} // namespace

/// An answer to be sent, or a connection to be closed, after a delay.
struct worker_server::delayed_answer {
  worker_server *Server;
  evhttp_connection *Connection;
  evhttp_request *Request;
  json_answer Answer;
};

worker_server::worker_server(event_base *Base, const std::string &Address,
                             std::uint16_t WantedPort,
                             worker_interface &Interface)
    : Base(Base), Interface(Interface), Http(evhttp_new(Base)),
      Timer(evtimer_new(Base, onTimer, this)) {
  evhttp_set_gencb(Http, onRequest, this);
  evhttp_bound_socket *Socket =
      evhttp_bind_socket_with_handle(Http, Address.c_str(), WantedPort);
  if (!Socket)
    throw unavailable_error("cannot listen on " + Address);
  Port = portOf(Socket);
}

worker_server::~worker_server() {
  event_free(Timer);
  evhttp_free(Http);
}

void worker_server::onRequest(evhttp_request *Request, void *Context) {
  static_cast<worker_server *>(Context)->serve(Request);
}

void worker_server::onClosed(evhttp_connection *Connection, void *Context) {
  static_cast<worker_server *>(Context)->Unanswered.erase(Connection);
}

void worker_server::serve(evhttp_request *Request) {
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  evhttp_connection_set_closecb(Connection, onClosed, this);
  Unanswered.insert(Connection);
  const std::string Path = pathOf(Request);
  const std::string Body = bodyOf(Request);
  if (Path == "/faults" || Path == "/history")
    serveControl(Request, Path, Body);
  else
    serveCall(Request, Path, Body);
  armTimer();
}

void worker_server::serveControl(evhttp_request *Request, std::string_view Path,
                                 std::string_view Body) {
  if (Path == "/faults")
    return handleFaults(Request, Body);
  Interface.worker().advance(monotonicNow());
  send(Request, Interface.history(monotonicNow(), wallClockNow()));
}

void worker_server::handleFaults(evhttp_request *Request,
                                 std::string_view Body) {
  try {
    setFaults(parseFaults(Body));
  } catch (const malformed_message_error &) {
    return send(Request, {400, R"({"code":"malformed_message"})"});
  }
  send(Request, {200, "{}"});
}

void worker_server::setFaults(const fault_plan &Plan) {
  Faults = Plan;
  Interface.worker().failAllTasks(Plan.Mode == fault_mode::FailAllTasks);
}

void worker_server::serveCall(evhttp_request *Request, std::string_view Path,
                              std::string_view Body) {
  const fault_mode Fault = Faults.next();
  if (Fault == fault_mode::Silent)
    return;
  if (Fault == fault_mode::Down)
    return send(Request, {503, "{\"code\":\"unavailable\"}"});
  json_answer Answer = Interface.call(Path, Body, monotonicNow());
  if (Fault == fault_mode::Slow)
    sendLater(Request, std::move(Answer), Faults.Delay,
              /*CloseWithoutAnswer=*/false);
  else if (Fault == fault_mode::LoseAnswer)
    sendLater(Request, {}, duration{}, /*CloseWithoutAnswer=*/true);
  else
    send(Request, Answer);
}

void worker_server::sendLater(evhttp_request *Request, json_answer Answer,
                              duration Delay, bool CloseWithoutAnswer) {
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  auto *Delayed =
      new delayed_answer{this, Connection, Request, std::move(Answer)};
  const timeval Wait = toTimeval(Delay);
  // A connection must not be freed inside the callback of its request.
  event_base_once(Base, -1, EV_TIMEOUT,
                  CloseWithoutAnswer ? onDelayedClose : onDelayExpired, Delayed,
                  &Wait);
}

void worker_server::onDelayExpired(int, short, void *Context) {
  const std::unique_ptr<delayed_answer> Delayed(
      static_cast<delayed_answer *>(Context));
  if (Delayed->Server->Unanswered.contains(Delayed->Connection))
    Delayed->Server->send(Delayed->Request, Delayed->Answer);
}

void worker_server::onDelayedClose(int, short, void *Context) {
  const std::unique_ptr<delayed_answer> Delayed(
      static_cast<delayed_answer *>(Context));
  if (Delayed->Server->Unanswered.contains(Delayed->Connection))
    evhttp_connection_free(Delayed->Connection);
}

void worker_server::send(evhttp_request *Request, const json_answer &Answer) {
  Unanswered.erase(evhttp_request_get_connection(Request));
  evhttp_add_header(evhttp_request_get_output_headers(Request), "Content-Type",
                    "application/json");
  evbuffer *Output = evhttp_request_get_output_buffer(Request);
  evbuffer_add(Output, Answer.Body.data(), Answer.Body.size());
  evhttp_send_reply(Request, Answer.Code, nullptr, Output);
}

void worker_server::onTimer(int, short, void *Context) {
  auto *Server = static_cast<worker_server *>(Context);
  Server->Interface.worker().advance(monotonicNow());
  Server->armTimer();
}

void worker_server::armTimer() {
  const time_point Next = Interface.worker().nextTimerAt();
  if (Next == time_point::max()) {
    evtimer_del(Timer);
    return;
  }
  const duration Left = std::max(duration{}, Next - monotonicNow());
  const timeval Wait = toTimeval(Left + duration(1));
  evtimer_add(Timer, &Wait);
}

} // namespace geraniumpaddle::standins
