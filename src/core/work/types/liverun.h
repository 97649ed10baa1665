#pragma once

#include "core/work/types/worker.h"

namespace geraniumpaddle::work {

/// A run that has not ended for certain; it holds its worker's capacity.
struct live_run {
  run_ref Run;
  worker_life Worker;
  resources Need;              ///< held on the worker
  std::uint32_t Priority = 0;  ///< of its queue
  customer_id Customer;
  std::uint64_t StoredBy = 0;  ///< batch that has to be stored before the order
  bool Ordered = false;        ///< its worker's orders have it
  std::uint64_t StopIn = 0;    ///< number of the orders that first lacked it
  time_point PlacedAt{};
  bool Started = false;  ///< a listing had it
  bool Stopping = false; ///< not wanted any more
  bool Checkpointing = false;
  std::int32_t Percent = 0;
  time_point PercentAt{}; ///< when it last rose
};

} // namespace geraniumpaddle::work
