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
/// response, whose first line has the method, the path and the X-Request-Tag.
/// GET /history returns the run counts by tag; POST /faults sets a fault_plan.
class endpoint_server {
public:
  /// \param Listen ip:port; port 0 selects a free port.
  /// \param MaxConnections requests on further connections are answered with
  ///        503.
  /// \throws unavailable_error if the address cannot be bound.
  endpoint_server(event_base *Base, const std::string &Listen,
                  std::size_t MaxConnections, duration Latency,
                  endpoint_model &Model);
  ~endpoint_server();
  endpoint_server(const endpoint_server &) = delete;
  endpoint_server &operator=(const endpoint_server &) = delete;

  std::uint16_t port() const { return Port; }
  /// Refuses new requests and stops the loop once the running ones are
  /// answered.
  void drain();

private:
  struct running_request;

  static void onRequest(evhttp_request *Request, void *Context);
  static void onClosed(evhttp_connection *Connection, void *Context);
  static void onDelayExpired(int, short, void *Context);
  static void onOutageStart(int, short, void *Context);
  static void onOutageEnd(int, short, void *Context);

  void bind();
  void serve(evhttp_request *Request);
  void start(evhttp_request *Request);
  void complete(running_request &Running);
  void sendHalfBody(const running_request &Running);
  void sendHistory(evhttp_request *Request);
  void setFaults(evhttp_request *Request);
  void stopIfDrained();

  event_base *Base;
  std::string Ip;
  std::uint16_t Port = 0;
  std::size_t MaxConnections;
  duration Latency;
  endpoint_model &Model;
  evhttp *Http;
  evhttp_bound_socket *Socket = nullptr;
  duration OutageTime{};
  std::set<evhttp_connection *> Connections;
  /// Running requests; at most one per connection.
  std::map<evhttp_connection *, std::unique_ptr<running_request>> Running;
};

} // namespace geraniumpaddle::standins
