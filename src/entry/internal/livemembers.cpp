#include "entry/livemembers.h"

#include <algorithm>

namespace geraniumpaddle {

bool live_members::isOwner(std::uint64_t Hash) const {
  std::span<const live_entry> Live = Rank.live();
  if (Live.empty())
    return true;
  constexpr unsigned HighBits = 32;
  return Live[(Hash >> HighBits) % Live.size()].Node == Self;
}

bool live_members::isLive(const node_id &Node) const {
  std::span<const live_entry> Live = Rank.live();
  return std::any_of(Live.begin(), Live.end(), [&](const live_entry &Entry) {
    return Entry.Node == Node;
  });
}

} // namespace geraniumpaddle
