#include "entry/requestgateway.h"

#include "core/base/membertable.h"
#include "entry/httputil.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr auto IdempotentMethods = std::to_array<std::string_view>(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"});

/// Headers that are not forwarded: hop-by-hop headers and those that this
/// system uses itself.
constexpr auto StrippedHeaders = std::to_array<std::string_view>(
    {"authorization", "connection", "content-length", "host", "keep-alive",
     "transfer-encoding", "upgrade", "te", "trailer", "proxy-connection",
     "x-customer", "x-idempotent", "x-timeout-ms", "x-outcome"});

std::string lowerCase(std::string_view Text) {
  std::string Out(Text);
  std::transform(Out.begin(), Out.end(), Out.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Out;
}

bool isStrippedHeader(std::string_view Name) {
  std::string Lower = lowerCase(Name);
  return std::find(StrippedHeaders.begin(), StrippedHeaders.end(), Lower) !=
         StrippedHeaders.end();
}

/// Empty if the header is neither true nor false.
std::optional<bool> isIdempotent(const http_request_view &Request) {
  std::string Value = lowerCase(headerValue(Request.Headers, IdempotentHeader));
  if (Value == "true")
    return true;
  if (Value == "false")
    return false;
  if (!Value.empty())
    return std::nullopt;
  return std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                   Request.Method) != IdempotentMethods.end();
}

/// Empty if the header is not a positive number; zero if there is none.
std::optional<duration> callerTimeout(const http_request_view &Request) {
  std::string_view Text = headerValue(Request.Headers, TimeoutHeader);
  if (Text.empty())
    return duration::zero();
  std::uint32_t Milliseconds = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  if (Error != std::errc() || End != Text.data() + Text.size() ||
      Milliseconds == 0)
    return std::nullopt;
  return std::chrono::milliseconds(Milliseconds);
}

struct call_target {
  std::string_view Service;
  std::string Target; ///< path and query for the endpoint
};

call_target splitTarget(const http_request_view &Request) {
  std::string_view Rest = Request.Path.substr(CallPrefix.size());
  auto Slash = std::min(Rest.find('/'), Rest.size());
  call_target Out{Rest.substr(0, Slash), std::string(Rest.substr(Slash))};
  if (Out.Target.empty())
    Out.Target = "/";
  if (!Request.Query.empty())
    Out.Target.append("?").append(Request.Query);
  return Out;
}

error_kind kindOf(not_run_reason Reason) {
  switch (Reason) {
  case not_run_reason::UnknownCustomer:
    return error_kind::PermissionDenied;
  case not_run_reason::UnknownService:
    return error_kind::NotFound;
  case not_run_reason::RateLimited:
  case not_run_reason::InFlightLimited:
    return error_kind::ResourceExhausted;
  default:
    return error_kind::Unavailable;
  }
}

attempt_state failedState(call_status Status) {
  return Status == call_status::NotSent ? attempt_state::NotSent
                                        : attempt_state::Lost;
}

} // namespace

request_gateway::request_gateway(ievent_loop &Loop, ipeer_client &Peers,
                                 customer_auth &Auth, metric_registry &Metrics,
                                 const router_settings &Settings,
                                 const router_identity &Identity,
                                 std::uint64_t Seed)
    : Loop(Loop), Peers(Peers),
      Auth(Auth), Self{Identity.Entry, Identity.EntryIncarnation},
      Router(Settings, Identity, Seed), RouterTimer(Loop),
      Latency(Metrics.getHistogram("geraniumpaddle_request_seconds",
                                   "Time from a request to its outcome.",
                                   latencyBounds())) {
  registerMetrics(Metrics);
}

void request_gateway::handle(const http_request_view &Request,
                             const std::shared_ptr<ihttp_responder> &Responder,
                             const ledger &State) {
  customer_id Customer(headerValue(Request.Headers, CustomerHeader));
  caller_identity Caller =
      Auth.identify(bearerToken(Request.Headers), Customer, State);
  if (Caller.Kind != caller_kind::Customer)
    return Responder->respond(notRunResponse(error_kind::PermissionDenied,
                                             "token_invalid",
                                             "no valid customer and token"));
  auto Idempotent = isIdempotent(Request);
  auto Timeout = callerTimeout(Request);
  if (!Idempotent || !Timeout)
    return Responder->respond(
        notRunResponse(error_kind::InvalidArgument, "invalid_header",
                       !Idempotent ? "X-Idempotent is neither true nor false"
                                   : "X-Timeout-Ms is not a positive number"));
  call_target Target = splitTarget(Request);
  request_handle Handle{++LastRequest};
  open_request &NewRequest = OpenRequests[LastRequest];
  NewRequest.Responder = Responder;
  NewRequest.ArrivedAt = Loop.now();
  proto::DeliverRequest &Delivery = NewRequest.Delivery;
  Delivery.set_customer(Customer.str());
  Delivery.set_method(std::string(Request.Method));
  Delivery.set_path(Target.Target);
  Delivery.set_body(std::string(Request.Body));
  for (const http_header &Header : Request.Headers) {
    if (isStrippedHeader(Header.Name))
      continue;
    proto::Header &Out = *Delivery.add_headers();
    Out.set_name(Header.Name);
    Out.set_value(Header.Value);
  }
  Responder->onCallerDisconnected([this, Handle, Alive = Alive] {
    if (*Alive)
      push(caller_disconnected{Handle});
  });
  push(request_arrived{
      Handle, Customer, service_id(Target.Service), *Idempotent,
      static_cast<std::uint32_t>(Request.Body.size()), *Timeout});
}

void request_gateway::push(router_event Event) {
  using table =
      member_table<&request_gateway::onSend, &request_gateway::onQuery,
                   &request_gateway::onAnswer, &request_gateway::onRelease,
                   &request_gateway::onSetTimer>;
  Events.push(std::move(Event), [this](const router_event &Next) {
    for (const router_command &Command : Router.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

void request_gateway::onSend(const send_attempt &Command) {
  std::uint64_t Request = raw(Command.Request);
  RequestByAttempt[Command.Attempt.Number] = Request;
  AttemptsByRequest.emplace(Request, Command.Attempt.Number);
  proto::PeerRequest Call = makeRequest(Self);
  proto::DeliverRequest &Delivery = *Call.mutable_deliver();
  Delivery = OpenRequests.at(Request).Delivery;
  Delivery.set_attempt(encodeAttemptId(Command.Attempt));
  Delivery.set_target_incarnation(raw(Command.AgentIncarnation));
  Delivery.set_non_idempotent(!Command.Idempotent);
  Delivery.set_deadline_ms(
      static_cast<std::uint64_t>(millisecondsOf(Command.Timeout)));
  Peers.call(Command.PeerAddress, Call, Command.Timeout,
             [this, Attempt = Command.Attempt,
              Alive = Alive](const peer_result &Result) {
               if (*Alive)
                 report<attempt_reported>(Attempt, Result);
             });
}

void request_gateway::onQuery(const query_attempt &Command) {
  proto::PeerRequest Call = makeRequest(Self);
  Call.mutable_query()->set_attempt(encodeAttemptId(Command.Attempt));
  Call.mutable_query()->set_target_incarnation(raw(Command.AgentIncarnation));
  Peers.reconnect(Command.PeerAddress);
  Peers.call(Command.PeerAddress, Call, Command.Timeout,
             [this, Attempt = Command.Attempt,
              Alive = Alive](const peer_result &Result) {
               if (*Alive)
                 report<query_reported>(Attempt, Result);
             });
}

template <typename Event>
void request_gateway::report(const attempt_id &Attempt,
                             const peer_result &Result) {
  Event Report{Attempt.Number};
  Report.State = failedState(Result.Status);
  try {
    if (Result.Status == call_status::Completed)
      readReport(Result.Response, Report);
  } catch (const malformed_message_error &) {
    Report.State = attempt_state::Lost;
  }
  if (Report.State == attempt_state::Answered)
    storeAnswer(Attempt, Result.Response.attempt());
  push(Report);
}

/// A response without a report is a refusal by the process itself, which never
/// ran the attempt.
template <typename Event>
void request_gateway::readReport(const proto::PeerResponse &Response,
                                 Event &Report) {
  const proto::AttemptReport &In = Response.attempt();
  bool Reported = Response.has_attempt();
  Report.State =
      Reported ? decodeAttemptState(In.state()) : attempt_state::NotRun;
  Report.Refusal =
      decodeAttemptRefusal(Reported ? In.refusal() : Response.refusal());
  Report.Load = {In.in_flight(), In.queued()};
  constexpr std::uint32_t FirstServerError = 500;
  Report.ServerError = In.answer().status() >= FirstServerError;
}

void request_gateway::storeAnswer(const attempt_id &Attempt,
                                  const proto::AttemptReport &Report) {
  auto Request = RequestByAttempt.find(Attempt.Number);
  if (Request != RequestByAttempt.end())
    Answers[Attempt.Number] = Report.answer();
}

void request_gateway::onAnswer(const answer_caller &Command) {
  auto Found = OpenRequests.find(raw(Command.Request));
  if (Found == OpenRequests.end())
    return;
  const request_outcome &Outcome = Command.Outcome;
  std::string_view Kind = name(Outcome.Kind);
  open_request &Request = Found->second;
  if (Outcome.Kind == outcome_kind::Answered)
    Request.Responder->respond(
        withOutcome(endpointResponse(Outcome.Attempt), Kind));
  else if (Outcome.Kind == outcome_kind::NotRun)
    Request.Responder->respond(notRunResponse(kindOf(Outcome.Reason),
                                              name(Outcome.Reason),
                                              "the request was not run"));
  else
    Request.Responder->respond(
        withOutcome(errorResponse(error_kind::Undetermined, Kind,
                                  "the request may or may not have run"),
                    Kind));
  Latency.observe(
      std::chrono::duration<double>(Loop.now() - Request.ArrivedAt).count());
  discardAnswers(Command.Request);
  OpenRequests.erase(Found);
}

http_response request_gateway::endpointResponse(const attempt_id &Attempt) {
  proto::EndpointAnswer &Answer = Answers[Attempt.Number];
  http_response Response{static_cast<int>(Answer.status()), {}, {}};
  Response.Body = std::move(*Answer.mutable_body());
  for (const proto::Header &Header : Answer.headers())
    if (!isStrippedHeader(Header.name()))
      Response.Headers.push_back({Header.name(), Header.value()});
  return Response;
}

void request_gateway::discardAnswers(request_handle Request) {
  auto [First, Last] = AttemptsByRequest.equal_range(raw(Request));
  for (auto Attempt = First; Attempt != Last; ++Attempt) {
    Answers.erase(Attempt->second);
    RequestByAttempt.erase(Attempt->second);
  }
  AttemptsByRequest.erase(First, Last);
}

void request_gateway::onRelease(const release_request &Command) {
  discardAnswers(Command.Request);
  OpenRequests.erase(raw(Command.Request));
}

void request_gateway::onSetTimer(const set_router_timer &Command) {
  RouterTimer.startAt(Command.At, [this] { push(router_timer_expired{}); });
}

void request_gateway::registerMetrics(metric_registry &Metrics) {
  struct outcome_metric {
    std::string_view Outcome;
    std::uint64_t router_counters::*Value;
  };
  static constexpr auto Outcomes = std::to_array<outcome_metric>(
      {{"answered", &router_counters::Answered},
       {"not_run", &router_counters::NotRun},
       {"undetermined", &router_counters::Undetermined},
       {"attempts", &router_counters::Attempts},
       {"retries", &router_counters::Retries},
       {"hedges", &router_counters::Hedges},
       {"queries", &router_counters::Queries},
       {"ejections", &router_counters::Ejections}});
  for (const outcome_metric &Each : Outcomes) {
    gauge &Gauge = Metrics.getGauge("geraniumpaddle_requests",
                                    "Requests and attempts since the start.",
                                    {{"what", std::string(Each.Outcome)}});
    Metrics.onRender([this, &Gauge, Value = Each.Value] {
      Gauge.set(static_cast<double>(Router.counters().*Value));
    });
  }
}

} // namespace geraniumpaddle
