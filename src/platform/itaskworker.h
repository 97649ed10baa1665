#pragma once

#include "platform/types/taskcalls.h"

#include <functional>

namespace geraniumpaddle {

/// A worker of the platform, as the agent beside it calls it.
class itask_worker {
public:
  virtual ~itask_worker() = default;

  /// Each Done is called once, from the loop.
  virtual void start(const worker_target &Target, const work::start_run &Order,
                     std::function<void(const start_outcome &)> Done) = 0;
  virtual void stop(const worker_target &Target, const work::run_ref &Run,
                    std::function<void(work::worker_call_result)> Done) = 0;
  virtual void list(const worker_target &Target, const work::list_runs &Order,
                    std::function<void(const listing_outcome &)> Done) = 0;
};

} // namespace geraniumpaddle
