#include "core/routing/requestrouter.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

constexpr duration FirstQueryBackoff = std::chrono::milliseconds(50);
constexpr duration MinCallTimeout = std::chrono::milliseconds(1);

/// True if the state comes with the load of the agent.
bool carriesLoad(attempt_state State) {
  return State != attempt_state::NotSent && State != attempt_state::Lost &&
         State != attempt_state::OtherIncarnation;
}

} // namespace

// Indexed by attempt_state.
const std::array<request_router::report_handler, 8>
    request_router::ReportHandlers = {
        &request_router::onAnswered,     &request_router::onNotRun,
        &request_router::onRunning,      &request_router::onNotRun,
        &request_router::onUndetermined, &request_router::onOtherIncarnation,
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
  Request.Unresolved.push_back(Number);
  Request.Tried.push_back(Endpoint.Agent);
  ++Request.Attempts;
  ++Counters.Attempts;
  if (Request.Attempts == 1)
    Budget.onFirstAttempt();
  queryAfter(Number, Attempt, queryDelay(Request.Service), Now);
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
  handleReport(Event, &attempt::DeliveryOpen, Now);
}

void request_router::onQuery(const query_reported &Event, time_point Now) {
  handleReport(Event, &attempt::QueryOpen, Now);
}

template <typename Event>
void request_router::handleReport(const Event &Reported,
                                  bool attempt::*OpenCall, time_point Now) {
  const auto Found = Attempts.find(Reported.Attempt);
  if (Found == Attempts.end())
    return;
  attempt &Attempt = Found->second;
  const service_id Service = Attempt.Service;
  Attempt.*OpenCall = false;
  if (!Attempt.Resolved) {
    const report Report{Reported.Refusal, Reported.ServerError,
                        OpenCall == &attempt::QueryOpen};
    (this->*ReportHandlers[raw(Reported.State)])(Reported.Attempt, Attempt,
                                                 Report, Now);
  }
  if (carriesLoad(Reported.State))
    Pool.updateLoad(Attempt.Endpoint, Attempt.Agent, Attempt.AgentIncarnation,
                    Reported.Load, Now);
  eraseIfClosed(Reported.Attempt);
  dispatchQueued(Service, Now);
}

/// Records the final state of an attempt. Returns its request, or nullptr if
/// the request has ended.
request_router::request *request_router::resolve(std::uint64_t Number,
                                                 attempt &Attempt,
                                                 health_signal Signal,
                                                 time_point Now) {
  Attempt.Resolved = true;
  Pool.finish(Attempt.Endpoint, Attempt.Agent, Attempt.AgentIncarnation);
  const bool Ejected = Signal != health_signal::Neutral &&
                       Pool.recordResult(Attempt.Endpoint, Attempt.Agent,
                                         Attempt.AgentIncarnation,
                                         Signal == health_signal::Failure, Now);
  if (Ejected)
    ++Counters.Ejections;
  request *Request = requestOf(Attempt);
  if (Request)
    std::erase(Request->Unresolved, Number);
  return Request;
}

/// Drops an attempt whose request has ended. It still counts as load of its
/// endpoint until the call that delivered it ends.
void request_router::abandon(std::uint64_t Number) {
  attempt &Attempt = Attempts.at(Number);
  if (Attempt.DeliveryOpen)
    return;
  Attempt.Resolved = true;
  Pool.finish(Attempt.Endpoint, Attempt.Agent, Attempt.AgentIncarnation);
  eraseIfClosed(Number);
}

void request_router::eraseIfClosed(std::uint64_t Number) {
  const auto Found = Attempts.find(Number);
  if (Found == Attempts.end())
    return;
  const attempt &Attempt = Found->second;
  if (Attempt.Resolved && !Attempt.DeliveryOpen && !Attempt.QueryOpen)
    Attempts.erase(Found);
}

void request_router::onAnswered(std::uint64_t Number, attempt &Attempt,
                                const report &Report, time_point Now) {
  const health_signal Signal =
      Report.ServerError ? health_signal::Failure : health_signal::Success;
  serviceOf(Attempt.Service).Latency.add(Now - Attempt.SentAt);
  if (resolve(Number, Attempt, Signal, Now))
    finish(Attempt.Request,
           {outcome_kind::Answered, not_run_reason::None, idOf(Number)});
}

void request_router::onNotRun(std::uint64_t Number, attempt &Attempt,
                              const report &Report, time_point Now) {
  if (Report.Refusal == attempt_refusal::Draining)
    Pool.markDraining(Attempt.Agent, Attempt.AgentIncarnation);
  const bool Down = Report.Refusal == attempt_refusal::EndpointDown;
  request *Request =
      resolve(Number, Attempt,
              Down ? health_signal::Failure : health_signal::Neutral, Now);
  if (Request)
    retryOrGiveUp(Attempt.Request, *Request, Report.Refusal, Now);
}

void request_router::onRunning(std::uint64_t Number, attempt &Attempt,
                               const report &, time_point Now) {
  backOff(Number, Attempt, Now);
}

void request_router::onUndetermined(std::uint64_t Number, attempt &Attempt,
                                    const report &, time_point Now) {
  request *Request = resolve(Number, Attempt, health_signal::Failure, Now);
  if (!Request)
    return;
  Request->MayHaveRun = true;
  retryOrGiveUp(Attempt.Request, *Request, attempt_refusal::None, Now);
}

void request_router::onOtherIncarnation(std::uint64_t Number, attempt &Attempt,
                                        const report &Report, time_point Now) {
  onUndetermined(Number, Attempt, Report, Now);
  Pool.removeAgent(Attempt.Agent, Attempt.AgentIncarnation);
}

/// No connection to the agent. This proves that a delivery was not run, but
/// says nothing about the attempt if the call was a query.
void request_router::onNotSent(std::uint64_t Number, attempt &Attempt,
                               const report &Report, time_point Now) {
  Pool.markSuspected(Attempt.Agent, Attempt.AgentIncarnation);
  if (Report.FromQuery)
    return onNoReport(Number, Attempt, Report, Now);
  request *Request = resolve(Number, Attempt, health_signal::Failure, Now);
  if (Request)
    retryOrGiveUp(Attempt.Request, *Request, attempt_refusal::EndpointDown,
                  Now);
}

void request_router::onNoReport(std::uint64_t Number, attempt &Attempt,
                                const report &Report, time_point Now) {
  request *Request = requestOf(Attempt);
  if (!Request) {
    if (!Attempt.DeliveryOpen)
      resolve(Number, Attempt, health_signal::Failure, Now);
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

/// Queries the state of the attempt unless a query is already open.
void request_router::query(std::uint64_t Number, attempt &Attempt,
                           time_point Now) {
  if (Attempt.QueryOpen)
    return;
  Attempt.QueryOpen = true;
  ++Counters.Queries;
  const duration TimeLeft =
      std::max(requestOf(Attempt)->Deadline - Now, MinCallTimeout);
  Commands.emplace_back(query_attempt{
      idOf(Number), Attempt.Agent, Attempt.AgentIncarnation,
      Attempt.PeerAddress, std::min(Settings.QueryTimeout, TimeLeft)});
}

void request_router::queryAllAt(const node_id &Agent,
                                incarnation AgentIncarnation, time_point Now) {
  for (auto &[Number, Attempt] : Attempts) {
    const bool Affected = Attempt.Agent == Agent &&
                          Attempt.AgentIncarnation == AgentIncarnation &&
                          !Attempt.Resolved && requestOf(Attempt);
    if (Affected)
      query(Number, Attempt, Now);
  }
}

/// Resolves all attempts at a lost agent as undetermined. The agent is not
/// expected to return, so callers do not wait for it.
void request_router::markAllUndetermined(const node_id &Agent,
                                         incarnation AgentIncarnation,
                                         time_point Now) {
  std::vector<std::uint64_t> Affected;
  for (const auto &[Number, Attempt] : Attempts)
    if (Attempt.Agent == Agent &&
        Attempt.AgentIncarnation == AgentIncarnation && !Attempt.Resolved)
      Affected.push_back(Number);
  // Collected first, because retries insert into the map.
  for (const std::uint64_t Number : Affected) {
    attempt &Attempt = Attempts.at(Number);
    onUndetermined(Number, Attempt, report{}, Now);
    eraseIfClosed(Number);
  }
}

} // namespace geraniumpaddle
