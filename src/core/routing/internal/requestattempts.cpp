#include "core/routing/requestrouter.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

constexpr duration FirstQueryBackoff = std::chrono::milliseconds(50);
constexpr duration MinCallTimeout = std::chrono::milliseconds(1);

/// States in which an agent reported, with its load.
bool reportsLoad(attempt_state State) {
  return State != attempt_state::NotSent && State != attempt_state::Lost &&
         State != attempt_state::OtherRun;
}

} // namespace

// In the order of attempt_state.
const std::array<request_router::report_handler, 8>
    request_router::ReportHandlers = {
        &request_router::onAnswered,     &request_router::onNotRun,
        &request_router::onRunning,      &request_router::onNotRun,
        &request_router::onUndetermined, &request_router::onOtherRun,
        &request_router::onNotSent,      &request_router::onNoReport,
};

attempt_id request_router::idOf(std::uint64_t Number) const {
  return {Self.Entry, Self.EntryIncarnation, Number};
}

request_router::request *request_router::requestOf(const attempt &Attempt) {
  const auto Found = Requests.find(Attempt.Request);
  return Found == Requests.end() ? nullptr : &Found->second;
}

void request_router::send(request_handle Handle, request &Request,
                          endpoint_index Index, time_point Now) {
  const pooled_endpoint &Endpoint = Pool.at(Index);
  const std::uint64_t Number = ++LastAttempt;
  attempt &Attempt = Attempts[Number];
  Attempt.Request = Handle;
  Attempt.Endpoint = Index;
  Attempt.Service = Request.Service;
  Attempt.Agent = Endpoint.Agent;
  Attempt.AgentIncarnation = Endpoint.AgentIncarnation;
  Attempt.PeerAddress = Endpoint.PeerAddress;
  Attempt.SentAt = Now;
  Attempt.Backoff = FirstQueryBackoff;
  Pool.start(Index);
  Request.Open.push_back(Number);
  Request.Tried.push_back(Endpoint.Agent);
  ++Request.Attempts;
  ++Counters.Attempts;
  if (Request.Attempts == 1)
    Budget.onFirstAttempt();
  queryAfter(Number, Attempt, silence(Request.Service), Now);
  const std::optional<duration> Delay = hedgeDelay(Request.Service);
  if (Request.Idempotent && Delay) {
    Request.HedgeAt = Now + *Delay;
    startTimer(Request.HedgeAt, raw(Handle), true);
  }
  Commands.emplace_back(send_attempt{
      idOf(Number), Handle, Attempt.Agent, Attempt.AgentIncarnation,
      Attempt.PeerAddress, Request.Customer, Request.Idempotent,
      Request.Deadline - Now});
}

void request_router::onAttempt(const attempt_reported &Event, time_point Now) {
  takeReport(Event, &attempt::DeliveryOpen, Now);
}

void request_router::onQuery(const query_reported &Event, time_point Now) {
  takeReport(Event, &attempt::QueryOpen, Now);
}

template <typename Event>
void request_router::takeReport(const Event &Reported, bool attempt::*OpenCall,
                                time_point Now) {
  const auto Found = Attempts.find(Reported.Attempt);
  if (Found == Attempts.end())
    return;
  attempt &Attempt = Found->second;
  const service_id Service = Attempt.Service;
  Attempt.*OpenCall = false;
  if (!Attempt.Settled) {
    const report Report{Reported.Refusal, Reported.ServerError,
                        OpenCall == &attempt::QueryOpen};
    (this->*ReportHandlers[raw(Reported.State)])(Reported.Attempt, Attempt,
                                                 Report, Now);
  }
  if (reportsLoad(Reported.State))
    Pool.updateLoad(Attempt.Endpoint, Attempt.Agent, Attempt.AgentIncarnation,
                    Reported.Load, Now);
  forgetIfClosed(Reported.Attempt);
  pump(Service, Now);
}

/// The fate of the attempt is known. Returns its request unless that is over.
request_router::request *request_router::settle(std::uint64_t Number,
                                                attempt &Attempt,
                                                evidence Evidence,
                                                time_point Now) {
  Attempt.Settled = true;
  Pool.finish(Attempt.Endpoint, Attempt.Agent, Attempt.AgentIncarnation);
  const bool Ejected = Evidence != evidence::Neutral &&
                       Pool.recordResult(Attempt.Endpoint, Attempt.Agent,
                                         Attempt.AgentIncarnation,
                                         Evidence == evidence::Failure, Now);
  if (Ejected)
    ++Counters.Ejections;
  request *Request = requestOf(Attempt);
  if (Request)
    std::erase(Request->Open, Number);
  return Request;
}

/// Nobody waits for the attempt any more; it counts as load of its endpoint
/// until the call that delivered it has ended.
void request_router::abandon(std::uint64_t Number) {
  attempt &Attempt = Attempts.at(Number);
  if (Attempt.DeliveryOpen)
    return;
  Attempt.Settled = true;
  Pool.finish(Attempt.Endpoint, Attempt.Agent, Attempt.AgentIncarnation);
  forgetIfClosed(Number);
}

void request_router::forgetIfClosed(std::uint64_t Number) {
  const auto Found = Attempts.find(Number);
  if (Found == Attempts.end())
    return;
  const attempt &Attempt = Found->second;
  if (Attempt.Settled && !Attempt.DeliveryOpen && !Attempt.QueryOpen)
    Attempts.erase(Found);
}

void request_router::onAnswered(std::uint64_t Number, attempt &Attempt,
                                const report &Report, time_point Now) {
  const evidence Evidence =
      Report.ServerError ? evidence::Failure : evidence::Success;
  serviceOf(Attempt.Service).Latency.add(Now - Attempt.SentAt);
  if (settle(Number, Attempt, Evidence, Now))
    finish(Attempt.Request,
           {outcome_kind::Answered, not_run_reason::None, idOf(Number)});
}

void request_router::onNotRun(std::uint64_t Number, attempt &Attempt,
                              const report &Report, time_point Now) {
  if (Report.Refusal == attempt_refusal::Draining)
    Pool.drain(Attempt.Agent, Attempt.AgentIncarnation);
  const bool Down = Report.Refusal == attempt_refusal::EndpointDown;
  request *Request = settle(Number, Attempt,
                            Down ? evidence::Failure : evidence::Neutral, Now);
  if (Request)
    retryOrGiveUp(Attempt.Request, *Request, Report.Refusal, Now);
}

void request_router::onRunning(std::uint64_t Number, attempt &Attempt,
                               const report &, time_point Now) {
  backOff(Number, Attempt, Now);
}

void request_router::onUndetermined(std::uint64_t Number, attempt &Attempt,
                                    const report &, time_point Now) {
  request *Request = settle(Number, Attempt, evidence::Failure, Now);
  if (!Request)
    return;
  Request->MayHaveRun = true;
  retryOrGiveUp(Attempt.Request, *Request, attempt_refusal::None, Now);
}

void request_router::onOtherRun(std::uint64_t Number, attempt &Attempt,
                                const report &Report, time_point Now) {
  onUndetermined(Number, Attempt, Report, Now);
  Pool.lose(Attempt.Agent, Attempt.AgentIncarnation);
}

/// No connection to the agent: proof for a delivery, nothing for a query.
void request_router::onNotSent(std::uint64_t Number, attempt &Attempt,
                               const report &Report, time_point Now) {
  Pool.suspect(Attempt.Agent, Attempt.AgentIncarnation);
  if (Report.FromQuery)
    return onNoReport(Number, Attempt, Report, Now);
  request *Request = settle(Number, Attempt, evidence::Failure, Now);
  if (Request)
    retryOrGiveUp(Attempt.Request, *Request, attempt_refusal::EndpointDown,
                  Now);
}

void request_router::onNoReport(std::uint64_t Number, attempt &Attempt,
                                const report &Report, time_point Now) {
  request *Request = requestOf(Attempt);
  if (!Request) {
    if (!Attempt.DeliveryOpen)
      settle(Number, Attempt, evidence::Failure, Now);
    return;
  }
  if (Report.FromQuery)
    backOff(Number, Attempt, Now);
  else
    query(Number, Attempt, Now);
  hedge(Attempt.Request, *Request, Now);
}

void request_router::queryAfter(std::uint64_t Number, attempt &Attempt,
                                duration Delay, time_point Now) {
  Attempt.QueryAt = Now + Delay;
  startTimer(Attempt.QueryAt, Number, false);
}

void request_router::backOff(std::uint64_t Number, attempt &Attempt,
                             time_point Now) {
  queryAfter(Number, Attempt, Attempt.Backoff, Now);
  Attempt.Backoff = std::min(Attempt.Backoff * 2, Settings.MaxQueryBackoff);
}

void request_router::onAttemptTimer(std::uint64_t Number, time_point Now) {
  attempt &Attempt = Attempts.at(Number);
  if (requestOf(Attempt))
    query(Number, Attempt, Now);
}

/// Asks for the attempt's fate; one query at a time.
void request_router::query(std::uint64_t Number, attempt &Attempt,
                           time_point Now) {
  if (Attempt.QueryOpen)
    return;
  Attempt.QueryOpen = true;
  ++Counters.Queries;
  const duration Left =
      std::max(requestOf(Attempt)->Deadline - Now, MinCallTimeout);
  Commands.emplace_back(query_attempt{
      idOf(Number), Attempt.Agent, Attempt.AgentIncarnation,
      Attempt.PeerAddress, std::min(Settings.QueryTimeout, Left)});
}

void request_router::queryAllAt(const node_id &Agent,
                                incarnation AgentIncarnation, time_point Now) {
  for (auto &[Number, Attempt] : Attempts) {
    const bool Affected = Attempt.Agent == Agent &&
                          Attempt.AgentIncarnation == AgentIncarnation &&
                          !Attempt.Settled && requestOf(Attempt);
    if (Affected)
      query(Number, Attempt, Now);
  }
}

/// The agent is not expected back: callers are not kept waiting for it.
void request_router::giveUpAllAt(const node_id &Agent,
                                 incarnation AgentIncarnation, time_point Now) {
  std::vector<std::uint64_t> Affected;
  for (const auto &[Number, Attempt] : Attempts)
    if (Attempt.Agent == Agent &&
        Attempt.AgentIncarnation == AgentIncarnation && !Attempt.Settled)
      Affected.push_back(Number);
  // Retries made on the way add attempts, so the map is not walked meanwhile.
  for (const std::uint64_t Number : Affected) {
    attempt &Attempt = Attempts.at(Number);
    onUndetermined(Number, Attempt, report{}, Now);
    forgetIfClosed(Number);
  }
}

} // namespace geraniumpaddle
