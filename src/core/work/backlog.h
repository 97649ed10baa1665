#pragma once

#include "core/work/types/job.h"
#include "core/work/types/queueforecast.h"

#include <map>

namespace geraniumpaddle::work {

/// Adds up the work that waits or runs, for a forecast of the queues.
class backlog {
public:
  /// \param Time for which each of \p Count tasks holds \p Need.
  void add(std::uint32_t Priority, const resources &Need, std::uint32_t Count,
           duration Time);
  void addCapacity(const resources &Capacity);
  /// Nothing while there is no capacity: workers may come at any time.
  queue_forecast forecast() const;

private:
  struct demand {
    double AcceleratorSeconds = 0;
    double CoreSeconds = 0;
  };

  std::map<std::uint32_t, demand> ByPriority;
  resources Total;
};

} // namespace geraniumpaddle::work
