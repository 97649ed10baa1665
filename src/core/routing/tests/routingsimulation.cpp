#include "routingsimulation.h"

#include <algorithm>
#include <charconv>

namespace geraniumpaddle::testing {

namespace {

constexpr duration LateBy = std::chrono::milliseconds(700);
constexpr duration DuplicateAfter = std::chrono::milliseconds(90);

node_id agentName(std::size_t Agent) {
  return node_id("a" + std::to_string(Agent));
}

std::size_t agentIndex(const node_id &Name) {
  std::size_t Index = 0;
  const std::string_view Digits = Name.view().substr(1);
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Index);
  return Index;
}

} // namespace

routing_simulation::routing_simulation(std::size_t EntryCount,
                                       std::size_t AgentCount,
                                       const router_settings &Router,
                                       const attempt_settings &Table)
    : RouterSettings(Router), TableSettings(Table), Entries(EntryCount),
      Agents(AgentCount) {
  for (std::size_t E = 0; E < EntryCount; ++E)
    killEntry(E);
  for (std::size_t A = 0; A < AgentCount; ++A) {
    Agents[A].Table =
        std::make_unique<attempt_table>(TableSettings, Agents[A].Incarnation);
    Agents[A].BlackholedEntries.resize(EntryCount);
    announce(A);
  }
}

void routing_simulation::schedule(duration Delay,
                                  std::function<void()> Action) {
  ScheduledActions.emplace(Now + Delay, std::move(Action));
}

transmission routing_simulation::nextTransmission() {
  if (Transmissions.empty())
    return transmission::Deliver;
  return Transmissions[NextTransmission++ % Transmissions.size()];
}

std::size_t routing_simulation::request(std::size_t Entry, bool Idempotent,
                                        duration Timeout,
                                        const std::string &Customer) {
  const std::size_t Id = Callers.size();
  Callers.push_back({Entry, Idempotent, false, 0, {}, false});
  sendToRouter(Entry,
               request_arrived{request_handle{Id}, customer_id(Customer),
                               service_id("s"), Idempotent, 100, Timeout});
  return Id;
}

void routing_simulation::disconnectCaller(std::size_t Request) {
  Callers[Request].MayMissOutcome = true;
  sendToRouter(Callers[Request].Entry,
               caller_disconnected{request_handle{Request}});
}

void routing_simulation::killEntry(std::size_t Index) {
  entry &Entry = Entries[Index];
  for (caller &Caller : Callers)
    Caller.MayMissOutcome = Caller.MayMissOutcome || Caller.Entry == Index;
  Entry.Incarnation = incarnation{raw(Entry.Incarnation) + 1};
  Entry.NextTimer = time_point::max();
  const router_identity Self{node_id("e" + std::to_string(Index)),
                             Entry.Incarnation, region_id("r"),
                             availability_zone_id("z0")};
  Entry.Router =
      std::make_unique<request_router>(RouterSettings, Self, Index + 1);
  customers_configured Configured;
  for (const char *Name : {"c1", "c2", "c3"}) {
    Configured.Customers.emplace_back();
    Configured.Customers.back().Id = customer_id(Name);
  }
  sendToRouter(Index, Configured);
  for (std::size_t A = 0; A < Agents.size(); ++A) {
    if (Agents[A].Table)
      announce(A);
  }
}

void routing_simulation::announce(std::size_t Agent) {
  const std::string Zone = "z" + std::to_string(Agent % 2);
  for (std::size_t E = 0; E < Entries.size(); ++E)
    sendToRouter(
        E, endpoint_announced{agentName(Agent), Agents[Agent].Incarnation,
                              "address", service_id("s"), region_id("r"),
                              availability_zone_id(Zone), TableSettings.Slots});
}

void routing_simulation::killAgent(std::size_t Index) {
  agent &Agent = Agents[Index];
  Agent.Alive = false;
  Agent.AtEndpoint = 0;
  Agent.NextTimer = time_point::max();
  Agent.Requests.clear();
  Agent.Answers.clear();
}

void routing_simulation::restartAgent(std::size_t Index,
                                      duration AnnounceAfter) {
  killAgent(Index);
  agent &Agent = Agents[Index];
  Agent.Alive = true;
  Agent.PausedUntil = Now;
  Agent.Incarnation = incarnation{raw(Agent.Incarnation) + 1};
  Agent.Table =
      std::make_unique<attempt_table>(TableSettings, Agent.Incarnation);
  schedule(AnnounceAfter, [this, Index] { announce(Index); });
}

void routing_simulation::pauseAgent(std::size_t Agent, duration Length) {
  Agents[Agent].PausedUntil = Now + Length;
}

void routing_simulation::drainAgent(std::size_t Agent) {
  sendToTable(Agent, Agents[Agent].Incarnation, agent_drain_started{});
  schedule(OneWay, [this, Agent] {
    for (std::size_t E = 0; E < Entries.size(); ++E)
      sendToRouter(
          E, endpoint_load_reported{agentName(Agent), Agents[Agent].Incarnation,
                                    Agents[Agent].Table->load(), true});
  });
}

void routing_simulation::blackholeLink(std::size_t Entry, std::size_t Agent) {
  Agents[Agent].BlackholedEntries[Entry] = true;
}

void routing_simulation::suspectAgent(std::size_t Agent) {
  for (std::size_t E = 0; E < Entries.size(); ++E)
    sendToRouter(
        E, endpoint_suspected{agentName(Agent), Agents[Agent].Incarnation});
  schedule(std::chrono::seconds(1), [this, Agent] {
    for (std::size_t E = 0; E < Entries.size(); ++E)
      sendToRouter(E, endpoint_load_reported{agentName(Agent),
                                             Agents[Agent].Incarnation,
                                             Agents[Agent].Table->load()});
  });
}

void routing_simulation::setEndpoint(std::size_t Agent, endpoint_fault Fault) {
  Agents[Agent].Fault = Fault;
}

void routing_simulation::run(duration Length) {
  const time_point End = Now + Length;
  while (true) {
    time_point Next =
        ScheduledActions.empty() ? End : ScheduledActions.begin()->first;
    for (const entry &Entry : Entries)
      Next = std::min(Next, Entry.NextTimer);
    for (const agent &Agent : Agents)
      Next = std::min(Next, std::max(Agent.NextTimer, Agent.PausedUntil));
    if (Next >= End)
      break;
    Now = std::max(Now, Next);
    if (!ScheduledActions.empty() && ScheduledActions.begin()->first <= Now) {
      const auto Action = std::move(ScheduledActions.begin()->second);
      ScheduledActions.erase(ScheduledActions.begin());
      Action();
    }
    for (std::size_t E = 0; E < Entries.size(); ++E) {
      if (Entries[E].NextTimer <= Now) {
        Entries[E].NextTimer = time_point::max();
        sendToRouter(E, router_timer_expired{});
      }
    }
    for (std::size_t A = 0; A < Agents.size(); ++A) {
      agent &Agent = Agents[A];
      if (Agent.NextTimer <= Now && Agent.PausedUntil <= Now) {
        Agent.NextTimer = time_point::max();
        sendToTable(A, Agent.Incarnation, agent_timer_expired{});
      }
    }
  }
  Now = End;
}

void routing_simulation::sendToRouter(std::size_t Entry,
                                      const router_event &Event) {
  const auto Commands = Entries[Entry].Router->handle(Event, Now);
  // Executing a command may call the router again, which replaces Commands.
  const std::vector<router_command> Copy(Commands.begin(), Commands.end());
  for (const router_command &Command : Copy)
    execute(Entry, Command);
}

void routing_simulation::execute(std::size_t Entry,
                                 const router_command &Command) {
  if (const auto *Send = std::get_if<send_attempt>(&Command)) {
    const send_attempt Copy = *Send;
    openCall(
        Entry, Copy.Attempt, Copy.Agent, Copy.Timeout, false,
        [Copy](call_handle Call) {
          return delivery_arrived{
              Call,          Copy.Attempt,    Copy.AgentIncarnation,
              Copy.Customer, Copy.Idempotent, Copy.Timeout};
        },
        raw(Copy.Request));
  } else if (const auto *Query = std::get_if<query_attempt>(&Command)) {
    const query_attempt Copy = *Query;
    Agents[agentIndex(Copy.Agent)].BlackholedEntries[Entry] = false;
    openCall(
        Entry, Copy.Attempt, Copy.Agent, Copy.Timeout, true,
        [Copy](call_handle Call) {
          return query_arrived{Call, Copy.Attempt, Copy.AgentIncarnation};
        },
        0);
  } else if (const auto *Answer = std::get_if<answer_caller>(&Command)) {
    caller &Caller = Callers[raw(Answer->Request)];
    Caller.Outcomes.push_back(Answer->Outcome);
    Caller.AnswerMatches = DeliveredAnswer == raw(Answer->Request);
  } else if (const auto *NextTimer = std::get_if<set_router_timer>(&Command)) {
    Entries[Entry].NextTimer = NextTimer->At;
  }
}

bool routing_simulation::blackholed(const call &Call) const {
  return !Call.IsQuery && Agents[Call.Agent].BlackholedEntries[Call.Entry];
}

void routing_simulation::transmit(const call &Call,
                                  const std::function<void()> &Arrive) {
  if (blackholed(Call))
    return;
  switch (nextTransmission()) {
  case transmission::Drop:
    return;
  case transmission::Duplicate:
    schedule(OneWay + DuplicateAfter, Arrive);
    [[fallthrough]];
  case transmission::Deliver:
    return schedule(OneWay, Arrive);
  case transmission::Late:
    return schedule(OneWay + LateBy, Arrive);
  }
}

void routing_simulation::openCall(
    std::size_t Entry, const attempt_id &Attempt, const node_id &Agent,
    duration Timeout, bool IsQuery,
    const std::function<attempt_event(call_handle)> &Event,
    std::size_t Request) {
  const call_handle Handle{Calls.size()};
  const std::size_t Target = agentIndex(Agent);
  Calls.push_back({Entry, Target, Entries[Entry].Incarnation, Attempt, Request,
                   IsQuery, true});
  if (!Agents[Target].Alive) {
    schedule(OneWay, [this, Handle] {
      closeCall(Handle, attempt_state::NotSent, attempt_refusal::None, {}, {});
    });
    return;
  }
  schedule(Timeout, [this, Handle] {
    closeCall(Handle, attempt_state::Lost, attempt_refusal::None, {}, {});
  });
  transmit(Calls.back(), [=, this] {
    sendToTable(Target, Agents[Target].Incarnation, Event(Handle));
  });
}

void routing_simulation::closeCall(call_handle Handle, attempt_state State,
                                   attempt_refusal Refusal, agent_load Load,
                                   std::optional<std::size_t> Answer) {
  call &Call = Calls[raw(Handle)];
  if (!Call.Open || Entries[Call.Entry].Incarnation != Call.EntryIncarnation)
    return;
  Call.Open = false;
  const std::size_t Entry = Call.Entry;
  DeliveredAnswer = Answer;
  const std::uint64_t Number = Call.Attempt.Number;
  if (Call.IsQuery)
    sendToRouter(Entry, query_reported{Number, State, Refusal, false, Load});
  else
    sendToRouter(Entry, attempt_reported{Number, State, Refusal, false, Load});
  DeliveredAnswer.reset();
}

void routing_simulation::sendToTable(std::size_t Index, incarnation Incarnation,
                                     const attempt_event &Event) {
  agent &Agent = Agents[Index];
  if (!Agent.Alive || Agent.Incarnation != Incarnation)
    return;
  if (Agent.PausedUntil > Now) {
    schedule(Agent.PausedUntil - Now,
             [=, this] { sendToTable(Index, Incarnation, Event); });
    return;
  }
  if (const auto *Delivery = std::get_if<delivery_arrived>(&Event))
    Agent.Requests.try_emplace(Delivery->Attempt,
                               Calls[raw(Delivery->Call)].Request);
  const auto Commands = Agent.Table->handle(Event, Now);
  const std::vector<attempt_command> Copy(Commands.begin(), Commands.end());
  for (const attempt_command &Command : Copy)
    execute(Index, Command);
}

void routing_simulation::execute(std::size_t Index,
                                 const attempt_command &Command) {
  agent &Agent = Agents[Index];
  if (const auto *Call = std::get_if<call_endpoint>(&Command)) {
    callEndpoint(Index, *Call);
  } else if (const auto *Report = std::get_if<report_attempt>(&Command)) {
    std::optional<std::size_t> Answer;
    if (Report->State == attempt_state::Answered)
      Answer = Agent.Answers.at(Report->Attempt);
    transmit(Calls[raw(Report->Call)], [this, Copy = *Report, Answer] {
      closeCall(Copy.Call, Copy.State, Copy.Refusal, Copy.Load, Answer);
    });
  } else if (const auto *Release = std::get_if<release_attempt>(&Command)) {
    Agent.Requests.erase(Release->Attempt);
    Agent.Answers.erase(Release->Attempt);
  } else if (std::holds_alternative<agent_drained>(Command)) {
    killAgent(Index);
  } else if (const auto *NextTimer = std::get_if<set_agent_timer>(&Command)) {
    Agent.NextTimer = NextTimer->At;
  }
}

duration routing_simulation::serviceTime() {
  std::uniform_real_distribution<double> Draw(-ServiceSpread, ServiceSpread);
  const double Micros = double(Service.count()) * (1 + Draw(Random));
  return duration(static_cast<duration::rep>(Micros));
}

void routing_simulation::callEndpoint(std::size_t Index,
                                      const call_endpoint &Command) {
  agent &Agent = Agents[Index];
  const std::size_t Request = Agent.Requests.at(Command.Attempt);
  const attempt_id Id = Command.Attempt;
  const incarnation Incarnation = Agent.Incarnation;
  const endpoint_fault Fault = Agent.Fault;
  if (Fault == endpoint_fault::Down) {
    schedule(duration::zero(), [=, this] {
      sendToTable(Index, Incarnation,
                  endpoint_finished{Id, endpoint_result::NotSent, 0});
    });
    return;
  }
  ++Callers[Request].Executions;
  Peak = std::max(Peak, ++Agent.AtEndpoint);
  const duration CallTime =
      Fault == endpoint_fault::Stuck ? Command.Timeout : serviceTime();
  schedule(CallTime, [=, this] {
    if (Agents[Index].Incarnation != Incarnation || !Agents[Index].Alive)
      return;
    --Agents[Index].AtEndpoint;
    const bool Complete = Fault == endpoint_fault::None;
    if (Complete)
      Agents[Index].Answers[Id] = Request;
    sendToTable(Index, Incarnation,
                endpoint_finished{Id,
                                  Complete ? endpoint_result::Answered
                                           : endpoint_result::Lost,
                                  100});
  });
}

std::string routing_simulation::violation() const {
  for (const caller &Caller : Callers) {
    if (Caller.Outcomes.size() > 1)
      return "a caller got two outcomes";
    if (Caller.Outcomes.empty() && !Caller.MayMissOutcome)
      return "a caller got no outcome";
    if (!Caller.Idempotent && Caller.Executions > 1)
      return "a non-idempotent request ran twice";
    if (Caller.Outcomes.empty())
      continue;
    const outcome_kind Kind = Caller.Outcomes.front().Kind;
    if (Kind == outcome_kind::NotRun && Caller.Executions > 0)
      return "a request that ran was reported as not run";
    if (Kind == outcome_kind::Answered &&
        (Caller.Executions == 0 || !Caller.AnswerMatches))
      return "a caller got the answer of another request";
  }
  if (Peak > static_cast<int>(TableSettings.Slots))
    return "an agent sent its endpoint more requests than it has slots";
  return {};
}

} // namespace geraniumpaddle::testing
