#pragma once

#include "core/base/error.h"
#include "core/work/types/configuration.h"
#include "core/work/types/worker.h"
#include "transport/ihttpserver.h"

#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Key of the configuration among the operators' records.
constexpr std::string_view ConfigurationKey = "config";

/// \throws malformed_message_error
work::configuration decodeConfiguration(std::string_view Text);

/// A heartbeat, as the worker \p Id sent it, and where it takes calls.
struct worker_heartbeat {
  work::worker_description Description;
  std::string Address;
};
/// \throws malformed_message_error if fields are missing or of another type.
worker_heartbeat decodeHeartbeat(std::string_view Id, std::string_view Body);

/// Steps, payload and times of a submitted job; the rest is left to the caller.
/// \throws malformed_message_error that says which field is wrong.
work::job_spec decodeJob(std::string_view Body);

/// What a worker calls at its agent.
enum class worker_request_kind : std::uint8_t { Heartbeat, Deregister, Other };
struct worker_request {
  worker_request_kind Kind = worker_request_kind::Other;
  std::string_view Worker;
};
/// The life that a worker's message is about; nothing if it does not say.
std::optional<std::uint64_t> decodeStartTimeMs(std::string_view Body);
worker_request parseWorkerRequest(std::string_view Method,
                                  std::string_view Path);

constexpr std::string_view ReadinessPath = "/api/readyz";
constexpr std::string_view TimeoutHeader = "X-Timeout-Ms";

http_response encodeJobState(work::job_state State);
http_response encodePending(std::size_t Count);
http_response encodeEmpty(int Code);
/// \param RetryAfter told to the caller if it is not 0.
http_response encodeError(int Code, std::string_view Reason,
                          std::string_view Message, duration RetryAfter = {});

} // namespace geraniumpaddle
