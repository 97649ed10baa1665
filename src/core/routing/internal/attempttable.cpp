#include "core/routing/attempttable.h"

namespace geraniumpaddle {

class attempt_table::state {};

attempt_table::attempt_table(const attempt_settings &, incarnation)
    : State(std::make_unique<state>()) {}
attempt_table::~attempt_table() = default;

std::span<const attempt_command> attempt_table::handle(const attempt_event &,
                                                       time_point) {
  return {};
}

agent_load attempt_table::load() const { return {}; }
bool attempt_table::draining() const { return false; }
bool attempt_table::idle() const { return true; }

} // namespace geraniumpaddle
