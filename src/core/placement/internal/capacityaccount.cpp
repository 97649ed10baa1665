#include "core/placement/capacityaccount.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <utility>

namespace geraniumpaddle {

namespace {

bool anyAbove(const cell_counts &Counts, const cell_counts &Bound) {
  for (std::size_t Level = 0; Level < Counts.size(); ++Level)
    if (Counts[Level] > Bound[Level])
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
    for (const cell_key &Key : cellsOn(*Known))
      demote(Key);
  }
  topology_index Rack =
      mutableTopology().putRack(Worker.Region, Worker.Zone, Worker.Rack);
  auto RackCell = Bindings.find({cell_level::Rack, Rack, 0});
  if (RackCell != Bindings.end())
    countBound(RackCell->first, RackCell->second, -1);
  topology_index Index = mutableTopology().put(Worker);
  if (Index == Slots.size())
    Slots.push_back({});
  if (RackCell != Bindings.end()) {
    Slots[Index].Bound = Topology->worker(Index).Accelerators;
    countBound(RackCell->first, RackCell->second, 1);
  }
  if (OldRack && *OldRack != Rack)
    refreshRack(*OldRack);
  refreshRack(Rack);
}

capacity_check capacity_account::setUsable(const worker_id &Worker,
                                           bool Usable) {
  std::optional<topology_index> Index = Topology->find(Worker);
  if (!Index)
    return capacity_check::UnknownWorker;
  if (Slots[*Index].Usable == Usable)
    return capacity_check::Ok;
  std::vector<cell_key> Cells = cellsOn(*Index);
  for (const cell_key &Key : Cells)
    countBound(Key, Bindings.at(Key), -1);
  Slots[*Index].Usable = Usable;
  for (const cell_key &Key : Cells)
    countBound(Key, Bindings.at(Key), 1);
  refreshRack(Topology->worker(*Index).Rack);
  return capacity_check::Ok;
}

capacity_check
capacity_account::setGuarantees(std::span<const customer_guarantees> All) {
  capacity_account Trial = *this;
  std::vector<bool> Named(Customers.size(), false);
  for (const customer_guarantees &Config : All) {
    customer_index Customer = Trial.internCustomer(Config.Customer);
    Named.resize(Trial.Customers.size(), false);
    Named[Customer] = true;
    Trial.Customers[Customer].Config = Config;
    Trial.setGuaranteed(Customer, countsOf(Config));
  }
  for (customer_index Customer = 0; Customer < Named.size(); ++Customer) {
    if (Named[Customer])
      continue;
    customer_id Name = Trial.Customers[Customer].Config.Customer;
    Trial.Customers[Customer].Config = {Name, {}, 0};
    Trial.setGuaranteed(Customer, {});
  }
  Trial.giveUpExcess();
  if (anyAbove(Trial.shortByLevel(), shortByLevel()))
    return capacity_check::GuaranteesDoNotPack;
  *this = std::move(Trial);
  return capacity_check::Ok;
}

std::vector<guarantee_shortfall> capacity_account::shortfalls() const {
  std::vector<guarantee_shortfall> Result;
  cell_counts Missing = shortByLevel();
  for (const customer_slot &Customer : Customers) {
    for (std::size_t Level = 0; Level < Missing.size(); ++Level) {
      std::int32_t Need =
          Customer.Guaranteed[Level] - Customer.BoundUsable[Level];
      std::int32_t Charged = std::min(Need, Missing[Level]);
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
  const worker_slot &Slot = Slots[Worker];
  return Slot.Usable ? Topology->worker(Worker).Accelerators & ~Slot.Used : 0;
}

accelerator_mask
capacity_account::preemptibleMask(topology_index Worker) const {
  const worker_slot &Slot = Slots[Worker];
  if (!Slot.Usable)
    return 0;
  return Topology->worker(Worker).Accelerators & ~Slot.GuaranteedUse;
}

accelerator_mask capacity_account::boundMask(topology_index Worker,
                                             customer_index Customer) const {
  accelerator_mask Mask = 0;
  if (Slots[Worker].Bound == 0)
    return Mask;
  for (const cell_key &Key : cellsOn(Worker))
    if (Bindings.at(Key) == Customer)
      Mask |= cellMask(Key, Worker);
  return Mask;
}

resources capacity_account::freeHost(topology_index Worker) const {
  if (!Slots[Worker].Usable)
    return {};
  resources Left = Topology->worker(Worker).Host;
  Left -= Slots[Worker].HostUsed;
  return Left;
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
  const customer_slot &Slot = Customers[Customer];
  return Slot.Guaranteed[indexOf(Level)] - Slot.Bound[indexOf(Level)];
}

capacity_account::customer_index
capacity_account::internCustomer(const customer_id &Customer) {
  auto Next = static_cast<customer_index>(Customers.size());
  auto [Place, Added] = CustomerIndex.try_emplace(Customer, Next);
  if (Added) {
    Customers.push_back({});
    Customers.back().Config.Customer = Customer;
  }
  return Place->second;
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
    Needed[Level] += Guaranteed[Level] - Current[Level];
  Current = Guaranteed;
}

void capacity_account::giveUpExcess() {
  std::vector<cell_key> Cells;
  for (const auto &[Key, Customer] : Bindings)
    Cells.push_back(Key);
  for (auto Key = Cells.rbegin(); Key != Cells.rend(); ++Key) {
    auto Found = Bindings.find(*Key);
    if (Found == Bindings.end())
      continue;
    if (unbound(Found->second, Key->Level) < 0)
      demote(*Key);
  }
}

topology &capacity_account::mutableTopology() {
  if (Topology.use_count() > 1)
    Topology = std::make_shared<topology>(*Topology);
  return *Topology;
}

void capacity_account::refreshRack(topology_index Rack) {
  std::vector<accelerator_mask> Unbound;
  std::vector<accelerator_mask> Wholes;
  bool Blocked = false;
  for (topology_index Worker : Topology->rack(Rack).Workers) {
    accelerator_mask Whole = Topology->worker(Worker).Accelerators;
    const worker_slot &Slot = Slots[Worker];
    Blocked |= Slot.Bound != 0;
    if (!Slot.Usable || Whole == 0)
      continue;
    Unbound.push_back(Whole & ~Slot.Bound);
    Wholes.push_back(Whole);
  }
  Packing.setRack(Rack, Unbound, Wholes, Blocked);
}

} // namespace geraniumpaddle
