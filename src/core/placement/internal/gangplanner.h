#pragma once

#include "core/placement/capacityaccount.h"
#include "core/placement/internal/cellsimulation.h"
#include "core/placement/schedulingstrategy.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Cost of preempting each attempt, in accelerator seconds of lost work.
using preemption_costs = std::map<fencing_token, double>;

/// Capacity that a gang may use, by worker.
struct capacity_offer {
  std::vector<accelerator_mask> Accelerators;
  std::vector<resources> Host;
  /// Guaranteed cells that the gang has to be placed in; null for a borrowing
  /// gang.
  const guaranteed_cells *Cells = nullptr;
  /// Weight of the cost of splitting a larger unbound cell.
  double CellSplitWeight = 0;
  /// Expected seconds until the last attempt on the worker ends.
  std::span<const double> LatestEnd;
  double latestEnd(topology_index Worker) const {
    return LatestEnd.empty() ? 0 : LatestEnd[Worker];
  }
  /// Attempts that may be preempted; null if none may.
  const preemption_costs *PreemptionCosts = nullptr;
};

/// The gang to plan.
struct plan_request {
  std::span<const resources> Needs; ///< by task index
  adjacency Within = adjacency::Any;
  double EstimatedSeconds = 0;
};

/// Placement of one task of the gang.
struct planned_task {
  std::uint32_t Task = 0;
  topology_index Worker = 0;
  accelerator_mask Accelerators = 0;
};

/// Placement of a whole gang.
struct gang_plan {
  std::vector<planned_task> Tasks;
  std::vector<fencing_token> Victims;
  double PreemptionCost = 0;
  double Cost = 0; ///< sum over the tasks, with victims; smaller is better
};

/// Accelerators that a task with \p Need is given on \p Worker: as many as it
/// asks for, or more if it needs the cores or memory of further ones.
int acceleratorsFor(const resources &Need, const worker_node &Worker);

/// Places whole gangs within the requested adjacency. Greedy: the largest tasks
/// come first, and each goes to the worker where its cost is lowest.
class gang_planner {
public:
  gang_planner(const capacity_account &Account,
               const scheduling_strategy &Strategy);

  /// Plan of the lowest cost over all worker groups of the requested adjacency;
  /// none if the gang fits into no group.
  std::optional<gang_plan> plan(const capacity_offer &Offer,
                                const plan_request &Request) const;

private:
  struct plan_state;
  using worker_group = std::vector<topology_index>;

  std::span<const worker_group> workerGroups(adjacency Within) const;
  std::vector<std::uint32_t>
  largestFirst(std::span<const resources> Needs) const;
  /// Fast check that rules out groups with too few offered accelerators.
  bool hasEnoughAccelerators(const capacity_offer &Offer,
                             const plan_request &Request,
                             const worker_group &Group) const;
  std::optional<gang_plan> planGroup(const capacity_offer &Offer,
                                     const plan_request &Request,
                                     std::span<const std::uint32_t> Order,
                                     const worker_group &Group) const;

  const capacity_account &Account;
  const scheduling_strategy &Strategy;
  std::vector<worker_group> All;
  std::vector<worker_group> Regions;
  std::vector<worker_group> Zones;
  std::vector<worker_group> Racks;
  std::vector<worker_group> Workers;
};

} // namespace geraniumpaddle
