#pragma once

#include "core/ledger/audittrail.h"
#include "core/ledger/jobtable.h"
#include "core/ledger/producertable.h"
#include "core/ledger/types/state.h"
#include "core/placement/capacityaccount.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// The replicated state machine that every entry keeps by applying the log in
/// order. Each record is a proposal; whether it is accepted depends only on the
/// record and on the state before it, so that all replicas reach the same
/// state.
class ledger {
public:
  static constexpr std::size_t MaxEntries = 64;
  static constexpr std::size_t MaxTasksPerJob = 64;
  static constexpr std::size_t MaxFailuresPerWorker = 8;
  static constexpr std::size_t MaxRemovedCustomers = 256;

  ledger() = default;
  /// Restores the state of \p Image.
  explicit ledger(const ledger_image &Image);

  /// Applies the record at \p Offset.
  /// \throws internal_error unless \p Offset follows the last applied one.
  verdict apply(log_offset Offset, const record &Record);
  /// Skips the record at \p Offset, which cannot be decoded.
  /// \param Detail the decoding error; it must be the same on every replica.
  /// \throws internal_error unless \p Offset follows the last applied one.
  void skip(log_offset Offset, std::string_view Detail);

  /// Offset of the last record applied or skipped; 0 if there is none.
  log_offset lastApplied() const { return LastApplied; }
  /// Version of the customer configuration.
  config_version version() const { return Version; }
  /// Record that created version().
  log_offset versionOffset() const { return VersionOffset; }
  /// Record of the latest accepted sheet; 0 if there is none.
  log_offset lastSheet() const { return LastSheet; }

  /// Configured customers, by id.
  std::span<const customer_entry> customers() const { return Customers; }
  /// The customer, or nullptr.
  const customer_entry *customer(const customer_id &Id) const;
  /// Customers that commands have removed since the last sheet.
  std::span<const removed_customer> removedByCommand() const {
    return RemovedByCommand;
  }

  /// Announced entries, by node.
  std::span<const entry_member> entries() const { return Entries; }
  /// Registered workers, by id.
  std::span<const worker_entry> workers() const { return Workers; }
  /// The worker, or nullptr.
  const worker_entry *worker(const worker_id &Id) const;

  /// The job, or nullptr if it is unknown or was evicted.
  const job_entry *job(const job_id &Id) const { return Jobs.find(Id); }
  /// The job whose current attempt has \p Token, or nullptr.
  const job_entry *attempt(fencing_token Token) const {
    return Jobs.findByToken(Token);
  }
  /// Waiting jobs in order of submission; valid until the next record is
  /// applied.
  std::span<const job_entry *const> waitingJobs() const {
    return Jobs.waiting();
  }
  /// Jobs that hold capacity, by token; valid until the next record is applied.
  std::span<const job_entry *const> runningAttempts() const {
    return Jobs.holding();
  }

  const capacity_account &account() const { return Account; }
  const record_counts &counts() const { return Counts; }
  std::vector<audit_event> audit(const audit_query &Query) const {
    return Audit.find(Query);
  }
  /// Offset of the oldest audit event; 0 if there is none.
  log_offset oldestAudit() const { return Audit.oldest(); }
  /// The verdict on a record, if it was applied and is still in the
  /// deduplication window.
  std::optional<sequence_verdict> verdictOf(const producer &Key) const {
    return Producers.find(Key);
  }

  /// The complete state, for a snapshot.
  ledger_image image() const;

private:
  /// The record being applied.
  struct context {
    log_offset Offset{};
    const record &Record;
  };

  verdict onCustomersChanged(const customers_changed &Change,
                             const context &Context);
  verdict onEntryAnnounced(const entry_announced &Entry,
                           const context &Context);
  verdict onWorkerRegistered(const worker_registered &Registration,
                             const context &Context);
  verdict onWorkerStateChanged(const worker_state_changed &Change,
                               const context &Context);
  verdict onJobSubmitted(const job_submitted &Submission,
                         const context &Context);
  verdict onJobPlaced(const job_placed &Placement, const context &Context);
  verdict onJobStarted(const job_started &Start, const context &Context);
  verdict onJobEnded(const job_ended &End, const context &Context);
  verdict onJobCancelled(const job_cancelled &Cancellation,
                         const context &Context);
  verdict onSnapshotChunk(const snapshot_chunk &Chunk, const context &Context);

  void advance(log_offset Offset);
  verdict applyIfNew(const context &Context);
  log_offset firstOffsetOf(const producer &Producer) const;
  void countVerdict(const verdict &Verdict);
  void addAuditEvent(const context &Context, const verdict &Verdict);

  verdict checkChange(const customers_changed &Change) const;
  std::vector<customer_entry> changedCustomers(const customers_changed &Change,
                                               const context &Context) const;
  void updateRemovedByCommand(const customers_changed &Change,
                              const context &Context);
  void cancelJobsOfRemovedCustomers(std::span<const customer_id> Removed,
                                    const context &Context);

  worker_entry *findWorker(const worker_id &Id);
  void setWorkerState(worker_entry &Worker, worker_state State,
                      state_cause Cause, log_offset Offset);
  verdict changeWorkerState(worker_entry &Worker,
                            const worker_state_changed &Change,
                            log_offset Offset);
  void blameWorker(const worker_id &Id, const job_id &Job,
                   const context &Context);

  void clearFailures(std::span<const task_assignment> Assignments);

  verdict checkPlacement(const job_entry &Job,
                         const job_placed &Placement) const;
  verdict checkAssignments(const job_entry &Job,
                           std::span<const task_assignment> Assignments) const;
  verdict checkVictims(const job_placed &Placement) const;
  void preempt(fencing_token Victim, const context &Context);
  verdict endWaiting(const job_entry &Job, const job_ended &End,
                     const context &Context);
  void endAttempt(const job_entry &Job, const job_ended &End,
                  const context &Context);

  log_offset LastApplied{};
  config_version Version{};
  log_offset VersionOffset{};
  log_offset LastSheet{};
  record_counts Counts;
  std::vector<customer_entry> Customers;
  std::vector<removed_customer> RemovedByCommand;
  std::vector<entry_member> Entries;
  std::vector<worker_entry> Workers;
  job_table Jobs;
  producer_table Producers;
  audit_trail Audit;
  capacity_account Account;
};

} // namespace geraniumpaddle
