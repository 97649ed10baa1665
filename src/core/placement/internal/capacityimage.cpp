#include "core/base/error.h"
#include "core/placement/capacityaccount.h"

namespace geraniumpaddle {

capacity_image capacity_account::image() const {
  capacity_image Image;
  for (const rack_node &Rack : Topology->racks())
    Image.Racks.push_back({Rack.RegionId, Rack.ZoneId, Rack.Id});
  for (topology_index Index = 0; Index < Allocations.size(); ++Index)
    Image.Workers.push_back(
        {Topology->worker(Index).Info, Allocations[Index].Usable});
  for (const customer_allocation &Customer : Customers)
    Image.Customers.push_back(Customer.Config);
  for (const auto &[Token, Attempt] : Attempts) {
    attempt_image &AttemptImage = Image.Attempts.emplace_back();
    AttemptImage.Token = Token;
    AttemptImage.Customer = Customers[Attempt.Customer].Config.Customer;
    for (const held_task &Task : Attempt.Tasks) {
      AttemptImage.Assignments.push_back({Task.Task,
                                          Topology->worker(Task.Worker).Info.Id,
                                          Task.Accelerators, Task.Guaranteed});
      AttemptImage.Needs.push_back(Task.Need);
    }
  }
  for (const auto &[Key, Customer] : Bindings) {
    topology_index Worker = cellWorkers(Key).front();
    Image.Bound.push_back({Customers[Customer].Config.Customer, Key.Level,
                           Topology->worker(Worker).Info.Id, Key.First});
  }
  return Image;
}

capacity_account capacity_account::fromImage(const capacity_image &Image) {
  capacity_account Account;
  for (const rack_image &Rack : Image.Racks) {
    topology_index Index =
        Account.mutableTopology().addRack(Rack.Region, Rack.Zone, Rack.Rack);
    Account.updatePackingCounts(Index);
  }
  for (const worker_image &Worker : Image.Workers)
    Account.registerWorker(Worker.Info);
  for (const customer_guarantees &Config : Image.Customers)
    Account.restoreCustomer(Config);
  for (const bound_cell &Cell : Image.Bound)
    Account.restoreCell(Cell);
  for (const attempt_image &Attempt : Image.Attempts)
    Account.restoreAttempt(Attempt);
  for (const worker_image &Worker : Image.Workers)
    Account.setUsable(Worker.Info.Id, Worker.Usable);
  return Account;
}

void capacity_account::restoreCustomer(const customer_guarantees &Config) {
  customer_index Customer = internCustomer(Config.Customer);
  Customers[Customer].Config = Config;
  setGuaranteed(Customer, countsOf(Config));
}

void capacity_account::restoreCell(const bound_cell &Cell) {
  std::optional<customer_index> Customer = find(Cell.Customer);
  std::optional<topology_index> Worker = Topology->find(Cell.Worker);
  if (!Customer || !Worker)
    throw invalid_argument_error(
        "capacity image: bound cell refers to an unknown customer or worker");
  if (Cell.FirstAccelerator >= MaxAcceleratorsPerWorker)
    throw invalid_argument_error(
        "capacity image: first accelerator of a bound cell is out of range");
  cell_key Key =
      cellAt(Cell.Level, *Worker, static_cast<int>(Cell.FirstAccelerator));
  if (!cellUnbound(Key))
    throw invalid_argument_error("capacity image: bound cells overlap");
  bind(Key, *Customer);
}

void capacity_account::restoreAttempt(const attempt_image &Attempt) {
  std::optional<customer_index> Customer = find(Attempt.Customer);
  if (!Customer || Attempt.Assignments.size() != Attempt.Needs.size())
    throw invalid_argument_error("capacity image: attempt has an unknown "
                                 "customer, or not one need for each "
                                 "assignment");
  held_attempt Held;
  Held.Customer = *Customer;
  for (std::size_t Index = 0; Index < Attempt.Needs.size(); ++Index) {
    const task_assignment &Assignment = Attempt.Assignments[Index];
    std::optional<topology_index> Worker = Topology->find(Assignment.Worker);
    if (!Worker)
      throw invalid_argument_error(
          "capacity image: attempt is assigned to an unknown worker");
    held_task Task{Assignment.Task, *Worker, Assignment.Accelerators,
                   Assignment.Guaranteed, Attempt.Needs[Index]};
    if ((Allocations[*Worker].Used & Task.Accelerators) != 0)
      throw invalid_argument_error(
          "capacity image: two tasks hold the same accelerator");
    markAllocated(Attempt.Token, *Customer, Task);
    Held.Tasks.push_back(Task);
  }
  Held.updateFlags();
  Attempts.emplace(Attempt.Token, std::move(Held));
}

} // namespace geraniumpaddle
