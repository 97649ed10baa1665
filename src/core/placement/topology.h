#pragma once

#include "core/base/types/ids.h"
#include "core/placement/types/shapes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <tuple>
#include <vector>

namespace geraniumpaddle {

/// Position of a worker, rack, zone or region in a topology; positions are
/// given in order of registration and never change.
using topology_index = std::uint32_t;

/// Share of each worker's cores and memory, in percent, that no accelerator
/// carries; tasks without accelerators draw from it. A worker without
/// accelerators gives all it has.
constexpr std::int64_t HostSharePercent = 25;

/// Most accelerators of one worker that can be handed out.
constexpr std::int32_t MaxAcceleratorsPerWorker = 32;

/// A worker as placement sees it.
struct worker_node {
  worker_info Info;
  topology_index Rack = 0;
  topology_index Zone = 0;
  topology_index Region = 0;
  accelerator_mask Accelerators = 0; ///< all accelerators of the worker
  resources PerAccelerator;          ///< cores and memory of one accelerator
  resources Host; ///< cores and memory no accelerator carries

  friend bool operator==(const worker_node &, const worker_node &) = default;
};

/// A rack, named within its zone.
struct rack_node {
  rack_id Id;
  availability_zone_id ZoneId;
  region_id RegionId;
  topology_index Zone = 0;
  topology_index Region = 0;
  std::vector<topology_index> Workers; ///< ascending

  friend bool operator==(const rack_node &, const rack_node &) = default;
};

/// The registered workers and where they stand: region, zone, rack, worker.
class topology {
public:
  /// Adds a rack without workers, unless it is known; returns its position.
  topology_index putRack(const region_id &Region,
                         const availability_zone_id &Zone, const rack_id &Rack);
  /// Adds \p Worker or replaces its description; returns its position.
  topology_index put(const worker_info &Worker);

  std::optional<topology_index> find(const worker_id &Worker) const;
  const worker_node &worker(topology_index Index) const {
    return Workers[Index];
  }
  const rack_node &rack(topology_index Index) const { return Racks[Index]; }
  std::span<const worker_node> workers() const { return Workers; }
  std::span<const rack_node> racks() const { return Racks; }
  /// Rises with every change.
  std::uint64_t version() const { return Version; }
  std::size_t zoneCount() const { return Zones.size(); }
  std::size_t regionCount() const { return Regions.size(); }

  /// Equal workers, racks and positions; the version does not count.
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
