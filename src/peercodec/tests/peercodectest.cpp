#include "peercodec/peercodec.h"
#include "core/base/error.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <chrono>

using namespace geraniumpaddle;

TEST_GROUP(PeerCodec){};

TEST(PeerCodec, AttemptIdRoundTrips) {
  attempt_id Attempt{node_id("entry-1"), incarnation{17}, 99};
  CHECK(decodeAttemptId(encodeAttemptId(Attempt)) == Attempt);
}

TEST(PeerCodec, MalformedAttemptIdsAreRejected) {
  for (const char *Text : {"", "entry", "entry/1", "entry/x/1", "entry/1/"})
    CHECK_THROWS(malformed_message_error, decodeAttemptId(Text));
}

TEST(PeerCodec, EveryGangMessageDecodesToItsEvent) {
  const auto Messages = std::to_array<member_message>(
      {prepare_tasks{job_id("j"), fencing_token{7}, "sleep:1", {}, {}},
       start_tasks{fencing_token{7}, std::chrono::seconds(6)},
       renew_tasks{fencing_token{7}, std::chrono::seconds(6)},
       stop_tasks{fencing_token{7}, job_outcome::Preempted, true}});
  constexpr std::size_t FirstMemberEvent = 3; // in gang_event
  for (const member_message &Message : Messages) {
    proto::PeerRequest Request;
    encodeMemberMessage(Message, Request);
    auto Event = decodeGangRequest(Request, reply_handle{});
    CHECK(Event.has_value());
    LONGS_EQUAL(FirstMemberEvent + Message.index(), Event->index());
  }
}

TEST(PeerCodec, AReportOfEachStateRoundTrips) {
  for (int State = 0; State <= static_cast<int>(member_state::Stopped);
       ++State) {
    proto::PeerResponse Response;
    encodeGangReply(
        {gang_refusal::None, static_cast<member_state>(State), "why"},
        Response);
    member_report Report = decodeMemberReport(Response);
    LONGS_EQUAL(State, static_cast<int>(Report.State));
    STRCMP_EQUAL("why", Report.Detail.c_str());
  }
}

TEST(PeerCodec, AnEmptyResponseDecodesAsNotReady) {
  CHECK(decodeMemberReport(proto::PeerResponse()).Refusal ==
        gang_refusal::NotReady);
}

TEST(PeerCodec, EveryAttemptRefusalRoundTrips) {
  for (int Value = 0;
       Value <= static_cast<int>(attempt_refusal::DeadlineExpired); ++Value) {
    auto Refusal = static_cast<attempt_refusal>(Value);
    CHECK(decodeAttemptRefusal(toProto(Refusal)) == Refusal);
  }
}
