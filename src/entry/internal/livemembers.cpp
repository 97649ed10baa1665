#include "entry/livemembers.h"

namespace geraniumpaddle {

bool live_members::isOwner(std::uint64_t Hash) const {
  std::span<const live_entry> Live = Rank.live();
  if (Live.empty())
    return true;
  constexpr unsigned HighBits = 32;
  return Live[(Hash >> HighBits) % Live.size()].Node == Self;
}

} // namespace geraniumpaddle
