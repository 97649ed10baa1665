#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"

#include <chrono>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace geraniumpaddle {

/// A live entry, as its announcement and heartbeats show it.
struct live_entry {
  node_id Node;
  region_id Region;
  bool Draining = false;

  friend auto operator<=>(const live_entry &, const live_entry &) = default;
};

/// Orders the live entries, alike on each of them. The order only saves
/// conflicting proposals; the log decides who wins.
class entry_rank {
public:
  /// \param HomeRegion region of the log service; its entries go first.
  /// \param StepIn how long each rank waits for the one before it.
  entry_rank(node_id Self, region_id HomeRegion, duration StepIn);

  /// Replaces the set of live entries, this one included.
  void setLive(std::span<const live_entry> Entries);

  /// Position of this entry; the number of entries if it is not among them.
  std::size_t rank() const;
  bool proposesNow() const { return rank() == 0; }
  /// How long this entry waits for a proposal of another before it makes its
  /// own.
  duration proposalDelay() const;
  /// The entry that reads the log and sends summaries across the link for its
  /// region, if any lives there.
  std::optional<node_id> linkOwner(const region_id &Region) const;
  bool ownsLink(const region_id &Region) const;
  std::span<const live_entry> live() const { return Live; }

private:
  bool before(const live_entry &Left, const live_entry &Right) const;

  node_id Self;
  region_id HomeRegion;
  duration StepIn;
  std::vector<live_entry> Live;
};

} // namespace geraniumpaddle
