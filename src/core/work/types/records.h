#pragma once

#include "core/work/types/progress.h"

#include <string>
#include <variant>

namespace geraniumpaddle::work {

/// Announces an entry and the address where agents and other entries reach it.
struct entry_record {
  node_id Node;
  region_id Region;
  std::string PeerAddress; ///< ip:port
  std::uint64_t StartedMs = 0;
  std::uint64_t Term = 0;          ///< last term as the scheduler; 0: none
  std::uint32_t CpuMilliCores = 0; ///< of its VM; 0: unknown

  friend bool operator==(const entry_record &, const entry_record &) = default;
};

/// The entry elected as scheduler for a term. Recorded before the scheduler
/// grants any lease.
struct term_leader {
  std::uint64_t Term = 0;
  entry_record Entry;
};

struct job_submitted {
  job_spec Spec;
};

/// Holds whether it is stored before or after the submission of its job.
struct job_cancelled {
  job_id Job;
  wall_time RequestedAt{};
};

struct job_progressed {
  job_id Job;
  job_progress Progress;
};

/// A record of the system's internal topics. Each has a key; the newest record
/// of a key is kept indefinitely.
using work_record = std::variant<job_submitted, job_cancelled, job_progressed,
                                 entry_record, term_leader>;

/// Key and offset of a record. After a gap the newest records of a topic are
/// read again, so a record may be delivered twice.
struct record_position {
  std::string_view Key;
  std::uint64_t Offset = 0;
};

} // namespace geraniumpaddle::work
