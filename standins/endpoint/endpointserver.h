#pragma once

#include "standins/endpoint/endpointmodel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace geraniumpaddle::standins {

/// Serves an endpoint_model over HTTP.
///
/// Any path is served: `?ms=N` sets the latency and `?bytes=N` the size of the
/// answer, whose first line is the method, the path and the X-Request-Tag.
/// GET /history tells the runs by tag; POST /faults sets a fault_plan.
class endpoint_server {
public:
  /// \param Listen ip:port; port 0 takes a free one.
  /// \param MaxConnections a request on one more is answered with 503.
  /// \throws unavailable_error if the address cannot be bound.
  endpoint_server(event_base *Base, const std::string &Listen,
                  std::size_t MaxConnections, duration Latency,
                  endpoint_model &Model);
  ~endpoint_server();
  endpoint_server(const endpoint_server &) = delete;
  endpoint_server &operator=(const endpoint_server &) = delete;

  std::uint16_t port() const { return Port; }
  /// Refuses new requests and ends the loop once what runs is answered.
  void drain();

private:
  struct running_request;

  static void onRequest(evhttp_request *Request, void *Context);
  static void onClosed(evhttp_connection *Connection, void *Context);
  static void onLatencyOver(int, short, void *Context);
  static void onGoDown(int, short, void *Context);
  static void onComeUp(int, short, void *Context);

  void bind();
  void serve(evhttp_request *Request);
  void start(evhttp_request *Request);
  void complete(running_request &Running);
  void sendHalf(const running_request &Running);
  void sendHistory(evhttp_request *Request);
  void setFaults(evhttp_request *Request);
  void endIfDrained();

  event_base *Base;
  std::string Ip;
  std::uint16_t Port = 0;
  std::size_t MaxConnections;
  duration Latency;
  endpoint_model &Model;
  evhttp *Http;
  evhttp_bound_socket *Socket = nullptr;
  duration DownTime{};
  std::set<evhttp_connection *> Connections;
  /// At most one for each connection.
  std::map<evhttp_connection *, std::unique_ptr<running_request>> Running;
};

} // namespace geraniumpaddle::standins
