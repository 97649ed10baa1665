#pragma once

#include "core/base/error.h"
#include "transport/ihttpserver.h"

#include <google/protobuf/message.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Value of the header \p Name (case-insensitive); empty if there is none.
std::string_view headerValue(std::span<const http_header> Headers,
                             std::string_view Name);
/// Token of an "Authorization: Bearer" header; empty if there is none.
std::string_view bearerToken(std::span<const http_header> Headers);
/// Decoded value of a query parameter; nullopt if it is absent.
std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Name);

/// Response with a message as JSON.
http_response jsonResponse(int Code, const google::protobuf::Message &Body);
/// HTTP status of an error of that kind.
int statusOf(error_kind Kind);
/// An ApiError as JSON. \param Reason more specific than the kind, e.g. the
/// name of a rejection.
http_response errorResponse(error_kind Kind, std::string_view Reason,
                            std::string_view Message, std::uint64_t Winner = 0);

/// Header that tells the caller the outcome: answered, not_run, undetermined.
constexpr std::string_view OutcomeHeader = "X-Outcome";
http_response withOutcome(http_response Response, std::string_view Outcome);
/// An ApiError for a request that certainly was not run.
http_response notRunResponse(error_kind Kind, std::string_view Reason,
                             std::string_view Message);

} // namespace geraniumpaddle
