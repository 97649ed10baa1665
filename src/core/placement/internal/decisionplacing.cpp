#include "core/placement/internal/decision.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace geraniumpaddle {

namespace {

/// Weights of splitting unbound cells: beside the other costs, and above all.
constexpr double LooseCellWeight = 3;
constexpr double TightCellWeight = 1e9;

} // namespace

const capacity_offer &decision::freeOffer() {
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

guaranteed_cells decision::guaranteedCells(customer_index Customer) const {
  guaranteed_cells Cells;
  Cells.Own.assign(Scratch.workers().workers().size(), 0);
  for (const auto &[Key, Owner] : Scratch.boundCells()) {
    if (Owner != Customer)
      continue;
    for (topology_index Worker : Scratch.cellWorkers(Key))
      Cells.Own[Worker] |= Scratch.cellMask(Key, Worker);
  }
  for (int Step = 0; Step < CellLevels; ++Step) {
    auto Level = static_cast<cell_level>(Step);
    Cells.Unbound[indexOf(Level)] = Scratch.unbound(Customer, Level);
  }
  return Cells;
}

std::int32_t decision::guaranteeLeft(const guaranteed_cells &Cells) const {
  std::int32_t Left = 0;
  for (int Step = 0; Step < CellLevels; ++Step) {
    auto Level = static_cast<cell_level>(Step);
    std::int32_t Size = Level == cell_level::Rack     ? LargestRack
                        : Level == cell_level::Worker ? LargestWorker
                                                      : buddySize(Level);
    Left += Size * Cells.Unbound[indexOf(Level)];
  }
  for (topology_index Worker = 0; Worker < Cells.Own.size(); ++Worker)
    Left += std::popcount(Cells.Own[Worker] & Scratch.preemptibleMask(Worker));
  return Left;
}

capacity_offer decision::guaranteedOffer(const guaranteed_cells &Cells,
                                         bool Preempting) {
  capacity_offer Offer = freeOffer();
  Offer.Cells = &Cells;
  if (Preempting)
    Offer.Prices = &Prices;
  for (topology_index Worker = 0; Worker < Cells.Own.size(); ++Worker) {
    accelerator_mask &Mask = Offer.Accelerators[Worker];
    if (Preempting)
      Mask = Scratch.preemptibleMask(Worker);
    Mask &= ~Scratch.boundMask(Worker) | Cells.Own[Worker];
  }
  return Offer;
}

bool decision::placeGuaranteed(const candidate &Job, bool Preempting) {
  std::optional<customer_index> Customer = Scratch.find(Job.Job->Customer);
  if (!Customer || Job.Accelerators == 0)
    return false;
  guaranteed_cells Cells = guaranteedCells(*Customer);
  if (guaranteeLeft(Cells) < Job.Accelerators)
    return false;
  capacity_offer Offer = guaranteedOffer(Cells, Preempting);
  for (double Weight : {LooseCellWeight, TightCellWeight}) {
    Offer.CellWeight = Weight;
    std::optional<gang_plan> Plan = Planner.plan(Offer, request(Job));
    if (!Plan)
      return false;
    if (commit(Job, *Plan, /*Guaranteed=*/true))
      return true;
  }
  return false;
}

void decision::withholdReserved(const candidate &Job,
                                capacity_offer &Offer) const {
  bool EndsBefore = Job.Facts.EstimatedSeconds <= ReservedFromSeconds;
  if (ReservedFor.empty() || EndsBefore)
    return;
  for (topology_index Worker = 0; Worker < Reserved.size(); ++Worker)
    if (Reserved[Worker])
      Offer.Accelerators[Worker] = 0;
}

bool decision::placeBorrowed(const candidate &Job) {
  capacity_offer Offer = freeOffer();
  withholdReserved(Job, Offer);
  std::optional<gang_plan> Plan = Planner.plan(Offer, request(Job));
  return Plan && commit(Job, *Plan, /*Guaranteed=*/false);
}

bool decision::placeOverOwn(const candidate &Job) {
  victim_prices Own;
  for (const running_attempt &Attempt : View.Running)
    if (Attempt.Customer == Job.Job->Customer && !Attempt.Urgent)
      if (auto Price = Prices.find(Attempt.Token); Price != Prices.end())
        Own.insert(*Price);
  if (Own.empty())
    return false;
  capacity_offer Offer = freeOffer();
  Offer.Prices = &Own;
  for (const auto &[Token, Price] : Own)
    for (const auto &Task : Scratch.attempts().at(Token).Tasks)
      if (Scratch.usable(Task.Worker))
        Offer.Accelerators[Task.Worker] |= Task.Accelerators;
  std::optional<gang_plan> Plan = Planner.plan(Offer, request(Job));
  return Plan && commit(Job, *Plan, /*Guaranteed=*/false);
}

void decision::reserve(const candidate &Job) {
  std::vector<double> Ends;
  for (const auto &[Token, Seconds] : RemainingSeconds)
    Ends.push_back(Seconds);
  std::ranges::sort(Ends);
  auto PlanAt = [&](double Seconds) {
    capacity_offer Offer = freeOffer();
    for (const auto &[Token, Attempt] : Scratch.attempts()) {
      auto Left = RemainingSeconds.find(Token);
      if (Left == RemainingSeconds.end() || Left->second > Seconds)
        continue;
      for (const auto &Task : Attempt.Tasks) {
        if (!Scratch.usable(Task.Worker))
          continue;
        Offer.Accelerators[Task.Worker] |= Task.Accelerators;
        if (Task.Accelerators == 0)
          Offer.Host[Task.Worker] += Task.Need;
      }
    }
    return Planner.plan(Offer, request(Job));
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
  ReservedFromSeconds = Ends[High];
  for (const planned_task &Task : Earliest->Tasks)
    Reserved[Task.Worker] = true;
}

unmet_constraint decision::unmet(const candidate &Job) const {
  capacity_offer Whole;
  resources Host;
  int Largest = 0;
  for (const worker_node &Node : Scratch.workers().workers()) {
    Whole.Accelerators.push_back(Node.Accelerators);
    Whole.Host.push_back(Node.Host);
    Host.MilliCores = std::max(Host.MilliCores, Node.Host.MilliCores);
    Host.MemoryMb = std::max(Host.MemoryMb, Node.Host.MemoryMb);
    Largest = std::max(Largest, std::popcount(Node.Accelerators));
  }
  for (const resources &Need : Job.Job->Needs) {
    if (Need.Accelerators > Largest)
      return unmet_constraint::TaskAccelerators;
    resources Given = Host;
    if (Need.Accelerators > 0) {
      Given = {};
      for (const worker_node &Node : Scratch.workers().workers()) {
        std::int64_t Size = std::popcount(Node.Accelerators);
        Given.MilliCores =
            std::max(Given.MilliCores, Size * Node.PerAccelerator.MilliCores);
        Given.MemoryMb =
            std::max(Given.MemoryMb, Size * Node.PerAccelerator.MemoryMb);
      }
    }
    if (Need.MilliCores > Given.MilliCores)
      return unmet_constraint::TaskCores;
    if (Need.MemoryMb > Given.MemoryMb)
      return unmet_constraint::TaskMemory;
  }
  if (Planner.plan(Whole, request(Job)))
    return unmet_constraint::None;
  plan_request Anywhere = request(Job);
  Anywhere.Within = adjacency::Any;
  return Planner.plan(Whole, Anywhere) ? unmet_constraint::GangAdjacency
                                       : unmet_constraint::GangSize;
}

} // namespace geraniumpaddle
