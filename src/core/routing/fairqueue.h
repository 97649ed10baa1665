#pragma once

#include "core/base/types/ids.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace geraniumpaddle {

/// A bounded fair queue: round-robin among customers, first in first out for
/// each customer. If it is full, the newest item of the customer with the most
/// items is dropped.
template <typename Item> class fair_queue {
public:
  explicit fair_queue(std::size_t Limit) : Limit(Limit) {}

  std::size_t size() const { return Size; }
  bool empty() const { return Size == 0; }

  /// Adds \p Value. If the queue was full, returns the item dropped in
  /// exchange, which may be \p Value itself.
  std::optional<Item> push(const customer_id &Customer, const Item &Value) {
    customer_queue &OwnQueue = queueOf(Customer);
    OwnQueue.Items.push_back(Value);
    ++Size;
    if (Size <= Limit)
      return std::nullopt;
    return takeNewest(longest(OwnQueue));
  }

  /// The item that pop() takes next, or nullptr.
  const Item *front() {
    if (empty())
      return nullptr;
    skipEmptyQueues();
    return &CustomerQueues[NextQueue].Items.front();
  }

  /// Removes and returns the next item in round-robin order.
  std::optional<Item> pop() {
    if (empty())
      return std::nullopt;
    skipEmptyQueues();
    customer_queue &Served = CustomerQueues[NextQueue];
    Item Value = Served.Items.front();
    Served.Items.pop_front();
    --Size;
    NextQueue = (NextQueue + 1) % CustomerQueues.size();
    return Value;
  }

  /// Removes \p Value from any position; false if it is not queued.
  bool remove(const customer_id &Customer, const Item &Value) {
    customer_queue &OwnQueue = queueOf(Customer);
    const auto Found = std::ranges::find(OwnQueue.Items, Value);
    if (Found == OwnQueue.Items.end())
      return false;
    OwnQueue.Items.erase(Found);
    --Size;
    return true;
  }

  /// Removes and returns every item for which \p Matches returns true.
  template <typename Predicate>
  std::vector<Item> removeIf(const Predicate &Matches) {
    std::vector<Item> Removed;
    for (customer_queue &Each : CustomerQueues) {
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
    for (const customer_queue &Each : CustomerQueues)
      std::ranges::for_each(Each.Items, Visit);
  }

private:
  struct customer_queue {
    customer_id Customer;
    std::deque<Item> Items;
  };

  customer_queue &queueOf(const customer_id &Customer) {
    const auto Found =
        std::ranges::find(CustomerQueues, Customer, &customer_queue::Customer);
    if (Found != CustomerQueues.end())
      return *Found;
    dropEmptyQueues();
    return CustomerQueues.emplace_back(customer_queue{Customer, {}});
  }

  /// Bounds the memory held by the empty queues of customers that went idle.
  void dropEmptyQueues() {
    constexpr std::size_t MaxIdleQueues = 64;
    if (CustomerQueues.size() < MaxIdleQueues || Size != 0)
      return;
    CustomerQueues.clear();
    NextQueue = 0;
  }

  customer_queue &longest(customer_queue &Preferred) {
    customer_queue *Longest = &Preferred;
    for (customer_queue &Each : CustomerQueues) {
      if (Each.Items.size() > Longest->Items.size())
        Longest = &Each;
    }
    return *Longest;
  }

  Item takeNewest(customer_queue &From) {
    Item Value = From.Items.back();
    From.Items.pop_back();
    --Size;
    return Value;
  }

  void skipEmptyQueues() {
    while (CustomerQueues[NextQueue].Items.empty())
      NextQueue = (NextQueue + 1) % CustomerQueues.size();
  }

  std::size_t Limit;
  std::size_t Size = 0;
  std::size_t NextQueue = 0;
  std::vector<customer_queue> CustomerQueues;
};

} // namespace geraniumpaddle
