#pragma once

#include "core/placement/capacityaccount.h"

#include <span>
#include <vector>

namespace geraniumpaddle {

/// The guaranteed cells of one customer: those bound, and the number of those
/// that it may still bind.
struct guaranteed_cells {
  std::vector<accelerator_mask> OwnMasks; ///< in its bound cells, by worker
  cell_counts UnboundCells{};
};

/// Tracks which cells the guaranteed tasks of a gang would bind while the gang
/// is planned. The cost grows with the size of the unbound cell that is split:
/// binding out of the smallest one that is large enough leaves larger cells for
/// the other guarantees.
class cell_simulation {
public:
  /// The positions of the other functions are indexes into \p Group.
  cell_simulation(const capacity_account &Account,
                  const guaranteed_cells &Cells,
                  std::span<const topology_index> Group);

  /// Cost of placing a task on \p Mask: 0 inside bound cells of the customer,
  /// higher the larger the unbound cell that has to be split, infinite if no
  /// cell of the customer can hold the task there.
  double cost(std::size_t Position, accelerator_mask Mask) const;
  /// Binds the cells that \p Mask needs; its cost has to be finite. Returns
  /// true if it bound a cell.
  bool allocate(std::size_t Position, accelerator_mask Mask);

private:
  struct binding {
    cell_level Level = cell_level::One;
    cell_level Enclosing = cell_level::One; ///< unbound cell that is split
    accelerator_mask CellMask = 0;
  };

  /// Level of the largest unbound cell around \p Buddy.
  cell_level enclosingLevel(std::size_t Position, accelerator_mask Buddy) const;
  /// Chooses the smallest available cell that holds \p Buddy, or else its lower
  /// half. Returns false if there is none.
  bool chooseCell(std::size_t Position, accelerator_mask Buddy,
                  const cell_counts &Available, binding &Binding) const;
  void bind(std::size_t Position, const binding &Binding);

  const topology &Topology;
  std::span<const topology_index> Group;
  std::vector<accelerator_mask> OwnMasks;
  std::vector<accelerator_mask> BoundMasks;
  std::vector<bool> RackUnbound;
  std::vector<double> UsableWorkersInRack;
  cell_counts UnboundCells;
};

} // namespace geraniumpaddle
