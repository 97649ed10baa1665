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

/// Identity that a process puts into its requests: its node and incarnation.
struct peer_identity {
  node_id Node;
  incarnation Incarnation{};
};

/// A request from \p Self, still without a body.
proto::PeerRequest makeRequest(const peer_identity &Self);

/// Text form of an attempt id, "entry/incarnation/number".
std::string encodeAttemptId(const attempt_id &Attempt);
/// \throws malformed_message_error
attempt_id decodeAttemptId(std::string_view Text);

/// The event of a request about gangs; nothing for any other request.
/// \throws malformed_message_error
std::optional<gang_event> decodeGangRequest(const proto::PeerRequest &Request,
                                            reply_handle Reply);
/// Encodes the response to a request about gangs.
void encodeGangReply(const member_report &Report,
                     proto::PeerResponse &Response);
/// Decodes the response of a member. A response without a report gives a
/// refusal. \throws malformed_message_error
member_report decodeMemberReport(const proto::PeerResponse &Response);
/// Encodes a message from the lead of a gang to a member.
void encodeMemberMessage(const member_message &Message,
                         proto::PeerRequest &Request);

proto::AssignGang toProto(const assign_gang &Assignment);
assign_gang fromProto(const proto::AssignGang &Message);

proto::Refusal toProto(attempt_refusal Refusal);
attempt_refusal decodeAttemptRefusal(proto::Refusal Refusal);
proto::AttemptState toProto(attempt_state State);
attempt_state decodeAttemptState(proto::AttemptState State);

/// Encodes the verdict on a proposed record, for the process that proposed it.
proto::RecordVerdict encodeVerdict(const verdict &Verdict, log_offset Offset);

} // namespace geraniumpaddle
