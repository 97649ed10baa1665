#pragma once

#include "core/base/eventqueue.h"
#include "core/routing/attempttable.h"
#include "peercodec/peercodec.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ipeerserver.h"
#include "transport/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace geraniumpaddle {

/// Executes the commands of an attempt_table: calls the endpoint and responds
/// to the entries. Stores the content of requests and answers, which the table
/// does not need.
class attempt_driver {
public:
  /// \param Endpoint ip:port of the endpoint's HTTP interface.
  /// \param Drained called once a drain has finished.
  attempt_driver(ievent_loop &Loop, ihttp_client &Client, std::string Endpoint,
                 const attempt_settings &Settings, const peer_identity &Self,
                 std::function<void()> Drained);
  ~attempt_driver() { *Alive = false; }
  attempt_driver(const attempt_driver &) = delete;
  attempt_driver &operator=(const attempt_driver &) = delete;

  /// Handles a delivery or a query.
  /// \returns false, without answering, for any other call.
  /// \throws malformed_message_error
  bool handle(const proto::PeerRequest &Request, const peer_responder &Respond);
  void drain();

  agent_load load() const { return Table.load(); }
  bool idle() const { return Table.idle(); }
  /// False after a call that could not reach the endpoint, until a call does.
  bool endpointHealthy() const { return EndpointHealthy; }

private:
  struct attempt_data {
    proto::DeliverRequest Request;
    proto::EndpointAnswer Answer;
  };

  void push(attempt_event Event);
  void deliver(const proto::DeliverRequest &Request,
               const peer_responder &Respond);
  void query(const proto::QueryAttempt &Request, const peer_responder &Respond);
  call_handle openCall(const peer_responder &Respond);
  void onCall(const call_endpoint &Command);
  void onReport(const report_attempt &Command);
  void onRelease(const release_attempt &Command);
  void onDrained(const agent_drained &Command);
  void onSetTimer(const set_agent_timer &Command);
  void onEndpointDone(const attempt_id &Attempt, const http_result &Result);

  ievent_loop &Loop;
  ihttp_client &Client;
  const std::string Endpoint;
  const peer_identity Self;
  std::function<void()> Drained;
  attempt_table Table;
  event_queue<attempt_event> Events;
  timer AttemptTimer;
  bool EndpointHealthy = true;
  std::unordered_map<attempt_id, attempt_data> AttemptData;
  std::map<std::uint64_t, peer_responder> OpenCalls;
  std::uint64_t LastCall = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
