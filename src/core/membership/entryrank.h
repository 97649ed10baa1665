#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"

#include <chrono>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace geraniumpaddle {

/// A live entry, as known from its announcement and heartbeats.
struct live_entry {
  node_id Node;
  region_id Region;
  bool Draining = false;

  friend auto operator<=>(const live_entry &, const live_entry &) = default;
};

/// Ranks the live entries, in the same order on each of them. The order only
/// avoids conflicting proposals; the log decides which one is accepted.
class entry_rank {
public:
  /// \param HomeRegion region of the log service; its entries rank first.
  /// \param RankDelay how long each rank waits for the rank before it.
  entry_rank(node_id Self, region_id HomeRegion, duration RankDelay);

  /// Replaces the set of live entries, this one included.
  void setLive(std::span<const live_entry> Entries);

  /// Position of this entry; the number of entries if it is not among them.
  std::size_t rank() const;
  bool proposesFirst() const { return rank() == 0; }
  /// How long this entry waits for the proposal of a higher rank before it
  /// makes its own.
  duration proposalDelay() const;
  /// The entry that reads the log and sends summaries across the link for
  /// \p Region, if a live entry is there.
  std::optional<node_id> linkOwner(const region_id &Region) const;
  bool ownsLink(const region_id &Region) const;
  std::span<const live_entry> live() const { return Live; }

private:
  bool ranksBefore(const live_entry &Left, const live_entry &Right) const;

  node_id Self;
  region_id HomeRegion;
  duration RankDelay;
  std::vector<live_entry> Live;
};

} // namespace geraniumpaddle
