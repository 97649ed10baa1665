#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace geraniumpaddle {

/// Sizes of the cells in which capacity is guaranteed and allocated. One to
/// Eight are aligned groups of that many accelerators of one worker, as in a
/// buddy allocator; Worker is a whole worker; Rack is every worker of a rack.
enum class cell_level : std::uint8_t { One, Two, Four, Eight, Worker, Rack };
constexpr int CellLevels = 6;

/// Topology domain that all tasks of a gang have to share.
enum class adjacency : std::uint8_t { Any, Region, Zone, Rack, Worker };

/// Number of cells of one level that a customer is guaranteed.
struct guarantee {
  cell_level Level = cell_level::One;
  std::int32_t Count = 0;

  friend auto operator<=>(const guarantee &, const guarantee &) = default;
};

/// Location and capacity of a worker.
struct worker_info {
  worker_id Id;
  region_id Region;
  availability_zone_id Zone;
  rack_id Rack;
  resources Capacity;

  friend auto operator<=>(const worker_info &, const worker_info &) = default;
};

/// Set of accelerators of one worker; bit i is accelerator i.
using accelerator_mask = std::uint32_t;

/// One task of a gang on one worker.
struct task_assignment {
  std::uint32_t Task = 0; ///< index into the job's tasks
  worker_id Worker;
  accelerator_mask Accelerators = 0; ///< 0 for a task without accelerators
  bool Guaranteed = false; ///< within the customer's guarantee; else borrowed

  friend auto operator<=>(const task_assignment &,
                          const task_assignment &) = default;
};

} // namespace geraniumpaddle
