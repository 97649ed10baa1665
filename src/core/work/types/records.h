#pragma once

#include "core/work/types/progress.h"

#include <string>
#include <variant>

namespace geraniumpaddle::work {

/// An entry that agents and other entries can reach.
struct entry_record {
  node_id Node;
  region_id Region;
  std::string PeerAddress; ///< ip:port
  std::uint64_t StartedMs = 0;
  std::uint64_t Term = 0; ///< of its last office as scheduler; 0: none

  friend bool operator==(const entry_record &, const entry_record &) = default;
};

/// The scheduler of a term. It is recorded before that grants any lease.
struct term_leader {
  std::uint64_t Term = 0;
  entry_record Entry;
};

struct job_submitted {
  job_spec Spec;
};

struct job_cancelled {
  job_id Job;
};

struct job_progressed {
  job_id Job;
  job_progress Progress;
};

/// A record of the system's own topics. Each has a key; the newest record of a
/// key is kept for good.
using work_record = std::variant<job_submitted, job_cancelled, job_progressed,
                                 entry_record, term_leader>;

/// Where a record stands: its topic's newest records are read again after a
/// gap, so a record may be seen twice.
struct record_position {
  std::string_view Key;
  std::uint64_t Offset = 0;
};

} // namespace geraniumpaddle::work
