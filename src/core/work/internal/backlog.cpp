#include "core/work/backlog.h"

#include <algorithm>

namespace geraniumpaddle::work {

namespace {

constexpr double MilliCoresPerCore = 1000;

} // namespace

void backlog::add(std::uint32_t Priority, const resources &Need,
                  std::uint32_t Count, duration HoldTime) {
  const double Seconds =
      std::chrono::duration<double>(HoldTime).count() * Count;
  demand &Demand = ByPriority[Priority];
  Demand.AcceleratorSeconds += Seconds * Need.Accelerators;
  Demand.CoreSeconds +=
      Seconds * static_cast<double>(Need.MilliCores) / MilliCoresPerCore;
}

void backlog::addCapacity(const resources &Capacity) { Total += Capacity; }

queue_forecast backlog::forecast() const {
  queue_forecast Forecast;
  if (Total.MilliCores <= 0)
    return Forecast;
  double Accelerators = 0;
  double Cores = 0;
  for (const auto &[Priority, Demand] : ByPriority) {
    Accelerators += Demand.AcceleratorSeconds;
    Cores += Demand.CoreSeconds;
    const double ForCores =
        Cores * MilliCoresPerCore / static_cast<double>(Total.MilliCores);
    const double ForAccelerators =
        Total.Accelerators > 0 ? Accelerators / Total.Accelerators : 0;
    Forecast[Priority] = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::max(ForCores, ForAccelerators)));
  }
  return Forecast;
}

} // namespace geraniumpaddle::work
