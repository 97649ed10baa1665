#include "peercodec/peercodec.h"

#include "core/base/error.h"

#include <array>
#include <charconv>

namespace geraniumpaddle {

namespace {

struct refusal_mapping {
  attempt_refusal Core;
  proto::Refusal Wire;
};

constexpr auto Refusals = std::to_array<refusal_mapping>({
    {attempt_refusal::None, proto::REFUSAL_NONE},
    {attempt_refusal::Draining, proto::REFUSAL_DRAINING},
    {attempt_refusal::WrongIncarnation, proto::REFUSAL_WRONG_INCARNATION},
    {attempt_refusal::QueueFull, proto::REFUSAL_QUEUE_FULL},
    {attempt_refusal::Barred, proto::REFUSAL_BARRED},
    {attempt_refusal::EndpointDown, proto::REFUSAL_ENDPOINT_DOWN},
    {attempt_refusal::DeadlineExpired, proto::REFUSAL_DEADLINE_EXPIRED},
    {attempt_refusal::QueueFull, proto::REFUSAL_NOT_READY},
});

struct state_mapping {
  attempt_state Core;
  proto::AttemptState Wire;
};

constexpr auto States = std::to_array<state_mapping>({
    {attempt_state::Answered, proto::ATTEMPT_STATE_ANSWERED},
    {attempt_state::NotRun, proto::ATTEMPT_STATE_NOT_RUN},
    {attempt_state::Running, proto::ATTEMPT_STATE_RUNNING},
    {attempt_state::Barred, proto::ATTEMPT_STATE_BARRED},
    {attempt_state::Undetermined, proto::ATTEMPT_STATE_UNDETERMINED},
    {attempt_state::OtherIncarnation, proto::ATTEMPT_STATE_OTHER_RUN},
});

std::uint64_t parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    throw malformed_message_error("attempt: not of the form "
                                  "entry/incarnation/number");
  return Value;
}

} // namespace

proto::PeerRequest makeRequest(const peer_identity &Self) {
  proto::PeerRequest Request;
  Request.set_node(Self.Node.str());
  Request.set_incarnation(raw(Self.Incarnation));
  return Request;
}

std::string encodeAttemptId(const attempt_id &Attempt) {
  return Attempt.Entry.str() + "/" +
         std::to_string(raw(Attempt.EntryIncarnation)) + "/" +
         std::to_string(Attempt.Number);
}

attempt_id decodeAttemptId(std::string_view Text) {
  auto Last = Text.rfind('/');
  auto First = Text.substr(0, Last).rfind('/');
  if (Last == std::string_view::npos || First == std::string_view::npos)
    throw malformed_message_error("attempt: has no two slashes");
  return {node_id(Text.substr(0, First)),
          incarnation{parseNumber(Text.substr(First + 1, Last - First - 1))},
          parseNumber(Text.substr(Last + 1))};
}

proto::Refusal toProto(attempt_refusal Refusal) {
  for (const refusal_mapping &Mapping : Refusals)
    if (Mapping.Core == Refusal)
      return Mapping.Wire;
  throw internal_error("an attempt refusal without a message value");
}

attempt_refusal decodeAttemptRefusal(proto::Refusal Refusal) {
  for (const refusal_mapping &Mapping : Refusals)
    if (Mapping.Wire == Refusal)
      return Mapping.Core;
  throw malformed_message_error("refusal: not one of an attempt");
}

proto::AttemptState toProto(attempt_state State) {
  for (const state_mapping &Mapping : States)
    if (Mapping.Core == State)
      return Mapping.Wire;
  throw internal_error("an attempt state that is not sent");
}

attempt_state decodeAttemptState(proto::AttemptState State) {
  for (const state_mapping &Mapping : States)
    if (Mapping.Wire == State)
      return Mapping.Core;
  throw malformed_message_error("state: unknown attempt state");
}

proto::RecordVerdict encodeVerdict(const verdict &Verdict, log_offset Offset) {
  proto::RecordVerdict Out;
  Out.set_determined(true);
  Out.set_accepted(Verdict.accepted());
  Out.set_rejection(static_cast<std::uint32_t>(Verdict.Reason));
  Out.set_offset(raw(Offset));
  return Out;
}

} // namespace geraniumpaddle
