#pragma once

#include "core/work/types/liverun.h"
#include "core/work/workerpool.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace geraniumpaddle::work {

/// Tasks of one step that wait for a run.
struct placement_request {
  const step_spec *Step = nullptr;
  service_id Service;
  std::uint32_t Priority = 0;
  std::span<const task_position> Tasks;
  /// Tasks of the step and occurrence that a worker runs already.
  std::function<std::uint32_t(const worker_id &)> TasksOn;
};

struct assignment {
  task_position Task;
  worker_life Worker;
};

/// One round of decisions over the capacity of all workers. Each placement
/// uses capacity up for the steps that follow in the round.
class placement_round {
public:
  explicit placement_round(const worker_pool &Pool);

  /// Places as many tasks as there is room for; of a gang all or none.
  std::vector<assignment> place(const placement_request &Request);

  /// Keeps capacity that is being freed for \p Request.
  /// \returns true if all its tasks will have room without further victims.
  bool reserve(const placement_request &Request);

  /// Chooses runs that have to stop so that all tasks of \p Request have room,
  /// and keeps that room. \param Runs may be stopped for it.
  /// \returns nothing if even that does not suffice.
  std::optional<std::vector<run_ref>>
  preempt(const placement_request &Request, std::span<const live_run> Runs,
          time_point Now);

private:
  struct slot {
    const pool_worker *Worker;
    resources Now;  ///< free
    resources Soon; ///< free once all that is being stopped has ended
    std::uint32_t Placed = 0; ///< tasks of the request at hand
  };
  using view = resources slot::*;

  bool eligible(const slot &Slot, const placement_request &Request) const;
  slot *choose(const placement_request &Request, view View,
               std::string_view Rack);
  std::vector<assignment> fill(const placement_request &Request, view View,
                               std::string_view Rack);
  void undo(const placement_request &Request,
            std::span<const assignment> Assignments);
  /// Racks to try for a step whose tasks belong in one; else one empty name.
  std::vector<std::string> rackChoices(const placement_request &Request) const;
  bool fitsInOneRack(const placement_request &Request) const;
  std::vector<assignment> placeIn(const placement_request &Request, view View);

  std::vector<slot> Slots;
};

} // namespace geraniumpaddle::work
