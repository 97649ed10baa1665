#pragma once

#include "core/work/runforecast.h"
#include "core/work/types/queueforecast.h"

#include <optional>

namespace geraniumpaddle::work {

/// Turns away jobs that come while so much is ahead of them that they could
/// not earn anything any more. What it does not know, it lets in.
class admission_control {
public:
  /// \param Forecast of the scheduler, as of \p Now.
  void updateForecast(const queue_forecast &Forecast, time_point Now);
  const queue_forecast &forecast() const { return Forecast; }
  /// When the caller should come back; nothing if the job is to be taken in.
  std::optional<duration> retryAfter(const job_spec &Spec,
                                     time_point Now) const;

private:
  queue_forecast Forecast;
  time_point LearnedAt{};
};

} // namespace geraniumpaddle::work
