#pragma once

#include "core/placement/capacityaccount.h"
#include "core/placement/internal/cellsimulation.h"
#include "core/placement/schedulingstrategy.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Price, in accelerator seconds of lost work, of preempting each attempt.
using victim_prices = std::map<fencing_token, double>;

/// Capacity that a gang may take, by worker.
struct capacity_offer {
  std::vector<accelerator_mask> Accelerators;
  std::vector<resources> Host;
  /// Cells that the gang has to lie in; null for a borrowing gang.
  const guaranteed_cells *Cells = nullptr;
  /// Weight of binding a cell out of a larger one.
  double CellWeight = 0;
  /// Expected seconds until the last attempt on the worker ends.
  std::span<const double> LatestEnd;
  double latestEnd(topology_index Worker) const {
    return LatestEnd.empty() ? 0 : LatestEnd[Worker];
  }
  /// Prices of attempts that may be preempted; null if none may.
  const victim_prices *Prices = nullptr;
};

/// The gang to plan.
struct plan_request {
  std::span<const resources> Needs; ///< by task index
  adjacency Within = adjacency::Any;
  double EstimatedSeconds = 0;
};

/// One task on one worker.
struct planned_task {
  std::uint32_t Task = 0;
  topology_index Worker = 0;
  accelerator_mask Accelerators = 0;
};

/// A place for a whole gang.
struct gang_plan {
  std::vector<planned_task> Tasks;
  std::vector<fencing_token> Victims;
  double VictimPrice = 0;
  double Cost = 0; ///< of the fits and victims; smaller is better
};

/// Accelerators that \p Need takes on \p Worker: as many as asked for, or more
/// if their cores and memory do not suffice.
int acceleratorsFor(const resources &Need, const worker_node &Worker);

/// Finds places for whole gangs within an adjacency. Greedy: the largest tasks
/// first, each on the worker where it costs least.
class gang_planner {
public:
  gang_planner(const capacity_account &Account,
               const scheduling_strategy &Strategy);

  /// Cheapest plan over all groups of the adjacency asked for; none if no
  /// group holds the gang.
  std::optional<gang_plan> plan(const capacity_offer &Offer,
                                const plan_request &Request) const;

private:
  struct attempt_state;
  using worker_group = std::vector<topology_index>;

  std::span<const worker_group> groups(adjacency Within) const;
  std::vector<std::uint32_t>
  largestFirst(std::span<const resources> Needs) const;
  bool mayFit(const capacity_offer &Offer, const plan_request &Request,
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
