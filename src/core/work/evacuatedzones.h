#pragma once

#include "core/base/types/ids.h"

#include <set>

namespace geraniumpaddle::work {

/// Availability zones that operators have evacuated: until a request is taken
/// back, no task may start on their workers.
class evacuated_zones {
public:
  /// \returns false if the zone was evacuated already.
  bool evacuate(const availability_zone_id &Zone) {
    return Zones.insert(Zone).second;
  }
  /// \returns false if the zone was not evacuated.
  bool restore(const availability_zone_id &Zone) {
    return Zones.erase(Zone) > 0;
  }
  bool contains(const availability_zone_id &Zone) const {
    return Zones.contains(Zone);
  }
  std::size_t size() const { return Zones.size(); }

private:
  std::set<availability_zone_id> Zones;
};

} // namespace geraniumpaddle::work
