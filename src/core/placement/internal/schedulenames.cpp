#include "core/placement/types/schedule.h"

namespace geraniumpaddle {

std::string_view name(wait_reason Reason) {
  switch (Reason) {
  case wait_reason::Proposed:
    return "proposed";
  case wait_reason::NoFreeCapacity:
    return "no_free_capacity";
  case wait_reason::OwnLimit:
    return "own_limit";
  case wait_reason::GuaranteeInUse:
    return "guarantee_in_use";
  case wait_reason::ReservedForStarved:
    return "reserved_for_starved";
  case wait_reason::GuaranteeShortfall:
    return "guarantee_shortfall";
  case wait_reason::NeverFits:
    return "never_fits";
  }
  return "unknown";
}

std::string_view name(unmet_constraint Constraint) {
  switch (Constraint) {
  case unmet_constraint::None:
    return "none";
  case unmet_constraint::TaskAccelerators:
    return "task_accelerators";
  case unmet_constraint::TaskCores:
    return "task_cores";
  case unmet_constraint::TaskMemory:
    return "task_memory";
  case unmet_constraint::GangAdjacency:
    return "gang_adjacency";
  case unmet_constraint::GangSize:
    return "gang_size";
  case unmet_constraint::CustomerLimit:
    return "customer_limit";
  }
  return "unknown";
}

} // namespace geraniumpaddle
