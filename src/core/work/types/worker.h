#pragma once

#include "core/work/types/progress.h"

#include <optional>
#include <string>
#include <vector>

namespace geraniumpaddle::work {

/// What a worker says of itself in its heartbeats.
struct worker_description {
  worker_instance Life;
  service_id Service;
  availability_zone_id Zone;
  resources Capacity;
  std::string Kind;
  std::string Rack;
  bool Draining = false;
  duration DrainRemaining{}; ///< least time it will still run
  std::uint64_t Sequence = 0;

  bool hasLabel(std::string_view Label) const {
    return Label == Kind || Label == Rack;
  }
  friend bool operator==(const worker_description &,
                         const worker_description &) = default;
};

struct running_run {
  run_ref Run;
  std::string Checkpoint;
  std::int32_t Percent = 0; ///< progress
};

enum class run_end_reason : std::uint8_t {
  Done,
  Failed,
  Stopped,         ///< on our order
  LeaseExpired,    ///< its lease ran out
  GangMemberEnded, ///< another member of its gang ended
  GangIncomplete,  ///< the other members did not come in time
};
/// Lower-case name, for logs.
std::string_view name(run_end_reason End);

struct finished_run {
  std::uint64_t Number = 0; ///< of this end in the worker's life
  run_ref Run;
  run_end_reason EndReason = run_end_reason::Done;
  std::string Checkpoint;
};

/// What a worker runs and which ends it still remembers.
struct worker_listing {
  std::uint64_t StartTimeMs = 0;
  std::int64_t ClockMs = 0; ///< the worker's steady clock
  std::vector<running_run> Running;
  std::vector<finished_run> Finished;
};

enum class start_refusal : std::uint8_t {
  Stale,      ///< the run, or a later one, has ended or was barred there
  Fenced,     ///< a higher fencing token was seen
  Late,       ///< the lease that it carried was over
  NoCapacity, ///< the worker guards its capacity
  Unhealthy,  ///< nothing was done
  Invalid,    ///< the worker does not understand the order
  Draining,   ///< the worker takes no new tasks
};
std::string_view name(start_refusal Refusal);

struct refused_start {
  run_ref Run;
  start_refusal Reason = start_refusal::Stale;
};

/// The term of a scheduler and the number of its orders for one worker.
struct orders_version {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;

  friend auto operator<=>(const orders_version &,
                          const orders_version &) = default;
};

/// What an agent tells the scheduler of its worker.
struct worker_report {
  worker_description Description;
  std::optional<worker_listing> Listing; ///< nothing while it cannot be read
  std::vector<refused_start> Refused;    ///< starts that will not happen
  orders_version Applied;                ///< orders that the listing reflects
  bool Reachable = true;                 ///< the worker answers its agent
  bool Left = false; ///< the worker is gone, and with it all that ran there
};

/// A run that a worker shall have. The body is left out once it is there.
struct desired_run {
  run_ref Run;
  bool HasBody = false;
  std::string Payload;
  std::string Checkpoint;
};

/// Everything that one worker shall run. What is not listed has to stop.
struct worker_orders {
  orders_version Version;
  worker_instance Life;
  std::vector<desired_run> Runs;
  std::uint64_t AcknowledgedEnds = 0; ///< ends up to this number are recorded
};

} // namespace geraniumpaddle::work
