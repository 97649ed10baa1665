#pragma once

#include "core/placement/capacityaccount.h"
#include "core/placement/types/schedule.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace geraniumpaddle::bench {

/// One job of a replay.
struct replay_job {
  job_id Job;
  customer_id Customer;
  std::vector<resources> Needs;
  adjacency Adjacency = adjacency::Any;
  bool Urgent = false;
  time_point Arrival;
  std::chrono::seconds RunTime{0};  ///< true run time without preemption
  std::chrono::seconds Declared{0}; ///< estimate, often far from RunTime
  std::optional<time_point> Cancelled;
};

/// A cluster, its customers and a list of jobs.
struct workload {
  std::string_view Name;
  std::vector<worker_info> Workers;
  std::vector<customer_guarantees> Customers;
  std::vector<replay_job> Jobs; ///< in order of arrival
};

/// Eleven workers of eight accelerators in racks of three, and four customers.
/// \param MilliCores thousandths of a core per worker, which differ between the
///        users Swan Coast and Notti.
workload smallWorkload(std::string_view Name, std::int64_t MilliCores,
                       std::uint64_t Seed);

/// The target size: 850 workers, 46 customers, 790 jobs a day plus bursts,
/// about 14,000 tasks running.
workload targetWorkload(std::uint64_t Seed);

} // namespace geraniumpaddle::bench
