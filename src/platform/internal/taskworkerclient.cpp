#include "platform/taskworkerclient.h"

#include "platform/internal/jsonfields.h"
#include "platform/internal/tasknames.h"

#include <algorithm>
#include <array>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;

json makeRunBody(const worker_target &Target, const work::run_ref &Run) {
  return {{"Task", taskName(Run.Task)},
          {"Run", Run.Run},
          {"FencingToken", Target.FencingToken}};
}

work::start_refusal parseRefusal(const std::string &Reason) {
  static constexpr auto Names =
      std::to_array<std::pair<std::string_view, work::start_refusal>>(
          {{"fence", work::start_refusal::Fenced},
           {"old", work::start_refusal::Stale},
           {"late", work::start_refusal::Late},
           {"room", work::start_refusal::NoCapacity}});
  for (const auto &[Name, Refusal] : Names)
    if (Name == Reason)
      return Refusal;
  return work::start_refusal::Invalid;
}

start_outcome toStartOutcome(const http_result &Result) {
  if (Result.Status == call_status::NotSent)
    return {work::worker_call_result::Refused, work::start_refusal::Unhealthy};
  if (Result.Status != call_status::Completed)
    return {};
  switch (Result.Code) {
  case Ok:
    return {work::worker_call_result::Done};
  case Conflict: {
    const auto Body = parseObject(Result.Body);
    return {
        work::worker_call_result::Refused,
        parseRefusal(Body ? stringField(*Body, "Reason").value_or("") : "")};
  }
  case BadRequest:
    return {work::worker_call_result::Refused, work::start_refusal::Invalid};
  case MisdirectedRequest:
    return {work::worker_call_result::Refused, work::start_refusal::Stale};
  case TooManyRequests:
  case Unavailable:
    return {work::worker_call_result::Refused, work::start_refusal::Unhealthy};
  default:
    return {};
  }
}

/// The platform lists at most this many ended runs at a time.
constexpr std::size_t MaxListedEnds = 500;

bool hasText(const json &Row, std::size_t Column) {
  return Row.is_array() && Row.size() > Column && Row[Column].is_string();
}

template <typename Number>
std::optional<Number> parseNumber(const json &Value) {
  const auto Whole = asWholeNumber(Value);
  return Whole && std::in_range<Number>(*Whole)
             ? std::optional(static_cast<Number>(*Whole))
             : std::nullopt;
}

std::optional<work::running_run> parseRunningRun(const work::task_ref &Task,
                                                 const json &Row) {
  constexpr std::int64_t MaxPercent = 100;
  if (Row.size() < 3 || !Row[2].is_string())
    return std::nullopt;
  const auto Run = parseNumber<std::uint32_t>(Row[1]);
  if (!Run)
    return std::nullopt;
  const auto Percent =
      Row.size() > 3 ? asInteger(Row[3]).value_or(0) : std::int64_t{0};
  return work::running_run{.Run = {Task, *Run},
                           .Checkpoint = Row[2].get<std::string>(),
                           .Percent = static_cast<std::int32_t>(std::clamp(
                               Percent, std::int64_t{0}, MaxPercent))};
}

/// Rows of names that no task has are skipped. Nothing if any other row can't
/// be read: its run would be taken for ended.
std::optional<std::vector<work::running_run>>
parseRunningRuns(const json &Rows) {
  std::vector<work::running_run> Runs;
  for (const json &Row : Rows) {
    if (!hasText(Row, 0))
      return std::nullopt;
    const auto Task = parseTaskName(Row[0].get<std::string>());
    if (!Task)
      continue;
    auto Run = parseRunningRun(*Task, Row);
    if (!Run)
      return std::nullopt;
    Runs.push_back(std::move(*Run));
  }
  return Runs;
}

std::optional<work::run_end_reason> parseRunEnd(const std::string &EndReason) {
  for (int I = 0; I <= static_cast<int>(work::run_end_reason::GangIncomplete);
       ++I)
    if (name(static_cast<work::run_end_reason>(I)) == EndReason)
      return static_cast<work::run_end_reason>(I);
  return std::nullopt;
}

std::optional<work::finished_run> parseFinishedRun(const json &Row) {
  if (!hasText(Row, 1) || !hasText(Row, 3))
    return std::nullopt;
  const auto Task = parseTaskName(Row[1].get<std::string>());
  const auto Number = parseNumber<std::uint64_t>(Row[0]);
  const auto Run = parseNumber<std::uint32_t>(Row[2]);
  const auto EndReason = parseRunEnd(Row[3].get<std::string>());
  if (!Task || !Number || !Run || !EndReason)
    return std::nullopt;
  const bool HasCheckpoint = Row.size() > 4 && Row[4].is_string();
  return work::finished_run{.Number = *Number,
                            .Run = {*Task, *Run},
                            .EndReason = *EndReason,
                            .Checkpoint =
                                HasCheckpoint ? Row[4].get<std::string>() : ""};
}

std::optional<work::worker_listing> parseListing(const json &Body) {
  const auto Clock = integerField(Body, "ClockMs");
  const json *StartTime = member(Body, "born");
  const auto StartTimeMs =
      StartTime ? parseNumber<std::uint64_t>(*StartTime) : std::nullopt;
  const json *Running = arrayField(Body, "Running");
  const json *Finished = arrayField(Body, "Finished");
  if (!Clock || !StartTimeMs || !Running || !Finished)
    return std::nullopt;
  auto Runs = parseRunningRuns(*Running);
  if (!Runs)
    return std::nullopt;
  work::worker_listing Listing{.StartTimeMs = *StartTimeMs,
                               .ClockMs = *Clock,
                               .Running = std::move(*Runs),
                               .EndsComplete =
                                   Finished->size() < MaxListedEnds};
  for (const json &Row : *Finished)
    if (auto Run = parseFinishedRun(Row))
      Listing.Finished.push_back(std::move(*Run));
  return Listing;
}

listing_outcome toListingOutcome(const http_result &Result) {
  listing_outcome Outcome;
  Outcome.ConnectionRefused = Result.Status == call_status::NotSent;
  if (Result.Status != call_status::Completed)
    return Outcome;
  Outcome.WrongWorker = Result.Code == MisdirectedRequest;
  const auto Body = parseObject(Result.Body);
  if (Result.Code == Conflict)
    Outcome.Fenced = Body && stringField(*Body, "Reason") == "fence";
  if (Result.Code == Ok && Body)
    Outcome.Listing = parseListing(*Body);
  return Outcome;
}

} // namespace

http_call task_worker_client::makeCall(const worker_target &Target,
                                       std::string_view Path, std::string Body,
                                       duration Limit) const {
  return {.Address = Target.Address,
          .Method = "POST",
          .Target = std::string(Path),
          .Headers = {{"Content-Type", "application/json"},
                      {"X-Expected-Instance", Target.Instance.Worker.str()}},
          .Body = std::move(Body),
          .Timeout = Limit,
          // Idempotent: each call names its run.
          .Reuse = connection_reuse::Always,
          .Cause = "worker"};
}

std::optional<http_connection_id>
task_worker_client::takeConnection(const worker_target &Target) {
  const auto Found = Connections.find(Target.Address);
  if (Found == Connections.end() || Found->second.Instance != Target.Instance ||
      Found->second.Idle.empty())
    return std::nullopt;
  const http_connection_id Taken = Found->second.Idle.back();
  Found->second.Idle.pop_back();
  return Taken;
}

void task_worker_client::keepConnection(const worker_target &Target,
                                        const http_result &Result) {
  instance_connections &Kept = Connections[Target.Address];
  if (Kept.Instance.StartTimeMs > Target.Instance.StartTimeMs)
    return; // answers of an earlier instance
  if (Kept.Instance != Target.Instance)
    Kept = {.Instance = Target.Instance};
  if (Result.Connection)
    Kept.Idle.push_back(*Result.Connection);
}

void task_worker_client::sendToInstance(
    const worker_target &Target, http_call Call, result_function Done,
    std::function<void()> WithoutConnection) {
  Call.Connection = takeConnection(Target);
  if (!Call.Connection) {
    WithoutConnection();
    return;
  }
  http_call Copy = Call;
  Http.send(std::move(Call),
            [this, Target, Copy = std::move(Copy), Done = std::move(Done),
             WithoutConnection =
                 std::move(WithoutConnection)](const http_result &Result) {
              if (Result.Status == call_status::NotSent) {
                // The connection was closed while it was idle.
                sendToInstance(Target, Copy, Done, WithoutConnection);
                return;
              }
              keepConnection(Target, Result);
              Done(Result);
            });
}

void task_worker_client::identify(const worker_target &Target,
                                  result_function Done) {
  const json Body = {{"FencingToken", Target.FencingToken}};
  http_call Call = makeCall(Target, "/api/hold", Body.dump(), Timeout);
  Call.Reuse = connection_reuse::Never;
  Http.send(std::move(Call), [this, Target, Done = std::move(Done)](
                                 const http_result &Result) {
    if (!Result.ok()) {
      Done(Result);
      return;
    }
    const auto Listing = toListingOutcome(Result).Listing;
    if (Listing && Listing->StartTimeMs == Target.Instance.StartTimeMs) {
      Done(Result);
      return;
    }
    Log.event("other_instance_answers",
              {{"worker", Target.Instance.Worker.view()},
               {"born", Target.Instance.StartTimeMs},
               {"answers", Listing ? Listing->StartTimeMs : 0},
               {"answer", Listing ? "" : Result.Body}});
    Done({.Status = call_status::Completed, .Code = MisdirectedRequest});
  });
}

void task_worker_client::start(
    const worker_target &Target, const work::start_run &Order,
    std::function<void(const start_outcome &)> Done) {
  json Body = makeRunBody(Target, Order.Run.Run);
  Body["Spec"] = Order.Run.Payload;
  Body["DeadlineMs"] = Order.LeaseEndMs;
  if (!Order.Run.Checkpoint.empty())
    Body["LastCheckpoint"] = Order.Run.Checkpoint;
  auto Text = toText(Body);
  if (!Text) {
    Log.warningEvent("run_start_unencodable",
                     {{"task", taskName(Order.Run.Run.Task)}});
    Done({work::worker_call_result::Refused, work::start_refusal::Invalid});
    return;
  }
  const http_call Call =
      makeCall(Target, "/api/run-start", std::move(*Text), Timeout);
  const result_function Finish = [this, Name = taskName(Order.Run.Run.Task),
                                  Born = Target.Instance.StartTimeMs,
                                  Done](const http_result &Result) {
    if (!Result.ok())
      Log.event("run_start_failed", {{"task", Name},
                                     {"born", Born},
                                     {"code", Result.Code},
                                     {"answer", Result.Body}});
    Done(toStartOutcome(Result));
  };
  const auto SendOnNewConnection =
      [this, Call, Finish, LeaseEndMs = Order.LeaseEndMs,
       Name = taskName(Order.Run.Run.Task), Done](const http_result &Answer) {
        // The next instance, whose clock starts anew, would not see that the
        // start is late.
        const auto Listing = toListingOutcome(Answer).Listing;
        if (!Listing || Listing->ClockMs < LeaseEndMs) {
          Http.send(Call, Finish);
          return;
        }
        Log.event("run_start_late", {{"task", Name},
                                     {"lease_end", LeaseEndMs},
                                     {"clock", Listing->ClockMs}});
        Done({work::worker_call_result::Refused, work::start_refusal::Late});
      };
  sendToInstance(Target, Call, Finish, [=, this] {
    identify(Target, [=, this](const http_result &Result) {
      if (!Result.ok()) {
        Finish(Result);
        return;
      }
      keepConnection(Target, Result);
      if (Result.Connection)
        sendToInstance(Target, Call, Finish, [Finish] { Finish({}); });
      else // the worker closes each connection
        SendOnNewConnection(Result);
    });
  });
}

void task_worker_client::stop(
    const worker_target &Target, const work::run_ref &Run,
    std::function<void(work::worker_call_result)> Done) {
  Http.send(makeCall(Target, "/api/run-stop", makeRunBody(Target, Run).dump(),
                     Timeout),
            [this, Name = taskName(Run.Task),
             Done = std::move(Done)](const http_result &Result) {
              if (!Result.ok())
                Log.event("run_stop_failed", {{"task", Name},
                                              {"code", Result.Code},
                                              {"answer", Result.Body}});
              Done(Result.ok() || Result.Code == MisdirectedRequest
                       ? work::worker_call_result::Done
                       : work::worker_call_result::Unknown);
            });
}

void task_worker_client::list(
    const worker_target &Target, const work::list_runs &Order,
    std::function<void(const listing_outcome &)> Done) {
  const auto WaitMs = millisecondsOf(Order.Wait);
  json Body = {{"FencingToken", Target.FencingToken},
               {"AckCursor", Order.AcknowledgedEnds}};
  if (Order.LeaseEndMs)
    Body["DeadlineMs"] = *Order.LeaseEndMs;
  if (WaitMs > 0)
    Body["WaitMs"] = WaitMs;
  const result_function Finish =
      [this, Done = std::move(Done)](const http_result &Result) {
        const listing_outcome Outcome = toListingOutcome(Result);
        if (!Outcome.Listing)
          Log.event("listing_failed",
                    {{"code", Result.Code}, {"answer", Result.Body}});
        Done(Outcome);
      };
  const http_call Call =
      makeCall(Target, "/api/hold", Body.dump(), Timeout + Order.Wait);
  sendToInstance(Target, Call, Finish, [this, Target, Call, Finish] {
    identify(Target, [this, Target, Call, Finish](const http_result &Result) {
      if (Result.ok() && !Result.Connection) {
        Http.send(Call, Finish); // the worker closes each connection
        return;
      }
      if (Result.ok())
        keepConnection(Target, Result);
      Finish(Result);
    });
  });
}

} // namespace geraniumpaddle
