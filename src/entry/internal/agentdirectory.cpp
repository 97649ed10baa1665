#include "entry/agentdirectory.h"

#include "codec/protoconvert.h"
#include "core/base/membertable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration ProposalTimeout = std::chrono::seconds(10);
/// A change must be in force everywhere within 4 s, even if the first
/// connection no longer responds.
constexpr duration PushTimeout = std::chrono::seconds(1);
constexpr int MaxPushTries = 3;

} // namespace

agent_directory::agent_directory(ievent_loop &Loop, ipeer_client &Peers,
                                 iproposer &Log, const live_members &Members,
                                 const peer_identity &Self,
                                 const region_id &Region,
                                 const liveness_settings &Liveness,
                                 endpoint_sink Endpoints)
    : Loop(Loop), Peers(Peers), Log(Log), Members(Members), Self(Self),
      Region(Region), Endpoints(std::move(Endpoints)), Liveness(Liveness),
      LivenessTimer(Loop) {}

void agent_directory::start() {
  Started = true;
  onStateReplaced();
}

/// Treats every agent that is not lost in the ledger as if its heartbeat had
/// just arrived. Otherwise an agent that failed while this entry was down would
/// never be detected as lost.
void agent_directory::onStateReplaced() {
  WorkerByAgent.clear();
  for (const worker_entry &Worker : Log.state().workers()) {
    WorkerByAgent[Worker.Agent] = Worker.Info.Id;
    announceEndpoint(Worker);
    if (Started && Worker.Info.Region == Region &&
        Worker.State != worker_state::Lost)
      pushLiveness(heartbeat_received{Worker.Agent, Worker.AgentIncarnation,
                                      Liveness.heartbeatInterval()});
  }
}

const agent_link *agent_directory::link(const node_id &Agent) const {
  auto Found = Links.find(Agent);
  return Found == Links.end() ? nullptr : &Found->second;
}

const worker_entry *agent_directory::workerOf(const node_id &Agent) const {
  auto Found = WorkerByAgent.find(Agent);
  return Found == WorkerByAgent.end() ? nullptr
                                      : Log.state().worker(Found->second);
}

proto::HeartbeatReply
agent_directory::onHeartbeat(const node_id &Agent, incarnation Incarnation,
                             const proto::Heartbeat &Heartbeat) {
  proto::HeartbeatReply Reply;
  Reply.set_interval_ms(
      static_cast<std::uint64_t>(millisecondsOf(Liveness.heartbeatInterval())));
  const worker_entry *Worker = workerOf(Agent);
  if (Worker && Worker->AgentIncarnation > Incarnation)
    return Reply;
  pushLiveness(
      heartbeat_received{Agent, Incarnation, Liveness.heartbeatInterval()});
  agent_link &Link = Links[Agent];
  if (Link.Agent.empty() || Link.Incarnation != Incarnation)
    Link = agent_link{.Agent = Agent, .Incarnation = Incarnation};
  updateLoad(Link, Heartbeat);
  bool Registered = Worker && Worker->AgentIncarnation == Incarnation;
  if (Registered)
    proposeStateChange(Link, *Worker);
  else if (Heartbeat.has_registration())
    proposeRegistration(Agent, Incarnation, Heartbeat);
  Reply.set_registration_wanted(!Registered && !Heartbeat.has_registration());
  for (const entry_member &Entry : Log.state().entries())
    if (Entry.Region == Region && Members.isLive(Entry.Node))
      *Reply.add_entries() =
          toProto(entry_announced{Entry.Node, Entry.Region, Entry.Zone,
                                  Entry.PeerAddress, Entry.HttpAddress});
  if (Heartbeat.config_version() < raw(Log.state().version()))
    *Reply.mutable_customers() = customersInForce();
  return Reply;
}

void agent_directory::updateLoad(agent_link &Link,
                                 const proto::Heartbeat &Heartbeat) {
  Link.Load = {Heartbeat.in_flight(), Heartbeat.queued()};
  Link.Draining = Heartbeat.draining();
  Link.EndpointHealthy = Heartbeat.endpoint_healthy();
  Link.Suspected = false;
  Link.Version =
      std::max(Link.Version, config_version{Heartbeat.config_version()});
  reportLoad(Link);
}

void agent_directory::reportLoad(const agent_link &Link) {
  Endpoints(endpoint_load_reported{Link.Agent, Link.Incarnation, Link.Load,
                                   Link.Draining, Link.EndpointHealthy});
}

void agent_directory::proposeRegistration(const node_id &Agent,
                                          incarnation Incarnation,
                                          const proto::Heartbeat &Heartbeat) {
  worker_registered Registration = fromProto(Heartbeat.registration());
  Registration.Agent = Agent;
  Registration.AgentIncarnation = Incarnation;
  proposeOnce("register " + Agent.str() + " " +
                  std::to_string(raw(Incarnation)),
              std::move(Registration));
}

void agent_directory::proposeStateChange(const agent_link &Link,
                                         const worker_entry &Worker) {
  if (!Members.ownsAgent(Link.Agent, Worker.Info.Region))
    return;
  worker_state_changed Change{Worker.Info.Id, Link.Incarnation,
                              worker_state::Active, state_cause::Announced};
  if (Link.Draining && Worker.State == worker_state::Active) {
    Change.State = worker_state::Draining;
    Change.Cause = state_cause::GracefulShutdown;
    proposeOnce("drain " + Link.Agent.str(), Change);
  } else if (!Link.Draining && Worker.State == worker_state::Lost) {
    proposeOnce("active " + Link.Agent.str(), Change);
  }
}

void agent_directory::proposeOnce(const std::string &Key, record_body Body) {
  if (!Log.ready() || !OutstandingProposals.emplace(Key, true).second)
    return;
  Log.propose(actor_id(Self.Node.view()), std::move(Body), ProposalTimeout,
              [this, Key, Alive = Alive](const proposal_answered &) {
                if (*Alive)
                  OutstandingProposals.erase(Key);
              });
}

void agent_directory::onRecordApplied(log_offset, const record &Record,
                                      const verdict &Verdict) {
  if (!Verdict.accepted())
    return;
  if (const auto *Registration = std::get_if<worker_registered>(&Record.Body)) {
    WorkerByAgent[Registration->Agent] = Registration->Worker.Id;
    if (const worker_entry *Worker = workerOf(Registration->Agent))
      announceEndpoint(*Worker);
    auto Link = Links.find(Registration->Agent);
    if (Link != Links.end())
      reportLoad(Link->second);
  }
  if (const auto *Change = std::get_if<worker_state_changed>(&Record.Body)) {
    const worker_entry *Worker = Log.state().worker(Change->Worker);
    if (Worker && Change->State == worker_state::Lost)
      Endpoints(endpoint_lost{Worker->Agent, Worker->AgentIncarnation});
    else if (Worker)
      announceEndpoint(*Worker);
  }
}

void agent_directory::onBatchApplied() { pushCustomers(); }

void agent_directory::announceEndpoint(const worker_entry &Worker) {
  if (Worker.Service.empty() || Worker.State == worker_state::Lost)
    return;
  Endpoints(endpoint_announced{Worker.Agent, Worker.AgentIncarnation,
                               Worker.PeerAddress, Worker.Service,
                               Worker.Info.Region, Worker.Info.Zone,
                               static_cast<std::uint32_t>(Worker.Slots)});
}

proto::CustomersInForce agent_directory::customersInForce() const {
  proto::CustomersInForce Out;
  Out.set_version(raw(Log.state().version()));
  for (const customer_entry &Customer : Log.state().customers()) {
    *Out.add_customers() = toProto(Customer.Config);
    Out.mutable_customers()->rbegin()->clear_token_hash();
  }
  return Out;
}

/// Heartbeat replies carry the configuration too; pushing it is faster.
void agent_directory::pushCustomers() {
  if (!Started || Log.state().version() == PushedVersion)
    return;
  PushedVersion = Log.state().version();
  pushToOutdated();
}

/// The previous owner of an agent may have failed before it pushed the
/// configuration.
void agent_directory::onMembersChanged() {
  if (Started)
    pushToOutdated();
}

void agent_directory::pushToOutdated() {
  proto::PeerRequest Request = makeRequest(Self);
  *Request.mutable_customers() = customersInForce();
  for (const auto &[Agent, Link] : Links) {
    const worker_entry *Worker = workerOf(Agent);
    bool NeedsPush = Worker && !Link.Suspected &&
                     Link.Version < PushedVersion &&
                     Members.ownsAgent(Agent, Worker->Info.Region);
    if (NeedsPush)
      push(Agent, Request, MaxPushTries);
  }
}

void agent_directory::push(const node_id &Agent,
                           const proto::PeerRequest &Request, int TriesLeft) {
  const worker_entry *Worker = workerOf(Agent);
  if (!Worker || Request.customers().version() != raw(PushedVersion))
    return;
  Peers.call(Worker->PeerAddress, Request, PushTimeout,
             [this, Agent, Request, TriesLeft, Address = Worker->PeerAddress,
              Alive = Alive](const peer_result &Result) {
               if (!*Alive)
                 return;
               if (Result.Status == call_status::Completed)
                 return updateConfigVersion(Agent,
                                            Request.customers().version());
               Peers.reconnect(Address);
               if (TriesLeft > 1)
                 push(Agent, Request, TriesLeft - 1);
             });
}

void agent_directory::updateConfigVersion(const node_id &Agent,
                                          std::uint64_t Version) {
  auto Found = Links.find(Agent);
  if (Found != Links.end())
    Found->second.Version =
        std::max(Found->second.Version, config_version{Version});
}

void agent_directory::pushLiveness(liveness_event Event) {
  using table =
      member_table<&agent_directory::onSuspected, &agent_directory::onRecovered,
                   &agent_directory::onLost, &agent_directory::onSelfSuspicion,
                   &agent_directory::onSetTimer>;
  LivenessEvents.push(std::move(Event), [this](const liveness_event &Next) {
    for (const liveness_command &Command : Liveness.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

void agent_directory::onSuspected(const node_suspected &Command) {
  auto Link = Links.find(Command.Node);
  if (Link != Links.end())
    Link->second.Suspected = true;
  if (const worker_entry *Worker = workerOf(Command.Node))
    Peers.reconnect(Worker->PeerAddress);
  Endpoints(endpoint_suspected{Command.Node, Command.Incarnation});
}

void agent_directory::onRecovered(const node_recovered &) {}

void agent_directory::onLost(const node_lost &Command) {
  Links.erase(Command.Node);
  const worker_entry *Worker = workerOf(Command.Node);
  if (!Worker || Worker->AgentIncarnation != Command.Incarnation)
    return;
  Logger.warning("agent lost: " + Command.Node.str());
  proposeOnce("lost " + Command.Node.str(),
              worker_state_changed{Worker->Info.Id, Command.Incarnation,
                                   worker_state::Lost,
                                   state_cause::HeartbeatTimeout});
}

void agent_directory::onSelfSuspicion(const self_suspicion_changed &Command) {
  Logger.warning(Command.Suspected ? "heartbeats of most agents are missing"
                                   : "heartbeats of agents arrive again");
}

void agent_directory::onSetTimer(const set_liveness_timer &Command) {
  LivenessTimer.startAt(Command.At,
                        [this] { pushLiveness(liveness_timer_expired{}); });
}

proto::RegionSummary agent_directory::summary() const {
  proto::RegionSummary Out;
  Out.set_region(Region.str());
  for (const auto &[Agent, Link] : Links) {
    const worker_entry *Worker = workerOf(Agent);
    if (!Worker || Worker->Service.empty() || Link.Suspected)
      continue;
    proto::EndpointLoad &Load = *Out.add_endpoints();
    Load.set_agent(Agent.str());
    Load.set_incarnation(raw(Link.Incarnation));
    Load.set_in_flight(Link.Load.InFlight);
    Load.set_draining(Link.Draining);
  }
  return Out;
}

void agent_directory::updateFromSummary(const proto::RegionSummary &Summary) {
  if (Summary.region() == Region.view())
    return;
  for (const proto::EndpointLoad &Load : Summary.endpoints())
    Endpoints(endpoint_load_reported{node_id(Load.agent()),
                                     incarnation{Load.incarnation()},
                                     {Load.in_flight(), 0},
                                     Load.draining(),
                                     true});
}

} // namespace geraniumpaddle
