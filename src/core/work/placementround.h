#pragma once

#include "core/work/workerpool.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle::work {

/// Tasks of one step that wait for a run.
struct placement_request {
  const step_spec *Step = nullptr;
  service_id Service;
  std::uint32_t Priority = 0;
  duration Expected{}; ///< time that each of them takes
  std::span<const task_position> Tasks;
  /// Runs of the same step and occurrence that go on.
  std::span<const live_run *const> Siblings;
  /// One more failure ends the job: only workers that nothing speaks against.
  bool ProvenOnly = false;
  /// Workers to keep away from, such as those where it failed.
  const std::set<worker_id> *Avoid = nullptr;
};

struct assignment {
  task_position Task;
  worker_instance Worker;
};

/// Runs that have to stop to make room, and the work that this throws away.
struct preemption {
  std::vector<run_ref> Victims;
  double LostCoreSeconds = 0;
};

/// One round of decisions over the capacity of all workers. What it places or
/// reserves is not there for the steps that follow in the round.
class placement_round {
public:
  placement_round(const worker_pool &Pool, time_point Now);

  /// Places as many tasks as there is room for; of a gang all or none.
  std::vector<assignment> place(const placement_request &Request);

  /// Keeps capacity that is being freed for \p Request.
  /// \returns true if all its tasks will have room without anything else.
  bool reserveFreed(const placement_request &Request);

  /// When all tasks will have room as runs end by themselves; nothing if not
  /// even then.
  std::optional<time_point> earliestRoom(const placement_request &Request);
  /// Keeps the room at \p At for \p Request: until then only runs that end
  /// before may use it.
  void reserveAt(const placement_request &Request, time_point At);

  /// The cheapest runs of lower priority to stop so that all tasks have room;
  /// nothing if even that does not suffice.
  std::optional<preemption> planPreemption(const placement_request &Request);
  /// Keeps the room that the victims leave for \p Request.
  void reservePreempted(const placement_request &Request,
                        const preemption &Plan);

  /// True if the tasks would have room were the workers empty.
  bool everFits(const placement_request &Request);

private:
  struct slot {
    const pool_worker *Worker;
    resources Now;   ///< free
    resources Soon;  ///< free once all that is being stopped has ended
    resources Later; ///< scratch of a question about another time
    std::size_t Rack = 0;
    bool Reserved = false;
    time_point ReservedAt{};
    resources Spare;          ///< free at ReservedAt beside what is reserved
    bool Eligible = false;    ///< for the request at hand
    bool Probed = false;      ///< on probation, and has a task in this round
    std::uint32_t Placed = 0; ///< of the step at hand, siblings too
  };
  using view = resources slot::*;
  static constexpr std::size_t AnyRack = static_cast<std::size_t>(-1);

  struct placed_task {
    task_position Task;
    slot *Slot;
  };

  void prepare(const placement_request &Request);
  resources available(const slot &Slot, view View,
                      const placement_request &Request) const;
  slot *choose(const placement_request &Request, view View, std::size_t Rack);
  std::vector<placed_task> fill(const placement_request &Request, view View,
                                std::size_t Rack);
  void take(slot &Slot, const placement_request &Request);
  void giveBack(const placement_request &Request,
                std::span<const placed_task> Placed);
  std::vector<placed_task> placeIn(const placement_request &Request, view View);
  std::vector<std::size_t> rackChoices(const placement_request &Request) const;
  bool fitsInOneRack(const placement_request &Request) const;
  bool fitsIn(const placement_request &Request, view View);
  std::optional<preemption> planIn(const placement_request &Request,
                                   std::size_t Rack);
  std::optional<preemption> victimsOn(const slot &Slot, const resources &Need,
                                      std::uint32_t Priority,
                                      std::span<const run_ref> Chosen) const;

  time_point Now;
  std::vector<slot> Slots;
  std::vector<std::string> Racks;
};

} // namespace geraniumpaddle::work
