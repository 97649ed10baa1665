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

/// What is known of a record before it is judged.
enum class sequence_check : std::uint8_t {
  New,
  Repeated,         ///< folded before
  StaleIncarnation, ///< a later run of the same process has appended
};

/// Recognizes repeats by (node, incarnation, sequence) in bounded memory.
///
/// Per producer it remembers the latest incarnation and the verdicts on the
/// latest SequenceWindow records. A sequence below the window counts as
/// repeated, so that a producer must not have more than SequenceWindow records
/// undecided at once.
class producer_table {
public:
  static constexpr std::size_t SequenceWindow = 256;
  static constexpr std::size_t MaxProducers = 1024;

  sequence_check check(const producer &Key) const;
  /// Remembers the verdict on a record that check() called New.
  void add(const producer &Key, log_offset Offset, const verdict &Verdict);
  /// The verdict on a record, if it was folded and is still remembered.
  std::optional<sequence_verdict> find(const producer &Key) const;

  /// Every producer, by node.
  std::vector<producer_entry> image() const;
  /// Replaces the whole table.
  void restore(std::span<const producer_entry> Entries);

private:
  struct state {
    incarnation Incarnation{};
    std::uint64_t Floor = 0;
    log_offset Latest{};
    std::deque<sequence_verdict> Window;
  };

  void forgetOldest();

  std::unordered_map<node_id, state> Producers;
};

} // namespace geraniumpaddle
