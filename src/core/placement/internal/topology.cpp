#include "core/placement/topology.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

constexpr std::int64_t Percent = 100;

accelerator_mask lowMask(std::int32_t Count) {
  if (Count <= 0)
    return 0;
  if (Count >= MaxAcceleratorsPerWorker)
    return ~accelerator_mask{0};
  return (accelerator_mask{1} << Count) - 1;
}

void partitionCapacity(worker_node &Node) {
  const resources &Whole = Node.Info.Capacity;
  std::int32_t Count =
      std::clamp(Whole.Accelerators, 0, MaxAcceleratorsPerWorker);
  Node.Accelerators = lowMask(Count);
  Node.Host = {0, Whole.MilliCores, Whole.MemoryMb};
  Node.PerAccelerator = {};
  if (Count == 0)
    return;
  Node.Host.MilliCores = Whole.MilliCores * HostSharePercent / Percent;
  Node.Host.MemoryMb = Whole.MemoryMb * HostSharePercent / Percent;
  Node.PerAccelerator.Accelerators = 1;
  Node.PerAccelerator.MilliCores =
      (Whole.MilliCores - Node.Host.MilliCores) / Count;
  Node.PerAccelerator.MemoryMb = (Whole.MemoryMb - Node.Host.MemoryMb) / Count;
}

template <typename Map, typename Key>
topology_index intern(Map &Index, const Key &Name) {
  auto Next = static_cast<topology_index>(Index.size());
  return Index.try_emplace(Name, Next).first->second;
}

} // namespace

topology_index topology::addRack(const region_id &Region,
                                 const availability_zone_id &Zone,
                                 const rack_id &Rack) {
  topology_index RegionPosition = intern(Regions, Region);
  topology_index ZonePosition = intern(Zones, zone_key{Region, Zone});
  topology_index RackPosition = intern(RackIndex, rack_key{Region, Zone, Rack});
  if (RackPosition == Racks.size())
    Racks.push_back({Rack, Zone, Region, ZonePosition, RegionPosition, {}});
  return RackPosition;
}

topology_index topology::upsertWorker(const worker_info &Worker) {
  ++Version;
  topology_index Index = intern(WorkerIndex, Worker.Id);
  topology_index Rack = addRack(Worker.Region, Worker.Zone, Worker.Rack);
  if (Index == Workers.size())
    Workers.push_back({});
  else
    std::erase(Racks[Workers[Index].Rack].Workers, Index);
  std::vector<topology_index> &InRack = Racks[Rack].Workers;
  InRack.insert(std::ranges::lower_bound(InRack, Index), Index);
  worker_node &Node = Workers[Index];
  Node.Info = Worker;
  Node.Rack = Rack;
  Node.Zone = Racks[Rack].Zone;
  Node.Region = Racks[Rack].Region;
  partitionCapacity(Node);
  return Index;
}

std::optional<topology_index> topology::find(const worker_id &Worker) const {
  auto Found = WorkerIndex.find(Worker);
  if (Found == WorkerIndex.end())
    return std::nullopt;
  return Found->second;
}

} // namespace geraniumpaddle
