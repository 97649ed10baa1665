#pragma once

#include "core/ledger/types/state.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

/// Result of the duplicate check, before a record is applied.
enum class sequence_check : std::uint8_t {
  New,
  Duplicate,        ///< applied before
  StaleIncarnation, ///< a later incarnation of the producer has appended
};

/// Recognizes duplicates of idempotent producers by (node, incarnation,
/// sequence) in bounded memory.
///
/// Keeps the latest incarnation of each producer and the verdicts on its latest
/// SequenceWindow records. A sequence below the window counts as a duplicate,
/// so a producer must not have more than SequenceWindow undecided records.
class producer_table {
public:
  static constexpr std::size_t SequenceWindow = 256;
  static constexpr std::size_t MaxProducers = 1024;

  sequence_check check(const producer &Key) const;
  /// Stores the verdict on a record for which check() returned New.
  void add(const producer &Key, log_offset Offset, const verdict &Verdict);
  /// The verdict on a record, if it was applied and is still in the window.
  std::optional<sequence_verdict> find(const producer &Key) const;

  /// Every producer, by node.
  std::vector<producer_entry> image() const;
  /// Replaces the whole table.
  void restore(std::span<const producer_entry> Entries);

private:
  struct state {
    incarnation Incarnation{};
    std::uint64_t LowWatermark = 0;
    log_offset LastOffset{};
    std::deque<sequence_verdict> Window;
  };

  void evictOldest();

  std::unordered_map<node_id, state> Producers;
};

} // namespace geraniumpaddle
