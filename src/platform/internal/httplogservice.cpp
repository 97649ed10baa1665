#include "platform/httplogservice.h"

#include "codec/protojson.h"

#include "core/base/error.h"

#include "platform.pb.h"

namespace geraniumpaddle {

namespace {

constexpr int Ok = 200;
constexpr int Gone = 410;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

bool isRefusal(const http_result &Result) {
  return Result.Status == call_status::Completed &&
         (Result.Code == TooManyRequests || Result.Code == ServiceUnavailable);
}

/// Status of an answer that neither confirms nor refuses the call.
call_status undeterminedStatus(const http_result &Result) {
  return Result.Status == call_status::Completed ? call_status::Lost
                                                 : Result.Status;
}

append_result toAppendResult(const http_result &Result) {
  append_result Append;
  if (isRefusal(Result)) {
    Append.Status = call_status::Completed;
    Append.Refused = true;
    return Append;
  }
  proto::LogAppended Appended;
  if (!Result.ok() || Result.Code != Ok ||
      !tryParseJson(Result.Body, Appended) || Appended.first() == 0) {
    Append.Status = undeterminedStatus(Result);
    return Append;
  }
  Append.Status = call_status::Completed;
  Append.First = log_offset{Appended.first()};
  return Append;
}

/// True if the offsets ascend, starting no lower than \p From.
bool isOrdered(const proto::LogRecords &Records, log_offset From) {
  std::uint64_t MinOffset = raw(From);
  for (const auto &Item : Records.records()) {
    if (Item.offset() < MinOffset) {
      return false;
    }
    MinOffset = Item.offset() + 1;
  }
  return true;
}

read_result toReadResult(const http_result &Result, log_offset From) {
  read_result Read;
  if (isRefusal(Result)) {
    return Read;
  }
  const bool Known = Result.Status == call_status::Completed &&
                     (Result.Code == Ok || Result.Code == Gone);
  proto::LogRecords Records;
  if (!Known || !tryParseJson(Result.Body, Records) ||
      !isOrdered(Records, From)) {
    Read.Status = undeterminedStatus(Result);
    return Read;
  }
  Read.Status = call_status::Completed;
  Read.Truncated = Result.Code == Gone;
  Read.Head = log_offset{Records.head()};
  Read.Oldest = log_offset{Records.oldest()};
  for (auto &Item : *Records.mutable_records()) {
    Read.Items.push_back(
        {log_offset{Item.offset()}, std::move(*Item.mutable_payload())});
  }
  return Read;
}

} // namespace

http_log_service::http_log_service(ihttp_client &Client,
                                   http_log_settings Settings)
    : Client(Client), Settings(std::move(Settings)) {}

void http_log_service::append(std::span<const std::string> Payloads,
                              std::function<void(const append_result &)> Done) {
  proto::LogAppend Append;
  for (const auto &Payload : Payloads) {
    Append.add_records(Payload);
  }
  http_call Call;
  Call.Address = Settings.Address;
  Call.Method = "POST";
  Call.Target = Settings.AppendPath;
  Call.Headers = {{"Content-Type", "application/json"}};
  Call.Timeout = Settings.AppendTimeout;
  // Idempotent: the records contain their producer and sequence number.
  Call.Reuse = connection_reuse::Always;
  Call.Cause = "log_append";
  Call.Body = printJson(Append);
  Client.send(std::move(Call),
              [Done = std::move(Done)](const http_result &Result) {
                Done(toAppendResult(Result));
              });
}

void http_log_service::read(log_offset From, std::uint32_t Limit, duration Wait,
                            std::function<void(const read_result &)> Done) {
  const auto WaitMs = millisecondsOf(Wait);
  http_call Call;
  Call.Address = Settings.Address;
  Call.Method = "GET";
  Call.Target = Settings.ReadPath + "?from=" + std::to_string(raw(From)) +
                "&limit=" + std::to_string(Limit) +
                "&wait_ms=" + std::to_string(WaitMs);
  Call.Timeout = Wait + Settings.ReadGrace;
  Call.Cause = "log_read";
  Client.send(std::move(Call),
              [Done = std::move(Done), From](const http_result &Result) {
                Done(toReadResult(Result, From));
              });
}

} // namespace geraniumpaddle
