#pragma once

#include "core/base/types/ids.h"

#include <cstdint>
#include <string_view>

namespace geraniumpaddle {

/// Why a record was rejected when it was applied.
enum class rejection : std::uint8_t {
  None,
  Duplicate,           ///< a duplicate by producer, incarnation and sequence
  VersionConflict,     ///< made against a version that is not the current one
  UnknownCustomer,     ///< names a customer that is not configured
  UnknownJob,          ///< names a job that is not in the ledger
  UnknownWorker,       ///< names a worker that is not registered
  JobExists,           ///< the job id is already in use
  JobNotWaiting,       ///< the job is not in a state that allows the change
  StaleToken,          ///< fencing token of an attempt that is not current
  StaleIncarnation,    ///< a later incarnation of the process is known
  GuaranteesDoNotPack, ///< the workers cannot hold all guaranteed cells
  GuaranteeViolated,   ///< a guaranteed cell could not be reclaimed any more
  CapacityTaken,       ///< resources are in use or the worker is not active
  LimitExceeded,       ///< over the customer's limit or that of all jobs
  IncompleteGang,      ///< does not place every task as its job requires
  InvalidRecord,       ///< the record itself is not valid
  SnapshotNotUsable,   ///< the chunk's index or covered offset is not valid
};

/// Stable lower-case name of \p Reason.
std::string_view name(rejection Reason);

/// Whether a record was accepted, and why not.
struct verdict {
  rejection Reason = rejection::None;
  /// Earlier record that this one conflicts with; 0 if there is none.
  log_offset Winner{};

  bool accepted() const { return Reason == rejection::None; }
  friend bool operator==(const verdict &, const verdict &) = default;
};

} // namespace geraniumpaddle
