#include "core/routing/requestrouter.h"

#include "core/base/error.h"
#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// How often queued requests are tried again without an event, since endpoints
/// also become available when a reported load decays or an ejection ends.
constexpr duration QueueCheckInterval = std::chrono::milliseconds(20);
/// If longer than MaxQueueTime, this many median latencies limit the queue
/// time.
constexpr int QueueTimeInMedians = 4;

not_run_reason reasonOf(attempt_refusal Refusal) {
  switch (Refusal) {
  case attempt_refusal::QueueFull:
    return not_run_reason::Overloaded;
  case attempt_refusal::DeadlineExpired:
    return not_run_reason::DeadlineExpired;
  default:
    return not_run_reason::NoEndpointAvailable;
  }
}

/// Refusals that cost the agent almost nothing and rule the endpoint out, so
/// that a retry does not take from the retry budget.
bool isExemptFromRetryBudget(attempt_refusal Refusal) {
  return Refusal == attempt_refusal::Draining ||
         Refusal == attempt_refusal::QueueFull;
}

} // namespace

request_router::request_router(const router_settings &Settings,
                               const router_identity &Self, std::uint64_t Seed)
    : Settings(Settings), Self(Self), Pool(Settings, Self, Seed),
      Admission(Self.Entry, Settings.ShareRaiseDelay),
      Budget(Settings.RetryShare, Settings.RetryBurst) {}

std::span<const router_command>
request_router::handle(const router_event &Event, time_point Now) {
  using handlers =
      member_table<&request_router::onRequest, &request_router::onAttempt,
                   &request_router::onQuery,
                   &request_router::onCallerDisconnected,
                   &request_router::onAnnounced, &request_router::onLoad,
                   &request_router::onSuspected, &request_router::onLost,
                   &request_router::onCustomers, &request_router::onPeerDemand,
                   &request_router::onPeerLost, &request_router::onDrain,
                   &request_router::onTimerExpired>;
  Commands.clear();
  handlers::dispatch(*this, Event, Now);
  armTimer();
  return Commands;
}

std::span<const customer_demand> request_router::demand(time_point Now) {
  return Admission.publishDemand(Now);
}

void request_router::onRequest(const request_arrived &Event, time_point Now) {
  if (Requests.contains(Event.Request))
    throw internal_error("a request handle was used twice");
  ++Counters.Arrived;
  const not_run_reason Reason = refusalOf(Event, Now);
  if (Reason != not_run_reason::None) {
    ++Counters.NotRun;
    Commands.emplace_back(
        answer_caller{Event.Request, {outcome_kind::NotRun, Reason, {}}});
    return;
  }
  request &Request = accept(Event, Now);
  dispatch(Event.Request, Request, Now);
}

not_run_reason request_router::refusalOf(const request_arrived &Event,
                                         time_point Now) {
  if (Draining)
    return not_run_reason::ShuttingDown;
  const bool KnownService = Services.contains(Event.Service);
  if (!KnownService)
    return not_run_reason::UnknownService;
  if (!Pool.serves(Event.Service))
    return not_run_reason::NoEndpointAvailable;
  return Admission.admit(Event.Customer, Now);
}

request_router::request &request_router::accept(const request_arrived &Event,
                                                time_point Now) {
  const duration Wanted = Event.Timeout > duration::zero()
                              ? Event.Timeout
                              : Settings.DefaultTimeout;
  request &Request = Requests[Event.Request];
  Request.Customer = Event.Customer;
  Request.Service = Event.Service;
  Request.Idempotent = Event.Idempotent;
  Request.Bytes = Event.Bytes;
  Request.Deadline = Now + std::min(Wanted, Settings.MaxTimeout);
  startTimer(Request.Deadline, raw(Event.Request), true);
  return Request;
}

/// Sends the request, or queues it behind the requests already queued.
void request_router::dispatch(request_handle Handle, request &Request,
                              time_point Now) {
  if (serviceOf(Request.Service).Queue.empty() && trySend(Handle, Request, Now))
    return;
  enqueue(Handle, Request, Now);
}

void request_router::enqueue(request_handle Handle, request &Request,
                             time_point Now) {
  Request.Queued = true;
  Request.QueuedAt = Now;
  NextQueueCheck = std::min(NextQueueCheck, Now + QueueCheckInterval);
  const std::optional<request_handle> Displaced =
      serviceOf(Request.Service).Queue.push(Request.Customer, Handle);
  if (!Displaced)
    return;
  request &Shed = Requests.at(*Displaced);
  Shed.Queued = false;
  giveUp(*Displaced, Shed, not_run_reason::Overloaded);
}

/// Sends queued requests while endpoints have capacity. Sheds a request that
/// would expire before its answer, since it would take the slot of a request
/// that can still be answered in time.
void request_router::dispatchQueued(const service_id &Service, time_point Now) {
  fair_queue<request_handle> &Queue = serviceOf(Service).Queue;
  while (const request_handle *Next = Queue.front()) {
    const request_handle Handle = *Next;
    request &Request = Requests.at(Handle);
    const bool Expired = expiresBeforeAnswer(Request, Now);
    const bool Sent = !Expired && trySend(Handle, Request, Now);
    if (!Sent && !Expired && !exceedsQueueTime(Request, Now))
      return;
    Queue.pop();
    Request.Queued = false;
    if (!Sent)
      giveUp(Handle, Request, not_run_reason::Overloaded);
  }
}

void request_router::dispatchAllQueued(time_point Now) {
  NextQueueCheck = time_point::max();
  for (auto &[Service, State] : Services) {
    if (State.Queue.empty())
      continue;
    dispatchQueued(Service, Now);
    NextQueueCheck = Now + QueueCheckInterval;
  }
}

bool request_router::expiresBeforeAnswer(const request &Request,
                                         time_point Now) {
  const std::optional<duration> Median =
      serviceOf(Request.Service).Latency.median();
  return Request.Deadline - Now <= Median.value_or(duration::zero());
}

/// Limits the queue time, since under overload a longer queue delays every
/// answer. While no endpoint is usable, a request waits up to its deadline.
bool request_router::exceedsQueueTime(const request &Request, time_point Now) {
  if (Now - Request.QueuedAt <= Settings.MaxQueueTime)
    return false;
  const duration Median =
      serviceOf(Request.Service).Latency.median().value_or(duration::zero());
  return Now - Request.QueuedAt > QueueTimeInMedians * Median &&
         Pool.anyUsable(Request.Service, Now);
}

/// An endpoint with free capacity, preferably one that the request has not
/// tried yet.
std::optional<endpoint_index> request_router::choose(const request &Request,
                                                     bool FreeSlotOnly,
                                                     time_point Now) {
  const std::optional<endpoint_index> Untried = Pool.choose(
      Request.Service, {Request.Tried, Request.Bytes, FreeSlotOnly}, Now);
  if (Untried || Request.Tried.empty() || FreeSlotOnly)
    return Untried;
  return Pool.choose(Request.Service, {{}, Request.Bytes, FreeSlotOnly}, Now);
}

bool request_router::trySend(request_handle Handle, request &Request,
                             time_point Now) {
  const std::optional<endpoint_index> Chosen = choose(Request, false, Now);
  if (Chosen)
    send(Handle, Request, *Chosen, Now);
  return Chosen.has_value();
}

/// Sends a hedged attempt in parallel to one that is slow or whose call failed.
void request_router::hedge(request_handle Handle, request &Request,
                           time_point Now) {
  const bool Wanted = Request.Idempotent && Request.Unresolved.size() == 1 &&
                      Request.Attempts < Settings.MaxAttempts;
  if (!Wanted || !Budget.available())
    return;
  const std::optional<endpoint_index> Chosen = choose(Request, true, Now);
  if (!Chosen)
    return;
  Budget.take();
  ++Counters.Hedges;
  send(Handle, Request, *Chosen, Now);
}

/// Handles the end of an attempt without an answer.
void request_router::retryOrGiveUp(request_handle Handle, request &Request,
                                   attempt_refusal Refusal, time_point Now) {
  if (!Request.Unresolved.empty())
    return;
  const bool SafeToRetry = Request.Idempotent || !Request.MayHaveRun;
  if (!SafeToRetry || Request.Attempts >= Settings.MaxAttempts ||
      Request.Deadline <= Now)
    return giveUp(Handle, Request, reasonOf(Refusal));
  if (!isExemptFromRetryBudget(Refusal) && !Budget.take())
    return giveUp(Handle, Request, reasonOf(Refusal));
  ++Counters.Retries;
  dispatch(Handle, Request, Now);
}

/// Ends a request without an answer. The outcome is NotRun only if none of its
/// attempts can have run.
void request_router::giveUp(request_handle Handle, const request &Request,
                            not_run_reason Reason) {
  if (Request.MayHaveRun || !Request.Unresolved.empty())
    finish(Handle, {outcome_kind::Undetermined, not_run_reason::None, {}});
  else
    finish(Handle, {outcome_kind::NotRun, Reason, {}});
}

void request_router::finish(request_handle Handle,
                            const request_outcome &Outcome) {
  static constexpr std::array<std::uint64_t router_counters::*, 3> ByKind = {
      &router_counters::Answered, &router_counters::NotRun,
      &router_counters::Undetermined};
  ++(Counters.*ByKind[raw(Outcome.Kind)]);
  Commands.emplace_back(answer_caller{Handle, Outcome});
  release(Handle);
}

void request_router::release(request_handle Handle) {
  const auto Found = Requests.find(Handle);
  const request Request = std::move(Found->second);
  Requests.erase(Found);
  Admission.release(Request.Customer);
  if (Request.Queued)
    serviceOf(Request.Service).Queue.remove(Request.Customer, Handle);
  for (const std::uint64_t Number : Request.Unresolved)
    abandon(Number);
}

void request_router::onCallerDisconnected(const caller_disconnected &Event,
                                          time_point) {
  if (!Requests.contains(Event.Request))
    return;
  release(Event.Request);
  Commands.emplace_back(release_request{Event.Request});
}

void request_router::onAnnounced(const endpoint_announced &Event,
                                 time_point Now) {
  Pool.announce(Event);
  serviceOf(Event.Service);
  dispatchQueued(Event.Service, Now);
}

void request_router::onLoad(const endpoint_load_reported &Event,
                            time_point Now) {
  Pool.reportLoad(Event, Now);
  dispatchAllQueued(Now);
}

void request_router::onSuspected(const endpoint_suspected &Event,
                                 time_point Now) {
  Pool.markSuspected(Event.Agent, Event.AgentIncarnation);
  queryAllAt(Event.Agent, Event.AgentIncarnation, Now);
}

void request_router::onLost(const endpoint_lost &Event, time_point Now) {
  Pool.removeAgent(Event.Agent, Event.AgentIncarnation);
  markAllUndetermined(Event.Agent, Event.AgentIncarnation, Now);
}

void request_router::onCustomers(const customers_configured &Event,
                                 time_point Now) {
  Admission.configure(Event.Customers, Now);
}

void request_router::onPeerDemand(const peer_demand_reported &Event,
                                  time_point Now) {
  Admission.setPeerDemand(Event.Entry, Event.Demand, Now);
}

void request_router::onPeerLost(const peer_lost &Event, time_point Now) {
  Admission.dropPeer(Event.Entry, Now);
}

void request_router::onDrain(const router_drain_started &, time_point) {
  Draining = true;
}

void request_router::onTimerExpired(const router_timer_expired &,
                                    time_point Now) {
  ArmedTimer = time_point::max();
  while (!Timers.empty() && Timers.top().At <= Now) {
    const timer Due = Timers.top();
    Timers.pop();
    if (!current(Due))
      continue;
    if (Due.ForRequest)
      onRequestTimer(request_handle{Due.Key}, Now);
    else
      onAttemptTimer(Due.Key, Now);
  }
  if (NextQueueCheck <= Now)
    dispatchAllQueued(Now);
}

void request_router::onRequestTimer(request_handle Handle, time_point Now) {
  request &Request = Requests.at(Handle);
  if (Request.Deadline <= Now)
    return giveUp(Handle, Request, not_run_reason::DeadlineExpired);
  Request.HedgeAt = time_point::max();
  hedge(Handle, Request, Now);
}

request_router::service_state &
request_router::serviceOf(const service_id &Service) {
  return Services.try_emplace(Service, Settings).first->second;
}

std::optional<duration> request_router::hedgeDelay(const service_id &Service) {
  const std::optional<duration> Upper = serviceOf(Service).Latency.upper();
  if (!Upper)
    return std::nullopt;
  return std::max(*Upper, Settings.MinHedgeDelay);
}

duration request_router::queryDelay(const service_id &Service) {
  const std::optional<duration> Delay = hedgeDelay(Service);
  if (!Delay)
    return Settings.MinQueryDelay;
  const double Scaled = double(Delay->count()) * Settings.QueryDelayFactor;
  return std::max(Settings.MinQueryDelay,
                  duration(static_cast<duration::rep>(Scaled)));
}

void request_router::startTimer(time_point At, std::uint64_t Key,
                                bool ForRequest) {
  Timers.push({At, Key, ForRequest});
}

/// False if the request or attempt of the timer has ended or was rescheduled.
bool request_router::current(const timer &Timer) const {
  if (Timer.ForRequest) {
    const auto Found = Requests.find(request_handle{Timer.Key});
    return Found != Requests.end() && (Found->second.Deadline == Timer.At ||
                                       Found->second.HedgeAt == Timer.At);
  }
  const auto Found = Attempts.find(Timer.Key);
  return Found != Attempts.end() && !Found->second.Resolved &&
         Found->second.QueryAt == Timer.At;
}

void request_router::armTimer() {
  while (!Timers.empty() && !current(Timers.top()))
    Timers.pop();
  const time_point Next = Timers.empty()
                              ? NextQueueCheck
                              : std::min(NextQueueCheck, Timers.top().At);
  if (Next >= ArmedTimer)
    return;
  ArmedTimer = Next;
  Commands.emplace_back(set_router_timer{ArmedTimer});
}

} // namespace geraniumpaddle
