#pragma once

#include "core/base/types/ids.h"
#include "core/placement/types/placementtypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <tuple>
#include <vector>

namespace geraniumpaddle {

/// Index of a worker, rack, zone or region in a topology, assigned in order of
/// registration; it never changes.
using topology_index = std::uint32_t;

/// Percentage of each worker's cores and memory that is reserved for tasks
/// without accelerators; the rest is divided evenly among its accelerators. On
/// a worker without accelerators such tasks may use everything.
constexpr std::int64_t HostSharePercent = 25;

/// Limited by the number of bits in accelerator_mask; further accelerators of a
/// worker stay unused.
constexpr std::int32_t MaxAcceleratorsPerWorker = 32;

/// A registered worker with its location as indexes and its capacity divided
/// between accelerators and host.
struct worker_node {
  worker_info Info;
  topology_index Rack = 0;
  topology_index Zone = 0;
  topology_index Region = 0;
  accelerator_mask Accelerators = 0; ///< all accelerators of the worker
  resources PerAccelerator;          ///< share of cores and memory
  resources Host; ///< cores and memory for tasks without accelerators

  friend bool operator==(const worker_node &, const worker_node &) = default;
};

/// A rack; its name is unique within its zone.
struct rack_node {
  rack_id Id;
  availability_zone_id ZoneId;
  region_id RegionId;
  topology_index Zone = 0;
  topology_index Region = 0;
  std::vector<topology_index> Workers; ///< ascending

  friend bool operator==(const rack_node &, const rack_node &) = default;
};

/// The registered workers by location: region, zone, rack.
class topology {
public:
  /// Adds a rack without workers if it does not exist yet; returns its index.
  topology_index addRack(const region_id &Region,
                         const availability_zone_id &Zone, const rack_id &Rack);
  /// Adds \p Worker or replaces its description; returns its index.
  topology_index upsertWorker(const worker_info &Worker);

  std::optional<topology_index> find(const worker_id &Worker) const;
  const worker_node &worker(topology_index Index) const {
    return Workers[Index];
  }
  const rack_node &rack(topology_index Index) const { return Racks[Index]; }
  std::span<const worker_node> workers() const { return Workers; }
  std::span<const rack_node> racks() const { return Racks; }
  /// Incremented whenever a worker is added or updated.
  std::uint64_t version() const { return Version; }
  std::size_t zoneCount() const { return Zones.size(); }
  std::size_t regionCount() const { return Regions.size(); }

  /// Compares workers, racks and indexes, but not the version.
  friend bool operator==(const topology &Left, const topology &Right) {
    return Left.Workers == Right.Workers && Left.Racks == Right.Racks &&
           Left.Zones == Right.Zones && Left.Regions == Right.Regions;
  }

private:
  using zone_key = std::tuple<region_id, availability_zone_id>;
  using rack_key = std::tuple<region_id, availability_zone_id, rack_id>;

  std::uint64_t Version = 0;
  std::vector<worker_node> Workers;
  std::vector<rack_node> Racks;
  std::map<worker_id, topology_index> WorkerIndex;
  std::map<rack_key, topology_index> RackIndex;
  std::map<zone_key, topology_index> Zones;
  std::map<region_id, topology_index> Regions;
};

} // namespace geraniumpaddle
