#include "core/placement/cellcounts.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

namespace {

constexpr int LargestBuddy = 8;

/// Accelerators whose aligned group of \p Size lies wholly in \p Mask, marked
/// at the first of the group.
accelerator_mask groupStarts(accelerator_mask Mask, int Size) {
  accelerator_mask Starts = Mask;
  for (int Half = 1; Half < Size; Half *= 2)
    Starts &= Starts >> Half;
  constexpr accelerator_mask Aligned[] = {0xffffffffU, 0x55555555U, 0x11111111U,
                                          0x01010101U};
  return Starts & Aligned[std::countr_zero(static_cast<unsigned>(Size))];
}

accelerator_mask widen(accelerator_mask Starts, int Size) {
  for (int Half = 1; Half < Size; Half *= 2)
    Starts |= Starts << Half;
  return Starts;
}

} // namespace

cell_counts buddiesOf(accelerator_mask Mask) {
  cell_counts Counts{};
  for (int Size = LargestBuddy; Size >= 1; Size /= 2) {
    accelerator_mask Starts = groupStarts(Mask, Size);
    Counts[indexOf(levelFor(Size))] = std::popcount(Starts);
    Mask &= ~widen(Starts, Size);
  }
  return Counts;
}

accelerator_mask largestBuddy(accelerator_mask Mask) {
  for (int Size = LargestBuddy; Size >= 1; Size /= 2) {
    accelerator_mask Starts = groupStarts(Mask, Size);
    if (Starts != 0)
      return widen(Starts & (~Starts + 1), Size);
  }
  return 0;
}

void packing_counts::add(topology_index Rack, std::int32_t Sign) {
  const rack_counts &Counts = Racks[Rack];
  for (std::uint8_t Size : Counts.WholeSizes)
    Whole[Size] += Sign;
  for (std::size_t Level = 0; Level < Buddies.size(); ++Level)
    Buddies[Level] += Sign * Counts.Buddies[Level];
  if (!Counts.Unbound)
    return;
  rack_order Order{Counts.Workers, Counts.Accelerators, Rack};
  auto Place =
      std::lower_bound(UnboundRacks.begin(), UnboundRacks.end(), Order);
  if (Sign > 0)
    UnboundRacks.insert(Place, Order);
  else
    UnboundRacks.erase(Place);
}

void packing_counts::setRack(topology_index Rack,
                             std::span<const accelerator_mask> Unbound,
                             std::span<const accelerator_mask> Wholes,
                             bool Blocked) {
  if (Rack >= Racks.size())
    Racks.resize(Rack + 1);
  add(Rack, -1);
  rack_counts Counts;
  Counts.Workers = static_cast<std::int32_t>(Wholes.size());
  for (std::size_t Index = 0; Index < Wholes.size(); ++Index) {
    int Size = std::popcount(Wholes[Index]);
    Counts.Accelerators += Size;
    if (Unbound[Index] == Wholes[Index]) {
      Counts.WholeSizes.push_back(static_cast<std::uint8_t>(Size));
      continue;
    }
    cell_counts Parts = buddiesOf(Unbound[Index]);
    for (std::size_t Level = 0; Level < Parts.size(); ++Level)
      Counts.Buddies[Level] += Parts[Level];
  }
  Counts.Unbound =
      !Blocked && !Wholes.empty() && Counts.WholeSizes.size() == Wholes.size();
  Racks[Rack] = std::move(Counts);
  add(Rack, 1);
}

cell_counts packing_counts::shortfall(const cell_counts &Needed) const {
  cell_counts Missing{};
  worker_histogram Left = Whole;
  cell_counts Free = Buddies;

  std::size_t RackNeed = Needed[indexOf(cell_level::Rack)];
  std::size_t Taken = std::min(RackNeed, UnboundRacks.size());
  Missing[indexOf(cell_level::Rack)] =
      static_cast<std::int32_t>(RackNeed - Taken);
  for (std::size_t Index = 0; Index < Taken; ++Index)
    for (std::uint8_t Size : Racks[UnboundRacks[Index].Rack].WholeSizes)
      --Left[Size];

  std::int32_t WorkerNeed = Needed[indexOf(cell_level::Worker)];
  for (std::size_t Size = 1; Size < Left.size(); ++Size) {
    std::int32_t Used = std::min(WorkerNeed, Left[Size]);
    WorkerNeed -= Used;
    if (Left[Size] == Used)
      continue;
    accelerator_mask All = ~accelerator_mask{0} >>
                           (MaxAcceleratorsPerWorker - static_cast<int>(Size));
    cell_counts Parts = buddiesOf(All);
    for (std::size_t Level = 0; Level < Parts.size(); ++Level)
      Free[Level] += (Left[Size] - Used) * Parts[Level];
  }
  Missing[indexOf(cell_level::Worker)] = WorkerNeed;

  for (std::size_t Level = indexOf(cell_level::Eight) + 1; Level-- > 0;) {
    std::int32_t Spare = Free[Level] - Needed[Level];
    Missing[Level] = std::max(0, -Spare);
    if (Level > 0 && Spare > 0)
      Free[Level - 1] += 2 * Spare;
  }
  return Missing;
}

} // namespace geraniumpaddle
