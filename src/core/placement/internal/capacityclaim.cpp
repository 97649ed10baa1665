#include "core/placement/capacityaccount.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

void capacity_account::held_attempt::updateFlags() {
  Borrowed = false;
  Guaranteed = false;
  for (const held_task &Task : Tasks) {
    Guaranteed |= Task.Guaranteed;
    Borrowed |= Task.Accelerators != 0 && !Task.Guaranteed;
  }
}

capacity_check capacity_account::claim(const capacity_claim &Claim,
                                       std::span<const fencing_token> Victims) {
  bool WasKnown = CustomerIndex.contains(Claim.Customer);
  customer_index Customer = internCustomer(Claim.Customer);
  undo_log UndoLog;
  capacity_check Check = tryClaim(Claim, Victims, Customer, UndoLog);
  if (Check == capacity_check::Ok)
    return Check;
  rollBack(UndoLog, Customer);
  if (!WasKnown) {
    CustomerIndex.erase(Claim.Customer);
    Customers.pop_back();
  }
  return Check;
}

void capacity_account::release(fencing_token Token) {
  undo_log UnusedUndo;
  releaseWithUndo(Token, UnusedUndo);
}

void capacity_account::releaseWithUndo(fencing_token Token, undo_log &UndoLog) {
  auto Found = Attempts.find(Token);
  if (Found == Attempts.end())
    return;
  const held_attempt &Attempt =
      UndoLog.ReleasedAttempts.emplace_back(Token, std::move(Found->second))
          .second;
  Attempts.erase(Found);
  for (const held_task &Task : Attempt.Tasks)
    markFree(Attempt.Customer, Task);
  if (!Attempt.Guaranteed)
    return;
  for (const held_task &Task : Attempt.Tasks)
    unbindIfUnused(Task.Worker, Task.Accelerators, UndoLog);
}

void capacity_account::rollBack(const undo_log &UndoLog,
                                customer_index Customer) {
  for (const held_task &Task : UndoLog.AllocatedTasks)
    markFree(Customer, Task);
  undo_log UnusedUndo;
  for (const held_task &Task : UndoLog.AllocatedTasks)
    unbindIfUnused(Task.Worker, Task.Accelerators, UnusedUndo);
  for (const auto &[Key, Owner] : UndoLog.UnboundCells)
    bind(Key, Owner);
  for (const auto &[Token, Attempt] : UndoLog.ReleasedAttempts) {
    for (const held_task &Task : Attempt.Tasks)
      markAllocated(Token, Attempt.Customer, Task);
    Attempts.emplace(Token, Attempt);
  }
}

capacity_check
capacity_account::tryClaim(const capacity_claim &Claim,
                           std::span<const fencing_token> Victims,
                           customer_index Customer, undo_log &UndoLog) {
  if (Attempts.contains(Claim.Token))
    return capacity_check::CapacityTaken;
  held_attempt Attempt;
  Attempt.Customer = Customer;
  capacity_check Check = resolve(Claim, Attempt);
  if (Check == capacity_check::Ok)
    Check = checkBorrowed(Attempt);
  cell_counts Before = shortfallByLevel();
  if (Check == capacity_check::Ok)
    Check = releaseVictims(Customer, Victims, UndoLog);
  for (const held_task &Task : Attempt.Tasks)
    if (Check == capacity_check::Ok)
      Check = allocateTask(Claim.Token, Customer, Task, UndoLog);
  if (Check == capacity_check::Ok)
    Check = checkLimitAndGuarantees(Customer, Before);
  if (Check == capacity_check::Ok)
    Attempts.emplace(Claim.Token, std::move(Attempt));
  return Check;
}

capacity_check
capacity_account::checkLimitAndGuarantees(customer_index Customer,
                                          const cell_counts &Before) const {
  std::int32_t Limit = Customers[Customer].Config.MaxAccelerators;
  if (Limit > 0 && Customers[Customer].HeldAccelerators > Limit)
    return capacity_check::CustomerLimitExceeded;
  cell_counts After = shortfallByLevel();
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
  Attempt.updateFlags();
  bool Mixed = Attempt.Borrowed && Attempt.Guaranteed;
  return Mixed ? capacity_check::GuaranteeViolated : capacity_check::Ok;
}

capacity_check capacity_account::resolveTask(const task_assignment &Assignment,
                                             std::span<const resources> Needs,
                                             held_attempt &Attempt) const {
  std::optional<topology_index> Worker = Topology->find(Assignment.Worker);
  if (!Worker)
    return capacity_check::UnknownWorker;
  if (!Allocations[*Worker].Usable)
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

capacity_check
capacity_account::checkBorrowed(const held_attempt &Attempt) const {
  if (!Attempt.Borrowed)
    return capacity_check::Ok;
  cell_counts Shortfall = shortfallByLevel();
  for (const held_task &Task : Attempt.Tasks) {
    if (Task.Guaranteed || Task.Accelerators == 0)
      continue;
    cell_level Level = levelFor(std::popcount(Task.Accelerators));
    bool TakesWholeWorker =
        Task.Accelerators == Topology->worker(Task.Worker).Accelerators;
    if (Shortfall[indexOf(Level)] > 0 ||
        (TakesWholeWorker && Shortfall[indexOf(cell_level::Worker)] > 0))
      return capacity_check::GuaranteeViolated;
  }
  return capacity_check::Ok;
}

capacity_check
capacity_account::releaseVictims(customer_index Customer,
                                 std::span<const fencing_token> Victims,
                                 undo_log &UndoLog) {
  for (fencing_token Victim : Victims) {
    auto Found = Attempts.find(Victim);
    if (Found == Attempts.end())
      continue;
    if (Found->second.Guaranteed && Found->second.Customer != Customer)
      return capacity_check::GuaranteeViolated;
    releaseWithUndo(Victim, UndoLog);
  }
  return capacity_check::Ok;
}

capacity_check capacity_account::allocateTask(fencing_token Token,
                                              customer_index Customer,
                                              const held_task &Task,
                                              undo_log &UndoLog) {
  bool HostOnly = Task.Accelerators == 0;
  if (HostOnly && !freeHost(Task.Worker).covers(Task.Need))
    return capacity_check::CapacityTaken;
  if ((Allocations[Task.Worker].Used & Task.Accelerators) != 0)
    return capacity_check::CapacityTaken;
  markAllocated(Token, Customer, Task);
  UndoLog.AllocatedTasks.push_back(Task);
  if (Task.Guaranteed && !bindTask(Customer, Task))
    return capacity_check::GuaranteeViolated;
  return capacity_check::Ok;
}

void capacity_account::markAllocated(fencing_token Token,
                                     customer_index Customer,
                                     const held_task &Task) {
  worker_allocation &Allocation = Allocations[Task.Worker];
  if (Task.Accelerators == 0) {
    Allocation.HostUsed += Task.Need;
    return;
  }
  Allocation.Used |= Task.Accelerators;
  if (Task.Guaranteed)
    Allocation.GuaranteedUse |= Task.Accelerators;
  for (accelerator_mask Remaining = Task.Accelerators; Remaining != 0;
       Remaining &= Remaining - 1)
    Allocation.Holder[std::countr_zero(Remaining)] = Token;
  Customers[Customer].HeldAccelerators += std::popcount(Task.Accelerators);
}

void capacity_account::markFree(customer_index Customer,
                                const held_task &Task) {
  worker_allocation &Allocation = Allocations[Task.Worker];
  if (Task.Accelerators == 0) {
    Allocation.HostUsed -= Task.Need;
    return;
  }
  Allocation.Used &= ~Task.Accelerators;
  if (Task.Guaranteed)
    Allocation.GuaranteedUse &= ~Task.Accelerators;
  for (accelerator_mask Remaining = Task.Accelerators; Remaining != 0;
       Remaining &= Remaining - 1)
    Allocation.Holder[std::countr_zero(Remaining)] = fencing_token{};
  Customers[Customer].HeldAccelerators -= std::popcount(Task.Accelerators);
}

} // namespace geraniumpaddle
