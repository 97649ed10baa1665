#include "agent/agentrole.h"

#include "codec/protoconvert.h"
#include "core/base/error.h"

#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration DescribeRetryInterval = std::chrono::milliseconds(500);

link_settings linkSettings(const settings &Settings) {
  link_settings Links;
  Links.FirstInterval = Settings.HeartbeatInterval;
  return Links;
}

gang_timing gangTiming(const settings &Settings) {
  gang_timing Timing;
  Timing.Lease = Settings.LeaseDuration;
  return Timing;
}

attempt_settings attemptSettings(const settings &Settings) {
  attempt_settings Attempts;
  Attempts.Slots = static_cast<std::uint32_t>(Settings.EndpointSlots);
  Attempts.QueueLimit = static_cast<std::size_t>(Settings.EndpointQueue);
  return Attempts;
}

} // namespace

agent_role::agent_role(const agent_environment &Environment,
                       const settings &Settings, const peer_identity &Self,
                       std::function<void()> Stopped)
    : Environment(Environment), Settings(Settings), Self(Self),
      Stopped(std::move(Stopped)),
      Entries(Environment.Loop, Environment.Peers, Self, linkSettings(Settings),
              Settings.EntryAddresses, *this),
      Gangs(Environment.Loop, Environment.Peers, Environment.Worker, Entries,
            Self, worker_id(Settings.WorkerId), gangTiming(Settings)),
      Requests(Environment.Loop, Environment.Http, Settings.EndpointAddress,
               attemptSettings(Settings), Self,
               [this] {
                 RequestsDrained = true;
                 finishDrain();
               }),
      Probe(Environment.Loop, Environment.Worker),
      DescribeTimer(Environment.Loop), DrainNoticeTimer(Environment.Loop) {
  registerMetrics();
}

void agent_role::start(std::string Address) {
  PeerAddress = std::move(Address);
  Gangs.start();
  describeWorker();
}

void agent_role::describeWorker() {
  Environment.Worker.describe(
      [this, Alive = Alive](const worker_result &Result) {
        if (*Alive)
          onWorkerDescribed(Result);
      });
}

void agent_role::onWorkerDescribed(const worker_result &Result) {
  if (Result.Status != call_status::Completed) {
    Log.warning("worker description failed; retrying");
    return DescribeTimer.start(DescribeRetryInterval,
                               [this] { describeWorker(); });
  }
  Capacity = Result.Capacity;
  Entries.start();
}

void agent_role::drain() {
  if (Draining)
    return;
  Draining = true;
  Log.info("drain started");
  Entries.notifyStateChange();
  Requests.drain();
  DrainNoticeTimer.start(Settings.DrainNotice, [this] { finishDrain(); });
}

/// Waits until the drain notice is over even if no request is running: a
/// request that an entry sent before it learned of the drain must get a
/// refusal, not a broken connection.
void agent_role::finishDrain() {
  if (!RequestsDrained || DrainNoticeTimer.running())
    return;
  Log.info("drain finished");
  Stopped();
}

bool agent_role::ready() const {
  return Capacity.has_value() && Entries.healthyLinks() > 0 && !Draining;
}

proto::PeerResponse agent_role::makeResponse(proto::Refusal Refusal) const {
  proto::PeerResponse Response;
  Response.set_incarnation(raw(Self.Incarnation));
  Response.set_refusal(Refusal);
  return Response;
}

void agent_role::handlePeer(const proto::PeerRequest &Request,
                            const peer_responder &Respond) {
  try {
    if (Request.has_customers()) {
      onCustomersReceived(Request.customers());
      return Respond(makeResponse(proto::REFUSAL_NONE));
    }
    if (Request.has_probe_worker())
      return Probe.start(Request.probe_worker(),
                         Capacity ? Capacity->Accelerators : 0, Respond);
    if (Requests.handle(Request, Respond) || Gangs.handle(Request, Respond))
      return;
  } catch (const malformed_message_error &Failure) {
    Log.warning(Failure.what());
  }
  Respond(makeResponse(proto::REFUSAL_INVALID));
}

void agent_role::handleHttp(const http_request_view &Request,
                            const std::shared_ptr<ihttp_responder> &Responder) {
  if (Request.Path == "/readyz")
    return Responder->respond(ready() ? textResponse(200, "ready\n")
                                      : textResponse(503, "not ready\n"));
  if (Request.Path == "/status")
    return Responder->respond(
        {200, {{"Content-Type", "application/json"}}, statusText()});
  Responder->respond(textResponse(404, "no such page\n"));
}

std::string agent_role::statusText() const {
  auto BoolText = [](bool Value) { return Value ? "true" : "false"; };
  std::string Text = "{\"node\":\"" + Self.Node.str() + "\"";
  Text += ",\"incarnation\":" + std::to_string(raw(Self.Incarnation));
  Text += ",\"config_version\":" + std::to_string(raw(Customers.version()));
  Text += ",\"in_flight\":" + std::to_string(Requests.load().InFlight);
  Text += std::string(",\"ready\":") + BoolText(ready());
  Text += std::string(",\"draining\":") + BoolText(Draining);
  Text += std::string(",\"gangs_busy\":") + BoolText(Gangs.busy());
  return Text + "}\n";
}

proto::Heartbeat agent_role::makeHeartbeat(bool WithRegistration) {
  proto::Heartbeat Out;
  agent_load Load = Requests.load();
  Out.set_in_flight(Load.InFlight);
  Out.set_queued(Load.Queued);
  Out.set_draining(Draining);
  Out.set_endpoint_healthy(Requests.endpointHealthy());
  Out.set_config_version(raw(Customers.version()));
  Out.set_lease_ms(static_cast<std::uint64_t>(Settings.LeaseDuration.count()));
  if (!WithRegistration || !Capacity)
    return Out;
  worker_registered Registration;
  Registration.Worker = {worker_id(Settings.WorkerId),
                         region_id(Settings.Region),
                         availability_zone_id(Settings.Zone),
                         rack_id(Settings.WorkerRack), *Capacity};
  Registration.Agent = Self.Node;
  Registration.AgentIncarnation = Self.Incarnation;
  Registration.PeerAddress = PeerAddress;
  Registration.Service = service_id(Settings.Service);
  Registration.Slots = static_cast<std::int32_t>(Settings.EndpointSlots);
  *Out.mutable_registration() = toProto(Registration);
  return Out;
}

void agent_role::onCustomersReceived(const proto::CustomersInForce &Received) {
  std::vector<customer_config> Configs;
  for (const proto::CustomerConfig &Config : Received.customers())
    Configs.push_back(fromProto(Config));
  if (Customers.update(config_version{Received.version()}, std::move(Configs)))
    Log.info("customer configuration updated", {.Offset = Received.version()});
}

void agent_role::registerMetrics() {
  gauge &InFlight = Environment.Metrics.getGauge(
      "geraniumpaddle_endpoint_in_flight", "Requests at the endpoint.");
  gauge &Queued = Environment.Metrics.getGauge("geraniumpaddle_endpoint_queued",
                                               "Requests waiting for a slot.");
  gauge &Version = Environment.Metrics.getGauge(
      "geraniumpaddle_config_version", "Configuration version in force.");
  Environment.Metrics.onRender([this, &InFlight, &Queued, &Version] {
    InFlight.set(Requests.load().InFlight);
    Queued.set(Requests.load().Queued);
    Version.set(static_cast<double>(raw(Customers.version())));
  });
}

} // namespace geraniumpaddle
