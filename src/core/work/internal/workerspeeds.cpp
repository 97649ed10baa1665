#include "core/work/workerspeeds.h"

#include <algorithm>
#include <cmath>

namespace geraniumpaddle::work {

namespace {

/// Weight of the newest sample in a worker's speed.
constexpr double NewestWeight = 0.3;
/// Samples of a step after which the newest one weighs no less.
constexpr int MaxSamples = 20;
/// Bounds of a speed, as logarithms: a tenth and ten times the average.
constexpr double MaxLogSpeed = 2.3;

} // namespace

void worker_speeds::record(const step_ref &Step, const worker_instance &Worker,
                           double Rate) {
  if (!(Rate > 0))
    return;
  const double LogRate = std::log(Rate);
  worker_speed &Speed = Workers[Worker.Worker];
  if (Speed.StartTimeMs != Worker.StartTimeMs)
    Speed = {.StartTimeMs = Worker.StartTimeMs};
  step_work &Work = Steps[Step];
  if (Work.Samples > 0) {
    const double Seen = Work.LogSeconds + LogRate;
    Speed.LogSpeed =
        std::clamp(Speed.LogSpeed + NewestWeight * (Seen - Speed.LogSpeed),
                   -MaxLogSpeed, MaxLogSpeed);
  }
  Work.Samples = std::min(Work.Samples + 1, MaxSamples);
  Work.LogSeconds +=
      (Speed.LogSpeed - LogRate - Work.LogSeconds) / Work.Samples;
}

double worker_speeds::speed(const worker_instance &Worker) const {
  const auto Found = Workers.find(Worker.Worker);
  if (Found == Workers.end() || Found->second.StartTimeMs != Worker.StartTimeMs)
    return 1;
  return std::exp(Found->second.LogSpeed);
}

void worker_speeds::forget(const job_id &Job) {
  const auto First = Steps.lower_bound({Job, 0, 0});
  auto Last = First;
  while (Last != Steps.end() && Last->first.Job == Job)
    ++Last;
  Steps.erase(First, Last);
}

} // namespace geraniumpaddle::work
