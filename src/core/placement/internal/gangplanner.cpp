#include "core/placement/internal/gangplanner.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <numeric>

namespace geraniumpaddle {

namespace {

/// Cost of one accelerator second of lost work.
constexpr double VictimCostPerSecond = 1.0 / 60;

std::int64_t ceilDivide(std::int64_t Value, std::int64_t Divisor) {
  if (Value <= 0)
    return 0;
  if (Divisor <= 0)
    return MaxAcceleratorsPerWorker + 1;
  return (Value + Divisor - 1) / Divisor;
}

accelerator_mask lowest(accelerator_mask Mask, int Count) {
  accelerator_mask Taken = 0;
  for (; Count > 0; --Count) {
    accelerator_mask Bit = Mask & (~Mask + 1);
    Taken |= Bit;
    Mask ^= Bit;
  }
  return Taken;
}

accelerator_mask aligned(int First, int Size) {
  if (Size >= MaxAcceleratorsPerWorker)
    return ~accelerator_mask{0};
  return ((accelerator_mask{1} << Size) - 1) << First;
}

/// Levels between a group of \p Size at \p First and the largest aligned group
/// around it that \p Mask still offers.
int splitLevels(accelerator_mask Mask, int First, int Size) {
  int Levels = 0;
  while (Size < MaxAcceleratorsPerWorker) {
    Size *= 2;
    First = First / Size * Size;
    accelerator_mask Group = aligned(First, Size);
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

/// What a plan in the making has taken.
struct gang_planner::attempt_state {
  attempt_state(const gang_planner &Planner, const capacity_offer &Offer,
                const plan_request &Request)
      : Planner(Planner), Offer(Offer), Request(Request) {}

  struct choice {
    double Cost = std::numeric_limits<double>::infinity();
    topology_index Worker = 0;
    accelerator_mask Accelerators = 0;
  };

  const gang_planner &Planner;
  const capacity_offer &Offer;
  const plan_request &Request;
  std::vector<accelerator_mask> Left; ///< by position in the group
  std::vector<resources> Host;        ///< by position in the group
  std::optional<cell_simulation> Cells;
  const std::vector<topology_index> *Group = nullptr;
  std::vector<choice> Choices; ///< cheapest per position for the last need
  bool AppraiseAll = false;
  gang_plan Plan;

  bool chosen(fencing_token Token) const {
    return std::ranges::find(Plan.Victims, Token) != Plan.Victims.end();
  }

  /// Price of the attempts that hold \p Mask and are not victims yet.
  double price(topology_index Worker, accelerator_mask Mask) const {
    double Sum = 0;
    fencing_token Last{};
    for (; Mask != 0; Mask &= Mask - 1) {
      fencing_token Token =
          Planner.Account.holder(Worker, std::countr_zero(Mask));
      if (Token == fencing_token{} || Token == Last || chosen(Token))
        continue;
      Last = Token;
      auto Price = Offer.Prices->find(Token);
      if (Price == Offer.Prices->end())
        return std::numeric_limits<double>::infinity();
      Sum += Price->second;
    }
    return Sum;
  }

  double cost(topology_index Worker, std::size_t Position,
              accelerator_mask Before, accelerator_mask Mask, int Split,
              bool Scattered) const {
    worker_fit Fit;
    Fit.Accelerators = std::popcount(Mask);
    Fit.FreeBefore = std::popcount(Before);
    Fit.WorkerSize =
        std::popcount(Planner.Account.workers().worker(Worker).Accelerators);
    Fit.SplitLevels = Split;
    Fit.Scattered = Scattered;
    Fit.LifetimeGapSeconds =
        std::max(0.0, Request.EstimatedSeconds - Offer.latestEnd(Worker));
    double Cost = Planner.Strategy.fitCost(Fit);
    if (Cells)
      Cost += Offer.CellWeight * Cells->cost(Position, Mask);
    if (Offer.Prices != nullptr)
      Cost += VictimCostPerSecond * price(Worker, Mask);
    return Cost;
  }

  void consider(topology_index Worker, std::size_t Position,
                accelerator_mask Before, int Count, choice &Best) const {
    int Size = static_cast<int>(std::bit_ceil(static_cast<unsigned>(Count)));
    bool Found = false;
    for (int First = 0; (Before >> First) != 0; First += Size) {
      accelerator_mask Inside = Before & aligned(First, Size);
      if (std::popcount(Inside) < Count)
        continue;
      Found = true;
      accelerator_mask Mask = lowest(Inside, Count);
      double Cost = cost(Worker, Position, Before, Mask,
                         splitLevels(Before, First, Size), false);
      if (Cost < Best.Cost)
        Best = {Cost, Worker, Mask};
    }
    if (Found || std::popcount(Before) < Count)
      return;
    accelerator_mask Mask = lowest(Before, Count);
    double Cost = cost(Worker, Position, Before, Mask, 0, true);
    if (Cost < Best.Cost)
      Best = {Cost, Worker, Mask};
  }

  void appraise(const resources &Need, std::size_t Position) {
    choice &Choice = Choices[Position];
    Choice = {};
    if (Left[Position] == 0)
      return;
    topology_index Worker = (*Group)[Position];
    const worker_node &Node = Planner.Account.workers().worker(Worker);
    int Count = acceleratorsFor(Need, Node);
    if (std::popcount(Left[Position]) >= Count)
      consider(Worker, Position, Left[Position], Count, Choice);
  }

  /// True if two positions look the same to a borrowing gang.
  bool alike(std::size_t One, std::size_t Other) const {
    topology_index First = (*Group)[One];
    topology_index Second = (*Group)[Other];
    const topology &Topology = Planner.Account.workers();
    return Left[One] == Left[Other] &&
           Offer.latestEnd(First) == Offer.latestEnd(Second) &&
           Topology.worker(First).PerAccelerator ==
               Topology.worker(Second).PerAccelerator &&
           Topology.worker(First).Accelerators ==
               Topology.worker(Second).Accelerators;
  }

  void appraiseAll(const resources &Need) {
    bool Comparable = !Cells && Offer.Prices == nullptr;
    for (std::size_t Position = 0; Position < Left.size(); ++Position) {
      bool Repeats =
          Comparable && Position > 0 && alike(Position - 1, Position);
      if (!Repeats) {
        appraise(Need, Position);
        continue;
      }
      Choices[Position] = Choices[Position - 1];
      Choices[Position].Worker = (*Group)[Position];
    }
  }

  /// Places a task whose need is that of the task before if \p Repeated, so
  /// that only what the last step changed is appraised again.
  bool placeWithAccelerators(std::uint32_t Task, bool Repeated) {
    const resources &Need = Request.Needs[Task];
    if (!Repeated || AppraiseAll)
      appraiseAll(Need);
    AppraiseAll = false;
    auto Best = std::ranges::min_element(Choices, {}, &choice::Cost);
    if (Best == Choices.end() || Best->Accelerators == 0)
      return false;
    auto Position = static_cast<std::size_t>(Best - Choices.begin());
    choice Taken = *Best;
    std::size_t Victims = Plan.Victims.size();
    take(Taken.Worker, Taken.Accelerators);
    AppraiseAll = Plan.Victims.size() != Victims;
    if (Cells)
      AppraiseAll |= Cells->take(Position, Taken.Accelerators);
    Left[Position] &= ~Taken.Accelerators;
    appraise(Need, Position);
    Plan.Cost += Taken.Cost;
    Plan.Tasks.push_back({Task, Taken.Worker, Taken.Accelerators});
    return true;
  }

  void take(topology_index Worker, accelerator_mask Mask) {
    if (Offer.Prices == nullptr)
      return;
    for (; Mask != 0; Mask &= Mask - 1) {
      fencing_token Token =
          Planner.Account.holder(Worker, std::countr_zero(Mask));
      if (Token == fencing_token{} || chosen(Token))
        continue;
      Plan.Victims.push_back(Token);
      Plan.VictimPrice += Offer.Prices->at(Token);
    }
  }

  bool placeOnHost(std::uint32_t Task,
                   const std::vector<topology_index> &Group) {
    const resources &Need = Request.Needs[Task];
    std::size_t Best = Group.size();
    for (std::size_t Position = 0; Position < Group.size(); ++Position) {
      if (!Host[Position].covers(Need))
        continue;
      if (Best == Group.size() ||
          Host[Position].MilliCores < Host[Best].MilliCores)
        Best = Position;
    }
    if (Best == Group.size())
      return false;
    Host[Best] -= Need;
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
gang_planner::groups(adjacency Within) const {
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

bool gang_planner::mayFit(const capacity_offer &Offer,
                          const plan_request &Request,
                          const worker_group &Group) const {
  std::int64_t Needed = 0;
  for (const resources &Need : Request.Needs)
    Needed += Need.Accelerators;
  for (topology_index Worker : Group)
    Needed -= std::popcount(Offer.Accelerators[Worker]);
  return Needed <= 0;
}

std::optional<gang_plan> gang_planner::planGroup(
    const capacity_offer &Offer, const plan_request &Request,
    std::span<const std::uint32_t> Order, const worker_group &Group) const {
  attempt_state State(*this, Offer, Request);
  if (Offer.Cells != nullptr)
    State.Cells.emplace(Account, *Offer.Cells, Group);
  State.Group = &Group;
  State.Choices.resize(Group.size());
  State.Left.reserve(Group.size());
  State.Host.reserve(Group.size());
  for (topology_index Worker : Group) {
    State.Left.push_back(Offer.Accelerators[Worker]);
    State.Host.push_back(Offer.Host[Worker]);
  }
  const resources *Last = nullptr;
  for (std::uint32_t Task : Order) {
    const resources &Need = Request.Needs[Task];
    bool OnHost = Need.Accelerators <= 0;
    bool Repeated = Last != nullptr && *Last == Need;
    bool Placed = OnHost ? State.placeOnHost(Task, Group)
                         : State.placeWithAccelerators(Task, Repeated);
    if (!Placed)
      return std::nullopt;
    Last = &Need;
  }
  return std::move(State.Plan);
}

std::optional<gang_plan> gang_planner::plan(const capacity_offer &Offer,
                                            const plan_request &Request) const {
  std::vector<std::uint32_t> Order = largestFirst(Request.Needs);
  std::optional<gang_plan> Best;
  for (const worker_group &Group : groups(Request.Within)) {
    if (!mayFit(Offer, Request, Group))
      continue;
    std::optional<gang_plan> Plan = planGroup(Offer, Request, Order, Group);
    if (Plan && (!Best || Plan->Cost < Best->Cost))
      Best = std::move(Plan);
  }
  return Best;
}

} // namespace geraniumpaddle
