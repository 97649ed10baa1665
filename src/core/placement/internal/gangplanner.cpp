#include "core/placement/internal/gangplanner.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <numeric>

namespace geraniumpaddle {

namespace {

/// Cost of one accelerator second of work that is lost to preemption.
constexpr double CostPerLostSecond = 1.0 / 60;

std::int64_t ceilDivide(std::int64_t Value, std::int64_t Divisor) {
  if (Value <= 0)
    return 0;
  if (Divisor <= 0)
    return MaxAcceleratorsPerWorker + 1;
  return (Value + Divisor - 1) / Divisor;
}

/// The \p Count lowest accelerators of \p Mask.
accelerator_mask lowestBits(accelerator_mask Mask, int Count) {
  accelerator_mask Chosen = 0;
  for (; Count > 0; --Count) {
    accelerator_mask Bit = Mask & (~Mask + 1);
    Chosen |= Bit;
    Mask ^= Bit;
  }
  return Chosen;
}

accelerator_mask alignedGroup(int First, int Size) {
  if (Size >= MaxAcceleratorsPerWorker)
    return ~accelerator_mask{0};
  return ((accelerator_mask{1} << Size) - 1) << First;
}

/// Number of times that the largest aligned group of \p Mask around \p First
/// has to be halved to get a group of \p Size.
int splitLevels(accelerator_mask Mask, int First, int Size) {
  int Levels = 0;
  while (Size < MaxAcceleratorsPerWorker) {
    Size *= 2;
    First = First / Size * Size;
    accelerator_mask Group = alignedGroup(First, Size);
    if ((Mask & Group) != Group)
      break;
    ++Levels;
  }
  return Levels;
}

} // namespace

int acceleratorsFor(const resources &Need, const worker_node &Worker) {
  if (Need.Accelerators <= 0)
    return 0;
  std::int64_t Count = Need.Accelerators;
  Count = std::max(
      Count, ceilDivide(Need.MilliCores, Worker.PerAccelerator.MilliCores));
  Count = std::max(Count,
                   ceilDivide(Need.MemoryMb, Worker.PerAccelerator.MemoryMb));
  return static_cast<int>(
      std::min<std::int64_t>(Count, MaxAcceleratorsPerWorker + 1));
}

/// State of a plan for one worker group while its tasks are placed.
struct gang_planner::plan_state {
  plan_state(const gang_planner &Planner, const capacity_offer &Offer,
             const plan_request &Request)
      : Planner(Planner), Offer(Offer), Request(Request) {}

  struct placement_option {
    double Cost = std::numeric_limits<double>::infinity();
    topology_index Worker = 0;
    accelerator_mask Accelerators = 0;
  };

  const gang_planner &Planner;
  const capacity_offer &Offer;
  const plan_request &Request;
  std::vector<accelerator_mask> RemainingMasks; ///< by position in the group
  std::vector<resources> RemainingHost;         ///< by position in the group
  std::optional<cell_simulation> Cells;
  const std::vector<topology_index> *Group = nullptr;
  /// Cheapest option by position in the group, for the most recent need.
  std::vector<placement_option> Options;
  bool EvaluateAll = false;
  gang_plan Plan;

  bool isVictim(fencing_token Token) const {
    return std::ranges::find(Plan.Victims, Token) != Plan.Victims.end();
  }

  /// Cost of preempting the attempts that hold \p Mask and are not victims yet.
  double preemptionCost(topology_index Worker, accelerator_mask Mask) const {
    double Sum = 0;
    fencing_token Previous{};
    for (; Mask != 0; Mask &= Mask - 1) {
      fencing_token Token =
          Planner.Account.holder(Worker, std::countr_zero(Mask));
      if (Token == fencing_token{} || Token == Previous || isVictim(Token))
        continue;
      Previous = Token;
      auto Entry = Offer.PreemptionCosts->find(Token);
      if (Entry == Offer.PreemptionCosts->end())
        return std::numeric_limits<double>::infinity();
      Sum += Entry->second;
    }
    return Sum;
  }

  double cost(topology_index Worker, std::size_t Position,
              accelerator_mask Offered, accelerator_mask Mask, int Split,
              bool Scattered) const {
    worker_fit Fit;
    Fit.Accelerators = std::popcount(Mask);
    Fit.FreeBefore = std::popcount(Offered);
    Fit.WorkerSize =
        std::popcount(Planner.Account.workers().worker(Worker).Accelerators);
    Fit.SplitLevels = Split;
    Fit.Scattered = Scattered;
    Fit.LifetimeGapSeconds =
        std::max(0.0, Request.EstimatedSeconds - Offer.latestEnd(Worker));
    double Cost = Planner.Strategy.fitCost(Fit);
    if (Cells)
      Cost += Offer.CellSplitWeight * Cells->cost(Position, Mask);
    if (Offer.PreemptionCosts != nullptr)
      Cost += CostPerLostSecond * preemptionCost(Worker, Mask);
    return Cost;
  }

  /// Compares the masks of \p Count accelerators that lie in one aligned group;
  /// takes scattered accelerators only if no group has enough.
  void evaluateMasks(topology_index Worker, std::size_t Position,
                     accelerator_mask Offered, int Count,
                     placement_option &Best) const {
    int Size = static_cast<int>(std::bit_ceil(static_cast<unsigned>(Count)));
    bool Found = false;
    for (int First = 0; (Offered >> First) != 0; First += Size) {
      accelerator_mask Inside = Offered & alignedGroup(First, Size);
      if (std::popcount(Inside) < Count)
        continue;
      Found = true;
      accelerator_mask Mask = lowestBits(Inside, Count);
      double Cost = cost(Worker, Position, Offered, Mask,
                         splitLevels(Offered, First, Size), false);
      if (Cost < Best.Cost)
        Best = {Cost, Worker, Mask};
    }
    if (Found || std::popcount(Offered) < Count)
      return;
    accelerator_mask Mask = lowestBits(Offered, Count);
    double Cost = cost(Worker, Position, Offered, Mask, 0, true);
    if (Cost < Best.Cost)
      Best = {Cost, Worker, Mask};
  }

  /// Finds the cheapest option for \p Need on one worker.
  void evaluate(const resources &Need, std::size_t Position) {
    placement_option &Option = Options[Position];
    Option = {};
    if (RemainingMasks[Position] == 0)
      return;
    topology_index Worker = (*Group)[Position];
    const worker_node &Node = Planner.Account.workers().worker(Worker);
    int Count = acceleratorsFor(Need, Node);
    if (std::popcount(RemainingMasks[Position]) >= Count)
      evaluateMasks(Worker, Position, RemainingMasks[Position], Count, Option);
  }

  /// True if two workers have the same options for a borrowing gang.
  bool isEquivalent(std::size_t One, std::size_t Other) const {
    topology_index First = (*Group)[One];
    topology_index Second = (*Group)[Other];
    const topology &Topology = Planner.Account.workers();
    return RemainingMasks[One] == RemainingMasks[Other] &&
           Offer.latestEnd(First) == Offer.latestEnd(Second) &&
           Topology.worker(First).PerAccelerator ==
               Topology.worker(Second).PerAccelerator &&
           Topology.worker(First).Accelerators ==
               Topology.worker(Second).Accelerators;
  }

  void evaluateAll(const resources &Need) {
    bool CanShareOptions = !Cells && Offer.PreemptionCosts == nullptr;
    for (std::size_t Position = 0; Position < RemainingMasks.size();
         ++Position) {
      bool SameAsPrevious = CanShareOptions && Position > 0 &&
                            isEquivalent(Position - 1, Position);
      if (!SameAsPrevious) {
        evaluate(Need, Position);
        continue;
      }
      Options[Position] = Options[Position - 1];
      Options[Position].Worker = (*Group)[Position];
    }
  }

  /// Places one task. If \p Repeated, its need equals that of the previous
  /// task, so that only the options that the previous placement changed are
  /// evaluated again.
  bool placeWithAccelerators(std::uint32_t Task, bool Repeated) {
    const resources &Need = Request.Needs[Task];
    if (!Repeated || EvaluateAll)
      evaluateAll(Need);
    EvaluateAll = false;
    auto Best = std::ranges::min_element(Options, {}, &placement_option::Cost);
    if (Best == Options.end() || Best->Accelerators == 0)
      return false;
    auto Position = static_cast<std::size_t>(Best - Options.begin());
    placement_option Chosen = *Best;
    std::size_t Victims = Plan.Victims.size();
    addVictims(Chosen.Worker, Chosen.Accelerators);
    EvaluateAll = Plan.Victims.size() != Victims;
    if (Cells)
      EvaluateAll |= Cells->allocate(Position, Chosen.Accelerators);
    RemainingMasks[Position] &= ~Chosen.Accelerators;
    evaluate(Need, Position);
    Plan.Cost += Chosen.Cost;
    Plan.Tasks.push_back({Task, Chosen.Worker, Chosen.Accelerators});
    return true;
  }

  /// Adds the attempts that hold \p Mask to the victims of the plan.
  void addVictims(topology_index Worker, accelerator_mask Mask) {
    if (Offer.PreemptionCosts == nullptr)
      return;
    for (; Mask != 0; Mask &= Mask - 1) {
      fencing_token Token =
          Planner.Account.holder(Worker, std::countr_zero(Mask));
      if (Token == fencing_token{} || isVictim(Token))
        continue;
      Plan.Victims.push_back(Token);
      Plan.PreemptionCost += Offer.PreemptionCosts->at(Token);
    }
  }

  /// Places a task without accelerators on the fitting worker that has the
  /// fewest cores left (best fit).
  bool placeOnHost(std::uint32_t Task,
                   const std::vector<topology_index> &Group) {
    const resources &Need = Request.Needs[Task];
    std::size_t Best = Group.size();
    for (std::size_t Position = 0; Position < Group.size(); ++Position) {
      if (!RemainingHost[Position].covers(Need))
        continue;
      if (Best == Group.size() ||
          RemainingHost[Position].MilliCores < RemainingHost[Best].MilliCores)
        Best = Position;
    }
    if (Best == Group.size())
      return false;
    RemainingHost[Best] -= Need;
    Plan.Tasks.push_back({Task, Group[Best], 0});
    return true;
  }
};

gang_planner::gang_planner(const capacity_account &Account,
                           const scheduling_strategy &Strategy)
    : Account(Account), Strategy(Strategy), All(1),
      Regions(Account.workers().regionCount()),
      Zones(Account.workers().zoneCount()),
      Racks(Account.workers().racks().size()) {
  std::span<const worker_node> Nodes = Account.workers().workers();
  for (topology_index Index = 0; Index < Nodes.size(); ++Index) {
    All.front().push_back(Index);
    Regions[Nodes[Index].Region].push_back(Index);
    Zones[Nodes[Index].Zone].push_back(Index);
    Racks[Nodes[Index].Rack].push_back(Index);
    Workers.push_back({Index});
  }
}

std::span<const gang_planner::worker_group>
gang_planner::workerGroups(adjacency Within) const {
  switch (Within) {
  case adjacency::Any:
    return All;
  case adjacency::Region:
    return Regions;
  case adjacency::Zone:
    return Zones;
  case adjacency::Rack:
    return Racks;
  case adjacency::Worker:
    return Workers;
  }
  return All;
}

std::vector<std::uint32_t>
gang_planner::largestFirst(std::span<const resources> Needs) const {
  std::vector<std::uint32_t> Order(Needs.size());
  std::iota(Order.begin(), Order.end(), 0U);
  std::ranges::stable_sort(Order, [&](std::uint32_t Left, std::uint32_t Right) {
    return Needs[Left] > Needs[Right];
  });
  return Order;
}

bool gang_planner::hasEnoughAccelerators(const capacity_offer &Offer,
                                         const plan_request &Request,
                                         const worker_group &Group) const {
  std::int64_t Missing = 0;
  for (const resources &Need : Request.Needs)
    Missing += Need.Accelerators;
  for (topology_index Worker : Group)
    Missing -= std::popcount(Offer.Accelerators[Worker]);
  return Missing <= 0;
}

std::optional<gang_plan> gang_planner::planGroup(
    const capacity_offer &Offer, const plan_request &Request,
    std::span<const std::uint32_t> Order, const worker_group &Group) const {
  plan_state State(*this, Offer, Request);
  if (Offer.Cells != nullptr)
    State.Cells.emplace(Account, *Offer.Cells, Group);
  State.Group = &Group;
  State.Options.resize(Group.size());
  State.RemainingMasks.reserve(Group.size());
  State.RemainingHost.reserve(Group.size());
  for (topology_index Worker : Group) {
    State.RemainingMasks.push_back(Offer.Accelerators[Worker]);
    State.RemainingHost.push_back(Offer.Host[Worker]);
  }
  const resources *Previous = nullptr;
  for (std::uint32_t Task : Order) {
    const resources &Need = Request.Needs[Task];
    bool OnHost = Need.Accelerators <= 0;
    bool Repeated = Previous != nullptr && *Previous == Need;
    bool Placed = OnHost ? State.placeOnHost(Task, Group)
                         : State.placeWithAccelerators(Task, Repeated);
    if (!Placed)
      return std::nullopt;
    Previous = &Need;
  }
  return std::move(State.Plan);
}

std::optional<gang_plan> gang_planner::plan(const capacity_offer &Offer,
                                            const plan_request &Request) const {
  std::vector<std::uint32_t> Order = largestFirst(Request.Needs);
  std::optional<gang_plan> Best;
  for (const worker_group &Group : workerGroups(Request.Within)) {
    if (!hasEnoughAccelerators(Offer, Request, Group))
      continue;
    std::optional<gang_plan> Plan = planGroup(Offer, Request, Order, Group);
    if (Plan && (!Best || Plan->Cost < Best->Cost))
      Best = std::move(Plan);
  }
  return Best;
}

} // namespace geraniumpaddle
