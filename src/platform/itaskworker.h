#pragma once

#include "platform/types/taskcalls.h"

#include <functional>

namespace geraniumpaddle {

/// Interface of a worker of the platform to its agent. Starts and listings
/// reach the instance of their target or none, if the worker keeps its
/// connections open between calls.
class itask_worker {
public:
  virtual ~itask_worker() = default;

  /// Each Done is called exactly once, from the event loop.
  virtual void start(const worker_target &Target, const work::start_run &Order,
                     std::function<void(const start_outcome &)> Done) = 0;
  virtual void stop(const worker_target &Target, const work::run_ref &Run,
                    std::function<void(work::worker_call_result)> Done) = 0;
  virtual void list(const worker_target &Target, const work::list_runs &Order,
                    std::function<void(const listing_outcome &)> Done) = 0;
};

} // namespace geraniumpaddle
