#include "core/placement/tests/reclaimcheck.h"

#include <algorithm>
#include <bit>
#include <map>
#include <tuple>

namespace geraniumpaddle {

namespace {

/// Largest number of cell placements that are tried before the search reports
/// failure.
constexpr std::int64_t SearchBudget = 3'000'000;

constexpr int BuddySizes[] = {1, 2, 4, 8};

/// Accelerators of each usable worker.
using cluster_mask = std::vector<accelerator_mask>;

struct required_cell {
  cell_level Level;
  std::size_t Customer;
};

/// Backtracking search over the positions of all required cells.
class cell_search {
public:
  cell_search(const capacity_image &Image,
              std::span<const guarantee_shortfall> Shortfalls);
  bool run() { return placeFrom(0, 0); }

private:
  void addRequired(std::size_t Customer, const customer_guarantees &Config,
                   std::span<const guarantee_shortfall> Shortfalls);
  void addPositions();
  bool placeFrom(std::size_t Cell, std::size_t FirstPosition);
  bool isFree(const cluster_mask &Position, std::size_t Customer) const;
  bool allUseCovered() const;

  std::vector<accelerator_mask> AllAccelerators;
  std::vector<std::size_t> RackOfWorker;
  std::map<worker_id, std::size_t> Index;
  std::map<cell_level, std::vector<cluster_mask>> Positions;
  std::vector<cluster_mask> Used;   ///< by guaranteed tasks, per customer
  std::vector<cluster_mask> Placed; ///< cells placed so far, per customer
  std::vector<required_cell> Required;
  std::int64_t Budget = SearchBudget;
};

cell_search::cell_search(const capacity_image &Image,
                         std::span<const guarantee_shortfall> Shortfalls) {
  std::map<std::tuple<region_id, availability_zone_id, rack_id>, std::size_t>
      Racks;
  for (const worker_image &Worker : Image.Workers) {
    if (!Worker.Usable)
      continue;
    const worker_info &Info = Worker.Info;
    Index[Info.Id] = AllAccelerators.size();
    AllAccelerators.push_back(static_cast<accelerator_mask>(
        (std::uint64_t{1} << Info.Capacity.Accelerators) - 1));
    RackOfWorker.push_back(
        Racks.try_emplace({Info.Region, Info.Zone, Info.Rack}, Racks.size())
            .first->second);
  }
  std::map<customer_id, std::size_t> Customers;
  for (const customer_guarantees &Config : Image.Customers) {
    std::size_t Customer = Customers.size();
    Customers[Config.Customer] = Customer;
    addRequired(Customer, Config, Shortfalls);
  }
  Used.assign(Customers.size(), cluster_mask(AllAccelerators.size(), 0));
  Placed = Used;
  for (const attempt_image &Attempt : Image.Attempts)
    for (const task_assignment &Task : Attempt.Assignments)
      if (Task.Guaranteed && Index.contains(Task.Worker))
        Used[Customers.at(Attempt.Customer)][Index.at(Task.Worker)] |=
            Task.Accelerators;
  std::ranges::stable_sort(Required, [](const auto &Left, const auto &Right) {
    return std::tuple(Right.Level, Left.Customer) <
           std::tuple(Left.Level, Right.Customer);
  });
  addPositions();
}

void cell_search::addRequired(std::size_t Customer,
                              const customer_guarantees &Config,
                              std::span<const guarantee_shortfall> Shortfalls) {
  std::map<cell_level, std::int32_t> Counts;
  for (const guarantee &Guarantee : Config.Guarantees)
    Counts[Guarantee.Level] += Guarantee.Count;
  for (const guarantee_shortfall &Missing : Shortfalls)
    if (Missing.Customer == Config.Customer)
      Counts[Missing.Level] -= Missing.Missing;
  for (const auto &[Level, Count] : Counts)
    for (std::int32_t Number = 0; Number < Count; ++Number)
      Required.push_back({Level, Customer});
}

void cell_search::addPositions() {
  cluster_mask None(AllAccelerators.size(), 0);
  for (std::size_t Worker = 0; Worker < AllAccelerators.size(); ++Worker) {
    cluster_mask RackMask = None;
    for (std::size_t Other = 0; Other < AllAccelerators.size(); ++Other)
      if (RackOfWorker[Other] == RackOfWorker[Worker])
        RackMask[Other] = AllAccelerators[Other];
    bool FirstOfRack = std::ranges::find(RackOfWorker, RackOfWorker[Worker]) -
                           RackOfWorker.begin() ==
                       static_cast<std::ptrdiff_t>(Worker);
    if (FirstOfRack)
      Positions[cell_level::Rack].push_back(RackMask);
    cluster_mask Cell = None;
    Cell[Worker] = AllAccelerators[Worker];
    Positions[cell_level::Worker].push_back(Cell);
    for (int Size : BuddySizes) {
      for (int First = 0;
           First + Size <= std::popcount(AllAccelerators[Worker]);
           First += Size) {
        Cell[Worker] = ((accelerator_mask{1} << Size) - 1) << First;
        Positions[levelFor(Size)].push_back(Cell);
      }
    }
  }
}

bool cell_search::isFree(const cluster_mask &Position,
                         std::size_t Customer) const {
  for (std::size_t Other = 0; Other < Used.size(); ++Other)
    for (std::size_t Worker = 0; Worker < AllAccelerators.size(); ++Worker) {
      accelerator_mask Blocked = Placed[Other][Worker];
      if (Other != Customer)
        Blocked |= Used[Other][Worker];
      if ((Position[Worker] & Blocked) != 0)
        return false;
    }
  return true;
}

bool cell_search::allUseCovered() const {
  for (std::size_t Customer = 0; Customer < Used.size(); ++Customer)
    for (std::size_t Worker = 0; Worker < AllAccelerators.size(); ++Worker)
      if ((Used[Customer][Worker] & ~Placed[Customer][Worker]) != 0)
        return false;
  return true;
}

bool cell_search::placeFrom(std::size_t Cell, std::size_t FirstPosition) {
  if (Cell == Required.size())
    return allUseCovered();
  const required_cell &Current = Required[Cell];
  const std::vector<cluster_mask> &Choices = Positions[Current.Level];
  bool NextIsEqual = Cell + 1 < Required.size() &&
                     Required[Cell + 1].Level == Current.Level &&
                     Required[Cell + 1].Customer == Current.Customer;
  auto CoveredUse = [&](const cluster_mask &Position) {
    int Count = 0;
    for (std::size_t Worker = 0; Worker < AllAccelerators.size(); ++Worker)
      Count += std::popcount(Position[Worker] & Used[Current.Customer][Worker] &
                             ~Placed[Current.Customer][Worker]);
    return Count;
  };
  std::vector<std::pair<int, std::size_t>> Order;
  for (std::size_t PositionIndex = FirstPosition;
       PositionIndex < Choices.size(); ++PositionIndex)
    if (isFree(Choices[PositionIndex], Current.Customer))
      Order.emplace_back(-CoveredUse(Choices[PositionIndex]), PositionIndex);
  std::ranges::sort(Order);
  for (const auto &[NegatedCoverage, PositionIndex] : Order) {
    if (--Budget < 0)
      return false;
    for (std::size_t Worker = 0; Worker < AllAccelerators.size(); ++Worker)
      Placed[Current.Customer][Worker] |= Choices[PositionIndex][Worker];
    // Equal cells are interchangeable, so placing them in ascending order
    // avoids repeated work. A position that covers guaranteed use is tried
    // early, whatever its index, and must not rule out the positions before it.
    bool Ordered = NextIsEqual && NegatedCoverage == 0;
    if (placeFrom(Cell + 1, Ordered ? PositionIndex + 1 : 0))
      return true;
    for (std::size_t Worker = 0; Worker < AllAccelerators.size(); ++Worker)
      Placed[Current.Customer][Worker] &= ~Choices[PositionIndex][Worker];
  }
  return false;
}

} // namespace

bool reclaimable(const capacity_image &Image,
                 std::span<const guarantee_shortfall> Shortfalls) {
  return cell_search(Image, Shortfalls).run();
}

} // namespace geraniumpaddle
