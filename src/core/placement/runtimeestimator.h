#pragma once

#include "core/base/types/ids.h"
#include "core/placement/types/schedule.h"

#include <array>
#include <chrono>
#include <map>

namespace geraniumpaddle {

/// Corrects declared run times by the ratios of actual to declared run time
/// that were observed for each customer. Estimates are only used to rank
/// options and to reserve capacity; correctness never depends on them.
class run_time_estimator {
public:
  /// Records the run time of an attempt that ran to its end.
  void observe(const run_observation &Observation);

  /// Expected run time of a job that declares \p Declared.
  std::chrono::seconds estimate(const customer_id &Customer,
                                std::chrono::seconds Declared) const;

  /// Expected remaining run time after \p Elapsed. An attempt that exceeds its
  /// estimate is expected to run on for a fraction of the elapsed time.
  std::chrono::seconds remaining(const customer_id &Customer,
                                 std::chrono::seconds Declared,
                                 std::chrono::seconds Elapsed) const;

private:
  /// Exponentially decayed mean of the logarithm of actual over declared run
  /// time.
  struct decayed_log_ratio {
    double Weight = 0;
    double Sum = 0;

    void add(double Value);
  };
  /// Declared run times are grouped by powers of four seconds.
  static constexpr std::size_t DeclaredClasses = 12;
  struct customer_history {
    decayed_log_ratio All;
    std::array<decayed_log_ratio, DeclaredClasses> ByDeclared{};
  };

  static std::size_t declaredClassOf(std::chrono::seconds Declared);

  std::map<customer_id, customer_history> Histories;
};

} // namespace geraniumpaddle
