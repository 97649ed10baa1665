#pragma once

#include "core/placement/topology.h"
#include "core/placement/types/shapes.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Number of cells by level.
using cell_counts = std::array<std::int32_t, CellLevels>;

constexpr std::size_t indexOf(cell_level Level) {
  return static_cast<std::size_t>(Level);
}

/// Accelerators in a buddy cell; meaningful for One to Eight.
constexpr int buddySize(cell_level Level) {
  return 1 << static_cast<int>(Level);
}

/// Smallest level of One to Eight that holds \p Accelerators; Worker if none.
constexpr cell_level levelFor(int Accelerators) {
  if (Accelerators <= 1)
    return cell_level::One;
  if (Accelerators <= 2)
    return cell_level::Two;
  if (Accelerators <= 4)
    return cell_level::Four;
  return Accelerators <= 8 ? cell_level::Eight : cell_level::Worker;
}

/// Number of aligned buddies per level in \p Mask, the largest first.
cell_counts buddiesOf(accelerator_mask Mask);

/// Largest aligned buddy within \p Mask, the lowest one of that size; 0 if the
/// mask is empty.
accelerator_mask largestBuddy(accelerator_mask Mask);

/// Unbound cells of the usable workers by level, kept per rack, so that a
/// check of all guarantees is a walk over levels.
class packing_counts {
public:
  /// Replaces what is known of one rack. \p Unbound holds the unbound
  /// accelerators of each usable worker that has any accelerator, \p Whole all
  /// accelerators of the same worker. A rack that is \p Blocked gives no Rack
  /// cell, whatever its usable workers say.
  void setRack(topology_index Rack, std::span<const accelerator_mask> Unbound,
               std::span<const accelerator_mask> Wholes, bool Blocked);

  /// Cells per level that cannot be packed out of \p Needed.
  cell_counts shortfall(const cell_counts &Needed) const;

  friend bool operator==(const packing_counts &,
                         const packing_counts &) = default;

private:
  /// Whole unbound workers by number of accelerators.
  using worker_histogram =
      std::array<std::int32_t, MaxAcceleratorsPerWorker + 1>;
  struct rack_counts {
    bool Unbound = false; ///< every worker of the rack is wholly unbound
    std::int32_t Workers = 0;
    std::int32_t Accelerators = 0;
    std::vector<std::uint8_t> WholeSizes; ///< of each wholly unbound worker
    cell_counts Buddies{};                ///< of partly bound workers

    friend bool operator==(const rack_counts &, const rack_counts &) = default;
  };
  struct rack_order {
    std::int32_t Workers = 0;
    std::int32_t Accelerators = 0;
    topology_index Rack = 0;

    friend auto operator<=>(const rack_order &, const rack_order &) = default;
  };

  void add(topology_index Rack, std::int32_t Sign);

  std::vector<rack_counts> Racks;
  std::vector<rack_order> UnboundRacks; ///< sorted, the smallest first
  worker_histogram Whole{};             ///< over all racks
  cell_counts Buddies{};                ///< over all racks
};

} // namespace geraniumpaddle
