#include "core/placement/internal/decision.h"

#include <algorithm>
#include <bit>

namespace geraniumpaddle {

namespace {

/// Smallest gang that others are moved for, in accelerators.
constexpr std::int32_t MovingThreshold = 8;
/// A moved gang is at most this share of the gang it makes room for.
constexpr double LargestMovedShare = 0.5;
/// An attempt is not moved before it has run this long.
constexpr duration SettlingTime = std::chrono::minutes{15};
/// Most gangs moved for one.
constexpr std::size_t MaxMoved = 8;

} // namespace

victim_prices decision::movablePrices(const candidate &Job) const {
  victim_prices Movable;
  for (const auto &[Token, Price] : Prices) {
    auto Running = RunningByToken.find(Token);
    if (Running == RunningByToken.end() || Running->second->Urgent ||
        !Running->second->Idempotent ||
        Now - Running->second->StartedAt < SettlingTime)
      continue;
    double Accelerators = 0;
    for (const auto &Task : Scratch.attempts().at(Token).Tasks)
      Accelerators += std::popcount(Task.Accelerators);
    if (Accelerators <= LargestMovedShare * Job.Accelerators)
      Movable[Token] = Price;
  }
  return Movable;
}

bool decision::placeByMoving(const candidate &Job) {
  if (Job.Accelerators < MovingThreshold)
    return false;
  victim_prices Movable = movablePrices(Job);
  capacity_offer Offer = freeOffer();
  Offer.Prices = &Movable;
  std::int32_t FreeCount = 0;
  for (accelerator_mask Mask : Offer.Accelerators)
    FreeCount += std::popcount(Mask);
  if (Movable.empty() || FreeCount < Job.Accelerators)
    return false;
  for (const auto &[Token, Price] : Movable)
    for (const auto &Task : Scratch.attempts().at(Token).Tasks)
      if (Scratch.usable(Task.Worker))
        Offer.Accelerators[Task.Worker] |= Task.Accelerators;
  withholdReserved(Job, Offer);
  std::optional<gang_plan> Plan = Planner.plan(Offer, request(Job));
  if (!Plan || Plan->Victims.size() > MaxMoved)
    return false;
  double Saved = Job.Facts.WaitedSeconds + Job.Facts.EstimatedSeconds;
  return Strategy.moveIsWorth(Job.Facts, Plan->VictimPrice, Saved) &&
         victimsFitElsewhere(Job, *Plan) &&
         commit(Job, *Plan, /*Guaranteed=*/false);
}

bool decision::victimsFitElsewhere(const candidate &Job,
                                   const gang_plan &Plan) {
  capacity_offer Left = freeOffer();
  Left.Prices = nullptr;
  for (fencing_token Victim : Plan.Victims)
    for (const auto &Task : Scratch.attempts().at(Victim).Tasks) {
      if (!Scratch.usable(Task.Worker))
        continue;
      Left.Accelerators[Task.Worker] |= Task.Accelerators;
      if (Task.Accelerators == 0)
        Left.Host[Task.Worker] += Task.Need;
    }
  for (const planned_task &Task : Plan.Tasks) {
    Left.Accelerators[Task.Worker] &= ~Task.Accelerators;
    if (Task.Accelerators == 0)
      Left.Host[Task.Worker] -= Job.Job->Needs[Task.Task];
  }
  for (fencing_token Victim : Plan.Victims) {
    std::vector<resources> Needs;
    for (const auto &Task : Scratch.attempts().at(Victim).Tasks)
      Needs.push_back(Task.Need);
    plan_request Again{Needs, RunningByToken.at(Victim)->Adjacency,
                       RemainingSeconds.at(Victim)};
    std::optional<gang_plan> Moved = Planner.plan(Left, Again);
    if (!Moved)
      return false;
    for (const planned_task &Task : Moved->Tasks) {
      Left.Accelerators[Task.Worker] &= ~Task.Accelerators;
      if (Task.Accelerators == 0)
        Left.Host[Task.Worker] -= Needs[Task.Task];
    }
  }
  return true;
}

} // namespace geraniumpaddle
