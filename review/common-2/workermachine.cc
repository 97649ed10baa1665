#include "workermachine.hh"

#include <algorithm>

namespace review2 {

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration TickInterval = 10ms;
constexpr duration HeartbeatInterval = 1500ms;
/// PROTOCOL.md: the ends that are not forgotten are returned 500 at a time.
constexpr std::size_t EndsAtATime = 500;
constexpr std::int64_t LongestWaitMs = 2000;

http_response jsonAnswer(int Code, const json &Body) {
  return {.Code = Code,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = Body.dump()};
}

std::uint32_t indexOf(const std::string &Task) {
  return static_cast<std::uint32_t>(
      std::stoul(Task.substr(Task.rfind('.') + 1)));
}

std::string nameOf(const std::string &Task, std::uint32_t Run) {
  return Task + " run " + std::to_string(Run);
}

} // namespace

worker_machine::worker_machine(event_loop &Loop, http_client &Http,
                               case_record &Record, run_history &History,
                               const worker_options &Options)
    : Loop(Loop), Http(Http), Record(Record), History(History),
      Options(Options), ClockStart(Loop.now() - 1s),
      Born(millisecondsOf(Loop.wallNow())),
      Server(std::make_unique<http_server>(
          Loop, Options.Address, http_server_limits{},
          [this](const http_request_view &Request,
                 const std::shared_ptr<ihttp_responder> &Respond) {
            handle(Request, Respond);
          })),
      TickTimer(Loop), HeartbeatTimer(Loop) {
  tick();
  sendHeartbeat();
}

void worker_machine::failTask(const std::string &Task) {
  const auto Found =
      std::find_if(Runs.begin(), Runs.end(),
                   [&](const active_run &Each) { return Each.Task == Task; });
  if (Found != Runs.end())
    end(Found, "failed");
}

std::int64_t worker_machine::clockMs() const {
  return millisecondsOf(Loop.now() - ClockStart);
}

json worker_machine::withClock(json Body) const {
  Body["ClockMs"] = clockMs();
  return Body;
}

void worker_machine::handle(const http_request_view &Request,
                            const std::shared_ptr<ihttp_responder> &Respond) {
  advance();
  for (const http_header &Header : Request.Headers)
    if (Header.Name == "X-Expected-Instance" && Header.Value != Options.Id) {
      Respond->respond({.Code = 421});
      return;
    }
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object()) {
    Respond->respond(jsonAnswer(400, json::object()));
    return;
  }
  const auto Fence = Body.value("FencingToken", std::uint64_t{0});
  if (Fence < Token) {
    Respond->respond(jsonAnswer(409, withClock({{"Reason", "fence"}})));
    return;
  }
  Token = Fence;
  if (Request.Path == "/api/run-start") {
    const std::string Task = Body.at("Task");
    const http_response Answer = start(Body);
    if (LoseAnswerTo.empty() || !Task.starts_with(LoseAnswerTo)) {
      Respond->respond(Answer);
      return;
    }
    Record.line(Options.Id + " loses the answer to the start of " + Task);
    LoseAnswerTo.clear();
    Unanswered.push_back(Respond);
  } else if (Request.Path == "/api/run-stop") {
    Respond->respond(stop(Body));
  } else if (Request.Path == "/api/hold") {
    if (Body.contains("DeadlineMs"))
      extendLease(Body["DeadlineMs"].get<std::int64_t>());
    acknowledge(Body.value("AckCursor", std::uint64_t{0}));
    const auto WaitMs =
        std::min(Body.value("WaitMs", std::int64_t{0}), LongestWaitMs);
    Holds.push_back({Respond, Loop.now() + std::chrono::milliseconds(WaitMs)});
    if (HoldArrived)
      HoldArrived(std::chrono::milliseconds(WaitMs));
    answerHolds();
  } else {
    Respond->respond({.Code = 404});
  }
}

void worker_machine::extendLease(std::int64_t DeadlineMs) {
  const time_point Wanted = ClockStart + std::chrono::milliseconds(DeadlineMs);
  const time_point Longest =
      Loop.now() + std::chrono::milliseconds(Options.HoldMaxMs);
  LeaseEnd = std::max(LeaseEnd, std::min(Wanted, Longest));
}

http_response worker_machine::start(const json &Body) {
  const std::string Task = Body.at("Task");
  const std::uint32_t Run = Body.at("Run");
  if (Unhealthy) {
    ++ShedStarts;
    return jsonAnswer(503, json::object());
  }
  const auto Present = std::any_of(Runs.begin(), Runs.end(), [&](auto &Each) {
    return Each.Task == Task && Each.Run == Run;
  });
  if (Present)
    return jsonAnswer(200, withClock(json::object()));
  const std::int64_t DeadlineMs = Body.at("DeadlineMs");
  if (DeadlineMs <= clockMs())
    return jsonAnswer(409, withClock({{"Reason", "late"}}));
  extendLease(DeadlineMs);
  const auto Highest = HighestRun.find(Task);
  if (Highest != HighestRun.end() && Run <= Highest->second)
    return jsonAnswer(409, withClock({{"Reason", "old"}}));
  const json Spec = json::parse(Body.value("Spec", "{}"));
  const std::int64_t WorkMs =
      Spec.value("ms", std::int64_t{1000}) +
      Spec.value("each_ms", std::int64_t{0}) * indexOf(Task);
  History.push_back({.Task = Task,
                     .Run = Run,
                     .Worker = Options.Id,
                     .StartedAt = Record.seconds()});
  Runs.push_back({.Task = Task,
                  .Run = Run,
                  .StartedAt = Loop.now(),
                  .Work = std::chrono::milliseconds(WorkMs),
                  .Lasts = Spec.value("lasts", false),
                  .Seen = &History.back()});
  Record.line(Options.Id + " starts " + nameOf(Task, Run));
  return jsonAnswer(200, withClock(json::object()));
}

http_response worker_machine::stop(const json &Body) {
  const std::string Task = Body.at("Task");
  const std::uint32_t Run = Body.at("Run");
  std::uint32_t &Highest = HighestRun[Task];
  Highest = std::max(Highest, Run);
  for (active_run &Each : Runs)
    if (Each.Task == Task && Each.Run == Run &&
        Each.StopAt == time_point::max())
      Each.StopAt = Loop.now() + std::chrono::milliseconds(Options.StopMs);
  return jsonAnswer(200, withClock(json::object()));
}

void worker_machine::acknowledge(std::uint64_t Cursor) {
  while (!Ends.empty() && Ends.front().Number <= Cursor) {
    seen_run &Seen = *Ends.front().Seen;
    Seen.NotedAt = Record.seconds();
    Seen.Lapsed = LastLapse > Ends.front().At;
    Ends.pop_front();
  }
}

void worker_machine::end(std::list<active_run>::iterator Run,
                         const std::string &How) {
  std::uint32_t &Highest = HighestRun[Run->Task];
  Highest = std::max(Highest, Run->Run);
  Run->Seen->EndedAt = Record.seconds();
  Run->Seen->How = How;
  Ends.push_back({++LastEnd, Run->Task, Run->Run, How, Run->Seen, Loop.now()});
  Record.line(Options.Id + " ends " + nameOf(Run->Task, Run->Run) + " " + How);
  Runs.erase(Run);
}

void worker_machine::advance() {
  const time_point Now = Loop.now();
  const bool Lapsed = LeaseEnd <= Now;
  if (Lapsed)
    LastLapse = Now;
  for (auto Run = Runs.begin(); Run != Runs.end();) {
    const auto Each = Run++;
    if (!Each->Lasts && Each->StartedAt + Each->Work <= Now)
      end(Each, "done");
    else if (Lapsed)
      end(Each, "lapsed");
    else if (Each->StopAt <= Now)
      end(Each, "stopped");
  }
}

json worker_machine::listing() const {
  json Running = json::array();
  for (const active_run &Each : Runs)
    Running.push_back(
        {Each.Task, Each.Run, "",
         std::min<std::int64_t>((Loop.now() - Each.StartedAt) * 100 / Each.Work,
                                100),
         0});
  json Finished = json::array();
  for (const finished &Each : Ends) {
    if (Finished.size() == EndsAtATime)
      break;
    Finished.push_back({Each.Number, Each.Task, Each.Run, Each.How, ""});
  }
  return withClock(
      {{"born", Born}, {"Running", Running}, {"Finished", Finished}});
}

void worker_machine::answerHolds() {
  std::vector<open_hold> Due;
  std::erase_if(Holds, [&](open_hold &Each) {
    if (Ends.empty() && Each.Until > Loop.now())
      return false;
    Due.push_back(std::move(Each));
    return true;
  });
  for (const open_hold &Each : Due)
    Each.Responder->respond(jsonAnswer(200, listing()));
}

void worker_machine::tick() {
  advance();
  answerHolds();
  TickTimer.start(TickInterval, [this] { tick(); });
}

void worker_machine::drain(duration Remaining) {
  Record.line(Options.Id + " says that it is draining");
  DrainsUntil = Loop.now() + Remaining;
  HeartbeatTimer.cancel();
  sendHeartbeat();
}

/// A worker ends whether its leaving is confirmed or not.
void worker_machine::leave() {
  Record.line(Options.Id + " leaves");
  Http.send({.Address = Options.Control,
             .Method = "POST",
             .Target = "/api/workers/" + Options.Id + "/deregister",
             .Headers = {{"Content-Type", "application/json"}},
             .Body = json{{"born", Born}}.dump(),
             .Timeout = 2s},
            [this](const http_result &) {
              for (active_run &Each : Runs) {
                Each.Seen->EndedAt = Record.seconds();
                Each.Seen->How = "left";
              }
              Runs.clear();
              Holds.clear();
              TickTimer.cancel();
              Server.reset();
            });
}

void worker_machine::sendHeartbeat() {
  if (DrainsUntil <= Loop.now()) {
    leave();
    return;
  }
  json Body = {
      {"Service", Options.Service},
      {"Address", Options.Address},
      {"Zone", Options.Zone},
      {"Version", "v1"},
      {"Slots", 8},
      {"State", "ready"},
      {"ColdLeftMs", 0},
      {"Capacity",
       {{"Cpu", Options.Cpu}, {"MemMb", Options.MemMb}, {"Gpu", Options.Gpu}}},
      {"Labels", {Options.Kind, Options.Rack}},
      {"ClockMs", clockMs()},
      {"born", Born},
      {"Seq", ++Sequence}};
  if (draining()) {
    Body["State"] = "draining";
    Body["DrainRemainingMs"] = millisecondsOf(DrainsUntil - Loop.now());
  }
  Http.send({.Address = Options.Control,
             .Method = "POST",
             .Target = "/api/workers/" + Options.Id + "/heartbeat",
             .Headers = {{"Content-Type", "application/json"}},
             .Body = Body.dump(),
             .Timeout = 1s},
            [this](const http_result &Result) {
              // Until its agent listens, it tries again soon.
              HeartbeatTimer.start(Result.ok() ? HeartbeatInterval : 200ms,
                                   [this] { sendHeartbeat(); });
            });
}

std::vector<std::string> startedTwice(const run_history &History) {
  std::map<std::string, std::vector<const seen_run *>> ByTask;
  for (const seen_run &Each : History)
    ByTask[Each.Task].push_back(&Each);
  std::vector<std::string> Broken;
  for (const auto &[Task, Runs] : ByTask)
    for (std::size_t I = 1; I < Runs.size(); ++I)
      for (std::size_t J = 0; J < I; ++J) {
        const seen_run &Earlier = *Runs[J];
        const seen_run &Later = *Runs[I];
        const bool Overlap =
            Earlier.EndedAt < 0 || Earlier.EndedAt > Later.StartedAt;
        const bool Repeated =
            Earlier.How == "done" && Earlier.NotedAt >= 0 && !Earlier.Lapsed;
        if (Overlap || Repeated)
          Broken.push_back(
              nameOf(Task, Later.Run) + " starts on " + Later.Worker + " at " +
              std::to_string(Later.StartedAt) +
              (Overlap ? " beside" : " after the end done of") + " run " +
              std::to_string(Earlier.Run) + " on " + Earlier.Worker +
              ", ended at " + std::to_string(Earlier.EndedAt) + ", noted at " +
              std::to_string(Earlier.NotedAt));
      }
  return Broken;
}

} // namespace review2
