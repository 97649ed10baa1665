#pragma once

#include "standins/worker/faults.h"
#include "standins/worker/workerinterface.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

struct event;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace geraniumpaddle::standins {

/// Serves a worker_interface over HTTP. POST /faults injects faults and GET
/// /history returns all runs; every other path is a worker call.
class worker_server {
public:
  /// \param Port 0 selects a free port.
  /// \throws unavailable_error if the address cannot be bound.
  worker_server(event_base *Base, const std::string &Address,
                std::uint16_t Port, worker_interface &Interface);
  ~worker_server();
  worker_server(const worker_server &) = delete;
  worker_server &operator=(const worker_server &) = delete;

  std::uint16_t port() const { return Port; }
  void setFaults(const fault_plan &Plan);

private:
  struct delayed_answer;

  static void onRequest(evhttp_request *Request, void *Context);
  static void onClosed(evhttp_connection *Connection, void *Context);
  static void onDelayExpired(int, short, void *Context);
  static void onDelayedClose(int, short, void *Context);
  static void onTimer(int, short, void *Context);

  void serve(evhttp_request *Request);
  void serveControl(evhttp_request *Request, std::string_view Path,
                    std::string_view Body);
  void serveCall(evhttp_request *Request, std::string_view Path,
                 std::string_view Body);
  void handleFaults(evhttp_request *Request, std::string_view Body);
  void sendLater(evhttp_request *Request, json_answer Answer, duration Delay,
                 bool CloseWithoutAnswer);
  void send(evhttp_request *Request, const json_answer &Answer);
  void armTimer();

  event_base *Base;
  worker_interface &Interface;
  evhttp *Http;
  event *Timer;
  std::uint16_t Port = 0;
  fault_plan Faults;
  /// Connections with an unanswered request.
  std::set<evhttp_connection *> Unanswered;
};

} // namespace geraniumpaddle::standins
