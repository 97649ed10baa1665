#pragma once

#include "standins/logservice/logfaults.h"
#include "standins/logservice/logmodel.h"
#include "transport/httpserver.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle::standins {

/// Serves a log_model over HTTP:
///   POST /append                            LogAppend -> LogAppended, or 429
///   GET /read?from=N&limit=N&wait_ms=N      LogRecords; 410 if dropped
///   POST /faults                            see log_fault_plan
///   GET /stats                              counters since the start
class log_server {
public:
  /// \throws invalid_argument_error, bind_error
  log_server(event_loop &Loop, std::string_view Listen,
             const log_model_limits &Limits);
  ~log_server();
  log_server(const log_server &) = delete;
  log_server &operator=(const log_server &) = delete;

  std::uint16_t port() const { return Server->port(); }
  const log_model &model() const { return Model; }

private:
  using responder_ptr = std::shared_ptr<ihttp_responder>;

  struct call {
    std::string Path;
    std::string Query;
    std::string Body;
    responder_ptr Responder;
  };
  struct reader {
    std::uint64_t From;
    std::size_t Limit;
    timer_id Timer;
    responder_ptr Responder;
  };
  struct statistics {
    std::uint64_t Appends = 0;
    std::uint64_t Refused = 0;
    std::uint64_t Reads = 0;
    std::uint64_t Bytes = 0;
  };
  using call_handler = void (log_server::*)(const call &);
  struct route {
    std::string_view Method;
    std::string_view Path;
    call_handler Handler;
  };

  void handle(const http_request_view &Request, const responder_ptr &Responder);
  void applyFault(const call &Call, call_handler Handler);
  void append(const call &Call);
  void read(const call &Call);
  void wait(const call &Call, std::uint64_t From, std::size_t Limit,
            duration Wait);
  void setFaults(const call &Call);
  void applyFaultToOpenCalls();
  void sendStatistics(const call &Call);
  void sendRecords(ihttp_responder &Responder, std::uint64_t From,
                   std::size_t Limit);
  void respondToReaders();
  reader removeReader(std::uint64_t Id);

  event_loop &Loop;
  log_model Model;
  log_fault_plan Faults;
  statistics Statistics;
  std::uint64_t LastReader = 0;
  std::map<std::uint64_t, reader> Readers;
  std::vector<responder_ptr> UnansweredCalls;
  std::unique_ptr<http_server> Server;
};

} // namespace geraniumpaddle::standins
