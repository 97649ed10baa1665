#include "core/placement/internal/schedulingpass.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace geraniumpaddle {

namespace {

/// Weights of the cost of splitting unbound cells. A plan with the default
/// weight may violate another guarantee; the dominant one outweighs all other
/// costs, so that the plan keeps the largest cells unsplit.
constexpr double DefaultCellSplitWeight = 3;
constexpr double DominantCellSplitWeight = 1e9;

} // namespace

const capacity_offer &scheduling_pass::freeOffer() {
  if (Free)
    return *Free;
  std::size_t Workers = Scratch.workers().workers().size();
  capacity_offer &Offer = Free.emplace();
  Offer.Accelerators.resize(Workers);
  Offer.Host.resize(Workers);
  Offer.LatestEnd = LatestEnd;
  for (topology_index Worker = 0; Worker < Workers; ++Worker) {
    Offer.Accelerators[Worker] = Scratch.freeMask(Worker);
    Offer.Host[Worker] = Scratch.freeHost(Worker);
  }
  return Offer;
}

guaranteed_cells
scheduling_pass::guaranteedCells(customer_index Customer) const {
  guaranteed_cells Cells;
  Cells.OwnMasks.assign(Scratch.workers().workers().size(), 0);
  for (const auto &[Key, Owner] : Scratch.boundCells()) {
    if (Owner != Customer)
      continue;
    for (topology_index Worker : Scratch.cellWorkers(Key))
      Cells.OwnMasks[Worker] |= Scratch.cellMask(Key, Worker);
  }
  for (int LevelIndex = 0; LevelIndex < CellLevels; ++LevelIndex) {
    auto Level = static_cast<cell_level>(LevelIndex);
    Cells.UnboundCells[indexOf(Level)] = Scratch.unbound(Customer, Level);
  }
  return Cells;
}

std::int32_t
scheduling_pass::remainingGuarantee(const guaranteed_cells &Cells) const {
  std::int32_t Remaining = 0;
  for (int LevelIndex = 0; LevelIndex < CellLevels; ++LevelIndex) {
    auto Level = static_cast<cell_level>(LevelIndex);
    std::int32_t Size = Level == cell_level::Rack     ? LargestRack
                        : Level == cell_level::Worker ? LargestWorker
                                                      : buddySize(Level);
    Remaining += Size * Cells.UnboundCells[indexOf(Level)];
  }
  for (topology_index Worker = 0; Worker < Cells.OwnMasks.size(); ++Worker)
    Remaining +=
        std::popcount(Cells.OwnMasks[Worker] & Scratch.preemptibleMask(Worker));
  return Remaining;
}

capacity_offer scheduling_pass::guaranteedOffer(const guaranteed_cells &Cells,
                                                bool Preempting) {
  capacity_offer Offer = freeOffer();
  Offer.Cells = &Cells;
  if (Preempting)
    Offer.PreemptionCosts = &PreemptionCosts;
  for (topology_index Worker = 0; Worker < Cells.OwnMasks.size(); ++Worker) {
    accelerator_mask &Mask = Offer.Accelerators[Worker];
    if (Preempting)
      Mask = Scratch.preemptibleMask(Worker);
    Mask &= ~Scratch.boundMask(Worker) | Cells.OwnMasks[Worker];
  }
  return Offer;
}

bool scheduling_pass::placeGuaranteed(const candidate &Job, bool Preempting) {
  std::optional<customer_index> Customer = Scratch.find(Job.Job->Customer);
  if (!Customer || Job.Accelerators == 0)
    return false;
  guaranteed_cells Cells = guaranteedCells(*Customer);
  if (remainingGuarantee(Cells) < Job.Accelerators)
    return false;
  capacity_offer Offer = guaranteedOffer(Cells, Preempting);
  for (double Weight : {DefaultCellSplitWeight, DominantCellSplitWeight}) {
    Offer.CellSplitWeight = Weight;
    std::optional<gang_plan> Plan = Planner.plan(Offer, makeRequest(Job));
    if (!Plan)
      return false;
    if (commit(Job, *Plan, /*Guaranteed=*/true))
      return true;
  }
  return false;
}

void scheduling_pass::withholdReserved(const candidate &Job,
                                       capacity_offer &Offer) const {
  bool EndsBeforeReservation =
      Job.Profile.EstimatedSeconds <= ReservationStartSeconds;
  if (ReservedFor.empty() || EndsBeforeReservation)
    return;
  for (topology_index Worker = 0; Worker < Reserved.size(); ++Worker)
    if (Reserved[Worker])
      Offer.Accelerators[Worker] = 0;
}

bool scheduling_pass::placeBorrowed(const candidate &Job) {
  capacity_offer Offer = freeOffer();
  withholdReserved(Job, Offer);
  std::optional<gang_plan> Plan = Planner.plan(Offer, makeRequest(Job));
  return Plan && commit(Job, *Plan, /*Guaranteed=*/false);
}

bool scheduling_pass::placeByPreemptingOwn(const candidate &Job) {
  preemption_costs OwnCosts;
  for (const running_attempt &Attempt : View.Running)
    if (Attempt.Customer == Job.Job->Customer && !Attempt.Urgent)
      if (auto Cost = PreemptionCosts.find(Attempt.Token);
          Cost != PreemptionCosts.end())
        OwnCosts.insert(*Cost);
  if (OwnCosts.empty())
    return false;
  capacity_offer Offer = freeOffer();
  Offer.PreemptionCosts = &OwnCosts;
  for (const auto &[Token, Cost] : OwnCosts)
    for (const auto &Task : Scratch.attempts().at(Token).Tasks)
      if (Scratch.usable(Task.Worker))
        Offer.Accelerators[Task.Worker] |= Task.Accelerators;
  std::optional<gang_plan> Plan = Planner.plan(Offer, makeRequest(Job));
  return Plan && commit(Job, *Plan, /*Guaranteed=*/false);
}

void scheduling_pass::reserveForStarved(const candidate &Job) {
  std::vector<double> Ends;
  for (const auto &[Token, Seconds] : RemainingSeconds)
    Ends.push_back(Seconds);
  std::ranges::sort(Ends);
  auto PlanAt = [&](double Seconds) {
    capacity_offer Offer = freeOffer();
    for (const auto &[Token, Attempt] : Scratch.attempts()) {
      auto Remaining = RemainingSeconds.find(Token);
      if (Remaining == RemainingSeconds.end() || Remaining->second > Seconds)
        continue;
      for (const auto &Task : Attempt.Tasks) {
        if (!Scratch.usable(Task.Worker))
          continue;
        Offer.Accelerators[Task.Worker] |= Task.Accelerators;
        if (Task.Accelerators == 0)
          Offer.Host[Task.Worker] += Task.Need;
      }
    }
    return Planner.plan(Offer, makeRequest(Job));
  };
  std::optional<gang_plan> Earliest;
  std::size_t Low = 0;
  std::size_t High = Ends.size();
  while (Low < High) {
    std::size_t Middle = (Low + High) / 2;
    std::optional<gang_plan> Plan = PlanAt(Ends[Middle]);
    if (!Plan) {
      Low = Middle + 1;
      continue;
    }
    High = Middle;
    Earliest = std::move(Plan);
  }
  if (!Earliest)
    return;
  ReservedFor = Job.Job->Job;
  ReservationStartSeconds = Ends[High];
  for (const planned_task &Task : Earliest->Tasks)
    Reserved[Task.Worker] = true;
}

unmet_constraint
scheduling_pass::findUnmetConstraint(const candidate &Job) const {
  capacity_offer TotalCapacity;
  resources LargestHost;
  int MostAccelerators = 0;
  for (const worker_node &Node : Scratch.workers().workers()) {
    TotalCapacity.Accelerators.push_back(Node.Accelerators);
    TotalCapacity.Host.push_back(Node.Host);
    LargestHost.MilliCores =
        std::max(LargestHost.MilliCores, Node.Host.MilliCores);
    LargestHost.MemoryMb = std::max(LargestHost.MemoryMb, Node.Host.MemoryMb);
    MostAccelerators =
        std::max(MostAccelerators, std::popcount(Node.Accelerators));
  }
  for (const resources &Need : Job.Job->Needs) {
    if (Need.Accelerators > MostAccelerators)
      return unmet_constraint::TaskAccelerators;
    resources Available = LargestHost;
    if (Need.Accelerators > 0) {
      Available = {};
      for (const worker_node &Node : Scratch.workers().workers()) {
        std::int64_t Size = std::popcount(Node.Accelerators);
        Available.MilliCores = std::max(Available.MilliCores,
                                        Size * Node.PerAccelerator.MilliCores);
        Available.MemoryMb =
            std::max(Available.MemoryMb, Size * Node.PerAccelerator.MemoryMb);
      }
    }
    if (Need.MilliCores > Available.MilliCores)
      return unmet_constraint::TaskCores;
    if (Need.MemoryMb > Available.MemoryMb)
      return unmet_constraint::TaskMemory;
  }
  if (Planner.plan(TotalCapacity, makeRequest(Job)))
    return unmet_constraint::None;
  plan_request Anywhere = makeRequest(Job);
  Anywhere.Within = adjacency::Any;
  return Planner.plan(TotalCapacity, Anywhere) ? unmet_constraint::GangAdjacency
                                               : unmet_constraint::GangSize;
}

} // namespace geraniumpaddle
