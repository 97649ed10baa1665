#include "cli/apiclient.h"

#include "cli/exitcodes.h"
#include "codec/protojson.h"

#include "api.pb.h"

#include <optional>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr duration MaxLoopWait = std::chrono::seconds(1);

[[noreturn]] void throwApiFailure(const http_result &Result) {
  proto::ApiError Error;
  if (!tryParseJson(Result.Body, Error) || Error.kind().empty())
    throw api_failure(error_kind::Internal, "unreadable",
                      "the entry answered " + std::to_string(Result.Code));
  throw api_failure(errorKindByName(Error.kind()), Error.reason(),
                    Error.message());
}

} // namespace

api_client::api_client(event_loop &Loop, ihttp_client &Http,
                       std::vector<std::string> Entries,
                       api_credentials Credentials, duration Timeout)
    : Loop(Loop), Http(Http), Entries(std::move(Entries)),
      Credentials(std::move(Credentials)), Timeout(Timeout) {}

std::vector<http_header> api_client::credentialHeaders() const {
  std::vector<http_header> Headers;
  if (!Credentials.Token.empty())
    Headers.push_back({"Authorization", "Bearer " + Credentials.Token});
  if (!Credentials.Customer.empty())
    Headers.push_back({"X-Customer", Credentials.Customer});
  if (!Credentials.Actor.empty())
    Headers.push_back({"X-Actor", Credentials.Actor});
  return Headers;
}

http_result api_client::callOnce(const std::string &Entry,
                                 const std::string &Method,
                                 const std::string &Target,
                                 std::vector<http_header> Headers,
                                 const std::string &Body) {
  std::optional<http_result> Response;
  Http.send({Entry, Method, Target, std::move(Headers), Body, Timeout},
            [&](const http_result &Result) { Response = Result; });
  while (!Response)
    Loop.runOnce(MaxLoopWait);
  return *Response;
}

void api_client::get(const std::string &Target,
                     google::protobuf::Message &Out) {
  send("GET", Target, nullptr, Out);
}

void api_client::send(const std::string &Method, const std::string &Target,
                      const google::protobuf::Message *Body,
                      google::protobuf::Message &Out) {
  std::string Text = Body ? printJson(*Body) : std::string();
  bool MayHaveTakenEffect = false;
  for (const std::string &Entry : Entries) {
    http_result Result =
        callOnce(Entry, Method, Target, credentialHeaders(), Text);
    if (Result.ok() && tryParseJson(Result.Body, Out))
      return;
    if (Result.Status == call_status::Completed)
      throwApiFailure(Result);
    MayHaveTakenEffect |= Result.Status != call_status::NotSent;
  }
  if (MayHaveTakenEffect && Method != "GET")
    throw api_failure(error_kind::Undetermined, "no_answer",
                      "no entry answered; the change may have been made");
  throw api_failure(error_kind::Unavailable, "no_entry",
                    "no entry can be reached");
}

http_result api_client::request(const std::string &Method,
                                const std::string &Target,
                                std::vector<http_header> Headers,
                                const std::string &Body) {
  for (http_header &Header : credentialHeaders())
    Headers.push_back(std::move(Header));
  for (const std::string &Entry : Entries) {
    http_result Result = callOnce(Entry, Method, Target, Headers, Body);
    if (Result.Status == call_status::Completed)
      return Result;
    if (Result.Status != call_status::NotSent)
      throw api_failure(error_kind::Undetermined, "no_answer",
                        "the entry did not answer; the request may have run");
  }
  throw api_failure(error_kind::Unavailable, "no_entry",
                    "no entry can be reached; nothing was run");
}

} // namespace geraniumpaddle
