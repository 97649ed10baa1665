#include "core/ledger/snapshot.h"

#include <algorithm>

namespace geraniumpaddle {

snapshot_policy::snapshot_policy(snapshot_settings Settings)
    : Settings(Settings) {}

bool snapshot_policy::needed(const snapshot_conditions &Conditions,
                             time_point Now) const {
  if (Conditions.LastApplied == log_offset{})
    return false;
  // Without a retained snapshot, a new entry can get the state only from peers.
  if (Conditions.Covered == log_offset{} ||
      Conditions.FirstChunk < Conditions.Oldest)
    return true;
  if (Now >= *LastChangeAt + Settings.MaxAge)
    return true;
  const std::uint64_t Tail =
      raw(Conditions.LastApplied) - raw(Conditions.Covered);
  const std::uint64_t Retained =
      raw(next(Conditions.Head)) - raw(Conditions.Oldest);
  const std::uint64_t Share = Retained * Settings.MaxTailPercent / 100;
  return Tail >= std::min(Settings.MaxTail, std::max(MinTail, Share));
}

bool snapshot_policy::shouldPublish(const snapshot_conditions &Conditions,
                                    time_point Now) {
  if (!LastChangeAt || Conditions.Covered != LastCovered) {
    LastCovered = Conditions.Covered;
    LastChangeAt = Now;
    PublishedAt.reset();
  }
  if (!needed(Conditions, Now)) {
    NeededSince.reset();
    return false;
  }
  if (!NeededSince)
    NeededSince = Now;
  if (PublishedAt && Now < *PublishedAt + Settings.RepeatDelay)
    return false;
  return Now >= *NeededSince + Conditions.Rank * Settings.RankDelay;
}

void snapshot_policy::notePublished(time_point Now) { PublishedAt = Now; }

} // namespace geraniumpaddle
