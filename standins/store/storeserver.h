#pragma once

#include "standins/logservice/logfaults.h"
#include "standins/store/storemodel.h"
#include "transport/eventloop.h"
#include "transport/httpserver.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle::standins {

/// Serves a store_model over HTTP after the platform's published protocol. For
/// tests it also serves
///   POST /stale?on=1      readers get only what is stored now; on=0
///                         ends this
///   POST /faults          see log_fault_plan
///   POST /compact         truncates the log of every topic
class store_server {
public:
  /// \throws invalid_argument_error, bind_error
  store_server(event_loop &Loop, std::string_view Listen);

  std::uint16_t port() const { return Server->port(); }

private:
  using responder_ptr = std::shared_ptr<ihttp_responder>;
  struct call {
    std::string Query;
    std::string Body;
    responder_ptr Responder;
  };
  struct reader {
    std::string Topic;
    std::uint64_t From = 0;
    responder_ptr Responder;
  };
  using call_handler = void (store_server::*)(const call &);
  struct route {
    std::string_view Method;
    std::string_view Path;
    call_handler Handler;
    bool FaultsApply = true;
  };

  void handle(const http_request_view &Request, const responder_ptr &Responder);
  void applyFault(const call &Call, call_handler Handler);
  void append(const call &Call);
  void read(const call &Call);
  void newest(const call &Call);
  void join(const call &Call);
  void leave(const call &Call);
  void setFaults(const call &Call);
  void compact(const call &Call);
  void setStale(const call &Call);
  /// Replaces a text by another of the same length in all later records, for
  /// proxies between processes that find each other through the store.
  void addAlias(const call &Call);
  const store_model &visibleModel() const {
    return StaleCopy ? *StaleCopy : Model;
  }
  void respondToReader(const reader &Reader);
  void respondToReaders();

  event_loop &Loop;
  store_model Model;
  /// What readers see while stale reads are on.
  std::optional<store_model> StaleCopy;
  log_fault_plan Faults;
  std::uint64_t LastReader = 0;
  std::map<std::uint64_t, reader> Readers;
  std::vector<responder_ptr> UnansweredCalls;
  std::map<std::string, std::string> Aliases;
  std::unique_ptr<http_server> Server;
};

} // namespace geraniumpaddle::standins
