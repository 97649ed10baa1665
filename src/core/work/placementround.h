#pragma once

#include "core/work/workerpool.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle::work {

/// Workers and capacity that a step may use.
enum class placement_scope : std::uint8_t {
  Preferred, ///< keeps to racks, reservations and workers without doubts
  Trusted,   ///< several racks and reserved capacity too
  All,       ///< also workers that are set aside or to be avoided
};
/// Lower-case name, for logs; empty if Preferred.
std::string_view name(placement_scope Scope);

/// Why no task of a step can be placed.
enum class placement_obstacle : std::uint8_t {
  NoWorker, ///< none of its service can be used
  Label,    ///< none of them has the required label
  Room,     ///< not enough free capacity
  SetAside, ///< only on workers that are set aside or to be avoided
  Rack,     ///< not enough free capacity in one rack
  Reserved, ///< the capacity is reserved for other steps
};
/// Lower-case name, for logs.
std::string_view name(placement_obstacle Obstacle);

/// Tasks of one step that wait for a run.
struct placement_request {
  const step_spec *Step = nullptr;
  service_id Service;
  std::uint32_t Priority = 0;
  duration ExpectedDuration{}; ///< of each task
  std::span<const task_position> Tasks;
  /// Active runs of the same step and occurrence.
  std::span<const live_run *const> Siblings;
  /// Use only reliable workers, since one more failure ends the job.
  bool ReliableOnly = false;
  /// Workers to avoid, such as those on which the job failed.
  const std::set<worker_id> *Avoid = nullptr;
  placement_scope Scope = placement_scope::Preferred;
  /// Capacity that is reserved for other steps is left to them in any scope.
  bool KeepsReservations = false;
};

struct assignment {
  task_position Task;
  worker_instance Worker;
};

/// Runs to stop in order to free capacity, and the work that is lost by that.
struct preemption {
  std::vector<run_ref> Victims;
  double LostCoreSeconds = 0;
};

/// Speed of a worker, for comparisons.
struct speed_rank {
  int Step = 0; ///< number of equal steps from the average; 0 if unknown
  bool TooSlow = false; ///< for any step, while there are others
};
/// Workers that are left out have an unknown speed.
using speed_ranks = std::unordered_map<worker_id, speed_rank>;

/// One placement round over the capacity of all workers. Capacity that it
/// assigns or reserves is not available to later steps of the round.
class placement_round {
public:
  placement_round(const worker_pool &Pool, const speed_ranks &Speeds,
                  time_point Now);

  /// Places as many tasks as fit; a gang is placed completely or not at all.
  std::vector<assignment> place(const placement_request &Request);

  /// Reserves free capacity and the capacity of stopping runs for \p Request.
  /// \returns false, and reserves nothing, if not all its tasks fit.
  bool reserveFreed(const placement_request &Request);

  /// Earliest time at which all tasks fit as runs end by themselves; empty if
  /// they never do.
  std::optional<time_point> earliestFit(const placement_request &Request);
  /// Reserves capacity for \p Request from \p At on. Until then only runs that
  /// end before \p At may use it (backfilling).
  void reserveAt(const placement_request &Request, time_point At);

  /// The cheapest runs of lower priority to stop so that all tasks fit; empty
  /// if even that does not suffice.
  std::optional<preemption> planPreemption(const placement_request &Request);
  /// Reserves the capacity that the victims free for \p Request.
  void reservePreempted(const placement_request &Request,
                        const preemption &Plan);

  /// True if the tasks would fit if all workers were empty.
  bool fitsEmptyWorkers(const placement_request &Request);

  /// Why place() has placed no task of \p Request.
  placement_obstacle obstacle(placement_request Request);

  /// True if less than half of the capacity of \p Service was in use when it
  /// was first asked for.
  bool halfIdle(const service_id &Service);

  /// Workers examined so far, each once for every question about it: a measure
  /// of the processor time that the round has taken.
  std::size_t examined() const { return Examined; }

private:
  struct host_capacity {
    const pool_worker *Worker;
    resources Free;           ///< free now
    resources FreeAfterStops; ///< free once all stopping runs have ended
    resources Projected;      ///< scratch value for a what-if calculation
    std::size_t Rack = 0;
    speed_rank Speed;
    bool Reserved = false;
    time_point ReservedAt{};
    resources Spare;          ///< free at ReservedAt apart from the reservation
    bool Eligible = false;    ///< for the current request
    bool Doubtful = false;    ///< not eligible for it in a narrower scope
    bool Probed = false;      ///< on probation, with a task from this round
    std::uint32_t Placed = 0; ///< of the current step, including siblings
  };
  using capacity_view = resources host_capacity::*;
  static constexpr std::size_t AnyRack = static_cast<std::size_t>(-1);

  struct placed_task {
    task_position Task;
    host_capacity *Target;
  };

  void prepare(const placement_request &Request);
  void countSiblings(const placement_request &Request);
  /// The workers of \p Rack, or all; counted as examined.
  std::span<host_capacity> hostsOf(std::size_t Rack);
  resources available(const host_capacity &Target, capacity_view View,
                      const placement_request &Request) const;
  static std::pair<bool, int> speedPreference(const host_capacity &Target,
                                              const placement_request &Request);
  host_capacity *bestFit(const placement_request &Request, capacity_view View,
                         std::size_t Rack);
  std::vector<placed_task> fill(const placement_request &Request,
                                capacity_view View, std::size_t Rack);
  void allocate(host_capacity &Target, const placement_request &Request);
  void deallocate(const placement_request &Request,
                  std::span<const placed_task> Placed);
  std::vector<placed_task> tryPlace(const placement_request &Request,
                                    capacity_view View);
  std::vector<std::size_t> rackOrder(const placement_request &Request) const;
  std::size_t mostTasksOn(const host_capacity &Target,
                          const placement_request &Request) const;
  bool fitsInOneRack(const placement_request &Request);
  bool fitsIn(const placement_request &Request, capacity_view View);
  bool fitsPartly(const placement_request &Request);
  std::optional<preemption> planPreemptionIn(const placement_request &Request,
                                             std::size_t Rack);
  std::optional<preemption> victimsOn(const host_capacity &Target,
                                      const resources &Need,
                                      std::uint32_t Priority,
                                      std::span<const run_ref> Chosen);
  std::optional<preemption> victimsFor(const host_capacity &Target,
                                       const placement_request &Request,
                                       std::uint32_t Planned,
                                       std::span<const run_ref> Chosen);

  time_point Now;
  std::vector<host_capacity> Hosts; ///< in order of their racks
  std::vector<std::string> Racks;
  std::vector<std::size_t> RackBegins; ///< in Hosts; one more than racks
  std::unordered_map<worker_id, std::size_t> HostOf;
  std::map<service_id, bool> HalfIdle;
  std::size_t Examined = 0;
};

} // namespace geraniumpaddle::work
