#include "core/placement/capacityaccount.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

void capacity_account::held_attempt::countFlags() {
  Borrowed = false;
  Guaranteed = false;
  for (const held_task &Task : Tasks) {
    Guaranteed |= Task.Guaranteed;
    Borrowed |= Task.Accelerators != 0 && !Task.Guaranteed;
  }
}

capacity_check capacity_account::claim(const capacity_claim &Claim,
                                       std::span<const fencing_token> Victims) {
  bool Known = CustomerIndex.contains(Claim.Customer);
  customer_index Customer = internCustomer(Claim.Customer);
  undo_log Undo;
  capacity_check Check = tryClaim(Claim, Victims, Customer, Undo);
  if (Check == capacity_check::Ok)
    return Check;
  rollBack(Undo, Customer);
  if (!Known) {
    CustomerIndex.erase(Claim.Customer);
    Customers.pop_back();
  }
  return Check;
}

void capacity_account::release(fencing_token Token) {
  undo_log Ignored;
  releaseLogged(Token, Ignored);
}

void capacity_account::releaseLogged(fencing_token Token, undo_log &Undo) {
  auto Found = Attempts.find(Token);
  if (Found == Attempts.end())
    return;
  const held_attempt &Attempt =
      Undo.Released.emplace_back(Token, std::move(Found->second)).second;
  Attempts.erase(Found);
  for (const held_task &Task : Attempt.Tasks)
    drop(Attempt.Customer, Task);
  if (!Attempt.Guaranteed)
    return;
  for (const held_task &Task : Attempt.Tasks)
    unbindIfUnused(Task.Worker, Task.Accelerators, Undo);
}

void capacity_account::rollBack(const undo_log &Undo, customer_index Customer) {
  for (const held_task &Task : Undo.Held)
    drop(Customer, Task);
  undo_log Ignored;
  for (const held_task &Task : Undo.Held)
    unbindIfUnused(Task.Worker, Task.Accelerators, Ignored);
  for (const auto &[Key, Owner] : Undo.Unbound)
    bind(Key, Owner);
  for (const auto &[Token, Attempt] : Undo.Released) {
    for (const held_task &Task : Attempt.Tasks)
      occupy(Token, Attempt.Customer, Task);
    Attempts.emplace(Token, Attempt);
  }
}

capacity_check
capacity_account::tryClaim(const capacity_claim &Claim,
                           std::span<const fencing_token> Victims,
                           customer_index Customer, undo_log &Undo) {
  if (Attempts.contains(Claim.Token))
    return capacity_check::CapacityTaken;
  held_attempt Attempt;
  Attempt.Customer = Customer;
  capacity_check Check = resolve(Claim, Attempt);
  if (Check == capacity_check::Ok)
    Check = checkLent(Attempt);
  cell_counts Before = shortByLevel();
  if (Check == capacity_check::Ok)
    Check = releaseVictims(Customer, Victims, Undo);
  for (const held_task &Task : Attempt.Tasks)
    if (Check == capacity_check::Ok)
      Check = hold(Claim.Token, Customer, Task, Undo);
  if (Check == capacity_check::Ok)
    Check = checkWhole(Customer, Before);
  if (Check == capacity_check::Ok)
    Attempts.emplace(Claim.Token, std::move(Attempt));
  return Check;
}

capacity_check capacity_account::checkWhole(customer_index Customer,
                                            const cell_counts &Before) const {
  std::int32_t Limit = Customers[Customer].Config.MaxAccelerators;
  if (Limit > 0 && Customers[Customer].Held > Limit)
    return capacity_check::OverOwnLimit;
  cell_counts After = shortByLevel();
  for (std::size_t Level = 0; Level < After.size(); ++Level)
    if (After[Level] > Before[Level])
      return capacity_check::GuaranteeViolated;
  return capacity_check::Ok;
}

capacity_check capacity_account::resolve(const capacity_claim &Claim,
                                         held_attempt &Attempt) const {
  Attempt.Tasks.reserve(Claim.Assignments.size());
  for (const task_assignment &Assignment : Claim.Assignments) {
    capacity_check Check = resolveTask(Assignment, Claim.Needs, Attempt);
    if (Check != capacity_check::Ok)
      return Check;
  }
  Attempt.countFlags();
  bool Mixed = Attempt.Borrowed && Attempt.Guaranteed;
  return Mixed ? capacity_check::GuaranteeViolated : capacity_check::Ok;
}

capacity_check capacity_account::resolveTask(const task_assignment &Assignment,
                                             std::span<const resources> Needs,
                                             held_attempt &Attempt) const {
  std::optional<topology_index> Worker = Topology->find(Assignment.Worker);
  if (!Worker)
    return capacity_check::UnknownWorker;
  if (!Slots[*Worker].Usable)
    return capacity_check::CapacityTaken;
  const worker_node &Node = Topology->worker(*Worker);
  if (Assignment.Task >= Needs.size() ||
      (Assignment.Accelerators & ~Node.Accelerators) != 0)
    return capacity_check::NeedNotCovered;
  const resources &Need = Needs[Assignment.Task];
  std::int32_t Count = std::popcount(Assignment.Accelerators);
  resources Given{Count, Count * Node.PerAccelerator.MilliCores,
                  Count * Node.PerAccelerator.MemoryMb};
  bool Covered = Count == 0 ? Need.Accelerators <= 0 : Given.covers(Need);
  if (!Covered)
    return capacity_check::NeedNotCovered;
  Attempt.Tasks.push_back({Assignment.Task, *Worker, Assignment.Accelerators,
                           Assignment.Guaranteed && Count > 0, Need});
  return capacity_check::Ok;
}

capacity_check capacity_account::checkLent(const held_attempt &Attempt) const {
  if (!Attempt.Borrowed)
    return capacity_check::Ok;
  cell_counts Short = shortByLevel();
  for (const held_task &Task : Attempt.Tasks) {
    if (Task.Guaranteed || Task.Accelerators == 0)
      continue;
    cell_level Level = levelFor(std::popcount(Task.Accelerators));
    bool Whole =
        Task.Accelerators == Topology->worker(Task.Worker).Accelerators;
    if (Short[indexOf(Level)] > 0 ||
        (Whole && Short[indexOf(cell_level::Worker)] > 0))
      return capacity_check::GuaranteeViolated;
  }
  return capacity_check::Ok;
}

capacity_check
capacity_account::releaseVictims(customer_index Customer,
                                 std::span<const fencing_token> Victims,
                                 undo_log &Undo) {
  for (fencing_token Victim : Victims) {
    auto Found = Attempts.find(Victim);
    if (Found == Attempts.end())
      continue;
    if (Found->second.Guaranteed && Found->second.Customer != Customer)
      return capacity_check::GuaranteeViolated;
    releaseLogged(Victim, Undo);
  }
  return capacity_check::Ok;
}

capacity_check capacity_account::hold(fencing_token Token,
                                      customer_index Customer,
                                      const held_task &Task, undo_log &Undo) {
  bool HostOnly = Task.Accelerators == 0;
  if (HostOnly && !freeHost(Task.Worker).covers(Task.Need))
    return capacity_check::CapacityTaken;
  if ((Slots[Task.Worker].Used & Task.Accelerators) != 0)
    return capacity_check::CapacityTaken;
  occupy(Token, Customer, Task);
  Undo.Held.push_back(Task);
  if (Task.Guaranteed && !bindAll(Customer, Task))
    return capacity_check::GuaranteeViolated;
  return capacity_check::Ok;
}

void capacity_account::occupy(fencing_token Token, customer_index Customer,
                              const held_task &Task) {
  worker_slot &Slot = Slots[Task.Worker];
  if (Task.Accelerators == 0) {
    Slot.HostUsed += Task.Need;
    return;
  }
  Slot.Used |= Task.Accelerators;
  if (Task.Guaranteed)
    Slot.GuaranteedUse |= Task.Accelerators;
  for (accelerator_mask Left = Task.Accelerators; Left != 0; Left &= Left - 1)
    Slot.Holder[std::countr_zero(Left)] = Token;
  Customers[Customer].Held += std::popcount(Task.Accelerators);
}

void capacity_account::drop(customer_index Customer, const held_task &Task) {
  worker_slot &Slot = Slots[Task.Worker];
  if (Task.Accelerators == 0) {
    Slot.HostUsed -= Task.Need;
    return;
  }
  Slot.Used &= ~Task.Accelerators;
  if (Task.Guaranteed)
    Slot.GuaranteedUse &= ~Task.Accelerators;
  for (accelerator_mask Left = Task.Accelerators; Left != 0; Left &= Left - 1)
    Slot.Holder[std::countr_zero(Left)] = fencing_token{};
  Customers[Customer].Held -= std::popcount(Task.Accelerators);
}

} // namespace geraniumpaddle
