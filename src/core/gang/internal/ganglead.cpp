#include "core/gang/ganglead.h"

namespace geraniumpaddle {

gang_lead::gang_lead(assign_gang Assigned, const gang_timing &Timing,
                     time_point Now)
    : Assignment(std::move(Assigned)), Timing(Timing), PhaseSince(Now) {}

std::span<const gang_command> gang_lead::handle(const lead_event & /*Event*/,
                                                time_point /*Now*/) {
  return Commands;
}

} // namespace geraniumpaddle
