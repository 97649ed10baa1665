#pragma once

#include "core/placement/topology.h"
#include "core/placement/types/placementtypes.h"

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

/// Smallest level of One to Eight that holds \p Accelerators; Worker if none
/// does.
constexpr cell_level levelFor(int Accelerators) {
  if (Accelerators <= 1)
    return cell_level::One;
  if (Accelerators <= 2)
    return cell_level::Two;
  if (Accelerators <= 4)
    return cell_level::Four;
  return Accelerators <= 8 ? cell_level::Eight : cell_level::Worker;
}

/// Number of buddies per level when \p Mask is split into aligned buddies, the
/// largest first.
cell_counts countBuddies(accelerator_mask Mask);

/// Largest aligned buddy within \p Mask. Of several of that size, the one with
/// the lowest accelerators; 0 if the mask is empty.
accelerator_mask largestBuddy(accelerator_mask Mask);

/// Unbound cells of the usable workers by level, with one summary per rack, so
/// that checking whether all guarantees pack takes one loop over the levels.
class packing_counts {
public:
  /// Replaces the summary of one rack. For each usable worker with
  /// accelerators, \p UnboundMasks holds its unbound accelerators and
  /// \p AcceleratorMasks all of its accelerators. A rack with
  /// \p HasBoundCells provides no Rack cell, even if all its usable workers are
  /// unbound.
  void setRack(topology_index Rack,
               std::span<const accelerator_mask> UnboundMasks,
               std::span<const accelerator_mask> AcceleratorMasks,
               bool HasBoundCells);

  /// Number of cells per level of \p Needed that cannot be packed.
  cell_counts shortfall(const cell_counts &Needed) const;

  friend bool operator==(const packing_counts &,
                         const packing_counts &) = default;

private:
  /// Entirely unbound workers by number of accelerators.
  using worker_size_histogram =
      std::array<std::int32_t, MaxAcceleratorsPerWorker + 1>;
  struct rack_counts {
    bool EntirelyUnbound = false; ///< can be taken as a Rack cell
    std::int32_t Workers = 0;
    std::int32_t Accelerators = 0;
    /// Number of accelerators of each entirely unbound worker.
    std::vector<std::uint8_t> UnboundWorkerSizes;
    cell_counts Buddies{}; ///< unbound, of partly bound workers

    friend bool operator==(const rack_counts &, const rack_counts &) = default;
  };
  struct rack_sort_key {
    std::int32_t Workers = 0;
    std::int32_t Accelerators = 0;
    topology_index Rack = 0;

    friend auto operator<=>(const rack_sort_key &,
                            const rack_sort_key &) = default;
  };

  /// Adds the summary of \p Rack to the totals, or subtracts it if \p Sign is
  /// -1.
  void addToTotals(topology_index Rack, std::int32_t Sign);

  std::vector<rack_counts> Racks;
  std::vector<rack_sort_key> UnboundRacks; ///< sorted, the smallest first
  worker_size_histogram UnboundWorkers{};  ///< over all racks
  cell_counts Buddies{};                   ///< over all racks
};

} // namespace geraniumpaddle
