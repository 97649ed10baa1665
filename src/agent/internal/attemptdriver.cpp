#include "agent/attemptdriver.h"

#include "core/base/membertable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

endpoint_result resultOf(const http_result &Result) {
  switch (Result.Status) {
  case call_status::Completed:
    return endpoint_result::Answered;
  case call_status::NotSent:
    return endpoint_result::NotSent;
  case call_status::Lost:
  case call_status::TimedOut:
    return endpoint_result::Lost;
  }
  return endpoint_result::Lost;
}

http_call callFor(const proto::DeliverRequest &Request,
                  const std::string &Endpoint, duration Timeout) {
  http_call Call{Endpoint, Request.method(), Request.path(),
                 {},       Request.body(),   Timeout};
  for (const proto::Header &Header : Request.headers())
    Call.Headers.push_back({Header.name(), Header.value()});
  return Call;
}

} // namespace

request_host::request_host(ievent_loop &Loop, ihttp_client &Client,
                           std::string Endpoint,
                           const attempt_settings &Settings,
                           const peer_identity &Self,
                           std::function<void()> Drained)
    : Loop(Loop), Client(Client), Endpoint(std::move(Endpoint)), Self(Self),
      Drained(std::move(Drained)), Table(Settings, Self.Incarnation),
      StateMachineTimer(Loop) {}

bool request_host::handle(const proto::PeerRequest &Request,
                          const peer_responder &Respond) {
  if (Request.has_deliver())
    deliver(Request.deliver(), Respond);
  else if (Request.has_query())
    query(Request.query(), Respond);
  else
    return false;
  return true;
}

void request_host::drain() { push(agent_drain_started{}); }

void request_host::deliver(const proto::DeliverRequest &Request,
                           const peer_responder &Respond) {
  attempt_id Attempt = decodeAttemptId(Request.attempt());
  Kept.try_emplace(Attempt, kept_bytes{Request, {}});
  push(delivery_arrived{
      openCall(Respond), Attempt, incarnation{Request.target_incarnation()},
      customer_id(Request.customer()), !Request.non_idempotent(),
      std::chrono::milliseconds(Request.deadline_ms())});
}

void request_host::query(const proto::QueryAttempt &Request,
                         const peer_responder &Respond) {
  attempt_id Attempt = decodeAttemptId(Request.attempt());
  push(query_arrived{openCall(Respond), Attempt,
                     incarnation{Request.target_incarnation()}});
}

call_handle request_host::openCall(const peer_responder &Respond) {
  OpenCalls.emplace(++LastCall, Respond);
  return call_handle{LastCall};
}

void request_host::push(attempt_event Event) {
  using table = member_table<&request_host::onCall, &request_host::onReport,
                             &request_host::onRelease, &request_host::onDrained,
                             &request_host::onSetTimer>;
  Events.push(std::move(Event), [this](const attempt_event &Next) {
    for (const attempt_command &Command : Table.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

void request_host::onCall(const call_endpoint &Command) {
  const kept_bytes &Bytes = Kept.at(Command.Attempt);
  Client.send(callFor(Bytes.Request, Endpoint, Command.Timeout),
              [this, Attempt = Command.Attempt,
               Alive = Alive](const http_result &Result) {
                if (*Alive)
                  onEndpointDone(Attempt, Result);
              });
}

void request_host::onEndpointDone(const attempt_id &Attempt,
                                  const http_result &Result) {
  endpoint_finished Event{Attempt, resultOf(Result),
                          static_cast<std::uint32_t>(Result.Body.size())};
  EndpointHealthy = Event.Result != endpoint_result::NotSent;
  auto Found = Kept.find(Attempt);
  if (Found != Kept.end() && Event.Result == endpoint_result::Answered) {
    proto::EndpointAnswer &Answer = Found->second.Answer;
    Answer.set_status(static_cast<std::uint32_t>(Result.Code));
    Answer.set_body(Result.Body);
    for (const http_header &Header : Result.Headers) {
      proto::Header &Out = *Answer.add_headers();
      Out.set_name(Header.Name);
      Out.set_value(Header.Value);
    }
    Found->second.Request.clear_body();
  }
  push(std::move(Event));
}

void request_host::onReport(const report_attempt &Command) {
  auto Call = OpenCalls.extract(raw(Command.Call));
  if (Call.empty())
    return;
  proto::PeerResponse Response;
  Response.set_incarnation(raw(Self.Incarnation));
  proto::AttemptReport &Report = *Response.mutable_attempt();
  Report.set_state(toProto(Command.State));
  Report.set_refusal(toProto(Command.Refusal));
  Report.set_in_flight(Command.Load.InFlight);
  Report.set_queued(Command.Load.Queued);
  auto Found = Kept.find(Command.Attempt);
  if (Command.State == attempt_state::Answered && Found != Kept.end())
    *Report.mutable_answer() = Found->second.Answer;
  Call.mapped()(std::move(Response));
}

void request_host::onRelease(const release_attempt &Command) {
  Kept.erase(Command.Attempt);
}

void request_host::onDrained(const agent_drained &) { Drained(); }

void request_host::onSetTimer(const set_agent_timer &Command) {
  StateMachineTimer.startAt(Command.At,
                            [this] { push(agent_timer_expired{}); });
}

} // namespace geraniumpaddle
