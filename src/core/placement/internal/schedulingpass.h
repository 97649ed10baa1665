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

/// One pass over the waiting jobs. Each proposal is claimed on a copy of the
/// capacity account, so that all proposals of the pass can be accepted
/// together.
class scheduling_pass {
public:
  scheduling_pass(const schedule_view &View, time_point Now,
                  const scheduling_strategy &Strategy,
                  const run_time_estimator &Estimator,
                  feasibility_cache &Feasibility,
                  std::vector<placement_proposal> &Proposals,
                  std::vector<job_explanation> &Explanations);

  /// Proposes a placement for each waiting job, or explains why it waits.
  /// Urgent jobs come first, the others in the order of the strategy.
  void run();

private:
  using customer_index = capacity_account::customer_index;

  /// A waiting job with the values that the pass derives from it.
  struct candidate {
    const waiting_job *Job = nullptr;
    std::size_t Position = 0; ///< index into the waiting jobs of the view
    std::int32_t Accelerators = 0;
    job_profile Profile;
    double Rank = 0;
  };

  void computeLargestSizes();
  void computePreemptionCosts();
  void computePreemptionCost(fencing_token Token,
                             const capacity_account::held_attempt &Held);
  std::vector<candidate> rankCandidates() const;
  candidate makeCandidate(std::size_t Position) const;
  void scheduleJob(const candidate &Job);
  /// Tries the guarantee of the customer first, then borrowing, then preempting
  /// borrowing gangs of the same customer (urgent jobs only) or relocation.
  bool place(const candidate &Job);

  unmet_constraint findUnmetConstraint(const candidate &Job) const;
  bool exceedsCustomerLimit(const candidate &Job) const;
  job_explanation explain(const candidate &Job);

  bool placeGuaranteed(const candidate &Job, bool Preempting);
  bool placeBorrowed(const candidate &Job);
  /// Preempts attempts of the same customer that are not urgent.
  bool placeByPreemptingOwn(const candidate &Job);
  /// Defragments: preempts borrowing gangs that can restart elsewhere.
  bool placeByRelocation(const candidate &Job);
  /// Reserves workers for the earliest expected start of a starved job. Jobs
  /// that end before it may still use them, as in backfill scheduling.
  void reserveForStarved(const candidate &Job);

  plan_request makeRequest(const candidate &Job) const;
  const capacity_offer &freeOffer();
  unmet_constraint cachedUnmetConstraint(const candidate &Job);
  /// True if a job with the same needs already failed in this pass.
  bool similarJobFailed(const candidate &Job) const;
  guaranteed_cells guaranteedCells(customer_index Customer) const;
  std::int32_t remainingGuarantee(const guaranteed_cells &Cells) const;
  capacity_offer guaranteedOffer(const guaranteed_cells &Cells,
                                 bool Preempting);
  bool commit(const candidate &Job, const gang_plan &Plan, bool Guaranteed);
  void withholdReserved(const candidate &Job, capacity_offer &Offer) const;
  preemption_costs relocationCosts(const candidate &Job) const;
  bool victimsCanBeRelocated(const candidate &Job, const gang_plan &Plan);
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
  preemption_costs PreemptionCosts; ///< of attempts with borrowed accelerators
  std::int32_t LargestWorker = 0;   ///< accelerators
  std::int32_t LargestRack = 0;     ///< accelerators
  std::vector<double> LatestEnd;    ///< by worker, seconds from now
  std::map<fencing_token, double> RemainingSeconds;
  std::vector<bool> Reserved; ///< by worker
  job_id ReservedFor;
  double ReservationStartSeconds = 0; ///< expected start, from now
  std::vector<task_assignment> Assignments;
  /// Result of freeOffer(), valid until the scratch account changes.
  std::optional<capacity_offer> Free;
  /// Jobs that could not be placed since the last preemption, which is the only
  /// step of a pass that frees capacity. A similar job would fail again.
  std::vector<const candidate *> FailedJobs;
};

} // namespace geraniumpaddle
