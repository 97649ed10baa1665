#include "entry/entryrole.h"

#include "codec/protoconvert.h"
#include "core/base/error.h"
#include "core/gang/types/gangtiming.h"
#include "entry/apimessages.h"
#include "entry/httputil.h"

#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration TakeoverDelay = std::chrono::seconds(1);
constexpr duration AnnounceTimeout = std::chrono::seconds(10);
constexpr duration AnnounceRetryInterval = std::chrono::seconds(1);
constexpr duration DrainPollInterval = std::chrono::milliseconds(50);
/// The loss of a lead may be recorded shortly before its last lease renewal.
constexpr duration LeaseExpiryMargin = std::chrono::seconds(1);

log_driver_settings logSettings(const settings &Settings) {
  log_driver_settings Log;
  Log.Appender.MaxQueued = static_cast<std::size_t>(Settings.AppendQueue);
  Log.Follower.ReadWait = Settings.LogLongPoll;
  Log.Snapshot.MaxTail = static_cast<std::uint64_t>(Settings.SnapshotRecords);
  return Log;
}

router_settings routerSettings(const settings &Settings) {
  router_settings Router;
  Router.DefaultTimeout = Settings.RequestTimeout;
  Router.QueueLimit = static_cast<std::size_t>(Settings.RequestQueue);
  return Router;
}

liveness_settings livenessSettings(const settings &Settings) {
  liveness_settings Liveness;
  Liveness.MinInterval = Settings.HeartbeatInterval;
  return Liveness;
}

supervision_settings supervisionSettings(const settings &Settings) {
  supervision_settings Supervision;
  gang_timing Timing;
  Timing.Lease = Settings.LeaseDuration;
  Supervision.LeaseExpiryBound =
      Timing.leaseExpiryBound(Timing.Lease) + LeaseExpiryMargin;
  return Supervision;
}

worker_health_limits healthLimits(const settings &Settings) {
  worker_health_limits Limits;
  Limits.FirstBackOff = Settings.ProbeBackOff;
  return Limits;
}

region_id logRegion(const settings &Settings) {
  return region_id(Settings.LogRegion.empty() ? Settings.Region
                                              : Settings.LogRegion);
}

objective objectiveOf(const settings &Settings) {
  return Settings.Objective == objective_setting::Fragmentation
             ? objective::Fragmentation
             : objective::CompletionTime;
}

} // namespace

entry_role::entry_role(const entry_environment &Environment,
                       const settings &Settings, const peer_identity &Self,
                       std::function<void()> Stopped)
    : Environment(Environment), Settings(Settings), Self(Self),
      Stopped(std::move(Stopped)),
      Rank(Self.Node, logRegion(Settings), TakeoverDelay),
      Members(Rank, Self.Node),
      Entries(Environment.Loop, Environment.Peers, Self, Rank,
              region_id(Settings.Region), Settings.HeartbeatInterval,
              Settings.Peers, *this),
      Relay(Environment.Loop, Environment.Log, Environment.Peers, Self,
            [this] { return relayAddress(); }),
      Log(Environment.Loop, Relay, Entries, Self, logSettings(Settings)),
      Auth(Settings.OperatorTokenHash),
      Requests(Environment.Loop, Environment.Peers, Auth, Environment.Metrics,
               routerSettings(Settings),
               {Self.Node, Self.Incarnation, region_id(Settings.Region),
                availability_zone_id(Settings.Zone)},
               raw(Self.Incarnation)),
      Agents(Environment.Loop, Environment.Peers, Log, Members, Self,
             region_id(Settings.Region), livenessSettings(Settings),
             [this](router_event Event) {
               Requests.forwardEvent(std::move(Event));
             }),
      Scheduler(Environment.Loop, Log, Rank, Self, objectiveOf(Settings)),
      Gangs(Environment.Loop, Environment.Peers, Log, Members, Self,
            supervisionSettings(Settings)),
      Health(Environment.Loop, Environment.Peers, Log, Members, Self,
             healthLimits(Settings), Settings.ProbeCommand),
      StateServer(Log),
      Admin(Environment.Loop, Log, Auth, Agents, Scheduler,
            Settings.AppendDeadline, [this] { return status(); }),
      AnnounceTimer(Environment.Loop), DrainTimer(Environment.Loop) {
  Log.observe(Agents);
  Log.observe(Gangs);
  Log.observe(Health);
  Log.observe(Scheduler);
  Log.observe(*this);
  registerMetrics();
}

void entry_role::start(std::string PeerAddress, std::string HttpAddress) {
  Announcement = {Self.Node, region_id(Settings.Region),
                  availability_zone_id(Settings.Zone), std::move(PeerAddress),
                  std::move(HttpAddress)};
  Log.start([this] { onReady(); });
}

void entry_role::onReady() {
  configureRouter();
  Entries.start(Log);
  Agents.start();
  Gangs.start();
  Scheduler.start();
  announce();
}

/// Retried until it is recorded: other entries and agents discover this entry
/// through the log.
void entry_role::announce() {
  Log.propose(actor_id(Self.Node.view()), Announcement, AnnounceTimeout,
              [this](const proposal_answered &Answer) {
                if (Answer.Outcome != proposal_outcome::Decided && !Draining)
                  AnnounceTimer.start(AnnounceRetryInterval,
                                      [this] { announce(); });
              });
}

void entry_role::drain() {
  if (Draining)
    return;
  Draining = true;
  Logger.info("drain started");
  if (Log.ready())
    Entries.setDraining();
  DrainTimer.start(Settings.DrainNotice, [this] {
    Requests.drain();
    Log.close();
    finishDrain();
  });
}

void entry_role::finishDrain() {
  if (Requests.openRequests() > 0 || !Log.idle())
    return DrainTimer.start(DrainPollInterval, [this] { finishDrain(); });
  Logger.info("drain finished");
  Stopped();
}

void entry_role::onRecordApplied(log_offset, const record &, const verdict &) {}

void entry_role::onStateReplaced() { configureRouter(); }

void entry_role::onBatchApplied() {
  if (Log.state().version() != RouterConfigVersion)
    configureRouter();
}

void entry_role::configureRouter() {
  RouterConfigVersion = Log.state().version();
  customers_configured Event;
  for (const customer_entry &Customer : Log.state().customers())
    Event.Customers.push_back(Customer.Config);
  Requests.forwardEvent(std::move(Event));
}

proto::PeerResponse entry_role::makeResponse(proto::Refusal Refusal) const {
  proto::PeerResponse Response;
  Response.set_incarnation(raw(Self.Incarnation));
  Response.set_refusal(Refusal);
  return Response;
}

void entry_role::handlePeer(const proto::PeerRequest &Request,
                            const peer_responder &Respond) {
  try {
    switch (Request.body_case()) {
    case proto::PeerRequest::kHeartbeat:
      return answerHeartbeat(Request, Respond);
    case proto::PeerRequest::kEntryHeartbeat:
      return answerEntryHeartbeat(Request, Respond);
    case proto::PeerRequest::kJobReport:
      return Gangs.onReport(node_id(Request.node()), Request.job_report(),
                            Respond);
    case proto::PeerRequest::kFetchRecords:
      return Relay.serve(Request.fetch_records(), Respond);
    case proto::PeerRequest::kFetchState:
      return Respond(StateServer.fetch(Request.fetch_state()));
    default:
      break;
    }
  } catch (const malformed_message_error &Failure) {
    Logger.warning(Failure.what());
  }
  Respond(makeResponse(proto::REFUSAL_INVALID));
}

void entry_role::answerHeartbeat(const proto::PeerRequest &Request,
                                 const peer_responder &Respond) {
  if (!Log.ready())
    return Respond(makeResponse(proto::REFUSAL_NOT_READY));
  // With a longer lease, tasks of a lost gang could still run when an entry
  // already considers the gang stopped.
  auto Lease = std::chrono::milliseconds(Request.heartbeat().lease_ms());
  if (Lease > Settings.LeaseDuration) {
    Logger.error(
        "heartbeat refused: agent has a longer lease than this entry: " +
        Request.node());
    return Respond(makeResponse(proto::REFUSAL_INVALID));
  }
  proto::PeerResponse Response = makeResponse(proto::REFUSAL_NONE);
  *Response.mutable_heartbeat() = Agents.onHeartbeat(
      node_id(Request.node()), incarnation{Request.incarnation()},
      Request.heartbeat());
  Respond(std::move(Response));
}

void entry_role::answerEntryHeartbeat(const proto::PeerRequest &Request,
                                      const peer_responder &Respond) {
  if (Log.ready())
    Entries.onHeartbeat(node_id(Request.node()),
                        incarnation{Request.incarnation()},
                        Request.entry_heartbeat());
  proto::PeerResponse Response = makeResponse(proto::REFUSAL_NONE);
  Response.mutable_entry_heartbeat()->set_folded(
      raw(Log.state().lastApplied()));
  Response.mutable_entry_heartbeat()->set_config_version(
      raw(Log.state().version()));
  Respond(std::move(Response));
}

proto::EntryHeartbeat entry_role::makeHeartbeat(bool AcrossRegions) {
  proto::EntryHeartbeat Out;
  *Out.mutable_entry() = toProto(Announcement);
  Out.set_folded(raw(Log.state().lastApplied()));
  Out.set_config_version(raw(Log.state().version()));
  for (const customer_demand &Demand : currentDemand()) {
    proto::CustomerDemand &To = *Out.add_demand();
    To.set_customer(Demand.Customer.str());
    To.set_in_flight(Demand.InFlight);
    To.set_rate_per_second(Demand.RatePerSecond);
  }
  if (AcrossRegions && Rank.ownsLink(region_id(Settings.Region)))
    *Out.mutable_summary() = Agents.summary();
  return Out;
}

/// Measures demand once for all heartbeats that are sent in one loop iteration.
std::span<const customer_demand> entry_role::currentDemand() {
  if (DemandMeasuredAt != Environment.Loop.now()) {
    DemandMeasuredAt = Environment.Loop.now();
    auto Measured = Requests.demand();
    Demand.assign(Measured.begin(), Measured.end());
  }
  return Demand;
}

void entry_role::onEntryHeartbeat(const node_id &Entry,
                                  const proto::EntryHeartbeat &Heartbeat) {
  peer_demand_reported Event{Entry, {}};
  for (const proto::CustomerDemand &Demand : Heartbeat.demand())
    Event.Demand.push_back({customer_id(Demand.customer()), Demand.in_flight(),
                            Demand.rate_per_second()});
  Requests.forwardEvent(std::move(Event));
  if (Heartbeat.has_summary())
    Agents.updateFromSummary(Heartbeat.summary());
}

void entry_role::onEntryLost(const node_id &Entry) {
  Requests.forwardEvent(peer_lost{Entry});
}

void entry_role::onMembersChanged() {
  Log.setRank(static_cast<std::uint32_t>(Rank.rank()));
  Gangs.onMembersChanged();
  Agents.onMembersChanged();
}

void entry_role::handleHttp(const http_request_view &Request,
                            const std::shared_ptr<ihttp_responder> &Responder) {
  if (Request.Path.starts_with(CallPrefix))
    return Log.ready() ? Requests.handle(Request, Responder, Log.state())
                       : Responder->respond(notRunResponse(
                             error_kind::Unavailable, "not_ready",
                             "this entry is starting; nothing was run"));
  if (Request.Path.starts_with("/v1/"))
    return Admin.handle(Request, Responder);
  if (Request.Path == "/readyz")
    return Responder->respond(ready() ? textResponse(200, "ready\n")
                                      : textResponse(503, "not ready\n"));
  Responder->respond(
      errorResponse(error_kind::NotFound, "not_found", "no such page"));
}

/// Empty if this entry reads the log directly, as every entry in the log's own
/// region does.
std::optional<std::string> entry_role::relayAddress() const {
  region_id Region(Settings.Region);
  std::optional<node_id> Owner = Rank.linkOwner(Region);
  if (Region == logRegion(Settings) || !Owner || *Owner == Self.Node)
    return std::nullopt;
  for (const entry_member &Entry : Log.state().entries())
    if (Entry.Node == *Owner)
      return Entry.PeerAddress;
  return std::nullopt;
}

proto::EntryStatus entry_role::status() const {
  proto::EntryStatus Out;
  Out.set_node(Self.Node.str());
  Out.set_region(Settings.Region);
  Out.set_zone(Settings.Zone);
  Out.set_ready(ready());
  Out.set_draining(Draining);
  Out.set_folded(raw(Log.state().lastApplied()));
  Out.set_config_version(raw(Log.state().version()));
  Out.set_log_reachable(Log.logReachable());
  Out.set_agents_linked(static_cast<std::uint32_t>(Agents.linked()));
  Out.set_jobs_waiting(
      static_cast<std::uint32_t>(Log.state().waitingJobs().size()));
  Out.set_jobs_running(
      static_cast<std::uint32_t>(Log.state().runningAttempts().size()));
  for (const entry_member &Entry : Log.state().entries())
    *Out.add_entries() =
        toProto(entry_announced{Entry.Node, Entry.Region, Entry.Zone,
                                Entry.PeerAddress, Entry.HttpAddress});
  for (const guarantee_shortfall &Shortfall :
       Log.state().account().shortfalls())
    Out.add_shortfalls(Shortfall.Customer.str() + ": " +
                       std::to_string(Shortfall.Missing) + " of " +
                       std::string(levelName(Shortfall.Level)) + " missing");
  return Out;
}

void entry_role::registerMetrics() {
  auto Add = [this](std::string_view Name, std::string_view Help,
                    std::function<double()> Read) {
    gauge &Gauge = Environment.Metrics.getGauge(Name, Help);
    Environment.Metrics.onRender(
        [&Gauge, Read = std::move(Read)] { Gauge.set(Read()); });
  };
  Add("geraniumpaddle_log_folded_offset", "Offset of the last folded record.",
      [this] { return static_cast<double>(raw(Log.state().lastApplied())); });
  Add("geraniumpaddle_config_version", "Configuration version in force.",
      [this] { return static_cast<double>(raw(Log.state().version())); });
  Add("geraniumpaddle_jobs_waiting", "Jobs that wait to be placed.",
      [this] { return static_cast<double>(Log.state().waitingJobs().size()); });
  Add("geraniumpaddle_jobs_running", "Attempts that hold capacity.", [this] {
    return static_cast<double>(Log.state().runningAttempts().size());
  });
  Add("geraniumpaddle_append_queue", "Proposals not yet appended.",
      [this] { return static_cast<double>(Log.queued()); });
  Add("geraniumpaddle_log_relayed_reads", "Log reads through another entry.",
      [this] { return static_cast<double>(Relay.relayedReads()); });
  Add("geraniumpaddle_log_relay_fallbacks",
      "Log reads that the other entry did not serve.",
      [this] { return static_cast<double>(Relay.fallbacks()); });
  Add("geraniumpaddle_agents_linked", "Agents whose heartbeats arrive.",
      [this] { return static_cast<double>(Agents.linked()); });
}

} // namespace geraniumpaddle
