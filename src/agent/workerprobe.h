#pragma once

#include "platform/iworker.h"
#include "transport/ieventloop.h"
#include "transport/ipeerserver.h"
#include "transport/timer.h"

#include <memory>
#include <string>

namespace geraniumpaddle {

/// Checks whether the worker can run tasks at all by running a short task on
/// it. Only one probe runs at a time.
class worker_probe {
public:
  worker_probe(ievent_loop &Loop, iworker &Worker);
  ~worker_probe() { *Alive = false; }
  worker_probe(const worker_probe &) = delete;
  worker_probe &operator=(const worker_probe &) = delete;

  /// Starts the task on \p Accelerators accelerators and responds once it has
  /// ended or its time limit has passed. Refused while another probe is
  /// running.
  void start(const proto::ProbeWorker &Request, int Accelerators,
             const peer_responder &Respond);

private:
  void onStarted(const worker_result &Result);
  void poll();
  void onDescribed(const worker_result &Result);
  void finish(bool Succeeded, const std::string &Detail);

  ievent_loop &Loop;
  iworker &Worker;
  timer PollTimer;
  std::string TaskId;
  time_point Deadline{};
  peer_responder Respond;
  bool Busy = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
