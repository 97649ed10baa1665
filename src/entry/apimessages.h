#pragma once

#include "core/ledger/ledger.h"
#include "core/placement/types/schedule.h"
#include "transport/ihttpserver.h"

#include "api.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

// Messages of the HTTP interface from the ledger's types, and back.

proto::CustomerList customerList(const ledger &State);
/// \throws malformed_message_error
customers_changed customersChange(const proto::ChangeCustomers &Body);
proto::JobStatus jobStatus(const job_entry &Job);
proto::WorkerStatus workerStatus(const worker_entry &Worker);
proto::AuditEvent auditEvent(const audit_event &Event);

/// The state that the last part of /v1/workers/ID/STATE asks for.
std::optional<worker_state> requestedState(std::string_view Verb);

/// Name of a cell level, as in the sheet's columns.
std::string_view levelName(cell_level Level);

/// Why a job waits, for people.
std::string explanationText(const job_explanation &Explanation);
/// The latest step that tells why a job is where it is, for people.
std::string stepExplanation(const job_entry &Job);

/// The error response that tells why the fold rejected a record.
http_response rejectionResponse(const verdict &Verdict);

} // namespace geraniumpaddle
