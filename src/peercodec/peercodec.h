#pragma once

#include "core/base/types/ids.h"
#include "core/gang/types/gangcommands.h"
#include "core/gang/types/gangevents.h"
#include "core/routing/types/attemptid.h"
#include "core/routing/types/attemptmessages.h"

#include "peer.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// One run of one process of the system, as it signs its calls.
struct peer_identity {
  node_id Node;
  incarnation Incarnation{};
};

/// An empty request signed by \p Self.
proto::PeerRequest makeRequest(const peer_identity &Self);

/// Text form of an attempt id, "entry/incarnation/number".
std::string encodeAttemptId(const attempt_id &Attempt);
/// \throws malformed_message_error
attempt_id decodeAttemptId(std::string_view Text);

/// The event of a call that concerns gangs, or nothing for any other call.
/// \throws malformed_message_error
std::optional<gang_event> decodeGangRequest(const proto::PeerRequest &Request,
                                            reply_handle Reply);
/// Puts the answer to a gang call into \p Response.
void encodeGangReply(const member_report &Report,
                     proto::PeerResponse &Response);
/// A member's answer; a refused or foreign response gives its refusal.
member_report decodeMemberReport(const proto::PeerResponse &Response);
/// Puts a lead's message to a member into \p Request.
void encodeMemberMessage(const member_message &Message,
                         proto::PeerRequest &Request);

proto::AssignGang toProto(const assign_gang &Assignment);
assign_gang fromProto(const proto::AssignGang &Message);

proto::Refusal toProto(attempt_refusal Refusal);
attempt_refusal decodeAttemptRefusal(proto::Refusal Refusal);
proto::AttemptState toProto(attempt_state State);
attempt_state decodeAttemptState(proto::AttemptState State);

/// What became of a proposal, for the process that asked for it.
proto::RecordVerdict encodeVerdict(const verdict &Verdict, log_offset Offset);

} // namespace geraniumpaddle
