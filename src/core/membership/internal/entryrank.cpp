#include "core/membership/entryrank.h"

#include <algorithm>

namespace geraniumpaddle {

entry_rank::entry_rank(node_id Self, region_id HomeRegion, duration RankDelay)
    : Self(std::move(Self)), HomeRegion(std::move(HomeRegion)),
      RankDelay(RankDelay) {}

void entry_rank::setLive(std::span<const live_entry> Entries) {
  Live.assign(Entries.begin(), Entries.end());
  std::ranges::sort(Live,
                    [this](const live_entry &Left, const live_entry &Right) {
                      return ranksBefore(Left, Right);
                    });
}

bool entry_rank::ranksBefore(const live_entry &Left,
                             const live_entry &Right) const {
  if (Left.Draining != Right.Draining)
    return Right.Draining;
  const bool LeftHome = Left.Region == HomeRegion;
  const bool RightHome = Right.Region == HomeRegion;
  if (LeftHome != RightHome)
    return LeftHome;
  return Left.Node < Right.Node;
}

std::size_t entry_rank::rank() const {
  const auto Found = std::ranges::find(Live, Self, &live_entry::Node);
  return static_cast<std::size_t>(Found - Live.begin());
}

duration entry_rank::proposalDelay() const {
  return RankDelay * static_cast<duration::rep>(rank());
}

std::optional<node_id> entry_rank::linkOwner(const region_id &Region) const {
  const auto Found = std::ranges::find(Live, Region, &live_entry::Region);
  if (Found == Live.end())
    return std::nullopt;
  return Found->Node;
}

bool entry_rank::ownsLink(const region_id &Region) const {
  return linkOwner(Region) == Self;
}

} // namespace geraniumpaddle
