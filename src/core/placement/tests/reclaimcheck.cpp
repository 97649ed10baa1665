#include "core/placement/tests/reclaimcheck.h"

#include <algorithm>
#include <bit>
#include <map>
#include <tuple>

namespace geraniumpaddle {

namespace {

/// Positions tried before the search gives up and reports failure.
constexpr std::int64_t SearchBudget = 3'000'000;

constexpr int BuddySizes[] = {1, 2, 4, 8};

/// Accelerators by position of a usable worker.
using cluster_mask = std::vector<accelerator_mask>;

struct wanted_cell {
  cell_level Level;
  std::size_t Customer;
};

class search {
public:
  search(const capacity_image &Image,
         std::span<const guarantee_shortfall> Short);
  bool run() { return step(0, 0); }

private:
  void addWanted(std::size_t Customer, const customer_guarantees &Config,
                 std::span<const guarantee_shortfall> Short);
  void addPositions();
  bool step(std::size_t Cell, std::size_t FirstPosition);
  bool allowed(const cluster_mask &Position, std::size_t Customer) const;
  bool covered() const;

  std::vector<accelerator_mask> Whole;
  std::vector<std::size_t> Rack;
  std::map<worker_id, std::size_t> Index;
  std::map<cell_level, std::vector<cluster_mask>> Positions;
  std::vector<cluster_mask> Used; ///< guaranteed use by customer
  std::vector<cluster_mask> Laid; ///< cells laid by customer
  std::vector<wanted_cell> Wanted;
  std::int64_t Budget = SearchBudget;
};

search::search(const capacity_image &Image,
               std::span<const guarantee_shortfall> Short) {
  std::map<std::tuple<region_id, availability_zone_id, rack_id>, std::size_t>
      Racks;
  for (const worker_image &Worker : Image.Workers) {
    if (!Worker.Usable)
      continue;
    const worker_info &Info = Worker.Info;
    Index[Info.Id] = Whole.size();
    Whole.push_back(static_cast<accelerator_mask>(
        (std::uint64_t{1} << Info.Capacity.Accelerators) - 1));
    Rack.push_back(
        Racks.try_emplace({Info.Region, Info.Zone, Info.Rack}, Racks.size())
            .first->second);
  }
  std::map<customer_id, std::size_t> Customers;
  for (const customer_guarantees &Config : Image.Customers) {
    std::size_t Customer = Customers.size();
    Customers[Config.Customer] = Customer;
    addWanted(Customer, Config, Short);
  }
  Used.assign(Customers.size(), cluster_mask(Whole.size(), 0));
  Laid = Used;
  for (const attempt_image &Attempt : Image.Attempts)
    for (const task_assignment &Task : Attempt.Assignments)
      if (Task.Guaranteed && Index.contains(Task.Worker))
        Used[Customers.at(Attempt.Customer)][Index.at(Task.Worker)] |=
            Task.Accelerators;
  std::ranges::stable_sort(Wanted, [](const auto &Left, const auto &Right) {
    return std::tuple(Right.Level, Left.Customer) <
           std::tuple(Left.Level, Right.Customer);
  });
  addPositions();
}

void search::addWanted(std::size_t Customer, const customer_guarantees &Config,
                       std::span<const guarantee_shortfall> Short) {
  std::map<cell_level, std::int32_t> Counts;
  for (const guarantee &Guarantee : Config.Guarantees)
    Counts[Guarantee.Level] += Guarantee.Count;
  for (const guarantee_shortfall &Missing : Short)
    if (Missing.Customer == Config.Customer)
      Counts[Missing.Level] -= Missing.Missing;
  for (const auto &[Level, Count] : Counts)
    for (std::int32_t Number = 0; Number < Count; ++Number)
      Wanted.push_back({Level, Customer});
}

void search::addPositions() {
  cluster_mask None(Whole.size(), 0);
  for (std::size_t Worker = 0; Worker < Whole.size(); ++Worker) {
    cluster_mask RackMask = None;
    for (std::size_t Other = 0; Other < Whole.size(); ++Other)
      if (Rack[Other] == Rack[Worker])
        RackMask[Other] = Whole[Other];
    bool FirstOfRack = std::ranges::find(Rack, Rack[Worker]) - Rack.begin() ==
                       static_cast<std::ptrdiff_t>(Worker);
    if (FirstOfRack)
      Positions[cell_level::Rack].push_back(RackMask);
    cluster_mask Cell = None;
    Cell[Worker] = Whole[Worker];
    Positions[cell_level::Worker].push_back(Cell);
    for (int Size : BuddySizes) {
      for (int First = 0; First + Size <= std::popcount(Whole[Worker]);
           First += Size) {
        Cell[Worker] = ((accelerator_mask{1} << Size) - 1) << First;
        Positions[levelFor(Size)].push_back(Cell);
      }
    }
  }
}

bool search::allowed(const cluster_mask &Position, std::size_t Customer) const {
  for (std::size_t Other = 0; Other < Used.size(); ++Other)
    for (std::size_t Worker = 0; Worker < Whole.size(); ++Worker) {
      accelerator_mask Barred = Laid[Other][Worker];
      if (Other != Customer)
        Barred |= Used[Other][Worker];
      if ((Position[Worker] & Barred) != 0)
        return false;
    }
  return true;
}

bool search::covered() const {
  for (std::size_t Customer = 0; Customer < Used.size(); ++Customer)
    for (std::size_t Worker = 0; Worker < Whole.size(); ++Worker)
      if ((Used[Customer][Worker] & ~Laid[Customer][Worker]) != 0)
        return false;
  return true;
}

bool search::step(std::size_t Cell, std::size_t FirstPosition) {
  if (Cell == Wanted.size())
    return covered();
  const wanted_cell &Wants = Wanted[Cell];
  const std::vector<cluster_mask> &Choices = Positions[Wants.Level];
  bool NextIsEqual = Cell + 1 < Wanted.size() &&
                     Wanted[Cell + 1].Level == Wants.Level &&
                     Wanted[Cell + 1].Customer == Wants.Customer;
  auto Covers = [&](const cluster_mask &Position) {
    int Count = 0;
    for (std::size_t Worker = 0; Worker < Whole.size(); ++Worker)
      Count += std::popcount(Position[Worker] & Used[Wants.Customer][Worker] &
                             ~Laid[Wants.Customer][Worker]);
    return Count;
  };
  std::vector<std::pair<int, std::size_t>> Order;
  for (std::size_t At = FirstPosition; At < Choices.size(); ++At)
    if (allowed(Choices[At], Wants.Customer))
      Order.emplace_back(-Covers(Choices[At]), At);
  std::ranges::sort(Order);
  for (const auto &[Covering, At] : Order) {
    if (--Budget < 0)
      return false;
    for (std::size_t Worker = 0; Worker < Whole.size(); ++Worker)
      Laid[Wants.Customer][Worker] |= Choices[At][Worker];
    // Equal cells are interchangeable, but the preferred one need not have the
    // lowest position, so only a preference of zero may fix their order.
    bool Ordered = NextIsEqual && Covering == 0;
    if (step(Cell + 1, Ordered ? At + 1 : 0))
      return true;
    for (std::size_t Worker = 0; Worker < Whole.size(); ++Worker)
      Laid[Wants.Customer][Worker] &= ~Choices[At][Worker];
  }
  return false;
}

} // namespace

bool reclaimable(const capacity_image &Image,
                 std::span<const guarantee_shortfall> Short) {
  return search(Image, Short).run();
}

} // namespace geraniumpaddle
