#include "core/gang/gangregistry.h"

namespace geraniumpaddle {

gang_registry::gang_registry(worker_id OwnWorker, const gang_timing &Timing)
    : OwnWorker(std::move(OwnWorker)), Timing(Timing), Member(Timing) {}

std::span<const gang_command>
gang_registry::handle(const gang_event & /*Event*/, time_point /*Now*/) {
  return Commands;
}

} // namespace geraniumpaddle
