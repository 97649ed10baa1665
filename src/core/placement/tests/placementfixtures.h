#pragma once

#include "core/placement/capacityaccount.h"

#include <string>

namespace geraniumpaddle {

constexpr int FixtureRackSize = 3;
constexpr resources FixtureWorkerCapacity{8, 128000, 256000};

/// Worker "wN" in rack "kM" of zone "z", with M = N / FixtureRackSize.
inline worker_info makeWorker(int Number) {
  worker_info Worker;
  Worker.Id = worker_id("w" + std::to_string(Number));
  Worker.Region = region_id("r");
  Worker.Zone = availability_zone_id("z");
  Worker.Rack = rack_id("k" + std::to_string(Number / FixtureRackSize));
  Worker.Capacity = FixtureWorkerCapacity;
  return Worker;
}

inline capacity_account makeAccount(int Workers) {
  capacity_account Account;
  for (int Number = 0; Number < Workers; ++Number)
    Account.registerWorker(makeWorker(Number));
  return Account;
}

inline customer_guarantees guarantees(const char *Customer, cell_level Level,
                                      int Count) {
  return {customer_id(Customer), {{Level, Count}}, 0};
}

} // namespace geraniumpaddle
