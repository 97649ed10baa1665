#pragma once

#include "core/ledger/ledger.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Generates the records of a cluster by kind, all from one producer.
class ledger_workload {
public:
  explicit ledger_workload(int Workers) : Workers(Workers) {}

  /// One registration per worker.
  std::vector<record> registrations();
  /// One change per customer.
  std::vector<record> customers();
  /// Gangs of up to 64 tasks; those with accelerators fill most of the
  /// cluster, the others need cores only.
  std::vector<record> submissions(int Tasks);
  /// Places every waiting job on the next free accelerators or cores.
  std::vector<record> placements(const ledger &Ledger);
  /// Starts every placed job.
  std::vector<record> starts(const ledger &Ledger);
  /// Changes of limits, each based on the one before.
  std::vector<record> limitChanges(const ledger &Ledger, int Count);
  /// Registrations with increasing incarnations.
  std::vector<record> restarts(int Count);
  /// Jobs that are cancelled right after their submission.
  std::vector<record> shortJobs(int Count);
  /// Aborts every running attempt, so that its job is queued again.
  std::vector<record> aborts(const ledger &Ledger);
  /// The most recently generated records, to be applied as duplicates.
  std::vector<record> lastRecords() const { return LastRecords; }

private:
  record makeRecord(record_body Body);
  record_body registration(int Worker, std::uint64_t Incarnation) const;
  task_assignment assign(std::uint32_t Task, const resources &Need);

  int Workers;
  std::uint64_t Sequence = 0;
  std::uint64_t Incarnation = 1;
  int NextAccelerator = 0;
  int NextWorker = 0;
  std::vector<record> LastRecords;
};

} // namespace geraniumpaddle
