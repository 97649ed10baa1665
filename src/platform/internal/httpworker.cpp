#include "platform/httpworker.h"

#include "codec/protojson.h"

#include "platform.pb.h"

#include <utility>

namespace geraniumpaddle {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

worker_task_state fromProto(proto::WorkerTaskState State) {
  switch (State) {
  case proto::WORKER_TASK_STATE_FINISHED:
    return worker_task_state::Finished;
  case proto::WORKER_TASK_STATE_FAILED:
    return worker_task_state::Failed;
  case proto::WORKER_TASK_STATE_STOPPED:
    return worker_task_state::Stopped;
  case proto::WORKER_TASK_STATE_CHECKPOINTING:
    return worker_task_state::Checkpointing;
  default:
    return worker_task_state::Running;
  }
}

worker_task fromProto(const proto::WorkerTask &Task) {
  worker_task Result;
  Result.Task = Task.task();
  Result.State = fromProto(Task.state());
  Result.Accelerators = Task.accelerators();
  Result.LeaseLeft = milliseconds(Task.lease_left_ms());
  Result.CheckpointAge = milliseconds(Task.checkpoint_age_ms());
  Result.Detail = Task.detail();
  return Result;
}

struct call_outcome {
  call_status Status = call_status::NotSent;
  bool Refused = false;

  bool answered() const { return Status == call_status::Completed && !Refused; }
};

/// Maps an HTTP result to what is certain about the call: whether the worker
/// acted, refused, was not reached, or may have acted.
call_outcome classify(const http_result &Result) {
  if (Result.Status != call_status::Completed || Result.ok())
    return {Result.Status, false};
  const bool Overloaded =
      Result.Code == TooManyRequests || Result.Code == ServiceUnavailable;
  if (Overloaded)
    return {call_status::NotSent, false};
  if (Result.Code >= 400 && Result.Code < 500)
    return {call_status::Completed, true};
  return {call_status::Lost, false};
}

/// Decodes the body of an answer into \p Message. An answer whose body can't be
/// decoded counts as lost.
call_outcome decodeAnswer(const http_result &Result,
                          google::protobuf::Message &Message) {
  call_outcome Outcome = classify(Result);
  if (Outcome.answered() && !tryParseJson(Result.Body, Message))
    Outcome.Status = call_status::Lost;
  return Outcome;
}

template <typename Message>
worker_result toResult(const call_outcome &Outcome, const Message &Body) {
  worker_result Result;
  Result.Status = Outcome.Status;
  Result.Refused = Outcome.Refused;
  for (const proto::WorkerTask &Task : Body.tasks())
    Result.Tasks.push_back(fromProto(Task));
  return Result;
}

proto::WorkerControl makeControl(std::string_view Task) {
  proto::WorkerControl Message;
  Message.set_task(std::string(Task));
  return Message;
}

} // namespace

http_worker::http_worker(ihttp_client &Client, std::string Address,
                         std::string BasePath, duration Timeout)
    : Client(Client), Address(std::move(Address)),
      BasePath(std::move(BasePath)), Timeout(Timeout) {}

http_call http_worker::makeCall(std::string_view Method, std::string_view Path,
                                std::string Body) const {
  http_call Call;
  Call.Address = Address;
  Call.Method = Method;
  Call.Target = BasePath + std::string(Path);
  Call.Headers.push_back({"Content-Type", "application/json"});
  Call.Body = std::move(Body);
  Call.Timeout = Timeout;
  return Call;
}

void http_worker::post(std::string_view Path, std::string Body,
                       worker_callback Done) {
  Client.send(makeCall("POST", Path, std::move(Body)),
              [Done = std::move(Done)](const http_result &Result) {
                proto::WorkerTasks Answer;
                const call_outcome Outcome = decodeAnswer(Result, Answer);
                Done(toResult(Outcome, Answer));
              });
}

void http_worker::describe(worker_callback Done) {
  Client.send(makeCall("GET", "/describe", {}),
              [Done = std::move(Done)](const http_result &Result) {
                proto::WorkerDescription Answer;
                const call_outcome Outcome = decodeAnswer(Result, Answer);
                worker_result Described = toResult(Outcome, Answer);
                Described.Capacity = {Answer.accelerators(),
                                      Answer.milli_cores(), Answer.memory_mb()};
                Done(Described);
              });
}

void http_worker::start(const worker_start &Start, worker_callback Done) {
  proto::WorkerStart Message;
  Message.set_task(Start.Task);
  Message.set_accelerators(Start.Accelerators);
  Message.set_milli_cores(Start.Need.MilliCores);
  Message.set_memory_mb(Start.Need.MemoryMb);
  Message.set_command(Start.Command);
  Message.set_lease_ms(millisecondsOf(Start.Lease));
  post("/start", printJson(Message), std::move(Done));
}

void http_worker::renew(std::span<const std::string> Tasks, duration Lease,
                        worker_callback Done) {
  proto::WorkerRenew Message;
  for (const std::string &Task : Tasks)
    Message.add_tasks(Task);
  Message.set_lease_ms(millisecondsOf(Lease));
  post("/renew", printJson(Message), std::move(Done));
}

void http_worker::checkpoint(std::string_view Task, worker_callback Done) {
  post("/checkpoint", printJson(makeControl(Task)), std::move(Done));
}

void http_worker::throttle(std::string_view Task, int Percent,
                           worker_callback Done) {
  proto::WorkerControl Message = makeControl(Task);
  Message.set_throttle_percent(static_cast<std::uint32_t>(Percent));
  post("/throttle", printJson(Message), std::move(Done));
}

void http_worker::stop(std::string_view Task, worker_callback Done) {
  post("/stop", printJson(makeControl(Task)), std::move(Done));
}

void http_worker::usage(std::function<void(const worker_usage &)> Done) {
  Client.send(makeCall("GET", "/usage", {}),
              [Done = std::move(Done)](const http_result &Result) {
                proto::WorkerUsage Answer;
                worker_usage Usage;
                Usage.Status = decodeAnswer(Result, Answer).Status;
                Usage.Age = milliseconds(Answer.age_ms());
                Usage.Busy = {Answer.accelerators_busy(), Answer.milli_cores(),
                              Answer.memory_mb()};
                Done(Usage);
              });
}

} // namespace geraniumpaddle
