#include "core/work/admissioncontrol.h"

#include "core/work/types/limits.h"

#include <algorithm>

namespace geraniumpaddle::work {

namespace {

/// An older forecast is ignored, since bursts last only a few seconds.
constexpr duration MaxForecastAge = std::chrono::seconds(2);
constexpr duration MinRetryAfter = std::chrono::seconds(1);
/// A longer delay would keep callers away when capacity frees up early.
constexpr duration MaxRetryAfter = std::chrono::seconds(30);

} // namespace

void admission_control::updateForecast(const queue_forecast &Newest,
                                       time_point Now) {
  Forecast = Newest;
  UpdatedAt = Now;
}

std::optional<duration> admission_control::retryAfter(const job_spec &Spec,
                                                      time_point Now) const {
  if (Spec.Scheduled || Now - UpdatedAt > MaxForecastAge)
    return std::nullopt;
  // Work of the same or of a more urgent priority goes first.
  const auto After = Forecast.upper_bound(Spec.Policy.Priority);
  if (After == Forecast.begin())
    return std::nullopt;
  const duration Wait =
      std::max(std::prev(After)->second - (Now - UpdatedAt), duration{});
  // Only declared run times: measured ones are known to the scheduler only.
  const run_forecast Declared;
  const duration Deadline = Declared.objective(Spec) * DeadlineFactor;
  if (Wait <= Deadline)
    return std::nullopt;
  return std::clamp(Wait - Deadline, MinRetryAfter, MaxRetryAfter);
}

} // namespace geraniumpaddle::work
