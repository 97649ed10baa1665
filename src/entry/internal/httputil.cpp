#include "entry/httputil.h"

#include "codec/protojson.h"
#include "core/routing/types/requestoutcome.h"

#include "api.pb.h"

#include <algorithm>
#include <cctype>

namespace geraniumpaddle {

namespace {

bool sameName(std::string_view Left, std::string_view Right) {
  auto Lower = [](char C) {
    return std::tolower(static_cast<unsigned char>(C));
  };
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [&](char A, char B) { return Lower(A) == Lower(B); });
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (std::isxdigit(static_cast<unsigned char>(C)))
    return std::tolower(static_cast<unsigned char>(C)) - 'a' + 10;
  return -1;
}

std::string decodeQuery(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    bool Escape = Text[I] == '%' && I + 2 < Text.size() &&
                  hexDigit(Text[I + 1]) >= 0 && hexDigit(Text[I + 2]) >= 0;
    if (Escape) {
      Out +=
          static_cast<char>(16 * hexDigit(Text[I + 1]) + hexDigit(Text[I + 2]));
      I += 2;
    } else {
      Out += Text[I] == '+' ? ' ' : Text[I];
    }
  }
  return Out;
}

} // namespace

std::string_view headerValue(std::span<const http_header> Headers,
                             std::string_view Name) {
  for (const http_header &Header : Headers)
    if (sameName(Header.Name, Name))
      return Header.Value;
  return {};
}

std::string_view bearerToken(std::span<const http_header> Headers) {
  constexpr std::string_view Scheme = "Bearer ";
  std::string_view Value = headerValue(Headers, "Authorization");
  if (Value.size() < Scheme.size() ||
      !sameName(Value.substr(0, Scheme.size()), Scheme))
    return {};
  return Value.substr(Scheme.size());
}

std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Name) {
  while (!Query.empty()) {
    auto End = std::min(Query.find('&'), Query.size());
    std::string_view Pair = Query.substr(0, End);
    auto Equals = std::min(Pair.find('='), Pair.size());
    if (Pair.substr(0, Equals) == Name)
      return decodeQuery(Pair.substr(std::min(Equals + 1, Pair.size())));
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return std::nullopt;
}

http_response jsonResponse(int Code, const google::protobuf::Message &Body) {
  return {Code, {{"Content-Type", "application/json"}}, printJson(Body) + "\n"};
}

int statusOf(error_kind Kind) {
  switch (Kind) {
  case error_kind::InvalidArgument:
  case error_kind::InvalidSettings:
  case error_kind::MalformedMessage:
    return 400;
  case error_kind::PermissionDenied:
    return 403;
  case error_kind::NotFound:
    return 404;
  case error_kind::Conflict:
    return 409;
  case error_kind::Infeasible:
    return 422;
  case error_kind::ResourceExhausted:
    return 429;
  case error_kind::Internal:
    return 500;
  case error_kind::Unavailable:
    return 503;
  case error_kind::Undetermined:
    return 504;
  }
  return 500;
}

http_response errorResponse(error_kind Kind, std::string_view Reason,
                            std::string_view Message, std::uint64_t Winner) {
  proto::ApiError Error;
  Error.set_kind(std::string(name(Kind)));
  Error.set_reason(std::string(Reason));
  Error.set_message(std::string(Message));
  Error.set_winner(Winner);
  return jsonResponse(statusOf(Kind), Error);
}

http_response withOutcome(http_response Response, std::string_view Outcome) {
  Response.Headers.push_back(
      {std::string(OutcomeHeader), std::string(Outcome)});
  return Response;
}

http_response notRunResponse(error_kind Kind, std::string_view Reason,
                             std::string_view Message) {
  return withOutcome(errorResponse(Kind, Reason, Message),
                     name(outcome_kind::NotRun));
}

} // namespace geraniumpaddle
