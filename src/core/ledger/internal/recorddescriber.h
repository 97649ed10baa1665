#pragma once

#include "core/ledger/types/state.h"

namespace geraniumpaddle {

/// Fills in the fields of an audit event that depend on the record's body: the
/// customer, the job and a human-readable detail.
class record_describer {
public:
  void describe(const record_body &Body, audit_event &Event) const;

private:
  void onCustomersChanged(const customers_changed &Change,
                          audit_event *Event) const;
  void onEntryAnnounced(const entry_announced &Entry, audit_event *Event) const;
  void onWorkerRegistered(const worker_registered &Registration,
                          audit_event *Event) const;
  void onWorkerStateChanged(const worker_state_changed &Change,
                            audit_event *Event) const;
  void onJobSubmitted(const job_submitted &Submission,
                      audit_event *Event) const;
  void onJobPlaced(const job_placed &Placement, audit_event *Event) const;
  void onJobStarted(const job_started &Start, audit_event *Event) const;
  void onJobEnded(const job_ended &End, audit_event *Event) const;
  void onJobCancelled(const job_cancelled &Cancellation,
                      audit_event *Event) const;
  void onSnapshotChunk(const snapshot_chunk &Chunk, audit_event *Event) const;
};

} // namespace geraniumpaddle
