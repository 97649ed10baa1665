#include "platform/platformdecode.h"

#include "platform/internal/jsonfields.h"

#include <limits>

namespace geraniumpaddle {

namespace {

constexpr int MillisecondsPerSecond = 1000;

[[noreturn]] void failField(std::string_view Field, std::string_view Problem) {
  throw malformed_message_error(std::string(Field).append(" ").append(Problem));
}

/// A whole number of at least \p Least that fits the type.
template <typename Number>
Number number(const json &Object, const char *Field, std::int64_t Least = 0) {
  const auto Value = integerField(Object, Field);
  if (!Value)
    failField(Field, "is not a whole number");
  const bool Fits =
      *Value >= Least &&
      static_cast<std::uint64_t>(*Value) <=
          static_cast<std::uint64_t>(std::numeric_limits<Number>::max());
  if (!Fits)
    failField(Field, "is out of range");
  return static_cast<Number>(*Value);
}

std::string text(const json &Object, const char *Field) {
  const auto Value = textField(Object, Field);
  if (!Value)
    failField(Field, "is not a text");
  return *Value;
}

bool flag(const json &Object, const char *Field) {
  const auto Value = flagField(Object, Field);
  if (!Value)
    failField(Field, "is not true or false");
  return *Value;
}

duration milliseconds(const json &Object, const char *Field) {
  return std::chrono::milliseconds(number<std::int64_t>(Object, Field));
}

/// An array that may be missing.
const json &rows(const json &Object, const char *Field) {
  static const json None = json::array();
  const json *Value = member(Object, Field);
  if (!Value)
    return None;
  if (!Value->is_array())
    failField(Field, "is not a list");
  return *Value;
}

json document(std::string_view Text) {
  auto Document = parseObject(Text);
  if (!Document)
    throw malformed_message_error("the body is not a JSON object");
  return std::move(*Document);
}

resources needOf(const json &Object) {
  return {.Accelerators = number<std::int32_t>(Object, "Gpu"),
          .MilliCores = number<std::int64_t>(Object, "Cpu"),
          .MemoryMb = number<std::int64_t>(Object, "MemMb")};
}

work::queue_route decodeRoute(const json &Row) {
  work::queue_route Route{.Host = text(Row, "Host"),
                          .PathPrefix = text(Row, "PathPrefix"),
                          .Anonymous = flag(Row, "Anonymous")};
  work::queue_policy &Policy = Route.Policy;
  Policy.Queue = text(Row, "Name");
  Policy.Service = service_id(text(Row, "Service"));
  Policy.Priority = number<std::uint32_t>(Row, "Priority");
  Policy.Attempts = number<std::uint32_t>(Row, "Attempts");
  Policy.SlackFactor = numberField(Row, "SlackFactor").value_or(1);
  Policy.TargetLatency = milliseconds(Row, "TargetLatencyMs");
  return Route;
}

/// The figure stands alone or among those of other resources.
std::int32_t guaranteedAccelerators(const json &Row) {
  const json *Value = member(Row, "GuaranteedGpus");
  if (Value && Value->is_object())
    return number<std::int32_t>(*Value, "Gpu");
  return number<std::int32_t>(Row, "GuaranteedGpus");
}

work::customer_config decodeCustomer(const json &Row) {
  work::customer_config Customer{.Name = customer_id(text(Row, "Name")),
                                 .GuaranteedAccelerators =
                                     guaranteedAccelerators(Row)};
  for (const json &Key : rows(Row, "ApiKeys"))
    if (Key.is_string())
      Customer.Keys.push_back(Key.get<std::string>());
  return Customer;
}

work::step_spec decodeStep(const json &Row, std::size_t Number) {
  if (!Row.is_object())
    failField("Steps", "has an entry that is not an object");
  work::step_spec Step;
  Step.Count = number<std::uint32_t>(Row, "Count", 1);
  Step.Need = needOf(Row);
  Step.Estimate = milliseconds(Row, "EstimatedMs");
  for (const json &Earlier : rows(Row, "After")) {
    const auto Index = asInteger(Earlier);
    if (!Index || *Index < 0 || static_cast<std::size_t>(*Index) >= Number)
      failField("After", "does not name an earlier step");
    Step.After.push_back(static_cast<std::uint32_t>(*Index));
  }
  Step.Checkpointing = flag(Row, "Checkpointing");
  Step.Gang = flag(Row, "Gang");
  Step.SameRack = flag(Row, "SameRack");
  Step.Speculative = flag(Row, "Speculative");
  Step.LongRunning = flag(Row, "LongRunning");
  Step.BestEffortCpu = flag(Row, "Fills");
  Step.RequiredLabel = text(Row, "RequiredLabel");
  Step.DataRack = text(Row, "DataRack");
  Step.Image = text(Row, "Image");
  Step.MaxPerWorker = number<std::uint32_t>(Row, "MaxPerServer");
  Step.TailLatencyTarget = milliseconds(Row, "TargetMs");
  Step.MaxUnavailable = number<std::uint32_t>(Row, "MaxUnavailable");
  return Step;
}

http_response jsonAnswer(int Code, const json &Body) {
  return {.Code = Code,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = Body.dump()};
}

} // namespace

work::configuration decodeConfiguration(std::string_view Text) {
  const json Body = document(Text);
  work::configuration Config{.Version = number<std::uint64_t>(Body, "Version")};
  for (const json &Row : rows(Body, "Routes"))
    Config.Routes.push_back(decodeRoute(Row));
  for (const json &Row : rows(Body, "Services"))
    Config.Services.push_back({.Name = service_id(text(Row, "Name")),
                               .EnforcesCapacity = flag(Row, "EnforceCapacity"),
                               .Standby = flag(Row, "Standby")});
  for (const json &Row : rows(Body, "Tenants"))
    Config.Customers.push_back(decodeCustomer(Row));
  return Config;
}

worker_heartbeat decodeHeartbeat(std::string_view Id, std::string_view Body) {
  const json Row = document(Body);
  worker_heartbeat Beat{.Address = text(Row, "Address")};
  work::worker_description &Worker = Beat.Description;
  Worker.Life = {worker_id(Id), number<std::uint64_t>(Row, "born")};
  Worker.Service = service_id(text(Row, "Service"));
  Worker.Zone = availability_zone_id(text(Row, "Zone"));
  const json *Capacity = member(Row, "Capacity");
  if (!Capacity || !Capacity->is_object())
    failField("Capacity", "is missing");
  Worker.Capacity = needOf(*Capacity);
  const json &Labels = rows(Row, "Labels");
  const bool Labelled =
      Labels.size() >= 2 && Labels[0].is_string() && Labels[1].is_string();
  if (!Labelled)
    failField("Labels", "does not name kind and rack");
  Worker.Kind = Labels[0].get<std::string>();
  Worker.Rack = Labels[1].get<std::string>();
  const std::string State = text(Row, "State");
  if (State != "ready" && State != "draining")
    failField("State", "is not known");
  Worker.Draining = State == "draining";
  Worker.DrainRemaining = milliseconds(Row, "DrainRemainingMs");
  Worker.Sequence = number<std::uint64_t>(Row, "Seq");
  return Beat;
}

work::job_spec decodeJob(std::string_view Body) {
  const json Row = document(Body);
  work::job_spec Spec;
  Spec.Payload = text(Row, "Spec");
  for (const json &Step : rows(Row, "Steps"))
    Spec.Steps.push_back(decodeStep(Step, Spec.Steps.size()));
  if (Spec.Steps.empty())
    failField("Steps", "is empty");
  const auto Times = number<std::uint32_t>(Row, "Times");
  Spec.Scheduled = Times > 0;
  Spec.Occurrences = std::max(Times, 1U);
  Spec.FirstStart = wall_time(
      std::chrono::milliseconds(number<std::int64_t>(Row, "StartAtMs")));
  Spec.Interval = milliseconds(Row, "IntervalMs");
  return Spec;
}

std::optional<std::uint64_t> decodeStartTimeMs(std::string_view Body) {
  const auto Row = parseObject(Body);
  const json *Value = Row ? member(*Row, "born") : nullptr;
  const auto StartTimeMs = Value ? asInteger(*Value) : std::nullopt;
  if (!StartTimeMs || *StartTimeMs < 0)
    return std::nullopt;
  return static_cast<std::uint64_t>(*StartTimeMs);
}

worker_request parseWorkerRequest(std::string_view Method,
                                  std::string_view Path) {
  constexpr std::string_view Prefix = "/api/workers/";
  if (Method != "POST" || !Path.starts_with(Prefix))
    return {};
  Path.remove_prefix(Prefix.size());
  const auto Slash = Path.find('/');
  if (Slash == std::string_view::npos)
    return {};
  const std::string_view Verb = Path.substr(Slash + 1);
  worker_request Call{.Worker = Path.substr(0, Slash)};
  if (Verb == "heartbeat")
    Call.Kind = worker_request_kind::Heartbeat;
  else if (Verb == "deregister")
    Call.Kind = worker_request_kind::Deregister;
  return Call;
}

http_response encodeJobState(work::job_state State) {
  return jsonAnswer(200, {{"State", name(State)}});
}

http_response encodePending(std::size_t Count) {
  return jsonAnswer(200, {{"Pending", Count}});
}

http_response encodeEmpty(int Code) { return jsonAnswer(Code, json::object()); }

http_response encodeError(int Code, std::string_view Reason,
                          std::string_view Message, duration RetryAfter) {
  http_response Response =
      jsonAnswer(Code, {{"Error", Reason}, {"Message", Message}});
  if (RetryAfter > duration{}) {
    // The header counts whole seconds, rounded up.
    const auto Seconds =
        (millisecondsOf(RetryAfter) + MillisecondsPerSecond - 1) /
        MillisecondsPerSecond;
    Response.Headers.push_back({"Retry-After", std::to_string(Seconds)});
  }
  return Response;
}

} // namespace geraniumpaddle
