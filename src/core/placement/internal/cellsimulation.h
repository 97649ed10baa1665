#pragma once

#include "core/placement/capacityaccount.h"

#include <span>
#include <vector>

namespace geraniumpaddle {

/// What one customer's guarantee offers: its bound cells and the cells that it
/// may still bind.
struct guaranteed_cells {
  std::vector<accelerator_mask> Own; ///< accelerators in bound cells, by worker
  cell_counts Unbound{};
};

/// Follows, while a gang is planned, which cells its guaranteed tasks would
/// bind. Binding out of the smallest unbound cell that is large enough keeps
/// the other guarantees packed, so that is what a low cost means.
class cell_simulation {
public:
  /// Positions are those of the workers in \p Group.
  cell_simulation(const capacity_account &Account,
                  const guaranteed_cells &Cells,
                  std::span<const topology_index> Group);

  /// 0 inside bound cells; more, the larger the unbound cell that has to be
  /// split; infinite if no cell of the customer can hold \p Mask there.
  double cost(std::size_t Position, accelerator_mask Mask) const;
  /// Binds what \p Mask needs; its cost was finite. True if it bound a cell.
  bool take(std::size_t Position, accelerator_mask Mask);

private:
  struct binding {
    cell_level Level = cell_level::One;
    cell_level Enclosing = cell_level::One;
    accelerator_mask Covered = 0;
  };

  cell_level enclosing(std::size_t Position, accelerator_mask Buddy) const;
  bool choose(std::size_t Position, accelerator_mask Buddy,
              const cell_counts &Available, binding &Binding) const;
  void bind(std::size_t Position, const binding &Binding);

  const topology &Topology;
  std::span<const topology_index> Group;
  std::vector<accelerator_mask> Own;
  std::vector<accelerator_mask> Bound;
  std::vector<bool> RackUnbound;
  std::vector<double> UsableInRack; ///< workers
  cell_counts Unbound;
};

} // namespace geraniumpaddle
