#include "jobentry/relayingtransport.h"

#include "platform/storeclient.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration ProbeTimeout = std::chrono::milliseconds(500);
/// Round trip to the other entry, added to the timeout of the call itself.
constexpr duration RelayLatencyAllowance = std::chrono::milliseconds(200);

constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;

/// An answer that can't be read may be that of a call which was executed.
call_status statusOf(const proto::PeerResponse &Response) {
  if (!Response.has_store_answer())
    return call_status::NotSent;
  const std::uint32_t Status = Response.store_answer().status();
  return Status <= static_cast<std::uint32_t>(call_status::TimedOut)
             ? static_cast<call_status>(Status)
             : call_status::Lost;
}

bool isRejected(const store_reply &Reply) {
  if (Reply.Status != call_status::Completed)
    return Reply.Status == call_status::NotSent;
  return Reply.Code == TooManyRequests || Reply.Code == Unavailable;
}

route_outcome outcomeOf(const store_reply &Reply) {
  if (isRejected(Reply))
    return route_outcome::Rejected;
  return Reply.Status == call_status::Completed ? route_outcome::Answered
                                                : route_outcome::NoAnswer;
}

} // namespace

relaying_transport::relaying_transport(ievent_loop &Loop, ipeer_client &Peers,
                                       istore_transport &Direct,
                                       const peer_identity &Self)
    : Loop(Loop), Peers(Peers), Direct(Direct), Self(Self) {}

void relaying_transport::call(store_request Request,
                              std::function<void(const store_reply &)> Done) {
  if (Route.probeDue(Loop.now()))
    probe();
  const bool Relay =
      Request.Relayable && Route.choose() == store_route::path::Relay;
  if (Relay)
    callViaRelay(Request, std::move(Done));
  else
    callDirect(std::move(Request), std::move(Done));
}

void relaying_transport::callDirect(
    store_request Request, std::function<void(const store_reply &)> Done) {
  const store_request Retry = Request;
  Direct.call(std::move(Request),
              [this, Alive = Alive, Retry,
               Done = std::move(Done)](const store_reply &Reply) {
                if (!*Alive)
                  return;
                // If the store rejects all entries, because of its rate limit
                // or an outage, the relayed call is rejected as well.
                onDirectResult(Reply);
                if (Retry.Relayable && isRejected(Reply))
                  callViaRelay(Retry, Done);
                else
                  Done(Reply);
              });
}

void relaying_transport::onDirectResult(const store_reply &Reply) {
  const auto Before = Route.choose();
  Route.onDirectResult(outcomeOf(Reply), Loop.now());
  if (Route.choose() == Before)
    return;
  const bool Relay = Route.choose() == store_route::path::Relay;
  Log.event(Relay ? "store_relayed" : "store_direct",
            {{"call", name(Reply.Status)}, {"code", Reply.Code}});
}

void relaying_transport::probe() {
  Route.probeSent(Loop.now());
  Direct.call(storeProbe(ProbeTimeout),
              [this, Alive = Alive](const store_reply &Reply) {
                if (*Alive)
                  onDirectResult(Reply);
              });
}

void relaying_transport::callViaRelay(
    const store_request &Request,
    std::function<void(const store_reply &)> Done) {
  const std::vector<std::string> Relays =
      FindRelays ? FindRelays() : std::vector<std::string>{};
  if (Relays.empty()) {
    Done({.Status = call_status::NotSent});
    return;
  }
  proto::PeerRequest Message = makeRequest(Self);
  proto::work::StoreCall &Call = *Message.mutable_store_call();
  Call.set_method(Request.Method);
  Call.set_target(Request.Target);
  Call.set_body(Request.Body);
  Call.set_content_type(Request.ContentType);
  Call.set_timeout_ms(static_cast<std::uint64_t>(
      std::max<std::int64_t>(millisecondsOf(Request.Timeout), 0)));
  const std::string &Address = Relays[Route.relay(Relays.size())];
  Peers.call(Address, Message, Request.Timeout + RelayLatencyAllowance,
             [this, Alive = Alive, Address,
              Done = std::move(Done)](const peer_result &Result) {
               if (!*Alive)
                 return;
               store_reply Reply{.Status = Result.Status};
               if (Result.Status == call_status::Completed) {
                 const proto::work::StoreAnswer &Answer =
                     Result.Response.store_answer();
                 Reply.Status = statusOf(Result.Response);
                 Reply.Code = static_cast<int>(Answer.code());
                 Reply.Body = Answer.body();
               } else {
                 Peers.reconnect(Address);
               }
               Route.onRelayResult(outcomeOf(Reply));
               Done(Reply);
             });
}

void relaying_transport::serve(const proto::work::StoreCall &Call,
                               peer_responder Respond) {
  Direct.call({.Method = Call.method(),
               .Target = Call.target(),
               .Body = Call.body(),
               .ContentType = Call.content_type(),
               .Timeout = work::boundedMilliseconds(Call.timeout_ms())},
              [Respond = std::move(Respond)](const store_reply &Reply) {
                proto::PeerResponse Response;
                proto::work::StoreAnswer &Answer =
                    *Response.mutable_store_answer();
                Answer.set_status(static_cast<std::uint32_t>(Reply.Status));
                Answer.set_code(static_cast<std::uint32_t>(Reply.Code));
                Answer.set_body(Reply.Body);
                Respond(std::move(Response));
              });
}

} // namespace geraniumpaddle
