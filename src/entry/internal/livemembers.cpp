#include "entry/livemembers.h"

#include <algorithm>
#include <functional>

namespace geraniumpaddle {

namespace {

bool isOwner(std::span<const live_entry> Candidates, std::uint64_t Hash,
             const node_id &Self) {
  if (Candidates.empty())
    return true;
  constexpr unsigned HighBits = 32;
  return Candidates[(Hash >> HighBits) % Candidates.size()].Node == Self;
}

} // namespace

bool live_members::owns(fencing_token Token) const {
  return isOwner(Rank.live(), raw(Token) * HashMultiplier, Self);
}

bool live_members::ownsAgent(const node_id &Agent,
                             const region_id &Region) const {
  std::vector<live_entry> InRegion;
  for (const live_entry &Entry : Rank.live())
    if (Entry.Region == Region)
      InRegion.push_back(Entry);
  std::uint64_t Hash = std::hash<node_id>{}(Agent)*HashMultiplier;
  return InRegion.empty() ? isOwner(Rank.live(), Hash, Self)
                          : isOwner(InRegion, Hash, Self);
}

bool live_members::isLive(const node_id &Node) const {
  std::span<const live_entry> Live = Rank.live();
  return std::any_of(Live.begin(), Live.end(), [&](const live_entry &Entry) {
    return Entry.Node == Node;
  });
}

} // namespace geraniumpaddle
