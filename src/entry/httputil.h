#pragma once

#include "core/base/error.h"
#include "transport/ihttpserver.h"

#include <google/protobuf/message.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Value of the header of that name, in any case; empty if there is none.
std::string_view headerValue(std::span<const http_header> Headers,
                             std::string_view Name);
/// Token of an "Authorization: Bearer" header; empty if there is none.
std::string_view bearerToken(std::span<const http_header> Headers);
/// Value of a query parameter, decoded; nothing if it is not there.
std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Name);

/// A message as JSON.
http_response jsonResponse(int Code, const google::protobuf::Message &Body);
/// HTTP status of an error of that kind.
int statusOf(error_kind Kind);
/// An ApiError as JSON. \param Reason finer than the kind, e.g. a rejection.
http_response errorResponse(error_kind Kind, std::string_view Reason,
                            std::string_view Message, std::uint64_t Winner = 0);

/// Header that tells the caller the outcome: answered, not_run, undetermined.
constexpr std::string_view OutcomeHeader = "X-Outcome";
http_response withOutcome(http_response Response, std::string_view Outcome);
/// An ApiError that says with proof that nothing was run.
http_response notRunResponse(error_kind Kind, std::string_view Reason,
                             std::string_view Message);

} // namespace geraniumpaddle
