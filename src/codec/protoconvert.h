#pragma once

#include "core/ledger/types/state.h"

#include "records.pb.h"

#include <string>
#include <string_view>

namespace geraniumpaddle {

// Conversions between core types and protobuf messages. fromProto() validates
// every field and throws malformed_message_error with the path of the invalid
// field, such as "spec.tasks[3].accelerators".

proto::Guarantee toProto(const guarantee &Guarantee);
proto::CustomerConfig toProto(const customer_config &Config);
proto::EntryAnnounced toProto(const entry_announced &Entry);
proto::WorkerInfo toProto(const worker_info &Worker);
proto::WorkerRegistered toProto(const worker_registered &Registration);
proto::Resources toProto(const resources &Amount);
proto::JobSpec toProto(const job_spec &Spec);
proto::TaskAssignment toProto(const task_assignment &Assignment);
proto::SnapshotChunk toProto(const snapshot_chunk &Chunk);
proto::JobStarted toProto(const job_started &Start);
proto::JobEnded toProto(const job_ended &End);
proto::JobOutcome toProto(job_outcome Outcome);
proto::Adjacency toProto(adjacency Adjacency);
proto::WorkerState toProto(worker_state State);
proto::CustomersChanged toProto(const customers_changed &Change);
proto::WorkerStateChanged toProto(const worker_state_changed &Change);
proto::JobPlaced toProto(const job_placed &Placement);
proto::Record toProto(const record &Record);

guarantee fromProto(const proto::Guarantee &Message);
request_limits fromProto(const proto::RequestLimits &Message);
customer_config fromProto(const proto::CustomerConfig &Message);
entry_announced fromProto(const proto::EntryAnnounced &Message);
worker_info fromProto(const proto::WorkerInfo &Message);
worker_registered fromProto(const proto::WorkerRegistered &Message);
resources fromProto(const proto::Resources &Message);
job_spec fromProto(const proto::JobSpec &Message);
task_assignment fromProto(const proto::TaskAssignment &Message);
snapshot_chunk fromProto(const proto::SnapshotChunk &Message);
job_started fromProto(const proto::JobStarted &Message);
job_ended fromProto(const proto::JobEnded &Message);
job_outcome fromProto(proto::JobOutcome Outcome);
customers_changed fromProto(const proto::CustomersChanged &Message);
worker_state_changed fromProto(const proto::WorkerStateChanged &Message);
job_submitted fromProto(const proto::JobSubmitted &Message);
job_placed fromProto(const proto::JobPlaced &Message);
job_cancelled fromProto(const proto::JobCancelled &Message);
record fromProto(const proto::Record &Message);

} // namespace geraniumpaddle
