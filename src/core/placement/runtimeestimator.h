#pragma once

#include "core/base/types/ids.h"
#include "core/placement/types/schedule.h"

#include <array>
#include <chrono>
#include <map>

namespace geraniumpaddle {

/// Corrects declared run times by what was seen of each customer. An estimate
/// only ranks and reserves; nothing relies on it for safety.
class run_time_estimator {
public:
  /// Learns from one attempt that ran to its end.
  void observe(const run_observation &Observation);

  /// Expected run time of a job that declares \p Declared.
  std::chrono::seconds estimate(const customer_id &Customer,
                                std::chrono::seconds Declared) const;

  /// Expected time left after \p Elapsed. An attempt that outlives its
  /// estimate is expected to go on for a share of what it has run already.
  std::chrono::seconds remaining(const customer_id &Customer,
                                 std::chrono::seconds Declared,
                                 std::chrono::seconds Elapsed) const;

private:
  /// Mean of the logarithm of actual over declared run time.
  struct log_ratio {
    double Weight = 0;
    double Sum = 0;

    void add(double Value);
  };
  /// Declared times by power of four seconds.
  static constexpr std::size_t DeclaredClasses = 12;
  struct customer_history {
    log_ratio All;
    std::array<log_ratio, DeclaredClasses> ByDeclared{};
  };

  static std::size_t classOf(std::chrono::seconds Declared);

  std::map<customer_id, customer_history> Histories;
};

} // namespace geraniumpaddle
