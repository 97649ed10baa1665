#include "core/placement/internal/schedulingpass.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

namespace {

/// Smallest gang, in accelerators, that other gangs are relocated for.
constexpr std::int32_t MinRelocationGangSize = 8;
/// Largest relocated gang, as a share of the gang that it is relocated for.
constexpr double MaxRelocatedShare = 0.5;
/// An attempt is not relocated before it has run this long.
constexpr duration MinRunTimeBeforeRelocation = std::chrono::minutes{15};
/// Most gangs that are relocated for one gang.
constexpr std::size_t MaxRelocatedGangs = 8;

} // namespace

preemption_costs scheduling_pass::relocationCosts(const candidate &Job) const {
  preemption_costs Relocatable;
  for (const auto &[Token, Cost] : PreemptionCosts) {
    auto Running = RunningByToken.find(Token);
    if (Running == RunningByToken.end() || Running->second->Urgent ||
        !Running->second->Idempotent ||
        Now - Running->second->StartedAt < MinRunTimeBeforeRelocation)
      continue;
    double Accelerators = 0;
    for (const auto &Task : Scratch.attempts().at(Token).Tasks)
      Accelerators += std::popcount(Task.Accelerators);
    if (Accelerators <= MaxRelocatedShare * Job.Accelerators)
      Relocatable[Token] = Cost;
  }
  return Relocatable;
}

bool scheduling_pass::placeByRelocation(const candidate &Job) {
  if (Job.Accelerators < MinRelocationGangSize)
    return false;
  preemption_costs Relocatable = relocationCosts(Job);
  capacity_offer Offer = freeOffer();
  Offer.PreemptionCosts = &Relocatable;
  std::int32_t FreeAccelerators = 0;
  for (accelerator_mask Mask : Offer.Accelerators)
    FreeAccelerators += std::popcount(Mask);
  if (Relocatable.empty() || FreeAccelerators < Job.Accelerators)
    return false;
  for (const auto &[Token, Cost] : Relocatable)
    for (const auto &Task : Scratch.attempts().at(Token).Tasks)
      if (Scratch.usable(Task.Worker))
        Offer.Accelerators[Task.Worker] |= Task.Accelerators;
  withholdReserved(Job, Offer);
  std::optional<gang_plan> Plan = Planner.plan(Offer, makeRequest(Job));
  if (!Plan || Plan->Victims.size() > MaxRelocatedGangs)
    return false;
  double SavedSeconds =
      Job.Profile.WaitedSeconds + Job.Profile.EstimatedSeconds;
  return Strategy.relocationPaysOff(Job.Profile, Plan->PreemptionCost,
                                    SavedSeconds) &&
         victimsCanBeRelocated(Job, *Plan) &&
         commit(Job, *Plan, /*Guaranteed=*/false);
}

bool scheduling_pass::victimsCanBeRelocated(const candidate &Job,
                                            const gang_plan &Plan) {
  capacity_offer Remaining = freeOffer();
  Remaining.PreemptionCosts = nullptr;
  for (fencing_token Victim : Plan.Victims)
    for (const auto &Task : Scratch.attempts().at(Victim).Tasks) {
      if (!Scratch.usable(Task.Worker))
        continue;
      Remaining.Accelerators[Task.Worker] |= Task.Accelerators;
      if (Task.Accelerators == 0)
        Remaining.Host[Task.Worker] += Task.Need;
    }
  for (const planned_task &Task : Plan.Tasks) {
    Remaining.Accelerators[Task.Worker] &= ~Task.Accelerators;
    if (Task.Accelerators == 0)
      Remaining.Host[Task.Worker] -= Job.Job->Needs[Task.Task];
  }
  for (fencing_token Victim : Plan.Victims) {
    std::vector<resources> Needs;
    for (const auto &Task : Scratch.attempts().at(Victim).Tasks)
      Needs.push_back(Task.Need);
    plan_request Restart{Needs, RunningByToken.at(Victim)->Adjacency,
                         RemainingSeconds.at(Victim)};
    std::optional<gang_plan> Relocated = Planner.plan(Remaining, Restart);
    if (!Relocated)
      return false;
    for (const planned_task &Task : Relocated->Tasks) {
      Remaining.Accelerators[Task.Worker] &= ~Task.Accelerators;
      if (Task.Accelerators == 0)
        Remaining.Host[Task.Worker] -= Needs[Task.Task];
    }
  }
  return true;
}

} // namespace geraniumpaddle
