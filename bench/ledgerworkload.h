#pragma once

#include "core/ledger/ledger.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Records of a cluster at the target size, by kind, all of one producer.
class ledger_workload {
public:
  explicit ledger_workload(int Workers) : Workers(Workers) {}

  /// One registration per worker.
  std::vector<record> registrations();
  /// One change per customer.
  std::vector<record> customers();
  /// Gangs of up to 64 tasks; those with accelerators fill most of the
  /// cluster, the rest needs cores only.
  std::vector<record> submissions(int Tasks);
  /// Places every waiting job on the next free accelerators or cores.
  std::vector<record> placements(const ledger &Ledger);
  /// Starts every placed job.
  std::vector<record> starts(const ledger &Ledger);
  /// Changes of limits, each based on the one before.
  std::vector<record> limitChanges(const ledger &Ledger, int Count);
  /// Registrations with rising incarnations.
  std::vector<record> restarts(int Count);
  /// Jobs that are submitted and cancelled at once.
  std::vector<record> shortJobs(int Count);
  /// Ends every attempt, so that its job waits again.
  std::vector<record> aborts(const ledger &Ledger);
  /// The last records that were made, again.
  std::vector<record> lastRecords() const { return Last; }

private:
  record make(record_body Body);
  record_body registration(int Worker, std::uint64_t Run) const;
  task_assignment assign(std::uint32_t Task, const resources &Need);

  int Workers;
  std::uint64_t Sequence = 0;
  std::uint64_t Run = 1;
  int NextAccelerator = 0;
  int NextHost = 0;
  std::vector<record> Last;
};

} // namespace geraniumpaddle
