#pragma once

#include "core/base/types/ids.h"

#include <cstdint>
#include <string_view>

namespace geraniumpaddle {

/// Why the fold rejected a record.
enum class rejection : std::uint8_t {
  None,
  Repeated,            ///< the same producer, incarnation and sequence
  VersionConflict,     ///< based on a version that is no longer current
  UnknownCustomer,     ///< names a customer that is not configured
  UnknownJob,          ///< names a job that was never submitted
  UnknownWorker,       ///< names a worker that is not registered
  JobExists,           ///< the job id is taken
  JobNotWaiting,       ///< the job is placed, ended or cancelled
  StaleToken,          ///< the attempt is not the job's current one
  StaleIncarnation,    ///< a later run of the same process is registered
  GuaranteesDoNotPack, ///< guaranteed shapes do not fit the workers together
  GuaranteeViolated,   ///< would make a guaranteed shape unreclaimable
  CapacityTaken,       ///< an accelerator, core or memory is in use
  LimitExceeded,       ///< over the customer's own limit
  IncompleteGang,      ///< does not place every task, or breaks adjacency
  InvalidRecord,       ///< breaks a rule of its own kind
  SnapshotNotUsable,   ///< torn, superseded or failed its checksum
};

/// Stable lower-case name of \p Reason.
std::string_view name(rejection Reason);

/// What the fold decided about one record.
struct verdict {
  rejection Reason = rejection::None;
  /// Record that caused the rejection, e.g. the winner of a race; 0 if none.
  log_offset Winner{};

  bool accepted() const { return Reason == rejection::None; }
  friend bool operator==(const verdict &, const verdict &) = default;
};

} // namespace geraniumpaddle
