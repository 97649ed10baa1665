#include "standins/worker/workerinterface.h"

#include "codec/protojson.h"
#include "core/base/error.h"
#include "platform.pb.h"

#include <google/protobuf/struct.pb.h>

#include <array>

namespace geraniumpaddle::standins {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

template <typename Message> Message fromJson(std::string_view Body) {
  Message Result;
  parseJson(Body, Result);
  return Result;
}

json_answer errorAnswer(int Code, std::string_view Kind) {
  proto::PlatformError Error;
  Error.set_code(std::string(Kind));
  return {Code, printJson(Error)};
}

// Both enumerations have the same order.
proto::WorkerTaskState toProto(worker_task_state State) {
  return static_cast<proto::WorkerTaskState>(State);
}

void toProto(const worker_task &Task, proto::WorkerTask &Result) {
  Result.set_task(Task.Task);
  Result.set_state(toProto(Task.State));
  Result.set_accelerators(Task.Accelerators);
  Result.set_lease_left_ms(duration_cast<milliseconds>(Task.LeaseLeft).count());
  Result.set_checkpoint_age_ms(
      duration_cast<milliseconds>(Task.CheckpointAge).count());
  Result.set_detail(Task.Detail);
}

} // namespace

json_answer worker_interface::call(std::string_view Path, std::string_view Body,
                                   time_point Now) {
  struct route {
    std::string_view Path;
    json_answer (worker_interface::*Handler)(std::string_view, time_point);
  };
  static constexpr std::array<route, 7> Routes = {{
      {"/describe", &worker_interface::describe},
      {"/usage", &worker_interface::usage},
      {"/start", &worker_interface::start},
      {"/renew", &worker_interface::renew},
      {"/checkpoint", &worker_interface::checkpoint},
      {"/throttle", &worker_interface::throttle},
      {"/stop", &worker_interface::stop},
  }};
  for (const route &Route : Routes) {
    if (Route.Path != Path)
      continue;
    try {
      return (this->*Route.Handler)(Body, Now);
    } catch (const malformed_message_error &Error) {
      return errorAnswer(400, name(Error.kind()));
    }
  }
  return errorAnswer(404, "not_found");
}

json_answer worker_interface::describe(std::string_view /*Body*/,
                                       time_point Now) {
  Worker.advance(Now);
  proto::WorkerDescription Description;
  Description.set_worker(Name);
  Description.set_accelerators(Worker.capacity().Accelerators);
  Description.set_milli_cores(Worker.capacity().MilliCores);
  Description.set_memory_mb(Worker.capacity().MemoryMb);
  for (const worker_task &Task : Worker.describe(Now))
    toProto(Task, *Description.add_tasks());
  return {200, printJson(Description)};
}

json_answer worker_interface::usage(std::string_view /*Body*/, time_point Now) {
  Worker.advance(Now);
  const resources Busy = Worker.usedResources();
  proto::WorkerUsage Usage;
  Usage.set_milli_cores(Busy.MilliCores);
  Usage.set_memory_mb(Busy.MemoryMb);
  Usage.set_accelerators_busy(Busy.Accelerators);
  return {200, printJson(Usage)};
}

json_answer worker_interface::start(std::string_view Body, time_point Now) {
  const auto Message = fromJson<proto::WorkerStart>(Body);
  worker_start Start;
  Start.Task = Message.task();
  Start.Accelerators = Message.accelerators();
  Start.Need.Accelerators = __builtin_popcount(Message.accelerators());
  Start.Need.MilliCores = Message.milli_cores();
  Start.Need.MemoryMb = Message.memory_mb();
  Start.Command = Message.command();
  Start.Lease = milliseconds(Message.lease_ms());
  return answer(Worker.start(Start, Now), std::span(&Start.Task, 1), Now);
}

json_answer worker_interface::renew(std::string_view Body, time_point Now) {
  const auto Message = fromJson<proto::WorkerRenew>(Body);
  const std::vector<std::string> Names(Message.tasks().begin(),
                                       Message.tasks().end());
  const duration Lease = milliseconds(Message.lease_ms());
  return answer(Worker.renew(Names, Lease, Now), Names, Now);
}

json_answer worker_interface::checkpoint(std::string_view Body,
                                         time_point Now) {
  const auto Message = fromJson<proto::WorkerControl>(Body);
  return answer(Worker.checkpoint(Message.task(), Now),
                std::span(&Message.task(), 1), Now);
}

json_answer worker_interface::throttle(std::string_view Body, time_point Now) {
  const auto Message = fromJson<proto::WorkerControl>(Body);
  const auto Percent = static_cast<int>(Message.throttle_percent());
  return answer(Worker.throttle(Message.task(), Percent, Now),
                std::span(&Message.task(), 1), Now);
}

json_answer worker_interface::stop(std::string_view Body, time_point Now) {
  const auto Message = fromJson<proto::WorkerControl>(Body);
  return answer(Worker.stop(Message.task(), Now), std::span(&Message.task(), 1),
                Now);
}

json_answer worker_interface::answer(worker_verdict Verdict,
                                     std::span<const std::string> Tasks,
                                     time_point Now) const {
  switch (Verdict) {
  case worker_verdict::NotFound:
    return errorAnswer(404, "not_found");
  case worker_verdict::Busy:
    return errorAnswer(409, "busy");
  case worker_verdict::Invalid:
    return errorAnswer(400, "invalid_argument");
  case worker_verdict::Done:
    break;
  }
  proto::WorkerTasks Result;
  for (const worker_task &Task : Worker.describe(Tasks, Now))
    toProto(Task, *Result.add_tasks());
  return {200, printJson(Result)};
}

json_answer worker_interface::history(time_point Now, wall_time WallNow) const {
  const auto ToWallClock = [&](time_point At) {
    const wall_time Wall = WallNow - duration_cast<milliseconds>(Now - At);
    return static_cast<double>(Wall.time_since_epoch().count());
  };
  google::protobuf::Struct Result;
  auto &Runs = *(*Result.mutable_fields())["runs"].mutable_list_value();
  for (const run_record &Run : Worker.history()) {
    auto &Fields = *Runs.add_values()->mutable_struct_value()->mutable_fields();
    Fields["task"].set_string_value(Run.Task);
    Fields["accelerators"].set_number_value(Run.Accelerators);
    Fields["started_ms"].set_number_value(ToWallClock(Run.Started));
    if (Run.Ended)
      Fields["ended_ms"].set_number_value(ToWallClock(*Run.Ended));
    Fields["state"].set_string_value(
        proto::WorkerTaskState_Name(toProto(Run.State)));
  }
  return {200, printJson(Result)};
}

} // namespace geraniumpaddle::standins
