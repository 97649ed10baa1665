#include "core/placement/capacityaccount.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

capacity_account::cell_key capacity_account::cellAt(cell_level Level,
                                                    topology_index Worker,
                                                    int Accelerator) const {
  if (Level == cell_level::Rack)
    return {Level, Topology->worker(Worker).Rack, 0};
  if (Level == cell_level::Worker)
    return {Level, Worker, 0};
  auto Size = static_cast<std::uint32_t>(buddySize(Level));
  return {Level, Worker, static_cast<std::uint32_t>(Accelerator) / Size * Size};
}

accelerator_mask capacity_account::cellMask(const cell_key &Key,
                                            topology_index Worker) const {
  if (Key.Level >= cell_level::Worker)
    return Topology->worker(Worker).Accelerators;
  return ((accelerator_mask{1} << buddySize(Key.Level)) - 1) << Key.First;
}

std::span<const topology_index>
capacity_account::cellWorkers(const cell_key &Key) const {
  if (Key.Level == cell_level::Rack)
    return Topology->rack(Key.Unit).Workers;
  return {&Key.Unit, 1};
}

std::optional<capacity_account::cell_key>
capacity_account::boundCellAt(topology_index Worker, int Accelerator) const {
  for (int Level = 0; Level < CellLevels; ++Level) {
    cell_key Key = cellAt(static_cast<cell_level>(Level), Worker, Accelerator);
    if (Bindings.contains(Key))
      return Key;
  }
  return std::nullopt;
}

std::vector<capacity_account::cell_key>
capacity_account::boundCellsOn(topology_index Worker) const {
  std::vector<cell_key> Cells;
  accelerator_mask Remaining = Allocations[Worker].Bound;
  while (Remaining != 0) {
    std::optional<cell_key> Key =
        boundCellAt(Worker, std::countr_zero(Remaining));
    if (!Key)
      break;
    Cells.push_back(*Key);
    Remaining &= ~cellMask(*Key, Worker);
  }
  return Cells;
}

bool capacity_account::cellUnbound(const cell_key &Key) const {
  for (topology_index Worker : cellWorkers(Key))
    if ((Allocations[Worker].Bound & cellMask(Key, Worker)) != 0)
      return false;
  return true;
}

bool capacity_account::cellUsable(const cell_key &Key) const {
  for (topology_index Worker : cellWorkers(Key))
    if (Allocations[Worker].Usable &&
        Topology->worker(Worker).Accelerators != 0)
      return true;
  return false;
}

bool capacity_account::cellInUse(const cell_key &Key) const {
  for (topology_index Worker : cellWorkers(Key))
    if ((Allocations[Worker].GuaranteedUse & cellMask(Key, Worker)) != 0)
      return true;
  return false;
}

void capacity_account::adjustBoundCounts(const cell_key &Key,
                                         customer_index Customer,
                                         std::int32_t Sign) {
  if (!cellUsable(Key))
    return;
  Customers[Customer].BoundUsable[indexOf(Key.Level)] += Sign;
  UnboundGuaranteed[indexOf(Key.Level)] -= Sign;
}

void capacity_account::bind(const cell_key &Key, customer_index Customer) {
  Bindings.emplace(Key, Customer);
  ++Customers[Customer].Bound[indexOf(Key.Level)];
  adjustBoundCounts(Key, Customer, 1);
  for (topology_index Worker : cellWorkers(Key))
    Allocations[Worker].Bound |= cellMask(Key, Worker);
  updatePackingCounts(Topology->worker(cellWorkers(Key).front()).Rack);
}

void capacity_account::unbind(const cell_key &Key) {
  auto Found = Bindings.find(Key);
  adjustBoundCounts(Key, Found->second, -1);
  --Customers[Found->second].Bound[indexOf(Key.Level)];
  Bindings.erase(Found);
  for (topology_index Worker : cellWorkers(Key))
    Allocations[Worker].Bound &= ~cellMask(Key, Worker);
  updatePackingCounts(Topology->worker(cellWorkers(Key).front()).Rack);
}

void capacity_account::unbindIfUnused(topology_index Worker,
                                      accelerator_mask Mask,
                                      undo_log &UndoLog) {
  Mask &= Allocations[Worker].Bound;
  while (Mask != 0) {
    std::optional<cell_key> Key = boundCellAt(Worker, std::countr_zero(Mask));
    if (!Key)
      return;
    Mask &= ~cellMask(*Key, Worker);
    if (cellInUse(*Key))
      continue;
    UndoLog.UnboundCells.emplace_back(*Key, Bindings.at(*Key));
    unbind(*Key);
  }
}

bool capacity_account::bindBuddy(customer_index Customer, topology_index Worker,
                                 accelerator_mask Buddy) {
  int Size = std::popcount(Buddy);
  int First = std::countr_zero(Buddy);
  accelerator_mask AllAccelerators = Topology->worker(Worker).Accelerators;
  for (int LevelIndex = static_cast<int>(levelFor(Size));
       LevelIndex < CellLevels; ++LevelIndex) {
    auto Level = static_cast<cell_level>(LevelIndex);
    cell_key Key = cellAt(Level, Worker, First);
    bool Inside = (cellMask(Key, Worker) & ~AllAccelerators) == 0;
    if (!Inside || unbound(Customer, Level) <= 0 || !cellUnbound(Key))
      continue;
    bind(Key, Customer);
    return true;
  }
  if (Size == 1)
    return false;
  accelerator_mask LowHalf = Buddy & (Buddy >> (Size / 2));
  return bindBuddy(Customer, Worker, LowHalf) &&
         ((Buddy & ~LowHalf & ~Allocations[Worker].Bound) == 0 ||
          bindBuddy(Customer, Worker, Buddy & ~LowHalf));
}

bool capacity_account::bindTask(customer_index Customer,
                                const held_task &Task) {
  accelerator_mask BoundToOthers =
      Allocations[Task.Worker].Bound & ~boundMask(Task.Worker, Customer);
  if ((Task.Accelerators & BoundToOthers) != 0)
    return false;
  accelerator_mask Remaining =
      Task.Accelerators & ~Allocations[Task.Worker].Bound;
  while (Remaining != 0) {
    if (!bindBuddy(Customer, Task.Worker, largestBuddy(Remaining)))
      return false;
    Remaining &= ~Allocations[Task.Worker].Bound;
  }
  return true;
}

void capacity_account::demoteCell(const cell_key &Key) {
  undo_log UnusedUndo;
  for (auto &[Token, Attempt] : Attempts) {
    bool Inside =
        std::ranges::any_of(Attempt.Tasks, [&](const held_task &Task) {
          return overlapsCell(Task, Key);
        });
    if (!Inside)
      continue;
    for (held_task &Task : Attempt.Tasks) {
      if (Task.Guaranteed)
        Allocations[Task.Worker].GuaranteedUse &= ~Task.Accelerators;
      Task.Guaranteed = false;
    }
    Attempt.updateFlags();
    for (const held_task &Task : Attempt.Tasks)
      unbindIfUnused(Task.Worker, Task.Accelerators, UnusedUndo);
  }
  if (Bindings.contains(Key))
    unbind(Key);
}

bool capacity_account::overlapsCell(const held_task &Task,
                                    const cell_key &Key) const {
  return Task.Guaranteed &&
         std::ranges::count(cellWorkers(Key), Task.Worker) != 0 &&
         (Task.Accelerators & cellMask(Key, Task.Worker)) != 0;
}

} // namespace geraniumpaddle
