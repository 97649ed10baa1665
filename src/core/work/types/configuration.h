#pragma once

#include "core/work/types/job.h"

#include <string>
#include <vector>

namespace geraniumpaddle::work {

/// A queue and the host and path prefix under which callers reach it.
struct queue_route {
  std::string Host;
  std::string PathPrefix;
  bool Anonymous = false; ///< calls need no API key
  queue_policy Policy;
};

struct service_config {
  service_id Name;
  bool EnforcesCapacity = false; ///< its workers enforce their capacity
  bool Standby = false;          ///< its workers are switched off
};

struct customer_config {
  customer_id Name;
  std::vector<std::string> Keys;
  std::int32_t GuaranteedAccelerators = 0;
};

/// The complete configuration set by operators, at one version.
struct configuration {
  std::uint64_t Version = 0; ///< 0: none yet
  std::vector<queue_route> Routes;
  std::vector<service_config> Services;
  std::vector<customer_config> Customers;
};

} // namespace geraniumpaddle::work
