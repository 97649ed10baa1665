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

attempt_driver::attempt_driver(ievent_loop &Loop, ihttp_client &Client,
                               std::string Endpoint,
                               const attempt_settings &Settings,
                               const peer_identity &Self,
                               std::function<void()> Drained)
    : Loop(Loop), Client(Client), Endpoint(std::move(Endpoint)), Self(Self),
      Drained(std::move(Drained)), Table(Settings, Self.Incarnation),
      AttemptTimer(Loop) {}

bool attempt_driver::handle(const proto::PeerRequest &Request,
                            const peer_responder &Respond) {
  if (Request.has_deliver())
    deliver(Request.deliver(), Respond);
  else if (Request.has_query())
    query(Request.query(), Respond);
  else
    return false;
  return true;
}

void attempt_driver::drain() { push(agent_drain_started{}); }

void attempt_driver::deliver(const proto::DeliverRequest &Request,
                             const peer_responder &Respond) {
  attempt_id Attempt = decodeAttemptId(Request.attempt());
  AttemptData.try_emplace(Attempt, attempt_data{Request, {}});
  push(delivery_arrived{
      openCall(Respond), Attempt, incarnation{Request.target_incarnation()},
      customer_id(Request.customer()), !Request.non_idempotent(),
      std::chrono::milliseconds(Request.deadline_ms())});
}

void attempt_driver::query(const proto::QueryAttempt &Request,
                           const peer_responder &Respond) {
  attempt_id Attempt = decodeAttemptId(Request.attempt());
  push(query_arrived{openCall(Respond), Attempt,
                     incarnation{Request.target_incarnation()}});
}

call_handle attempt_driver::openCall(const peer_responder &Respond) {
  OpenCalls.emplace(++LastCall, Respond);
  return call_handle{LastCall};
}

void attempt_driver::push(attempt_event Event) {
  using table =
      member_table<&attempt_driver::onCall, &attempt_driver::onReport,
                   &attempt_driver::onRelease, &attempt_driver::onDrained,
                   &attempt_driver::onSetTimer>;
  Events.push(std::move(Event), [this](const attempt_event &Next) {
    for (const attempt_command &Command : Table.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

void attempt_driver::onCall(const call_endpoint &Command) {
  const attempt_data &Data = AttemptData.at(Command.Attempt);
  Client.send(callFor(Data.Request, Endpoint, Command.Timeout),
              [this, Attempt = Command.Attempt,
               Alive = Alive](const http_result &Result) {
                if (*Alive)
                  onEndpointDone(Attempt, Result);
              });
}

void attempt_driver::onEndpointDone(const attempt_id &Attempt,
                                    const http_result &Result) {
  endpoint_finished Event{Attempt, resultOf(Result),
                          static_cast<std::uint32_t>(Result.Body.size())};
  EndpointHealthy = Event.Result != endpoint_result::NotSent;
  auto Found = AttemptData.find(Attempt);
  if (Found != AttemptData.end() && Event.Result == endpoint_result::Answered) {
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

void attempt_driver::onReport(const report_attempt &Command) {
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
  auto Found = AttemptData.find(Command.Attempt);
  if (Command.State == attempt_state::Answered && Found != AttemptData.end())
    *Report.mutable_answer() = Found->second.Answer;
  Call.mapped()(std::move(Response));
}

void attempt_driver::onRelease(const release_attempt &Command) {
  AttemptData.erase(Command.Attempt);
}

void attempt_driver::onDrained(const agent_drained &) { Drained(); }

void attempt_driver::onSetTimer(const set_agent_timer &Command) {
  AttemptTimer.startAt(Command.At, [this] { push(agent_timer_expired{}); });
}

} // namespace geraniumpaddle
