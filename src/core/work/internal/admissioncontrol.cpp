#include "core/work/admissioncontrol.h"

#include "core/work/types/limits.h"

#include <algorithm>

namespace geraniumpaddle::work {

namespace {

/// An older forecast says nothing: bursts last a few seconds.
constexpr duration ForecastKept = std::chrono::seconds(2);
constexpr duration MinRetryAfter = std::chrono::seconds(1);
/// A longer one would keep callers away from room that comes early.
constexpr duration MaxRetryAfter = std::chrono::seconds(30);

} // namespace

void admission_control::updateForecast(const queue_forecast &Newest,
                                       time_point Now) {
  Forecast = Newest;
  LearnedAt = Now;
}

std::optional<duration> admission_control::retryAfter(const job_spec &Spec,
                                                      time_point Now) const {
  if (Spec.Scheduled || Now - LearnedAt > ForecastKept)
    return std::nullopt;
  // The work of its own and of earlier priorities goes first.
  const auto After = Forecast.upper_bound(Spec.Policy.Priority);
  if (After == Forecast.begin())
    return std::nullopt;
  const duration Wait =
      std::max(std::prev(After)->second - (Now - LearnedAt), duration{});
  // Declared times only: what the queues' runs took is the scheduler's.
  const run_forecast Declared;
  const duration Worthless = Declared.objective(Spec) * WorthlessAfter;
  if (Wait <= Worthless)
    return std::nullopt;
  return std::clamp(Wait - Worthless, MinRetryAfter, MaxRetryAfter);
}

} // namespace geraniumpaddle::work
