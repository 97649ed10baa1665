#include "core/placement/cellcounts.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

namespace {

constexpr int LargestBuddy = 8;

/// First accelerators of the aligned groups of \p Size that lie wholly in
/// \p Mask.
accelerator_mask groupStarts(accelerator_mask Mask, int Size) {
  accelerator_mask Starts = Mask;
  for (int Half = 1; Half < Size; Half *= 2)
    Starts &= Starts >> Half;
  constexpr accelerator_mask AlignedStarts[] = {0xffffffffU, 0x55555555U,
                                                0x11111111U, 0x01010101U};
  return Starts & AlignedStarts[std::countr_zero(static_cast<unsigned>(Size))];
}

/// Accelerators of the groups of \p Size that begin at \p Starts.
accelerator_mask expandGroups(accelerator_mask Starts, int Size) {
  for (int Half = 1; Half < Size; Half *= 2)
    Starts |= Starts << Half;
  return Starts;
}

} // namespace

cell_counts countBuddies(accelerator_mask Mask) {
  cell_counts Counts{};
  for (int Size = LargestBuddy; Size >= 1; Size /= 2) {
    accelerator_mask Starts = groupStarts(Mask, Size);
    Counts[indexOf(levelFor(Size))] = std::popcount(Starts);
    Mask &= ~expandGroups(Starts, Size);
  }
  return Counts;
}

accelerator_mask largestBuddy(accelerator_mask Mask) {
  for (int Size = LargestBuddy; Size >= 1; Size /= 2) {
    accelerator_mask Starts = groupStarts(Mask, Size);
    if (Starts != 0)
      return expandGroups(Starts & (~Starts + 1), Size);
  }
  return 0;
}

void packing_counts::addToTotals(topology_index Rack, std::int32_t Sign) {
  const rack_counts &Counts = Racks[Rack];
  for (std::uint8_t Size : Counts.UnboundWorkerSizes)
    UnboundWorkers[Size] += Sign;
  for (std::size_t Level = 0; Level < Buddies.size(); ++Level)
    Buddies[Level] += Sign * Counts.Buddies[Level];
  if (!Counts.EntirelyUnbound)
    return;
  rack_sort_key SortKey{Counts.Workers, Counts.Accelerators, Rack};
  auto Position =
      std::lower_bound(UnboundRacks.begin(), UnboundRacks.end(), SortKey);
  if (Sign > 0)
    UnboundRacks.insert(Position, SortKey);
  else
    UnboundRacks.erase(Position);
}

void packing_counts::setRack(topology_index Rack,
                             std::span<const accelerator_mask> UnboundMasks,
                             std::span<const accelerator_mask> AcceleratorMasks,
                             bool HasBoundCells) {
  if (Rack >= Racks.size())
    Racks.resize(Rack + 1);
  addToTotals(Rack, -1);
  rack_counts Counts;
  Counts.Workers = static_cast<std::int32_t>(AcceleratorMasks.size());
  for (std::size_t Index = 0; Index < AcceleratorMasks.size(); ++Index) {
    int Size = std::popcount(AcceleratorMasks[Index]);
    Counts.Accelerators += Size;
    if (UnboundMasks[Index] == AcceleratorMasks[Index]) {
      Counts.UnboundWorkerSizes.push_back(static_cast<std::uint8_t>(Size));
      continue;
    }
    cell_counts BuddyCounts = countBuddies(UnboundMasks[Index]);
    for (std::size_t Level = 0; Level < BuddyCounts.size(); ++Level)
      Counts.Buddies[Level] += BuddyCounts[Level];
  }
  Counts.EntirelyUnbound =
      !HasBoundCells && !AcceleratorMasks.empty() &&
      Counts.UnboundWorkerSizes.size() == AcceleratorMasks.size();
  Racks[Rack] = std::move(Counts);
  addToTotals(Rack, 1);
}

cell_counts packing_counts::shortfall(const cell_counts &Needed) const {
  cell_counts Missing{};
  worker_size_histogram WorkersLeft = UnboundWorkers;
  cell_counts Free = Buddies;

  std::size_t RackNeed = Needed[indexOf(cell_level::Rack)];
  std::size_t TakenRacks = std::min(RackNeed, UnboundRacks.size());
  Missing[indexOf(cell_level::Rack)] =
      static_cast<std::int32_t>(RackNeed - TakenRacks);
  for (std::size_t Index = 0; Index < TakenRacks; ++Index)
    for (std::uint8_t Size : Racks[UnboundRacks[Index].Rack].UnboundWorkerSizes)
      --WorkersLeft[Size];

  std::int32_t WorkerNeed = Needed[indexOf(cell_level::Worker)];
  for (std::size_t Size = 1; Size < WorkersLeft.size(); ++Size) {
    std::int32_t Used = std::min(WorkerNeed, WorkersLeft[Size]);
    WorkerNeed -= Used;
    if (WorkersLeft[Size] == Used)
      continue;
    accelerator_mask AllAccelerators =
        ~accelerator_mask{0} >>
        (MaxAcceleratorsPerWorker - static_cast<int>(Size));
    cell_counts BuddyCounts = countBuddies(AllAccelerators);
    for (std::size_t Level = 0; Level < BuddyCounts.size(); ++Level)
      Free[Level] += (WorkersLeft[Size] - Used) * BuddyCounts[Level];
  }
  Missing[indexOf(cell_level::Worker)] = WorkerNeed;

  for (std::size_t Level = indexOf(cell_level::Eight) + 1; Level-- > 0;) {
    std::int32_t Surplus = Free[Level] - Needed[Level];
    Missing[Level] = std::max(0, -Surplus);
    if (Level > 0 && Surplus > 0)
      Free[Level - 1] += 2 * Surplus;
  }
  return Missing;
}

} // namespace geraniumpaddle
