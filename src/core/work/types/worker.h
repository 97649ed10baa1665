#pragma once

#include "core/work/types/progress.h"

#include <optional>
#include <string>
#include <vector>

namespace geraniumpaddle::work {

/// Description of a worker in its heartbeats.
struct worker_description {
  worker_instance Instance;
  service_id Service;
  availability_zone_id Zone;
  resources Capacity;
  std::string Kind;
  std::string Rack;
  bool Draining = false;
  duration DrainRemaining{}; ///< minimum time until it shuts down
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
  Stopped,         ///< by order of the scheduler
  LeaseExpired,    ///< its lease expired
  GangMemberEnded, ///< another member of its gang ended
  GangIncomplete,  ///< the other gang members did not start in time
};
/// Lower-case name, for logs.
std::string_view name(run_end_reason End);

struct finished_run {
  std::uint64_t Number = 0; ///< sequence number of the end
  run_ref Run;
  run_end_reason EndReason = run_end_reason::Done;
  std::string Checkpoint;
};

/// Active runs of a worker, and the ended ones that it still remembers.
struct worker_listing {
  std::uint64_t StartTimeMs = 0;
  std::int64_t ClockMs = 0; ///< the worker's monotonic clock
  std::vector<running_run> Running;
  std::vector<finished_run> Finished;
  /// False if the worker may remember more ended runs than Finished has. Then
  /// nothing follows from a run that is in neither list.
  bool EndsComplete = true;
};

enum class start_refusal : std::uint8_t {
  Stale,      ///< the worker has ended or barred this or a later run
  Fenced,     ///< a higher fencing token was seen
  Late,       ///< its lease had already expired
  NoCapacity, ///< it would exceed the worker's capacity
  Unhealthy,  ///< nothing was done
  Invalid,    ///< the worker does not understand the order
  Draining,   ///< the worker takes no new tasks
};
std::string_view name(start_refusal Refusal);

struct refused_start {
  run_ref Run;
  start_refusal Reason = start_refusal::Stale;
};

/// Version of a worker's orders: the scheduler's term and the number of the
/// orders within it.
struct orders_version {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;

  friend auto operator<=>(const orders_version &,
                          const orders_version &) = default;
};

/// Report of an agent to the scheduler about its worker.
struct worker_report {
  worker_description Description;
  std::optional<worker_listing> Listing; ///< empty while it cannot be read
  std::vector<refused_start> Refused;    ///< starts that will not happen
  /// Runs that may be on the worker although the listing lacks them: their
  /// start has no answer, or their stop was answered after the listing was
  /// requested.
  std::vector<run_ref> Unlisted;
  orders_version Applied; ///< orders that the listing reflects
  bool Reachable = true;  ///< the worker answers its agent
  bool Left = false;      ///< the worker is gone with all its runs
};

/// A run that a worker should have. Payload and checkpoint are left out once
/// the worker has listed it.
struct desired_run {
  run_ref Run;
  bool HasBody = false;
  std::string Payload;
  std::string Checkpoint;
};

/// Desired state of one worker: the runs that it should have. It has to stop
/// all others.
struct worker_orders {
  orders_version Version;
  worker_instance Instance;
  std::vector<desired_run> Runs;
  std::uint64_t AcknowledgedEnds = 0; ///< ends up to this number are recorded
};

} // namespace geraniumpaddle::work
