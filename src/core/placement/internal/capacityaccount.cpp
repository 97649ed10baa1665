#include "core/placement/capacityaccount.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <utility>

namespace geraniumpaddle {

namespace {

bool exceedsAny(const cell_counts &Counts, const cell_counts &Limits) {
  for (std::size_t Level = 0; Level < Counts.size(); ++Level)
    if (Counts[Level] > Limits[Level])
      return true;
  return false;
}

} // namespace

void capacity_account::registerWorker(const worker_info &Worker) {
  std::optional<topology_index> Known = Topology->find(Worker.Id);
  if (Known && Topology->worker(*Known).Info == Worker)
    return;
  std::optional<topology_index> OldRack;
  if (Known) {
    OldRack = Topology->worker(*Known).Rack;
    for (const cell_key &Key : boundCellsOn(*Known))
      demoteCell(Key);
  }
  topology_index Rack =
      mutableTopology().addRack(Worker.Region, Worker.Zone, Worker.Rack);
  auto RackCell = Bindings.find({cell_level::Rack, Rack, 0});
  if (RackCell != Bindings.end())
    adjustBoundCounts(RackCell->first, RackCell->second, -1);
  topology_index Index = mutableTopology().upsertWorker(Worker);
  if (Index == Allocations.size())
    Allocations.push_back({});
  if (RackCell != Bindings.end()) {
    Allocations[Index].Bound = Topology->worker(Index).Accelerators;
    adjustBoundCounts(RackCell->first, RackCell->second, 1);
  }
  if (OldRack && *OldRack != Rack)
    updatePackingCounts(*OldRack);
  updatePackingCounts(Rack);
}

capacity_check capacity_account::setUsable(const worker_id &Worker,
                                           bool Usable) {
  std::optional<topology_index> Index = Topology->find(Worker);
  if (!Index)
    return capacity_check::UnknownWorker;
  if (Allocations[*Index].Usable == Usable)
    return capacity_check::Ok;
  std::vector<cell_key> Cells = boundCellsOn(*Index);
  for (const cell_key &Key : Cells)
    adjustBoundCounts(Key, Bindings.at(Key), -1);
  Allocations[*Index].Usable = Usable;
  for (const cell_key &Key : Cells)
    adjustBoundCounts(Key, Bindings.at(Key), 1);
  updatePackingCounts(Topology->worker(*Index).Rack);
  return capacity_check::Ok;
}

capacity_check
capacity_account::setGuarantees(std::span<const customer_guarantees> All) {
  capacity_account Trial = *this;
  std::vector<bool> IsConfigured(Customers.size(), false);
  for (const customer_guarantees &Config : All) {
    customer_index Customer = Trial.internCustomer(Config.Customer);
    IsConfigured.resize(Trial.Customers.size(), false);
    IsConfigured[Customer] = true;
    Trial.Customers[Customer].Config = Config;
    Trial.setGuaranteed(Customer, countsOf(Config));
  }
  for (customer_index Customer = 0; Customer < IsConfigured.size();
       ++Customer) {
    if (IsConfigured[Customer])
      continue;
    customer_id Name = Trial.Customers[Customer].Config.Customer;
    Trial.Customers[Customer].Config = {Name, {}, 0};
    Trial.setGuaranteed(Customer, {});
  }
  Trial.unbindExcessCells();
  if (exceedsAny(Trial.shortfallByLevel(), shortfallByLevel()))
    return capacity_check::GuaranteesDoNotPack;
  *this = std::move(Trial);
  return capacity_check::Ok;
}

std::vector<guarantee_shortfall> capacity_account::shortfalls() const {
  std::vector<guarantee_shortfall> Result;
  cell_counts Missing = shortfallByLevel();
  for (const customer_allocation &Customer : Customers) {
    for (std::size_t Level = 0; Level < Missing.size(); ++Level) {
      std::int32_t UnboundCells =
          Customer.Guaranteed[Level] - Customer.BoundUsable[Level];
      std::int32_t Charged = std::min(UnboundCells, Missing[Level]);
      if (Charged <= 0)
        continue;
      Missing[Level] -= Charged;
      Result.push_back(
          {Customer.Config.Customer, static_cast<cell_level>(Level), Charged});
    }
  }
  return Result;
}

accelerator_mask capacity_account::freeMask(topology_index Worker) const {
  const worker_allocation &Allocation = Allocations[Worker];
  return Allocation.Usable
             ? Topology->worker(Worker).Accelerators & ~Allocation.Used
             : 0;
}

accelerator_mask
capacity_account::preemptibleMask(topology_index Worker) const {
  const worker_allocation &Allocation = Allocations[Worker];
  if (!Allocation.Usable)
    return 0;
  return Topology->worker(Worker).Accelerators & ~Allocation.GuaranteedUse;
}

accelerator_mask capacity_account::boundMask(topology_index Worker,
                                             customer_index Customer) const {
  accelerator_mask Mask = 0;
  if (Allocations[Worker].Bound == 0)
    return Mask;
  for (const cell_key &Key : boundCellsOn(Worker))
    if (Bindings.at(Key) == Customer)
      Mask |= cellMask(Key, Worker);
  return Mask;
}

resources capacity_account::freeHost(topology_index Worker) const {
  if (!Allocations[Worker].Usable)
    return {};
  resources Remaining = Topology->worker(Worker).Host;
  Remaining -= Allocations[Worker].HostUsed;
  return Remaining;
}

std::optional<capacity_account::customer_index>
capacity_account::find(const customer_id &Customer) const {
  auto Found = CustomerIndex.find(Customer);
  if (Found == CustomerIndex.end())
    return std::nullopt;
  return Found->second;
}

std::int32_t capacity_account::unbound(customer_index Customer,
                                       cell_level Level) const {
  const customer_allocation &Allocation = Customers[Customer];
  return Allocation.Guaranteed[indexOf(Level)] -
         Allocation.Bound[indexOf(Level)];
}

capacity_account::customer_index
capacity_account::internCustomer(const customer_id &Customer) {
  auto Next = static_cast<customer_index>(Customers.size());
  auto [Entry, Added] = CustomerIndex.try_emplace(Customer, Next);
  if (Added) {
    Customers.push_back({});
    Customers.back().Config.Customer = Customer;
  }
  return Entry->second;
}

cell_counts capacity_account::countsOf(const customer_guarantees &Config) {
  cell_counts Counts{};
  for (const guarantee &Guarantee : Config.Guarantees)
    Counts[indexOf(Guarantee.Level)] += std::max(0, Guarantee.Count);
  return Counts;
}

void capacity_account::setGuaranteed(customer_index Customer,
                                     const cell_counts &Guaranteed) {
  cell_counts &Current = Customers[Customer].Guaranteed;
  for (std::size_t Level = 0; Level < Guaranteed.size(); ++Level)
    UnboundGuaranteed[Level] += Guaranteed[Level] - Current[Level];
  Current = Guaranteed;
}

void capacity_account::unbindExcessCells() {
  std::vector<cell_key> Cells;
  for (const auto &[Key, Customer] : Bindings)
    Cells.push_back(Key);
  for (auto Key = Cells.rbegin(); Key != Cells.rend(); ++Key) {
    auto Found = Bindings.find(*Key);
    if (Found == Bindings.end())
      continue;
    if (unbound(Found->second, Key->Level) < 0)
      demoteCell(*Key);
  }
}

topology &capacity_account::mutableTopology() {
  if (Topology.use_count() > 1)
    Topology = std::make_shared<topology>(*Topology);
  return *Topology;
}

void capacity_account::updatePackingCounts(topology_index Rack) {
  std::vector<accelerator_mask> UnboundMasks;
  std::vector<accelerator_mask> AcceleratorMasks;
  bool HasBoundCells = false;
  for (topology_index Worker : Topology->rack(Rack).Workers) {
    accelerator_mask AllAccelerators = Topology->worker(Worker).Accelerators;
    const worker_allocation &Allocation = Allocations[Worker];
    HasBoundCells |= Allocation.Bound != 0;
    if (!Allocation.Usable || AllAccelerators == 0)
      continue;
    UnboundMasks.push_back(AllAccelerators & ~Allocation.Bound);
    AcceleratorMasks.push_back(AllAccelerators);
  }
  Packing.setRack(Rack, UnboundMasks, AcceleratorMasks, HasBoundCells);
}

} // namespace geraniumpaddle
