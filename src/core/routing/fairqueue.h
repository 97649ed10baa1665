#pragma once

#include "core/base/types/ids.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace geraniumpaddle {

/// A bounded queue that serves customers in turn and each customer's items in
/// order of arrival. If it is full, the customer with the most items loses its
/// newest one.
template <typename Item> class fair_queue {
public:
  explicit fair_queue(std::size_t Limit) : Limit(Limit) {}

  std::size_t size() const { return Size; }
  bool empty() const { return Size == 0; }

  /// Adds \p Value. Returns the item that found no room, if the queue was full:
  /// \p Value itself or the newest item of the customer with the most.
  std::optional<Item> push(const customer_id &Customer, const Item &Value) {
    lane &Own = laneOf(Customer);
    Own.Items.push_back(Value);
    ++Size;
    if (Size <= Limit)
      return std::nullopt;
    return takeNewest(longest(Own));
  }

  /// The item that pop() takes next, or none.
  const Item *front() {
    if (empty())
      return nullptr;
    skipEmptyLanes();
    return &Lanes[Turn].Items.front();
  }

  /// Takes the next item of the customer whose turn it is.
  std::optional<Item> pop() {
    if (empty())
      return std::nullopt;
    skipEmptyLanes();
    lane &Served = Lanes[Turn];
    Item Value = Served.Items.front();
    Served.Items.pop_front();
    --Size;
    Turn = (Turn + 1) % Lanes.size();
    return Value;
  }

  /// Takes \p Value out wherever it is; false if it is not queued.
  bool remove(const customer_id &Customer, const Item &Value) {
    lane &Own = laneOf(Customer);
    const auto Found = std::ranges::find(Own.Items, Value);
    if (Found == Own.Items.end())
      return false;
    Own.Items.erase(Found);
    --Size;
    return true;
  }

  /// Takes out and returns every item for which \p Matches holds.
  template <typename Predicate>
  std::vector<Item> removeIf(const Predicate &Matches) {
    std::vector<Item> Removed;
    for (lane &Each : Lanes) {
      std::erase_if(Each.Items, [&](const Item &Value) {
        const bool Match = Matches(Value);
        if (Match)
          Removed.push_back(Value);
        return Match;
      });
    }
    Size -= Removed.size();
    return Removed;
  }

  /// Calls \p Visit with each queued item.
  template <typename Visitor> void forEach(const Visitor &Visit) const {
    for (const lane &Each : Lanes)
      std::ranges::for_each(Each.Items, Visit);
  }

private:
  struct lane {
    customer_id Customer;
    std::deque<Item> Items;
  };

  lane &laneOf(const customer_id &Customer) {
    const auto Found = std::ranges::find(Lanes, Customer, &lane::Customer);
    if (Found != Lanes.end())
      return *Found;
    dropEmptyLanes();
    return Lanes.emplace_back(lane{Customer, {}});
  }

  /// Customers come and go; their lanes must not pile up.
  void dropEmptyLanes() {
    constexpr std::size_t MaxIdleLanes = 64;
    if (Lanes.size() < MaxIdleLanes || Size != 0)
      return;
    Lanes.clear();
    Turn = 0;
  }

  lane &longest(lane &Preferred) {
    lane *Longest = &Preferred;
    for (lane &Each : Lanes) {
      if (Each.Items.size() > Longest->Items.size())
        Longest = &Each;
    }
    return *Longest;
  }

  Item takeNewest(lane &From) {
    Item Value = From.Items.back();
    From.Items.pop_back();
    --Size;
    return Value;
  }

  void skipEmptyLanes() {
    while (Lanes[Turn].Items.empty())
      Turn = (Turn + 1) % Lanes.size();
  }

  std::size_t Limit;
  std::size_t Size = 0;
  std::size_t Turn = 0;
  std::vector<lane> Lanes;
};

} // namespace geraniumpaddle
