#pragma once

#include "core/base/error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumpaddle {

/// Label names and values of one series.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

class counter {
public:
  void add(std::uint64_t Count = 1) { Value += Count; }
  std::uint64_t value() const { return Value; }

private:
  std::uint64_t Value = 0;
};

class gauge {
public:
  void set(double NewValue) { Value = NewValue; }
  void add(double Change) { Value += Change; }
  double value() const { return Value; }

private:
  double Value = 0;
};

/// Histogram with fixed bucket bounds.
class histogram {
public:
  /// \param UpperBounds inclusive bounds in ascending order; a bucket for
  /// larger
  ///        values is added.
  /// \throws invalid_argument_error if the bounds are empty or not ascending.
  explicit histogram(std::span<const double> UpperBounds);
  ~histogram();
  histogram(histogram &&) noexcept;

  void observe(double Value);
  std::uint64_t count() const;
  double sum() const;
  std::span<const double> upperBounds() const;
  /// Number of observations in bucket \p Index, not cumulative.
  std::uint64_t bucket(std::size_t Index) const;
  /// Upper bound of the bucket that contains the quantile \p Fraction (0 to 1).
  double quantile(double Fraction) const;

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Bucket bounds in seconds for latencies from 1 ms to 60 s.
std::span<const double> latencyBounds();

/// All metrics of the process. A series is created when it is first requested
/// and lives as long as the registry; the same name and labels give the same
/// series.
class metric_registry {
public:
  metric_registry();
  ~metric_registry();

  /// \throws invalid_argument_error if \p Name is already in use for another
  ///         type or is not a valid Prometheus metric name.
  counter &getCounter(std::string_view Name, std::string_view Help,
                      const metric_labels &Labels = {});
  gauge &getGauge(std::string_view Name, std::string_view Help,
                  const metric_labels &Labels = {});
  histogram &getHistogram(std::string_view Name, std::string_view Help,
                          std::span<const double> UpperBounds,
                          const metric_labels &Labels = {});

  /// Registers a callback that each render() runs first, to update gauges.
  void onRender(std::function<void()> Update);
  /// All metrics in the Prometheus text format, version 0.0.4.
  std::string render();

private:
  struct family;

  template <typename Type, typename... Arguments>
  Type &getSeries(std::string_view Name, std::string_view Help,
                  const metric_labels &Labels,
                  const Arguments &...ConstructorArguments);

  std::map<std::string, std::unique_ptr<family>, std::less<>> Families;
  std::vector<std::function<void()>> Updates;
};

} // namespace geraniumpaddle
