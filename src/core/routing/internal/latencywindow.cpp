#include "core/routing/latencywindow.h"

#include <algorithm>

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
  const auto End = Sorted.begin() + static_cast<std::ptrdiff_t>(Count);
  std::sort(Sorted.begin(), End);
  Median = Sorted[Count / 2];
  Upper = Sorted[static_cast<std::size_t>(static_cast<double>(Count - 1) *
                                          Quantile)];
}

} // namespace geraniumpaddle
