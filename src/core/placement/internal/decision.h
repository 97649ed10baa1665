#pragma once

#include "core/placement/capacityaccount.h"
#include "core/placement/feasibilitycache.h"
#include "core/placement/internal/gangplanner.h"
#include "core/placement/runtimeestimator.h"
#include "core/placement/schedulingstrategy.h"
#include "core/placement/types/schedule.h"

#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// One pass over the waiting jobs. Works on a copy of the account, on which it
/// claims what it proposes, so that its proposals fit together.
class decision {
public:
  decision(const schedule_view &View, time_point Now,
           const scheduling_strategy &Strategy,
           const run_time_estimator &Estimator, feasibility_cache &Feasibility,
           std::vector<placement_proposal> &Proposals,
           std::vector<job_explanation> &Explanations);

  /// Decides about every waiting job, in the strategy's order.
  void run();

private:
  using customer_index = capacity_account::customer_index;

  /// A waiting job with what was worked out about it.
  struct candidate {
    const waiting_job *Job = nullptr;
    std::size_t Position = 0; ///< in the view
    std::int32_t Accelerators = 0;
    job_facts Facts;
    double Rank = 0;
  };

  void measureRacks();
  void priceAttempts();
  void priceAttempt(fencing_token Token,
                    const capacity_account::held_attempt &Held);
  std::vector<candidate> ranked() const;
  candidate describe(std::size_t Position) const;
  void decideJob(const candidate &Job);
  bool place(const candidate &Job);

  unmet_constraint unmet(const candidate &Job) const;
  bool overOwnLimit(const candidate &Job) const;
  job_explanation explain(const candidate &Job);

  bool placeGuaranteed(const candidate &Job, bool Preempting);
  bool placeBorrowed(const candidate &Job);
  bool placeOverOwn(const candidate &Job);
  bool placeByMoving(const candidate &Job);
  void reserve(const candidate &Job);

  plan_request request(const candidate &Job) const;
  const capacity_offer &freeOffer();
  unmet_constraint unmetOnce(const candidate &Job);
  bool failedBefore(const candidate &Job) const;
  guaranteed_cells guaranteedCells(customer_index Customer) const;
  std::int32_t guaranteeLeft(const guaranteed_cells &Cells) const;
  capacity_offer guaranteedOffer(const guaranteed_cells &Cells,
                                 bool Preempting);
  bool commit(const candidate &Job, const gang_plan &Plan, bool Guaranteed);
  void withholdReserved(const candidate &Job, capacity_offer &Offer) const;
  victim_prices movablePrices(const candidate &Job) const;
  bool victimsFitElsewhere(const candidate &Job, const gang_plan &Plan);
  void fillAssignments(const gang_plan &Plan, bool Guaranteed);

  const schedule_view &View;
  time_point Now;
  const scheduling_strategy &Strategy;
  const run_time_estimator &Estimator;
  feasibility_cache &Feasibility;
  std::vector<placement_proposal> &Proposals;
  std::vector<job_explanation> &Explanations;

  capacity_account Scratch;
  gang_planner Planner;
  std::map<fencing_token, const running_attempt *> RunningByToken;
  victim_prices Prices;           ///< of borrowed attempts
  std::int32_t LargestWorker = 0; ///< accelerators
  std::int32_t LargestRack = 0;   ///< accelerators
  std::vector<double> LatestEnd;  ///< by worker, seconds from now
  std::map<fencing_token, double> RemainingSeconds;
  std::vector<bool> Reserved; ///< by worker
  job_id ReservedFor;
  double ReservedFromSeconds = 0; ///< expected start of the reservation
  std::vector<task_assignment> Assignments;
  std::optional<capacity_offer> Free; ///< until the scratch account changes
  /// Jobs that could not be placed since capacity was last given back; what
  /// fails once fails again for an equal gang.
  std::vector<const candidate *> Failed;
};

} // namespace geraniumpaddle
