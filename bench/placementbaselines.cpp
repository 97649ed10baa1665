#include "placementbaselines.h"

namespace geraniumpaddle::bench {

namespace {

class first_fit_strategy final : public scheduling_strategy {
public:
  double rank(const job_profile &Job) const override {
    return -Job.WaitedSeconds;
  }
  double fitCost(const worker_fit &) const override { return 0; }
  std::chrono::seconds starvationThreshold(const job_profile &) const override {
    return std::chrono::hours{1'000'000};
  }
  bool relocationPaysOff(const job_profile &, double, double) const override {
    return false;
  }
};

class best_fit_backfill_strategy final : public scheduling_strategy {
public:
  double rank(const job_profile &Job) const override {
    return -Job.WaitedSeconds;
  }
  double fitCost(const worker_fit &Fit) const override {
    return Fit.FreeBefore - Fit.Accelerators;
  }
  std::chrono::seconds starvationThreshold(const job_profile &) const override {
    return std::chrono::seconds{0};
  }
  bool relocationPaysOff(const job_profile &, double, double) const override {
    return false;
  }
};

} // namespace

std::unique_ptr<const scheduling_strategy> makeFirstFit() {
  return std::make_unique<first_fit_strategy>();
}

std::unique_ptr<const scheduling_strategy> makeBestFitBackfill() {
  return std::make_unique<best_fit_backfill_strategy>();
}

} // namespace geraniumpaddle::bench
