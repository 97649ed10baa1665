#pragma once

#include "core/base/error.h"
#include "core/work/types/configuration.h"
#include "core/work/types/worker.h"
#include "transport/ihttpserver.h"

#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Key of the configuration in the topic of operators.
constexpr std::string_view ConfigurationKey = "config";

/// The zone whose evacuation is requested by the record with \p Key in the
/// topic of operators, for as long as the record exists; nothing for other
/// records.
std::optional<availability_zone_id> decodeEvacuation(std::string_view Key);

/// \throws malformed_message_error
work::configuration decodeConfiguration(std::string_view Text);

/// A heartbeat and the address at which the worker takes calls.
struct worker_heartbeat {
  work::worker_description Description;
  std::string Address;
};
/// Decodes the heartbeat of worker \p Id.
/// \throws malformed_message_error if a field is missing or has the wrong type.
worker_heartbeat decodeHeartbeat(std::string_view Id, std::string_view Body);

/// Decodes the steps, payload and times of a submitted job. The caller sets the
/// other fields.
/// \throws malformed_message_error that names the invalid field.
work::job_spec decodeJob(std::string_view Body);

/// Kinds of requests that a worker sends to its agent.
enum class worker_request_kind : std::uint8_t { Heartbeat, Deregister, Other };
struct worker_request {
  worker_request_kind Kind = worker_request_kind::Other;
  std::string_view Worker;
};
/// Start time of the worker instance that deregisters; nothing if the message
/// doesn't contain it.
/// \throws malformed_message_error if it contains anything else in its place.
std::optional<std::uint64_t> decodeDeregistration(std::string_view Body);
worker_request parseWorkerRequest(std::string_view Method,
                                  std::string_view Path);

constexpr std::string_view ReadinessPath = "/api/readyz";
constexpr std::string_view TimeoutHeader = "X-Timeout-Ms";

/// The time for which a caller waits, from the value of TimeoutHeader; at most
/// work::MaxDuration, and \p Default if it is not a positive number.
duration decodeTimeout(std::string_view Text, duration Default);

http_response encodeJobState(work::job_state State);
http_response encodePending(std::size_t Count);
http_response encodeEmpty(int Code);
/// \param RetryAfter sets the Retry-After header if it is not 0.
http_response encodeError(int Code, std::string_view Reason,
                          std::string_view Message, duration RetryAfter = {});

} // namespace geraniumpaddle
