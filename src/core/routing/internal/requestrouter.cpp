#include "core/routing/requestrouter.h"

namespace geraniumpaddle {

class request_router::state {};

request_router::request_router(const router_settings &, const router_identity &,
                               std::uint64_t)
    : State(std::make_unique<state>()) {}
request_router::~request_router() = default;

std::span<const router_command> request_router::handle(const router_event &,
                                                       time_point) {
  return {};
}

std::span<const customer_demand> request_router::demand(time_point) {
  return {};
}

std::size_t request_router::openRequests() const { return 0; }

const router_counters &request_router::counters() const {
  static const router_counters None;
  return None;
}

} // namespace geraniumpaddle
