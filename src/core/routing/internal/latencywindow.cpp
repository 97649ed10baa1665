#include "core/routing/latencywindow.h"

#include <algorithm>
#include <span>

namespace geraniumpaddle {

void latency_window::add(duration Latency) {
  Samples[Added % Capacity] = Latency;
  ++Added;
  if (Added % RefreshEvery == 0)
    refresh();
}

void latency_window::refresh() {
  std::array<duration, Capacity> Sorted = Samples;
  const std::size_t Count = std::min(Added, Capacity);
  std::ranges::sort(std::span(Sorted).first(Count));
  Median = Sorted[Count / 2];
  Upper = Sorted[static_cast<std::size_t>(static_cast<double>(Count - 1) *
                                          Quantile)];
}

} // namespace geraniumpaddle
