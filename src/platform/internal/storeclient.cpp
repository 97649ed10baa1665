#include "platform/storeclient.h"

#include "platform/internal/jsonfields.h"
#include "platform/internal/storeframes.h"
#include "transport/urlescape.h"

#include <algorithm>
#include <array>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr std::array<std::string_view, 4> TopicNames{
    "keyed.op", "keyed.jobs", "keyed.progress", "keyed.entries"};
constexpr std::string_view ProducerName = "scheduler";
constexpr std::string_view GroupName = "scheduler";
/// Only the first partition of each topic is used.
constexpr std::string_view Partition = "&part=0";

constexpr int Ok = 200;
constexpr int Conflict = 409;
constexpr int Gone = 410;

std::string_view topicName(store_topic Topic) {
  return TopicNames.at(static_cast<std::size_t>(Topic));
}

std::string topicQuery(std::string_view Path, store_topic Topic) {
  return std::string(Path)
      .append("?Topic=")
      .append(topicName(Topic))
      .append(Partition);
}

/// A number of \p Object that counts from 0; 0 if it is anything else.
std::uint64_t countField(const json &Object, const char *Name) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(integerField(Object, Name).value_or(0), 0));
}

/// True if the answer rules out that the store executed the call.
bool wasNotExecuted(const store_reply &Reply) {
  constexpr int FirstClientError = 400;
  constexpr int FirstServerError = 500;
  constexpr int Unavailable = 503;
  constexpr int StorageFull = 507;
  if (Reply.Status != call_status::Completed)
    return Reply.Status == call_status::NotSent;
  return (Reply.Code >= FirstClientError && Reply.Code < FirstServerError) ||
         Reply.Code == Unavailable || Reply.Code == StorageFull;
}

append_outcome toAppendOutcome(const store_reply &Reply) {
  append_outcome Outcome{.Code = Reply.Code};
  const auto Body = parseObject(Reply.Body);
  if (Reply.Status == call_status::Completed && Reply.Code == Ok && Body) {
    // An answer without the end of the topic proves nothing about it.
    if (!member(*Body, "End"))
      return Outcome;
    Outcome.Status = store_append_status::Stored;
    Outcome.Offset = countField(*Body, "Offset");
    Outcome.End = countField(*Body, "End");
    return Outcome;
  }
  if (!wasNotExecuted(Reply))
    return Outcome;
  Outcome.Status = store_append_status::Refused;
  if (Reply.Code != Conflict || !Body)
    return Outcome;
  const bool Fenced = stringField(*Body, "Reason") == "fenced";
  Outcome.Status =
      Fenced ? store_append_status::Fenced : store_append_status::OutOfSequence;
  Outcome.Sequence = countField(*Body, "Seq");
  return Outcome;
}

newest_outcome toNewestOutcome(const store_reply &Reply) {
  newest_outcome Outcome;
  if (Reply.Status != call_status::Completed || Reply.Code != Ok)
    return Outcome;
  const auto Body = parseObject(Reply.Body);
  const json *Items = Body ? arrayField(*Body, "items") : nullptr;
  if (!Items || !member(*Body, "End"))
    return Outcome;
  Outcome.Ok = true;
  Outcome.Page.HasMore = boolField(*Body, "HasMore").value_or(false);
  Outcome.Page.End = countField(*Body, "End");
  for (const json &Item : *Items) {
    if (!Item.is_object())
      continue;
    const auto Key = stringField(Item, "Key");
    const auto Value = stringField(Item, "Value");
    const auto Decoded = decodeBase64(Value.value_or(""));
    if (!Key || !Decoded)
      continue;
    Outcome.Page.Records.push_back({.Key = *Key,
                                    .Value = *Decoded,
                                    .Deleted = Decoded->empty(),
                                    .Offset = countField(Item, "Offset")});
  }
  return Outcome;
}

join_outcome toJoinOutcome(const store_reply &Reply) {
  join_outcome Outcome;
  if (Reply.Status != call_status::Completed || Reply.Code != Ok)
    return Outcome;
  const auto Body = parseObject(Reply.Body);
  const json *Parts = Body ? arrayField(*Body, "parts") : nullptr;
  if (!Parts)
    return Outcome;
  Outcome.Ok = true;
  Outcome.Generation = countField(*Body, "Generation");
  for (const json &Part : *Parts) {
    const bool WellFormed = Part.is_array() && Part.size() >= 2;
    if (WellFormed && Part[0] == topicName(store_topic::Progress) &&
        asInteger(Part[1]) == 0)
      Outcome.AssignedProgress = true;
  }
  return Outcome;
}

/// Not relayable: the platform takes the calling entry as the member of the
/// group.
store_request groupRequest(std::string Target, const json &Body,
                           duration Timeout) {
  return {.Method = "POST",
          .Target = std::move(Target),
          .Body = Body.dump(),
          .ContentType = "application/json",
          .Timeout = Timeout,
          .Relayable = false};
}

} // namespace

void store_client::append(const append_call &Call,
                          std::function<void(const append_outcome &)> Done) {
  store_request Request{.Method = "POST",
                        .Target = topicQuery("/api/log-append", Call.Topic),
                        .Body = encodeFrames(Call.Records),
                        .ContentType = "application/octet-stream",
                        .Timeout = Call.Timeout,
                        .Relayable = Call.Relayable};
  if (Call.Stamp) {
    Request.Target.append("&Producer=").append(ProducerName);
    Request.Target.append("&epoch=").append(std::to_string(Call.Stamp->Term));
    Request.Target.append("&Seq=").append(std::to_string(Call.Stamp->Sequence));
  }
  Transport.call(std::move(Request), [this, Done = std::move(Done)](
                                         const store_reply &Reply) {
    const append_outcome Outcome = toAppendOutcome(Reply);
    if (Outcome.Status != store_append_status::Stored)
      Log.event("append_not_stored", {{"code", Reply.Code},
                                      {"call", name(Reply.Status)},
                                      {"answer", Reply.Body}});
    Done(Outcome);
  });
}

void store_client::read(store_topic Topic, std::uint64_t From, duration Wait,
                        std::function<void(const read_outcome &)> Done) {
  store_request Request{.Method = "GET",
                        .Target = topicQuery("/api/log-read", Topic),
                        .Timeout = Wait + ReadGrace};
  Request.Target.append("&From=").append(std::to_string(From));
  Request.Target.append("&WaitMs=")
      .append(std::to_string(millisecondsOf(Wait)));
  Transport.call(std::move(Request),
                 [From, Done = std::move(Done)](const store_reply &Reply) {
                   read_outcome Outcome;
                   const bool Answered = Reply.Status == call_status::Completed;
                   Outcome.HistoryTruncated = Answered && Reply.Code == Gone;
                   if (Answered && Reply.Code == Ok)
                     if (auto Batch = decodeFrames(Reply.Body, From)) {
                       Outcome.Ok = true;
                       Outcome.Batch = std::move(*Batch);
                     }
                   Done(Outcome);
                 });
}

void store_client::newest(store_topic Topic, std::string_view After,
                          std::function<void(const newest_outcome &)> Done) {
  store_request Request{.Method = "GET",
                        .Target = topicQuery("/api/log-newest", Topic),
                        .Timeout = ReadGrace};
  if (!After.empty())
    Request.Target.append("&After=").append(urlEscape(After));
  Transport.call(std::move(Request),
                 [Done = std::move(Done)](const store_reply &Reply) {
                   Done(toNewestOutcome(Reply));
                 });
}

void store_client::join(const join_call &Call,
                        std::function<void(const join_outcome &)> Done) {
  const json Body = {{"group", GroupName},
                     {"Member", Call.Member},
                     {"Topics", {topicName(store_topic::Progress)}},
                     {"TtlMs", millisecondsOf(Call.TimeToLive)},
                     {"Generation", Call.Generation}};
  Transport.call(groupRequest("/api/log-join", Body, Call.Timeout),
                 [Done = std::move(Done)](const store_reply &Reply) {
                   Done(toJoinOutcome(Reply));
                 });
}

store_request storeProbe(duration Timeout) {
  return {.Method = "GET",
          .Target = topicQuery("/api/log-newest", store_topic::Operator),
          .Timeout = Timeout,
          .Relayable = false};
}

void store_client::leave(std::string_view Member) {
  constexpr duration Timeout = std::chrono::seconds(1);
  const json Body = {{"group", GroupName}, {"Member", Member}};
  Transport.call(groupRequest("/api/log-leave", Body, Timeout),
                 [this](const store_reply &Reply) {
                   if (Reply.Code != Ok)
                     Log.event("group_leave_failed", {{"code", Reply.Code}});
                 });
}

} // namespace geraniumpaddle
