#pragma once

#include "core/work/types/job.h"
#include "core/work/types/queueforecast.h"

#include <map>

namespace geraniumpaddle::work {

/// Sums up waiting and running work by priority to forecast queue waits.
class backlog {
public:
  /// \param HoldTime time for which each of \p Count tasks holds \p Need.
  void add(std::uint32_t Priority, const resources &Need, std::uint32_t Count,
           duration HoldTime);
  void addCapacity(const resources &Capacity);
  /// Empty while there is no capacity, since workers may join at any time.
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
