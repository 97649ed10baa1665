#pragma once

#include "core/base/types/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace geraniumpaddle {

/// Quantiles over a sliding window of the most recent latencies.
class latency_window {
public:
  /// \param Quantile in (0, 1), returned by upper(); median() is kept besides.
  explicit latency_window(double Quantile) : Quantile(Quantile) {}

  void add(duration Latency);
  /// Empty until RefreshEvery latencies have been added.
  std::optional<duration> upper() const { return Upper; }
  std::optional<duration> median() const { return Median; }

private:
  static constexpr std::size_t Capacity = 256;
  static constexpr std::size_t RefreshEvery = 32; ///< latencies added

  void refresh();

  double Quantile;
  std::array<duration, Capacity> Samples{};
  std::size_t Added = 0;
  std::optional<duration> Upper;
  std::optional<duration> Median;
};

} // namespace geraniumpaddle
