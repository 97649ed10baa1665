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

/// A worker that has not been heard this long is gone; its leases are over by
/// then as well.
constexpr duration SilentAfter = std::chrono::seconds(15);
constexpr duration SweepInterval = std::chrono::seconds(5);

work::host_limits limitsFrom(const settings &Settings) {
  work::host_limits Limits;
  Limits.Lease = std::min<duration>(Settings.LeaseDuration, work::MaxLease);
  return Limits;
}

} // namespace

job_agent_role::job_agent_role(const job_agent_environment &Environment,
                               const settings &Settings,
                               const peer_identity &Self,
                               std::function<void()> Stopped)
    : Environment(Environment), Settings(Settings), Self(Self),
      Stopped(std::move(Stopped)), Fencing(raw(Self.Incarnation)),
      Link(Environment.Loop, Environment.Peers, Environment.Store, Self,
           withPortOf(Settings.PeerListen, Settings.EntryAddresses)),
      Sweep(Environment.Loop) {}

void job_agent_role::start() {
  Log.event("start", {{"node", Self.Node.view()}});
  Link.start();
  dropSilent();
}

void job_agent_role::applySettings(const settings &Next) {
  Link.addSeeds(withPortOf(Settings.PeerListen, Next.EntryAddresses));
}

void job_agent_role::drain() {
  Log.event("drain_started", {});
  Stopped();
}

void job_agent_role::dropSilent() {
  const time_point Now = Environment.Loop.now();
  std::erase_if(Sessions, [&](const auto &Each) {
    return Now - Each.second->lastHeartbeat() > SilentAfter;
  });
  Sweep.start(SweepInterval, [this] { dropSilent(); });
}

void job_agent_role::handleControl(
    const http_request_view &Request,
    const std::shared_ptr<ihttp_responder> &Responder) {
  const worker_request Call = parseWorkerRequest(Request.Method, Request.Path);
  switch (Call.Kind) {
  case worker_request_kind::Heartbeat:
    heartbeat(Call.Worker, Request, *Responder);
    return;
  case worker_request_kind::Deregister:
    leaves(Call.Worker, Request.Body, Responder);
    return;
  case worker_request_kind::Other:
    break;
  }
  Responder->respond(encodeError(NotFound, "no_call", "no such call"));
}

void job_agent_role::leaves(std::string_view Worker, std::string_view Body,
                            const std::shared_ptr<ihttp_responder> &Responder) {
  const auto Found = Sessions.find(worker_id(Worker));
  const auto StartTimeMs = decodeStartTimeMs(Body);
  const bool Known =
      Found != Sessions.end() &&
      (!StartTimeMs || Found->second->life().StartTimeMs == *StartTimeMs);
  if (Known) {
    Found->second->leaves(
        [Responder] { Responder->respond(encodeEmpty(Success)); });
    return;
  }
  Log.event("worker_leaves", {{"worker", Worker}, {"known", 0}});
  Responder->respond(encodeEmpty(Success));
}

void job_agent_role::heartbeat(std::string_view Worker,
                               const http_request_view &Request,
                               ihttp_responder &Responder) {
  worker_heartbeat Beat;
  try {
    Beat = decodeHeartbeat(Worker, Request.Body);
  } catch (const malformed_message_error &Problem) {
    Log.problem("heartbeat_unreadable",
                {{"worker", Worker}, {"problem", Problem.what()}});
    Responder.respond(encodeError(BadRequest, "malformed", Problem.what()));
    return;
  }
  const work::worker_instance &Life = Beat.Description.Life;
  const auto Found = Sessions.find(Life.Worker);
  if (Found == Sessions.end() ||
      Found->second->life().StartTimeMs < Life.StartTimeMs)
    beginSession(Beat.Description, Beat.Address);
  else if (Found->second->life().StartTimeMs == Life.StartTimeMs)
    Found->second->described(Beat.Description);
  Responder.respond(encodeEmpty(Success));
}

void job_agent_role::beginSession(const work::worker_description &Description,
                                  const std::string &Address) {
  const std::string &Called =
      Address.empty() ? Settings.WorkerAddress : Address;
  // A late heartbeat of a life that has ended at this address.
  for (const auto &[Id, Session] : Sessions)
    if (Session->address() == Called &&
        Session->life().StartTimeMs > Description.Life.StartTimeMs)
      return;
  std::erase_if(Sessions, [&](const auto &Each) {
    return Each.second->address() == Called ||
           Each.first == Description.Life.Worker;
  });
  auto Session = std::make_unique<worker_session>(
      Environment.Loop, Environment.Worker, Link, Fencing, limitsFrom(Settings),
      Called, Description);
  worker_session &Added = *Session;
  Sessions[Description.Life.Worker] = std::move(Session);
  Added.start();
}

} // namespace geraniumpaddle
