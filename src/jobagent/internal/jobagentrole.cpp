#include "jobagent/jobagentrole.h"

#include "core/base/error.h"
#include "core/work/types/limits.h"
#include "platform/platformdecode.h"
#include "transport/address.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr int Success = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;

/// A worker that has sent no heartbeat for this long is gone; its leases have
/// expired by then.
constexpr duration HeartbeatTimeout = std::chrono::seconds(15);
constexpr duration SweepInterval = std::chrono::seconds(5);

work::reconciler_limits limitsFrom(const settings &Settings) {
  work::reconciler_limits Limits;
  Limits.Lease = std::min<duration>(Settings.LeaseDuration, work::MaxLease);
  return Limits;
}

/// An empty address stands for the one of the settings.
/// \throws malformed_message_error if \p Text cannot be called.
void checkWorkerAddress(std::string_view Text) {
  const auto Address = findAddress(Text);
  if (!Text.empty() && (!Address || Address->Port == 0))
    throw malformed_message_error("Address cannot be called");
}

} // namespace

job_agent_role::job_agent_role(const job_agent_environment &Environment,
                               const settings &Settings,
                               const peer_identity &Self,
                               std::function<void()> OnStopped)
    : Environment(Environment), Settings(Settings), Self(Self),
      OnStopped(std::move(OnStopped)), Fencing(raw(Self.Incarnation)),
      Scheduler(Environment.Loop, Environment.Peers, Environment.Store, Self,
                withPortOf(Settings.PeerListen, Settings.EntryAddresses)),
      SweepTimer(Environment.Loop) {}

void job_agent_role::start() {
  Log.event("start", {{"node", Self.Node.view()}});
  Scheduler.start();
  removeExpiredSessions();
}

void job_agent_role::applySettings(const settings &Next) {
  Scheduler.addSeeds(withPortOf(Settings.PeerListen, Next.EntryAddresses));
}

void job_agent_role::drain() {
  Log.event("drain_started", {});
  OnStopped();
}

void job_agent_role::removeExpiredSessions() {
  const time_point Now = Environment.Loop.now();
  std::erase_if(Sessions, [&](const auto &Each) {
    return Now - Each.second->lastHeartbeat() > HeartbeatTimeout;
  });
  SweepTimer.start(SweepInterval, [this] { removeExpiredSessions(); });
}

void job_agent_role::handleControl(
    const http_request_view &Request,
    const std::shared_ptr<ihttp_responder> &Responder) {
  const worker_request Call = parseWorkerRequest(Request.Method, Request.Path);
  switch (Call.Kind) {
  case worker_request_kind::Heartbeat:
    handleHeartbeat(Call.Worker, Request, *Responder);
    return;
  case worker_request_kind::Deregister:
    handleShutdown(Call.Worker, Request.Body, Responder);
    return;
  case worker_request_kind::Other:
    break;
  }
  Responder->respond(encodeError(NotFound, "no_call", "no such call"));
}

void job_agent_role::handleShutdown(
    std::string_view Worker, std::string_view Body,
    const std::shared_ptr<ihttp_responder> &Responder) {
  std::optional<std::uint64_t> StartTimeMs;
  try {
    StartTimeMs = decodeDeregistration(Body);
  } catch (const malformed_message_error &Problem) {
    Log.warningEvent("deregistration_unreadable",
                     {{"worker", Worker}, {"problem", Problem.what()}});
    Responder->respond(encodeError(BadRequest, "malformed", Problem.what()));
    return;
  }
  const auto Found = Sessions.find(worker_id(Worker));
  const bool Known =
      Found != Sessions.end() &&
      (!StartTimeMs || Found->second->instance().StartTimeMs == *StartTimeMs);
  if (Known) {
    Found->second->handleShutdown(
        [Responder] { Responder->respond(encodeEmpty(Success)); });
    return;
  }
  Log.event("worker_leaves", {{"worker", Worker}, {"known", 0}});
  Responder->respond(encodeEmpty(Success));
}

void job_agent_role::handleHeartbeat(std::string_view Worker,
                                     const http_request_view &Request,
                                     ihttp_responder &Responder) {
  worker_heartbeat Heartbeat;
  try {
    Heartbeat = decodeHeartbeat(Worker, Request.Body);
    checkWorkerAddress(Heartbeat.Address);
  } catch (const malformed_message_error &Problem) {
    Log.warningEvent("heartbeat_unreadable", {{"worker", Worker},
                                              {"problem", Problem.what()},
                                              {"address", Heartbeat.Address}});
    Responder.respond(encodeError(BadRequest, "malformed", Problem.what()));
    return;
  }
  if (Heartbeat.Address.empty())
    Heartbeat.Address = Settings.WorkerAddress;
  const work::worker_instance &Instance = Heartbeat.Description.Instance;
  const auto Found = Sessions.find(Instance.Worker);
  if (Found != Sessions.end() && Found->second->instance() == Instance) {
    Found->second->handleHeartbeat(Heartbeat.Description);
  } else {
    const auto Replaced = replacedStartTime(Instance.Worker, Heartbeat.Address);
    if (!Replaced)
      beginSession(Heartbeat.Description, Heartbeat.Address);
    else if (*Replaced < Instance.StartTimeMs)
      confirmInstance(Heartbeat);
    // Otherwise it is a late heartbeat of an earlier instance.
  }
  Responder.respond(encodeEmpty(Success));
}

std::optional<std::uint64_t>
job_agent_role::replacedStartTime(const worker_id &Worker,
                                  std::string_view Address) const {
  std::optional<std::uint64_t> Latest;
  for (const auto &[Id, Session] : Sessions)
    if (Id == Worker || Session->address() == Address)
      Latest = std::max(Latest, std::optional(Session->instance().StartTimeMs));
  return Latest;
}

void job_agent_role::confirmInstance(const worker_heartbeat &Heartbeat) {
  const work::worker_instance &Instance = Heartbeat.Description.Instance;
  if (!Confirming.insert(Instance).second)
    return;
  Environment.Worker.list(
      {Heartbeat.Address, Instance, Fencing.token()}, {},
      [this, Heartbeat](const listing_outcome &Outcome) {
        const work::worker_instance &Instance = Heartbeat.Description.Instance;
        Confirming.erase(Instance);
        const bool Confirmed =
            Outcome.Listing &&
            Outcome.Listing->StartTimeMs == Instance.StartTimeMs;
        if (Confirmed)
          beginSession(Heartbeat.Description, Heartbeat.Address);
        else
          Log.warningEvent(
              "instance_not_confirmed",
              {{"worker", Instance.Worker.view()},
               {"born", Instance.StartTimeMs},
               {"address", Heartbeat.Address},
               {"answered", Outcome.Listing || Outcome.WrongWorker ? 1 : 0}});
      });
}

void job_agent_role::beginSession(const work::worker_description &Description,
                                  const std::string &Address) {
  const worker_id &Worker = Description.Instance.Worker;
  if (replacedStartTime(Worker, Address) >
      std::optional(Description.Instance.StartTimeMs))
    return;
  const auto Earlier = Sessions.contains(Worker)
                           ? work::earlier_session::SameProcess
                           : work::earlier_session::None;
  std::erase_if(Sessions, [&](const auto &Each) {
    return Each.second->address() == Address || Each.first == Worker;
  });
  Fencing.advance();
  auto Session = std::make_unique<worker_session>(
      Environment.Loop, Environment.Worker, Scheduler, Fencing,
      limitsFrom(Settings), Address, Description, Earlier);
  worker_session &Added = *Session;
  Sessions[Worker] = std::move(Session);
  Added.start();
}

} // namespace geraniumpaddle
