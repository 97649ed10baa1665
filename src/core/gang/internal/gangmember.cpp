#include "core/gang/gangmember.h"

namespace geraniumpaddle {

gang_member::gang_member(const gang_timing &Timing) : Timing(Timing) {}

std::span<const gang_command>
gang_member::handle(const member_event & /*Event*/, time_point /*Now*/) {
  return Commands;
}

bool gang_member::busy() const { return false; }

member_state gang_member::state(fencing_token /*Token*/) const {
  return member_state::Unknown;
}

} // namespace geraniumpaddle
