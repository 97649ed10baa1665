#include "core/placement/internal/cellsimulation.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace geraniumpaddle {

namespace {

constexpr double Impossible = std::numeric_limits<double>::infinity();

/// Prefers to split the larger of two racks: the smaller ones are the cheapest
/// way to keep whole racks guaranteed.
constexpr double RackSizeGain = 0.001;

accelerator_mask alignedAround(accelerator_mask Buddy, int Size) {
  int First = std::countr_zero(Buddy) / Size * Size;
  return ((accelerator_mask{1} << Size) - 1) << First;
}

} // namespace

cell_simulation::cell_simulation(const capacity_account &Account,
                                 const guaranteed_cells &Cells,
                                 std::span<const topology_index> Group)
    : Topology(Account.workers()), Group(Group), Unbound(Cells.Unbound) {
  std::size_t Position = 0;
  for (topology_index Worker : Group) {
    Own.push_back(Cells.Own[Worker]);
    Bound.push_back(Account.boundMask(Worker));
    topology_index Rack = Topology.worker(Worker).Rack;
    bool Repeated =
        Position > 0 && Topology.worker(Group[Position - 1]).Rack == Rack;
    ++Position;
    if (Repeated) {
      RackUnbound.push_back(RackUnbound.back());
      UsableInRack.push_back(UsableInRack.back());
      continue;
    }
    const std::vector<topology_index> &InRack = Topology.rack(Rack).Workers;
    RackUnbound.push_back(
        std::ranges::all_of(InRack, [&](topology_index Other) {
          return Account.boundMask(Other) == 0;
        }));
    UsableInRack.push_back(static_cast<double>(std::ranges::count_if(
        InRack, [&](topology_index Other) { return Account.usable(Other); })));
  }
}

cell_level cell_simulation::enclosing(std::size_t Position,
                                      accelerator_mask Buddy) const {
  if (RackUnbound[Position])
    return cell_level::Rack;
  if (Bound[Position] == 0)
    return cell_level::Worker;
  accelerator_mask Free =
      Topology.worker(Group[Position]).Accelerators & ~Bound[Position];
  cell_level Level = levelFor(std::popcount(Buddy));
  while (Level < cell_level::Eight) {
    auto Larger = static_cast<cell_level>(static_cast<int>(Level) + 1);
    if ((alignedAround(Buddy, buddySize(Larger)) & ~Free) != 0)
      break;
    Level = Larger;
  }
  return Level;
}

bool cell_simulation::choose(std::size_t Position, accelerator_mask Buddy,
                             const cell_counts &Available,
                             binding &Binding) const {
  accelerator_mask Whole = Topology.worker(Group[Position]).Accelerators;
  int Size = std::popcount(Buddy);
  Binding.Enclosing = enclosing(Position, Buddy);
  for (int Step = static_cast<int>(levelFor(Size)); Step < CellLevels; ++Step) {
    Binding.Level = static_cast<cell_level>(Step);
    if (Available[indexOf(Binding.Level)] <= 0 ||
        Binding.Level > Binding.Enclosing)
      continue;
    Binding.Covered = Whole;
    if (Binding.Level < cell_level::Worker)
      Binding.Covered = alignedAround(Buddy, buddySize(Binding.Level));
    if ((Binding.Covered & ~Whole) == 0)
      return true;
  }
  if (Size == 1)
    return false;
  accelerator_mask LowHalf = Buddy & (Buddy >> (Size / 2));
  return choose(Position, LowHalf, Available, Binding);
}

double cell_simulation::cost(std::size_t Position,
                             accelerator_mask Mask) const {
  accelerator_mask Left = Mask & ~Own[Position];
  if ((Left & Bound[Position]) != 0)
    return Impossible;
  double Cost = 0;
  cell_counts Available = Unbound;
  while (Left != 0) {
    binding Binding;
    if (!choose(Position, largestBuddy(Left), Available, Binding))
      return Impossible;
    --Available[indexOf(Binding.Level)];
    Cost += 1 + static_cast<double>(Binding.Enclosing);
    if (Binding.Enclosing == cell_level::Rack)
      Cost -= RackSizeGain * UsableInRack[Position];
    Left &= ~Binding.Covered;
  }
  return Cost;
}

bool cell_simulation::take(std::size_t Position, accelerator_mask Mask) {
  accelerator_mask Left = Mask & ~Own[Position];
  bool Binds = Left != 0;
  while (Left != 0) {
    binding Binding;
    if (!choose(Position, largestBuddy(Left), Unbound, Binding))
      break;
    bind(Position, Binding);
    Left &= ~Own[Position];
  }
  return Binds;
}

void cell_simulation::bind(std::size_t Position, const binding &Binding) {
  --Unbound[indexOf(Binding.Level)];
  topology_index Rack = Topology.worker(Group[Position]).Rack;
  Own[Position] |= Binding.Covered;
  Bound[Position] |= Binding.Covered;
  for (std::size_t Other = 0; Other < Group.size(); ++Other) {
    const worker_node &Node = Topology.worker(Group[Other]);
    if (Node.Rack != Rack)
      continue;
    RackUnbound[Other] = false;
    if (Binding.Level != cell_level::Rack)
      continue;
    Own[Other] = Node.Accelerators;
    Bound[Other] = Node.Accelerators;
  }
}

} // namespace geraniumpaddle
