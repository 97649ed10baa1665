#include "core/membership/liveness.h"

namespace geraniumpaddle {

class liveness::state {};

liveness::liveness(const liveness_settings &)
    : State(std::make_unique<state>()) {}
liveness::~liveness() = default;

std::span<const liveness_command> liveness::handle(const liveness_event &,
                                                   time_point) {
  return {};
}

duration liveness::heartbeatInterval() const { return std::chrono::seconds(1); }
bool liveness::selfSuspected() const { return false; }
std::size_t liveness::nodes() const { return 0; }

} // namespace geraniumpaddle
