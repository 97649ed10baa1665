#include "core/ledger/snapshot.h"

#include <algorithm>

namespace geraniumpaddle {

snapshot_policy::snapshot_policy(snapshot_settings Settings)
    : Settings(Settings) {}

bool snapshot_policy::needed(const snapshot_situation &Situation,
                             time_point Now) const {
  if (Situation.Folded == log_offset{})
    return false;
  // Without a retained snapshot a fresh entry depends on its peers.
  if (Situation.Covered == log_offset{} ||
      Situation.FirstChunk < Situation.Oldest)
    return true;
  if (Now >= *LastChangeAt + Settings.MaxAge)
    return true;
  const std::uint64_t Tail = raw(Situation.Folded) - raw(Situation.Covered);
  const std::uint64_t Retained =
      raw(next(Situation.Head)) - raw(Situation.Oldest);
  const std::uint64_t Share = Retained * Settings.MaxTailPercent / 100;
  return Tail >= std::min(Settings.MaxTail, std::max(MinTail, Share));
}

bool snapshot_policy::shouldPublish(const snapshot_situation &Situation,
                                    time_point Now) {
  if (!LastChangeAt || Situation.Covered != LastCovered) {
    LastCovered = Situation.Covered;
    LastChangeAt = Now;
    PublishedAt.reset();
  }
  if (!needed(Situation, Now)) {
    NeededSince.reset();
    return false;
  }
  if (!NeededSince)
    NeededSince = Now;
  if (PublishedAt && Now < *PublishedAt + Settings.RepeatDelay)
    return false;
  return Now >= *NeededSince + Situation.Rank * Settings.RankDelay;
}

void snapshot_policy::notePublished(time_point Now) { PublishedAt = Now; }

} // namespace geraniumpaddle
