#include "core/placement/internal/cellsimulation.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace geraniumpaddle {

namespace {

constexpr double Impossible = std::numeric_limits<double>::infinity();

/// Discount per usable worker of a rack that is split. Of two racks the larger
/// one is split, as guaranteed racks are packed onto the smallest racks first.
constexpr double RackSizeDiscount = 0.001;

accelerator_mask alignedGroup(accelerator_mask Buddy, int Size) {
  int First = std::countr_zero(Buddy) / Size * Size;
  return ((accelerator_mask{1} << Size) - 1) << First;
}

} // namespace

cell_simulation::cell_simulation(const capacity_account &Account,
                                 const guaranteed_cells &Cells,
                                 std::span<const topology_index> Group)
    : Topology(Account.workers()), Group(Group),
      UnboundCells(Cells.UnboundCells) {
  std::size_t Position = 0;
  for (topology_index Worker : Group) {
    OwnMasks.push_back(Cells.OwnMasks[Worker]);
    BoundMasks.push_back(Account.boundMask(Worker));
    topology_index Rack = Topology.worker(Worker).Rack;
    bool SameRackAsPrevious =
        Position > 0 && Topology.worker(Group[Position - 1]).Rack == Rack;
    ++Position;
    if (SameRackAsPrevious) {
      RackUnbound.push_back(RackUnbound.back());
      UsableWorkersInRack.push_back(UsableWorkersInRack.back());
      continue;
    }
    const std::vector<topology_index> &InRack = Topology.rack(Rack).Workers;
    RackUnbound.push_back(
        std::ranges::all_of(InRack, [&](topology_index Other) {
          return Account.boundMask(Other) == 0;
        }));
    UsableWorkersInRack.push_back(static_cast<double>(std::ranges::count_if(
        InRack, [&](topology_index Other) { return Account.usable(Other); })));
  }
}

cell_level cell_simulation::enclosingLevel(std::size_t Position,
                                           accelerator_mask Buddy) const {
  if (RackUnbound[Position])
    return cell_level::Rack;
  if (BoundMasks[Position] == 0)
    return cell_level::Worker;
  accelerator_mask Free =
      Topology.worker(Group[Position]).Accelerators & ~BoundMasks[Position];
  cell_level Level = levelFor(std::popcount(Buddy));
  while (Level < cell_level::Eight) {
    auto NextLevel = static_cast<cell_level>(static_cast<int>(Level) + 1);
    if ((alignedGroup(Buddy, buddySize(NextLevel)) & ~Free) != 0)
      break;
    Level = NextLevel;
  }
  return Level;
}

bool cell_simulation::chooseCell(std::size_t Position, accelerator_mask Buddy,
                                 const cell_counts &Available,
                                 binding &Binding) const {
  accelerator_mask AllAccelerators =
      Topology.worker(Group[Position]).Accelerators;
  int Size = std::popcount(Buddy);
  Binding.Enclosing = enclosingLevel(Position, Buddy);
  for (int LevelIndex = static_cast<int>(levelFor(Size));
       LevelIndex < CellLevels; ++LevelIndex) {
    Binding.Level = static_cast<cell_level>(LevelIndex);
    if (Available[indexOf(Binding.Level)] <= 0 ||
        Binding.Level > Binding.Enclosing)
      continue;
    Binding.CellMask = AllAccelerators;
    if (Binding.Level < cell_level::Worker)
      Binding.CellMask = alignedGroup(Buddy, buddySize(Binding.Level));
    if ((Binding.CellMask & ~AllAccelerators) == 0)
      return true;
  }
  if (Size == 1)
    return false;
  accelerator_mask LowHalf = Buddy & (Buddy >> (Size / 2));
  return chooseCell(Position, LowHalf, Available, Binding);
}

double cell_simulation::cost(std::size_t Position,
                             accelerator_mask Mask) const {
  accelerator_mask Remaining = Mask & ~OwnMasks[Position];
  if ((Remaining & BoundMasks[Position]) != 0)
    return Impossible;
  double Cost = 0;
  cell_counts Available = UnboundCells;
  while (Remaining != 0) {
    binding Binding;
    if (!chooseCell(Position, largestBuddy(Remaining), Available, Binding))
      return Impossible;
    --Available[indexOf(Binding.Level)];
    Cost += 1 + static_cast<double>(Binding.Enclosing);
    if (Binding.Enclosing == cell_level::Rack)
      Cost -= RackSizeDiscount * UsableWorkersInRack[Position];
    Remaining &= ~Binding.CellMask;
  }
  return Cost;
}

bool cell_simulation::allocate(std::size_t Position, accelerator_mask Mask) {
  accelerator_mask Remaining = Mask & ~OwnMasks[Position];
  bool BindsCell = Remaining != 0;
  while (Remaining != 0) {
    binding Binding;
    if (!chooseCell(Position, largestBuddy(Remaining), UnboundCells, Binding))
      break;
    bind(Position, Binding);
    Remaining &= ~OwnMasks[Position];
  }
  return BindsCell;
}

void cell_simulation::bind(std::size_t Position, const binding &Binding) {
  --UnboundCells[indexOf(Binding.Level)];
  topology_index Rack = Topology.worker(Group[Position]).Rack;
  OwnMasks[Position] |= Binding.CellMask;
  BoundMasks[Position] |= Binding.CellMask;
  for (std::size_t Other = 0; Other < Group.size(); ++Other) {
    const worker_node &Node = Topology.worker(Group[Other]);
    if (Node.Rack != Rack)
      continue;
    RackUnbound[Other] = false;
    if (Binding.Level != cell_level::Rack)
      continue;
    OwnMasks[Other] = Node.Accelerators;
    BoundMasks[Other] = Node.Accelerators;
  }
}

} // namespace geraniumpaddle
