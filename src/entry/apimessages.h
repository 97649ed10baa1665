#pragma once

#include "core/ledger/ledger.h"
#include "core/placement/types/schedule.h"
#include "transport/ihttpserver.h"

#include "api.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

// Conversion between the ledger's types and the messages of the HTTP API.

proto::CustomerList customerList(const ledger &State);
/// \throws malformed_message_error
customers_changed customersChange(const proto::ChangeCustomers &Body);
proto::JobStatus jobStatus(const job_entry &Job);
proto::WorkerStatus workerStatus(const worker_entry &Worker);
proto::AuditEvent auditEvent(const audit_event &Event);

/// Parses the last part of /v1/workers/ID/STATE: the requested state.
std::optional<worker_state> requestedState(std::string_view Verb);

/// Name of a cell level, as in the sheet's column names.
std::string_view levelName(cell_level Level);

/// Human-readable reason why a job is waiting.
std::string explanationText(const job_explanation &Explanation);
/// Human-readable text of the job's latest step.
std::string stepExplanation(const job_entry &Job);

/// Error response with the reason for which the ledger rejected a record.
http_response rejectionResponse(const verdict &Verdict);

} // namespace geraniumpaddle
