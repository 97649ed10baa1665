#pragma once

#include "core/ledger/types/state.h"

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Selects audit events; empty fields match everything.
struct audit_query {
  log_offset Since{}; ///< only events at or after this offset
  customer_id Customer{};
  job_id Job{};
  std::size_t Limit = 1000; ///< the latest that match, oldest first
};

/// The latest accepted, rejected and malformed records, bounded in number and
/// in size of detail.
class audit_trail {
public:
  static constexpr std::size_t MaxEvents = 4096;
  static constexpr std::size_t MaxDetailBytes = 240;

  /// Adds the newest event; the oldest is forgotten if the trail is full.
  void add(audit_event Event);
  /// Matching events, oldest first.
  std::vector<audit_event> find(const audit_query &Query) const;
  /// Offset of the earliest event kept; 0 if there is none.
  log_offset oldest() const;

  const std::deque<audit_event> &events() const { return Events; }
  /// Replaces the whole trail.
  void restore(std::span<const audit_event> Kept);

private:
  std::deque<audit_event> Events;
};

} // namespace geraniumpaddle
