#include "platform/platformdecode.h"

#include "platform/internal/jsonfields.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace geraniumpaddle {

namespace {

constexpr int MillisecondsPerSecond = 1000;

[[noreturn]] void throwFieldError(std::string_view Field,
                                  std::string_view Problem) {
  throw malformed_message_error(std::string(Field).append(" ").append(Problem));
}

/// Reads an integer of at least \p Min that fits the type.
template <typename Number>
Number readNumber(const json &Object, const char *Field, std::int64_t Min = 0) {
  const auto Value = integerField(Object, Field);
  if (!Value)
    throwFieldError(Field, "is not a whole number");
  const bool Fits =
      *Value >= Min &&
      static_cast<std::uint64_t>(*Value) <=
          static_cast<std::uint64_t>(std::numeric_limits<Number>::max());
  if (!Fits)
    throwFieldError(Field, "is out of range");
  return static_cast<Number>(*Value);
}

std::string readString(const json &Object, const char *Field) {
  const auto Value = stringField(Object, Field);
  if (!Value)
    throwFieldError(Field, "is not a text");
  return *Value;
}

std::string readName(const json &Object, const char *Field) {
  std::string Name = readString(Object, Field);
  if (Name.empty())
    throwFieldError(Field, "is missing");
  return Name;
}

/// A time in milliseconds since 1970; it cannot be omitted.
std::uint64_t readTimeMs(const json &Object, const char *Field) {
  const json *Member = member(Object, Field);
  const auto Value = Member ? asWholeNumber(*Member) : std::nullopt;
  if (!Value)
    throwFieldError(Field, "is not a whole number");
  if (*Value < 1 || *Value > work::MaxTimeSinceEpoch.count())
    throwFieldError(Field, "is out of range");
  return static_cast<std::uint64_t>(*Value);
}

bool readBool(const json &Object, const char *Field) {
  const auto Value = boolField(Object, Field);
  if (!Value)
    throwFieldError(Field, "is not true or false");
  return *Value;
}

std::chrono::milliseconds
readMilliseconds(const json &Object, const char *Field,
                 std::chrono::milliseconds Max = work::MaxDuration) {
  const auto Value = readNumber<std::int64_t>(Object, Field);
  if (Value > Max.count())
    throwFieldError(Field, "is out of range");
  return std::chrono::milliseconds(Value);
}

/// Reads an array; a missing one is empty.
const json &readArray(const json &Object, const char *Field) {
  const json *Value = arrayField(Object, Field);
  if (!Value)
    throwFieldError(Field, "is not a list");
  return *Value;
}

json parseBody(std::string_view Text) {
  auto Document = parseObject(Text);
  if (!Document)
    throw malformed_message_error("the body is not a JSON object");
  return std::move(*Document);
}

resources readResources(const json &Object) {
  return {.Accelerators = readNumber<std::int32_t>(Object, "Gpu"),
          // Sums over all workers must not overflow.
          .MilliCores = readNumber<std::int32_t>(Object, "Cpu"),
          .MemoryMb = readNumber<std::int32_t>(Object, "MemMb")};
}

work::queue_route decodeRoute(const json &Object) {
  work::queue_route Route{.Host = readString(Object, "Host"),
                          .PathPrefix = readString(Object, "PathPrefix"),
                          .Anonymous = readBool(Object, "Anonymous")};
  work::queue_policy &Policy = Route.Policy;
  Policy.Queue = readString(Object, "Name");
  Policy.Service = service_id(readString(Object, "Service"));
  Policy.Priority = readNumber<std::uint32_t>(Object, "Priority");
  Policy.Attempts = readNumber<std::uint32_t>(Object, "Attempts");
  Policy.SlackFactor =
      std::clamp(numberField(Object, "SlackFactor").value_or(1), 0.0,
                 work::MaxSlackFactor);
  Policy.TargetLatency = readMilliseconds(Object, "TargetLatencyMs");
  return Route;
}

/// The field is either a number or an object with a number for each resource.
std::int32_t guaranteedAccelerators(const json &Object) {
  const json *Value = member(Object, "GuaranteedGpus");
  if (Value && Value->is_object())
    return readNumber<std::int32_t>(*Value, "Gpu");
  return readNumber<std::int32_t>(Object, "GuaranteedGpus");
}

work::customer_config decodeCustomer(const json &Object) {
  work::customer_config Customer{
      .Name = customer_id(readString(Object, "Name")),
      .GuaranteedAccelerators = guaranteedAccelerators(Object)};
  for (const json &Key : readArray(Object, "ApiKeys"))
    if (Key.is_string())
      Customer.Keys.push_back(Key.get<std::string>());
  return Customer;
}

work::step_spec decodeStep(const json &Object, std::size_t StepIndex) {
  if (!Object.is_object())
    throwFieldError("Steps", "has an entry that is not an object");
  work::step_spec Step;
  Step.Count = readNumber<std::uint32_t>(Object, "Count", 1);
  Step.Need = readResources(Object);
  Step.Estimate = readMilliseconds(Object, "EstimatedMs");
  for (const json &Predecessor : readArray(Object, "After")) {
    const auto Index = asInteger(Predecessor);
    if (!Index || *Index < 0 || static_cast<std::size_t>(*Index) >= StepIndex)
      throwFieldError("After", "does not name an earlier step");
    Step.After.push_back(static_cast<std::uint32_t>(*Index));
  }
  Step.Checkpointing = readBool(Object, "Checkpointing");
  Step.Gang = readBool(Object, "Gang");
  Step.SameRack = readBool(Object, "SameRack");
  Step.Speculative = readBool(Object, "Speculative");
  Step.LongRunning = readBool(Object, "LongRunning");
  Step.BestEffortCpu = readBool(Object, "Fills");
  Step.RequiredLabel = readString(Object, "RequiredLabel");
  Step.DataRack = readString(Object, "DataRack");
  Step.Image = readString(Object, "Image");
  Step.MaxPerWorker = readNumber<std::uint32_t>(Object, "MaxPerServer");
  Step.TailLatencyTarget = readMilliseconds(Object, "TargetMs");
  Step.MaxUnavailable = readNumber<std::uint32_t>(Object, "MaxUnavailable");
  return Step;
}

bool isVisible(char Each) { return Each > ' ' && Each <= '~'; }

http_response makeJsonResponse(int Code, const json &Body) {
  return {.Code = Code,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = Body.dump()};
}

} // namespace

std::optional<availability_zone_id> decodeEvacuation(std::string_view Key) {
  constexpr std::string_view Prefix = "evacuate/";
  if (!Key.starts_with(Prefix) || Key.size() == Prefix.size())
    return std::nullopt;
  return availability_zone_id(Key.substr(Prefix.size()));
}

work::configuration decodeConfiguration(std::string_view Text) {
  const json Body = parseBody(Text);
  work::configuration Config{.Version =
                                 readNumber<std::uint64_t>(Body, "Version")};
  for (const json &Object : readArray(Body, "Routes"))
    Config.Routes.push_back(decodeRoute(Object));
  for (const json &Object : readArray(Body, "Services"))
    Config.Services.push_back(
        {.Name = service_id(readString(Object, "Name")),
         .EnforcesCapacity = readBool(Object, "EnforceCapacity"),
         .Standby = readBool(Object, "Standby")});
  for (const json &Object : readArray(Body, "Tenants"))
    Config.Customers.push_back(decodeCustomer(Object));
  return Config;
}

worker_heartbeat decodeHeartbeat(std::string_view Id, std::string_view Body) {
  // The id is sent back to the worker in a header.
  if (Id.empty() || !std::all_of(Id.begin(), Id.end(), isVisible))
    throwFieldError("the id", "is not a name");
  const json Object = parseBody(Body);
  worker_heartbeat Heartbeat{.Address = readString(Object, "Address")};
  work::worker_description &Worker = Heartbeat.Description;
  Worker.Instance = {worker_id(Id), readTimeMs(Object, "born")};
  Worker.Service = service_id(readName(Object, "Service"));
  Worker.Zone = availability_zone_id(readName(Object, "Zone"));
  const json *Capacity = member(Object, "Capacity");
  if (!Capacity || !Capacity->is_object())
    throwFieldError("Capacity", "is missing");
  Worker.Capacity = readResources(*Capacity);
  const json &Labels = readArray(Object, "Labels");
  const bool HasLabels =
      Labels.size() >= 2 && Labels[0].is_string() && Labels[1].is_string();
  if (!HasLabels)
    throwFieldError("Labels", "does not name kind and rack");
  Worker.Kind = Labels[0].get<std::string>();
  Worker.Rack = Labels[1].get<std::string>();
  const std::string State = readString(Object, "State");
  if (State != "ready" && State != "draining")
    throwFieldError("State", "is not known");
  Worker.Draining = State == "draining";
  Worker.DrainRemaining = readMilliseconds(Object, "DrainRemainingMs");
  Worker.Sequence = readNumber<std::uint64_t>(Object, "Seq");
  return Heartbeat;
}

work::job_spec decodeJob(std::string_view Body) {
  const json Object = parseBody(Body);
  work::job_spec Spec;
  Spec.Payload = readString(Object, "Spec");
  for (const json &Step : readArray(Object, "Steps"))
    Spec.Steps.push_back(decodeStep(Step, Spec.Steps.size()));
  if (Spec.Steps.empty())
    throwFieldError("Steps", "is empty");
  const auto Times = readNumber<std::uint32_t>(Object, "Times");
  Spec.Scheduled = Times > 0;
  Spec.Occurrences = std::max(Times, 1U);
  Spec.FirstStart =
      wall_time(readMilliseconds(Object, "StartAtMs", work::MaxTimeSinceEpoch));
  Spec.Interval = readMilliseconds(Object, "IntervalMs");
  return Spec;
}

std::optional<std::uint64_t> decodeDeregistration(std::string_view Body) {
  if (Body.empty())
    return std::nullopt;
  const json Object = parseBody(Body);
  if (!Object.contains("born"))
    return std::nullopt;
  return readTimeMs(Object, "born");
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

duration decodeTimeout(std::string_view Text, duration Default) {
  std::int64_t Milliseconds = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  if (Error == std::errc::result_out_of_range && !Text.starts_with('-'))
    return work::MaxDuration;
  if (Error != std::errc() || Milliseconds <= 0)
    return Default;
  return std::min(std::chrono::milliseconds(Milliseconds), work::MaxDuration);
}

http_response encodeJobState(work::job_state State) {
  return makeJsonResponse(200, {{"State", name(State)}});
}

http_response encodePending(std::size_t Count) {
  return makeJsonResponse(200, {{"Pending", Count}});
}

http_response encodeEmpty(int Code) {
  return makeJsonResponse(Code, json::object());
}

http_response encodeError(int Code, std::string_view Reason,
                          std::string_view Message, duration RetryAfter) {
  http_response Response =
      makeJsonResponse(Code, {{"Error", Reason}, {"Message", Message}});
  if (RetryAfter > duration{}) {
    // The header contains whole seconds; rounded up.
    const auto Seconds =
        (millisecondsOf(RetryAfter) + MillisecondsPerSecond - 1) /
        MillisecondsPerSecond;
    Response.Headers.push_back({"Retry-After", std::to_string(Seconds)});
  }
  return Response;
}

} // namespace geraniumpaddle
