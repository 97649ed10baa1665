#include "agent/workerprobe.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration PollInterval = std::chrono::milliseconds(200);
constexpr duration MaxLimit = std::chrono::minutes(1);

accelerator_mask firstAccelerators(int Count) {
  constexpr int MaxCount = 31;
  return (accelerator_mask{1} << std::min(Count, MaxCount)) - 1;
}

} // namespace

worker_probe::worker_probe(ievent_loop &Loop, iworker &Worker)
    : Loop(Loop), Worker(Worker), PollTimer(Loop) {}

void worker_probe::start(const proto::ProbeWorker &Request, int Accelerators,
                         const peer_responder &Responder) {
  if (Busy) {
    proto::PeerResponse Response;
    Response.set_refusal(proto::REFUSAL_NOT_READY);
    return Responder(std::move(Response));
  }
  Busy = true;
  Respond = Responder;
  duration Limit = std::min<duration>(
      std::chrono::milliseconds(Request.limit_ms()), MaxLimit);
  Deadline = Loop.now() + Limit;
  TaskId = "probe-" + std::to_string(Loop.now().time_since_epoch().count());
  worker_start Start{TaskId,
                     firstAccelerators(Accelerators),
                     {Accelerators, 0, 0},
                     Request.command(),
                     Limit};
  Worker.start(Start, [this, Alive = Alive](const worker_result &Result) {
    if (*Alive)
      onStarted(Result);
  });
}

void worker_probe::onStarted(const worker_result &Result) {
  if (Result.Refused || Result.Status == call_status::NotSent)
    return finish(false, "the worker refused the task");
  poll();
}

void worker_probe::poll() {
  Worker.describe([this, Alive = Alive](const worker_result &Result) {
    if (*Alive)
      onDescribed(Result);
  });
}

void worker_probe::onDescribed(const worker_result &Result) {
  auto Found = std::find_if(
      Result.Tasks.begin(), Result.Tasks.end(),
      [this](const worker_task &Each) { return Each.Task == TaskId; });
  bool Known = Found != Result.Tasks.end();
  if (Known && Found->State == worker_task_state::Finished)
    return finish(true, "");
  bool Ended = Known && Found->State != worker_task_state::Running &&
               Found->State != worker_task_state::Checkpointing;
  if (Ended || Loop.now() >= Deadline)
    return finish(false, Ended ? Found->Detail : "the task did not end");
  PollTimer.start(PollInterval, [this] { poll(); });
}

void worker_probe::finish(bool Succeeded, const std::string &Detail) {
  Busy = false;
  proto::PeerResponse Response;
  Response.mutable_probe()->set_succeeded(Succeeded);
  Response.mutable_probe()->set_detail(Detail);
  Respond(std::move(Response));
}

} // namespace geraniumpaddle
