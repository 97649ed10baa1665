#pragma once

#include "core/work/runforecast.h"
#include "core/work/types/queueforecast.h"

#include <optional>

namespace geraniumpaddle::work {

/// Admission control: rejects jobs that could not end before their deadline
/// because of the work queued ahead of them. Admits all jobs without a recent
/// forecast.
class admission_control {
public:
  /// \param Forecast the scheduler's forecast as of \p Now.
  void updateForecast(const queue_forecast &Forecast, time_point Now);
  const queue_forecast &forecast() const { return Forecast; }
  /// Time after which the caller should retry; empty if the job is admitted.
  std::optional<duration> retryAfter(const job_spec &Spec,
                                     time_point Now) const;

private:
  queue_forecast Forecast;
  time_point UpdatedAt{};
};

} // namespace geraniumpaddle::work
