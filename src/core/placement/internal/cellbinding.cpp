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
capacity_account::bindingAt(topology_index Worker, int Accelerator) const {
  for (int Level = 0; Level < CellLevels; ++Level) {
    cell_key Key = cellAt(static_cast<cell_level>(Level), Worker, Accelerator);
    if (Bindings.contains(Key))
      return Key;
  }
  return std::nullopt;
}

std::vector<capacity_account::cell_key>
capacity_account::cellsOn(topology_index Worker) const {
  std::vector<cell_key> Cells;
  accelerator_mask Left = Slots[Worker].Bound;
  while (Left != 0) {
    std::optional<cell_key> Key = bindingAt(Worker, std::countr_zero(Left));
    if (!Key)
      break;
    Cells.push_back(*Key);
    Left &= ~cellMask(*Key, Worker);
  }
  return Cells;
}

bool capacity_account::cellUnbound(const cell_key &Key) const {
  for (topology_index Worker : cellWorkers(Key))
    if ((Slots[Worker].Bound & cellMask(Key, Worker)) != 0)
      return false;
  return true;
}

bool capacity_account::cellUsable(const cell_key &Key) const {
  for (topology_index Worker : cellWorkers(Key))
    if (Slots[Worker].Usable && Topology->worker(Worker).Accelerators != 0)
      return true;
  return false;
}

bool capacity_account::cellInUse(const cell_key &Key) const {
  for (topology_index Worker : cellWorkers(Key))
    if ((Slots[Worker].GuaranteedUse & cellMask(Key, Worker)) != 0)
      return true;
  return false;
}

void capacity_account::countBound(const cell_key &Key, customer_index Customer,
                                  std::int32_t Sign) {
  if (!cellUsable(Key))
    return;
  Customers[Customer].BoundUsable[indexOf(Key.Level)] += Sign;
  Needed[indexOf(Key.Level)] -= Sign;
}

void capacity_account::bind(const cell_key &Key, customer_index Customer) {
  Bindings.emplace(Key, Customer);
  ++Customers[Customer].Bound[indexOf(Key.Level)];
  countBound(Key, Customer, 1);
  for (topology_index Worker : cellWorkers(Key))
    Slots[Worker].Bound |= cellMask(Key, Worker);
  refreshRack(Topology->worker(cellWorkers(Key).front()).Rack);
}

void capacity_account::unbind(const cell_key &Key) {
  auto Found = Bindings.find(Key);
  countBound(Key, Found->second, -1);
  --Customers[Found->second].Bound[indexOf(Key.Level)];
  Bindings.erase(Found);
  for (topology_index Worker : cellWorkers(Key))
    Slots[Worker].Bound &= ~cellMask(Key, Worker);
  refreshRack(Topology->worker(cellWorkers(Key).front()).Rack);
}

void capacity_account::unbindIfUnused(topology_index Worker,
                                      accelerator_mask Mask, undo_log &Undo) {
  Mask &= Slots[Worker].Bound;
  while (Mask != 0) {
    std::optional<cell_key> Key = bindingAt(Worker, std::countr_zero(Mask));
    if (!Key)
      return;
    Mask &= ~cellMask(*Key, Worker);
    if (cellInUse(*Key))
      continue;
    Undo.Unbound.emplace_back(*Key, Bindings.at(*Key));
    unbind(*Key);
  }
}

bool capacity_account::bindFor(customer_index Customer, topology_index Worker,
                               accelerator_mask Buddy) {
  int Size = std::popcount(Buddy);
  int First = std::countr_zero(Buddy);
  accelerator_mask Whole = Topology->worker(Worker).Accelerators;
  for (int Step = static_cast<int>(levelFor(Size)); Step < CellLevels; ++Step) {
    auto Level = static_cast<cell_level>(Step);
    cell_key Key = cellAt(Level, Worker, First);
    bool Inside = (cellMask(Key, Worker) & ~Whole) == 0;
    if (!Inside || unbound(Customer, Level) <= 0 || !cellUnbound(Key))
      continue;
    bind(Key, Customer);
    return true;
  }
  if (Size == 1)
    return false;
  accelerator_mask Low = Buddy & (Buddy >> (Size / 2));
  return bindFor(Customer, Worker, Low) &&
         ((Buddy & ~Low & ~Slots[Worker].Bound) == 0 ||
          bindFor(Customer, Worker, Buddy & ~Low));
}

bool capacity_account::bindAll(customer_index Customer, const held_task &Task) {
  accelerator_mask Foreign =
      Slots[Task.Worker].Bound & ~boundMask(Task.Worker, Customer);
  if ((Task.Accelerators & Foreign) != 0)
    return false;
  accelerator_mask Left = Task.Accelerators & ~Slots[Task.Worker].Bound;
  while (Left != 0) {
    if (!bindFor(Customer, Task.Worker, largestBuddy(Left)))
      return false;
    Left &= ~Slots[Task.Worker].Bound;
  }
  return true;
}

void capacity_account::demote(const cell_key &Key) {
  undo_log Ignored;
  for (auto &[Token, Attempt] : Attempts) {
    bool Inside =
        std::ranges::any_of(Attempt.Tasks, [&](const held_task &Task) {
          return liesIn(Task, Key);
        });
    if (!Inside)
      continue;
    for (held_task &Task : Attempt.Tasks) {
      if (Task.Guaranteed)
        Slots[Task.Worker].GuaranteedUse &= ~Task.Accelerators;
      Task.Guaranteed = false;
    }
    Attempt.countFlags();
    for (const held_task &Task : Attempt.Tasks)
      unbindIfUnused(Task.Worker, Task.Accelerators, Ignored);
  }
  if (Bindings.contains(Key))
    unbind(Key);
}

bool capacity_account::liesIn(const held_task &Task,
                              const cell_key &Key) const {
  return Task.Guaranteed &&
         std::ranges::count(cellWorkers(Key), Task.Worker) != 0 &&
         (Task.Accelerators & cellMask(Key, Task.Worker)) != 0;
}

} // namespace geraniumpaddle
