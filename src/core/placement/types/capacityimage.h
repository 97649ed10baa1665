#pragma once

#include "core/base/types/ids.h"
#include "core/placement/types/placementtypes.h"

#include <cstdint>
#include <vector>

namespace geraniumpaddle {

/// Guarantees of one customer, as configured.
struct customer_guarantees {
  customer_id Customer;
  std::vector<guarantee> Guarantees;
  std::int32_t MaxAccelerators = 0; ///< 0: unlimited

  friend auto operator<=>(const customer_guarantees &,
                          const customer_guarantees &) = default;
};

/// One registered worker and whether its capacity is used.
struct worker_image {
  worker_info Info;
  bool Usable = true; ///< false: the account ignores its capacity

  friend auto operator<=>(const worker_image &, const worker_image &) = default;
};

/// A rack that some worker was registered in; it may have no workers any more.
struct rack_image {
  region_id Region;
  availability_zone_id Zone;
  rack_id Rack;

  friend auto operator<=>(const rack_image &, const rack_image &) = default;
};

/// Capacity that one attempt holds.
struct attempt_image {
  fencing_token Token{};
  customer_id Customer;
  std::vector<task_assignment> Assignments;
  /// Resources that each task needs, in the order of Assignments.
  std::vector<resources> Needs;

  friend auto operator<=>(const attempt_image &,
                          const attempt_image &) = default;
};

/// A guaranteed cell of a customer and the physical cell it is bound to.
struct bound_cell {
  customer_id Customer;
  cell_level Level = cell_level::One;
  /// Worker that contains the cell; for a rack any worker of that rack.
  worker_id Worker;
  std::uint32_t FirstAccelerator = 0; ///< 0 for Worker and Rack

  friend auto operator<=>(const bound_cell &, const bound_cell &) = default;
};

/// Full state of a capacity account as plain data, for snapshots.
struct capacity_image {
  std::vector<rack_image> Racks;     ///< in order of first appearance
  std::vector<worker_image> Workers; ///< in order of registration
  std::vector<customer_guarantees> Customers;
  std::vector<attempt_image> Attempts; ///< by token
  std::vector<bound_cell> Bound;

  friend auto operator<=>(const capacity_image &,
                          const capacity_image &) = default;
};

} // namespace geraniumpaddle
