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
  std::size_t Limit = 1000; ///< at most this many; the latest are returned
};

/// Audit log of the latest accepted, rejected and malformed records, bounded in
/// number of events and size of their details.
class audit_trail {
public:
  static constexpr std::size_t MaxEvents = 4096;
  static constexpr std::size_t MaxDetailBytes = 240;

  /// Appends an event; evicts the oldest one if the trail is full.
  void add(audit_event Event);
  /// Matching events, oldest first.
  std::vector<audit_event> find(const audit_query &Query) const;
  /// Offset of the oldest event; 0 if there is none.
  log_offset oldest() const;

  const std::deque<audit_event> &events() const { return Events; }
  /// Replaces the whole trail.
  void restore(std::span<const audit_event> Kept);

private:
  std::deque<audit_event> Events;
};

} // namespace geraniumpaddle
