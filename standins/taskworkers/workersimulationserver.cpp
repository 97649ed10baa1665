#include "standins/taskworkers/workersimulationserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace geraniumpaddle::standins {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr duration TickInterval = 20ms;
constexpr duration HeartbeatInterval = 500ms;
constexpr resources Capacity{
    .Accelerators = 8, .MilliCores = 64000, .MemoryMb = 262144};

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int MisdirectedRequest = 421;

std::string formatTask(const work::task_ref &Task) {
  const auto &At = Task.Position;
  return Task.Job.str() + "." + std::to_string(At.Occurrence) + "." +
         std::to_string(At.Step) + "." + std::to_string(At.Index);
}

work::run_ref parseRun(const json &Body) {
  const std::string Name = Body.at("Task");
  std::array<std::uint32_t, 3> Parts{};
  std::string Rest = Name;
  for (std::size_t I = Parts.size(); I-- > 0;) {
    const std::size_t Dot = Rest.rfind('.');
    Parts.at(I) = static_cast<std::uint32_t>(std::stoul(Rest.substr(Dot + 1)));
    Rest.resize(Dot);
  }
  return {{job_id(Rest), {Parts[0], Parts[1], Parts[2]}}, Body.at("Run")};
}

http_response jsonAnswer(int Code, const json &Body) {
  return {.Code = Code,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = Body.dump()};
}

http_response toResponse(order_result Answer, std::int64_t ClockMs) {
  switch (Answer) {
  case order_result::Done:
    return jsonAnswer(Ok, {{"ClockMs", ClockMs}});
  case order_result::Fenced:
    return jsonAnswer(Conflict, {{"ClockMs", ClockMs}, {"Reason", "fence"}});
  case order_result::Stale:
    return jsonAnswer(Conflict, {{"ClockMs", ClockMs}, {"Reason", "old"}});
  case order_result::DeadlinePassed:
    return jsonAnswer(Conflict, {{"ClockMs", ClockMs}, {"Reason", "late"}});
  case order_result::OtherWorker:
    break;
  }
  return {.Code = MisdirectedRequest};
}

} // namespace

worker_simulation_server::worker_simulation_server(
    event_loop &Loop, std::span<const simulated_worker_config> Configs)
    : Loop(Loop), Http(Loop, http_client_limits{}, Traffic),
      SimulatedWorkers({}, &worker_simulation_server::behaviour),
      Control(std::make_unique<http_server>(
          Loop, "127.0.0.1:0", http_server_limits{},
          [this](const http_request_view &Request,
                 const responder_ptr &Responder) {
            handleControl(Request, Responder);
          })),
      TickTimer(Loop) {
  for (const simulated_worker_config &Config : Configs) {
    SimulatedWorkers.addWorker(worker_id(Config.Name), Capacity, Loop.now());
    auto Worker = std::make_unique<served_worker>();
    Worker->Config = Config;
    Worker->HeartbeatTimer = std::make_unique<timer>(Loop);
    listen(*Worker);
    std::printf("worker %s 127.0.0.1:%u\n", Config.Name.c_str(),
                static_cast<unsigned>(Worker->Port));
    Workers.push_back(std::move(Worker));
  }
  tick();
  for (const auto &Worker : Workers)
    sendHeartbeat(*Worker);
}

void worker_simulation_server::listen(served_worker &Worker) {
  Worker.Server = std::make_unique<http_server>(
      Loop, "127.0.0.1:" + std::to_string(Worker.Port), http_server_limits{},
      [this, &Worker](const http_request_view &Request,
                      const responder_ptr &Responder) {
        handle(Worker, Request, Responder);
      });
  Worker.Port = Worker.Server->port();
}

void worker_simulation_server::handleControl(const http_request_view &Request,
                                             const responder_ptr &Responder) {
  SimulatedWorkers.advance(Loop.now());
  if (Request.Path == "/state") {
    Responder->respond({.Body = state()});
    return;
  }
  if (Request.Path == "/started") {
    Responder->respond({.Body = startedTasks()});
    return;
  }
  const json Body = json::parse(Request.Body);
  const auto Found =
      std::find_if(Workers.begin(), Workers.end(), [&](const auto &Each) {
        return Each->Config.Name == Body.at("worker");
      });
  if (Request.Path != "/crash" || Found == Workers.end() || !(*Found)->Server) {
    Responder->respond({.Code = NotFound});
    return;
  }
  crash(**Found, std::chrono::milliseconds(Body.at("down_ms").get<int>()),
        Body.value("new_id", ""));
  Responder->respond({.Code = Ok});
}

void worker_simulation_server::crash(served_worker &Worker, duration Down,
                                     const std::string &NewId) {
  for (const open_listing &Each : Worker.OpenListings)
    Each.Responder->abort();
  Worker.OpenListings.clear();
  Worker.HeartbeatTimer->cancel();
  Worker.Server.reset();
  SimulatedWorkers.restart(worker_id(Worker.Config.Name), Loop.now());
  Loop.startTimer(Down, [this, &Worker, NewId] {
    if (!NewId.empty()) {
      Worker.Config.Name = NewId;
      SimulatedWorkers.addWorker(worker_id(NewId), Capacity, Loop.now());
    } else {
      SimulatedWorkers.restart(worker_id(Worker.Config.Name), Loop.now());
    }
    Worker.Sequence = 0;
    listen(Worker);
    sendHeartbeat(Worker);
  });
}

std::string worker_simulation_server::state() const {
  json List = json::array();
  for (const auto &Worker : Workers) {
    const worker_id Id(Worker->Config.Name);
    json Running = json::array();
    for (const auto &Run : SimulatedWorkers.listing(Id, Loop.now()).Running)
      Running.push_back(formatTask(Run.Run.Task));
    List.push_back({{"Name", Worker->Config.Name},
                    {"Up", Worker->Server != nullptr},
                    {"Gpu", Capacity.Accelerators},
                    {"UsedGpu", SimulatedWorkers.used(Id).Accelerators},
                    {"Running", Running}});
  }
  return json{{"Workers", List}}.dump();
}

std::string worker_simulation_server::startedTasks() const {
  json Tasks = json::object();
  for (const auto &[Task, Failed] : SimulatedWorkers.failedRuns())
    Tasks[formatTask(Task)] = Failed;
  return Tasks.dump();
}

task_behaviour worker_simulation_server::behaviour(const work::run_ref &Run,
                                                   std::string_view Payload) {
  json Fields = json::parse(Payload);
  if (Fields.contains("steps"))
    Fields.update(Fields["steps"].at(Run.Task.Position.Step));
  task_behaviour Task;
  Task.Work = std::chrono::milliseconds(Fields.value("ms", 100));
  Task.Need.Accelerators = Fields.value("needs", 0);
  Task.Fails = Fields.value("fails", false);
  Task.FailedRuns = Fields.value("fail_runs", 0U);
  Task.Checkpointing = Fields.value("checkpointing", false);
  Task.GangSize = Fields.value("gang", 1U);
  if (Task.GangSize > 1)
    Task.Gang = Run.Task.Job.str() + "/" +
                std::to_string(Run.Task.Position.Step) + "/" +
                std::to_string(Run.Run);
  return Task;
}

void worker_simulation_server::handle(served_worker &Worker,
                                      const http_request_view &Request,
                                      const responder_ptr &Responder) {
  const worker_id Id(Worker.Config.Name);
  const time_point Now = Loop.now();
  SimulatedWorkers.advance(Now);
  const json Body = json::parse(Request.Body);
  const std::uint64_t Token = Body.value("FencingToken", std::uint64_t{0});
  const std::int64_t ClockMs = SimulatedWorkers.clockMs(Id, Now);
  const bool ForAnother = std::any_of(
      Request.Headers.begin(), Request.Headers.end(), [&](const auto &Header) {
        return Header.Name == "X-Expected-Instance" &&
               Header.Value != Worker.Config.Name;
      });
  if (ForAnother) {
    Responder->respond({.Code = MisdirectedRequest});
    return;
  }
  if (Request.Path == "/api/run-start") {
    work::start_run Order{.LeaseEndMs = Body.at("DeadlineMs")};
    Order.Run = {.Run = parseRun(Body),
                 .Payload = Body.value("Spec", ""),
                 .Checkpoint = Body.value("LastCheckpoint", "")};
    Responder->respond(
        toResponse(SimulatedWorkers.start(Id, Token, Order, Now), ClockMs));
    const json Fields = json::parse(Order.Run.Payload);
    if (Fields.value("leaves", false))
      Loop.startTimer(std::chrono::milliseconds(Fields.value("ms", 100)),
                      [this, &Worker] { deregister(Worker); });
  } else if (Request.Path == "/api/run-stop") {
    Responder->respond(toResponse(
        SimulatedWorkers.stop(Id, Token, parseRun(Body), Now), ClockMs));
  } else if (Request.Path == "/api/hold") {
    work::list_runs Order{.AcknowledgedEnds =
                              Body.value("AckCursor", std::uint64_t{0})};
    if (Body.contains("DeadlineMs"))
      Order.LeaseEndMs = Body.at("DeadlineMs").get<std::int64_t>();
    const order_result Answer =
        SimulatedWorkers.acceptListOrder(Id, Token, Order, Now);
    if (Answer != order_result::Done)
      Responder->respond(toResponse(Answer, ClockMs));
    else
      Worker.OpenListings.push_back(
          {Responder,
           Now + std::chrono::milliseconds(Body.value("WaitMs", 0))});
    tick();
  } else {
    Responder->respond({.Code = NotFound});
  }
}

void worker_simulation_server::sendListing(const served_worker &Worker,
                                           ihttp_responder &Responder) {
  const work::worker_listing Listing =
      SimulatedWorkers.listing(worker_id(Worker.Config.Name), Loop.now());
  json Running = json::array();
  for (const work::running_run &Entry : Listing.Running)
    Running.push_back({formatTask(Entry.Run.Task), Entry.Run.Run,
                       Entry.Checkpoint, Entry.Percent, 0});
  json Finished = json::array();
  for (const work::finished_run &Entry : Listing.Finished)
    Finished.push_back({Entry.Number, formatTask(Entry.Run.Task), Entry.Run.Run,
                        name(Entry.EndReason), Entry.Checkpoint});
  Responder.respond(jsonAnswer(Ok, {{"ClockMs", Listing.ClockMs},
                                    {"born", Listing.StartTimeMs},
                                    {"Running", Running},
                                    {"Finished", Finished}}));
}

void worker_simulation_server::deregister(served_worker &Worker) {
  if (std::exchange(Worker.Deregistering, true))
    return;
  for (const open_listing &Each : Worker.OpenListings)
    Each.Responder->abort();
  Worker.OpenListings.clear();
  SimulatedWorkers.advance(Loop.now());
  const worker_id Id(Worker.Config.Name);
  Http.send({.Address = Worker.Config.Agent,
             .Method = "POST",
             .Target = "/api/workers/" + Worker.Config.Name + "/deregister",
             .Headers = {{"Content-Type", "application/json"}},
             .Body = json{{"born", SimulatedWorkers.startTimeMs(Id)}}.dump(),
             .Timeout = 1s},
            [this, &Worker, Id](const http_result &) {
              Worker.Server.reset();
              SimulatedWorkers.restart(Id, Loop.now()); // ends all its runs
            });
}

void worker_simulation_server::sendHeartbeat(served_worker &Worker) {
  if (Worker.Deregistering)
    return;
  const worker_id Id(Worker.Config.Name);
  const json Body = {
      {"Service", "desk"},
      {"Address", Worker.Config.Proxy.empty()
                      ? "127.0.0.1:" + std::to_string(Worker.Port)
                      : Worker.Config.Proxy},
      {"Zone", "a"},
      {"Version", "v1"},
      {"Slots", 8},
      {"State", "ready"},
      {"Capacity",
       {{"Cpu", Capacity.MilliCores},
        {"MemMb", Capacity.MemoryMb},
        {"Gpu", Capacity.Accelerators}}},
      {"Labels", {Worker.Config.Kind, Worker.Config.Rack}},
      {"born", SimulatedWorkers.startTimeMs(Id)},
      {"ClockMs", SimulatedWorkers.clockMs(Id, Loop.now())},
      {"Seq", ++Worker.Sequence}};
  Http.send({.Address = Worker.Config.Agent,
             .Method = "POST",
             .Target = "/api/workers/" + Worker.Config.Name + "/heartbeat",
             .Headers = {{"Content-Type", "application/json"}},
             .Body = Body.dump(),
             .Timeout = 1s},
            [](const http_result &) {});
  Worker.HeartbeatTimer->start(HeartbeatInterval,
                               [this, &Worker] { sendHeartbeat(Worker); });
}

void worker_simulation_server::tick() {
  const time_point Now = Loop.now();
  SimulatedWorkers.advance(Now);
  for (; ReportedViolations < SimulatedWorkers.violations().size();
       ++ReportedViolations)
    std::fprintf(stderr, "violation: %s\n",
                 SimulatedWorkers.violations()[ReportedViolations].c_str());
  for (const auto &Worker : Workers) {
    const bool Ends =
        SimulatedWorkers.hasUnacknowledgedEnds(worker_id(Worker->Config.Name));
    std::vector<open_listing> Due;
    std::erase_if(Worker->OpenListings, [&](open_listing &Each) {
      if (!Ends && Each.Until > Now)
        return false;
      Due.push_back(std::move(Each));
      return true;
    });
    for (const open_listing &Each : Due)
      sendListing(*Worker, *Each.Responder);
  }
  TickTimer.start(TickInterval, [this] { tick(); });
}

} // namespace geraniumpaddle::standins
