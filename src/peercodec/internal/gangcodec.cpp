#include "peercodec/peercodec.h"

#include "codec/protoconvert.h"
#include "core/base/error.h"

#include <chrono>

namespace geraniumpaddle {

namespace {

constexpr int MaxGangTasks = 64;

duration decodeLease(std::uint64_t Milliseconds) {
  constexpr std::uint64_t MaxLeaseMs = 3600UL * 1000;
  if (Milliseconds > MaxLeaseMs)
    throw malformed_message_error("lease_ms: longer than an hour");
  return std::chrono::milliseconds(Milliseconds);
}

template <typename Messages>
std::vector<gang_task> decodeTasks(const Messages &In) {
  if (In.size() > MaxGangTasks)
    throw malformed_message_error("tasks: more than a gang may have");
  std::vector<gang_task> Tasks;
  for (const proto::GangTask &Task : In)
    Tasks.push_back({fromProto(Task.assignment()), fromProto(Task.need())});
  return Tasks;
}

template <typename Messages>
std::vector<fencing_token> decodeTokens(const Messages &In) {
  std::vector<fencing_token> Tokens;
  for (std::uint64_t Token : In)
    Tokens.push_back(fencing_token{Token});
  return Tokens;
}

void addTask(const gang_task &Task, proto::GangTask &Out) {
  *Out.mutable_assignment() = toProto(Task.Assignment);
  *Out.mutable_need() = toProto(Task.Need);
}

prepare_tasks decode(const proto::PrepareTasks &In) {
  return {job_id(In.job()), fencing_token{In.token()}, In.command(),
          decodeTasks(In.tasks()), decodeTokens(In.victims())};
}

stop_tasks decode(const proto::StopTasks &In) {
  return {fencing_token{In.token()}, fromProto(In.reason()), In.checkpoint()};
}

gang_refusal decodeRefusal(proto::Refusal Refusal) {
  switch (Refusal) {
  case proto::REFUSAL_NONE:
    return gang_refusal::None;
  case proto::REFUSAL_STALE_TOKEN:
    return gang_refusal::StaleToken;
  case proto::REFUSAL_INVALID:
    return gang_refusal::Invalid;
  default:
    return gang_refusal::NotReady;
  }
}

proto::Refusal toProto(gang_refusal Refusal) {
  switch (Refusal) {
  case gang_refusal::None:
    return proto::REFUSAL_NONE;
  case gang_refusal::StaleToken:
    return proto::REFUSAL_STALE_TOKEN;
  case gang_refusal::NotReady:
    return proto::REFUSAL_NOT_READY;
  case gang_refusal::Invalid:
    return proto::REFUSAL_INVALID;
  }
  return proto::REFUSAL_INVALID;
}

/// Encodes a message from the lead into the matching field of the request.
struct member_message_encoder {
  proto::PeerRequest &Request;

  void operator()(const prepare_tasks &Message) const {
    proto::PrepareTasks &Out = *Request.mutable_prepare_tasks();
    Out.set_job(Message.Job.str());
    Out.set_token(raw(Message.Token));
    Out.set_command(Message.Command);
    for (const gang_task &Task : Message.Tasks)
      addTask(Task, *Out.add_tasks());
    for (fencing_token Victim : Message.Victims)
      Out.add_victims(raw(Victim));
  }
  void operator()(const start_tasks &Message) const {
    Request.mutable_start_tasks()->set_token(raw(Message.Token));
    Request.mutable_start_tasks()->set_lease_ms(millisecondsOf(Message.Lease));
  }
  void operator()(const renew_tasks &Message) const {
    Request.mutable_renew_tasks()->set_token(raw(Message.Token));
    Request.mutable_renew_tasks()->set_lease_ms(millisecondsOf(Message.Lease));
  }
  void operator()(const stop_tasks &Message) const {
    proto::StopTasks &Out = *Request.mutable_stop_tasks();
    Out.set_token(raw(Message.Token));
    Out.set_reason(toProto(Message.Reason));
    Out.set_checkpoint(Message.Checkpoint);
  }
};

} // namespace

proto::AssignGang toProto(const assign_gang &Assignment) {
  proto::AssignGang Out;
  Out.set_job(Assignment.Job.str());
  Out.set_token(raw(Assignment.Token));
  Out.set_attempt(Assignment.Attempt);
  Out.set_non_idempotent(!Assignment.Idempotent);
  Out.set_command(Assignment.Command);
  Out.set_started(Assignment.Started);
  for (const gang_task &Task : Assignment.Tasks)
    addTask(Task, *Out.add_tasks());
  for (const gang_member_info &Member : Assignment.Members) {
    proto::GangMember &To = *Out.add_members();
    To.set_worker(Member.Worker.str());
    To.set_peer_address(Member.PeerAddress);
    To.set_agent_incarnation(raw(Member.AgentIncarnation));
  }
  for (fencing_token Victim : Assignment.Victims)
    Out.add_victims(raw(Victim));
  return Out;
}

assign_gang fromProto(const proto::AssignGang &Message) {
  assign_gang Out;
  Out.Job = job_id(Message.job());
  Out.Token = fencing_token{Message.token()};
  Out.Attempt = Message.attempt();
  Out.Idempotent = !Message.non_idempotent();
  Out.Command = Message.command();
  Out.Started = Message.started();
  Out.Tasks = decodeTasks(Message.tasks());
  for (const proto::GangMember &Member : Message.members())
    Out.Members.push_back({worker_id(Member.worker()), Member.peer_address(),
                           incarnation{Member.agent_incarnation()}});
  Out.Victims = decodeTokens(Message.victims());
  return Out;
}

std::optional<gang_event> decodeGangRequest(const proto::PeerRequest &Request,
                                            reply_handle Reply) {
  switch (Request.body_case()) {
  case proto::PeerRequest::kAssignGang:
    return peer_request<assign_gang>{Reply, fromProto(Request.assign_gang())};
  case proto::PeerRequest::kStopGang:
    return peer_request<stop_gang>{Reply,
                                   {fencing_token{Request.stop_gang().token()},
                                    fromProto(Request.stop_gang().reason())}};
  case proto::PeerRequest::kPrepareTasks:
    return peer_request<prepare_tasks>{Reply, decode(Request.prepare_tasks())};
  case proto::PeerRequest::kStartTasks:
    return peer_request<start_tasks>{
        Reply,
        {fencing_token{Request.start_tasks().token()},
         decodeLease(Request.start_tasks().lease_ms())}};
  case proto::PeerRequest::kRenewTasks:
    return peer_request<renew_tasks>{
        Reply,
        {fencing_token{Request.renew_tasks().token()},
         decodeLease(Request.renew_tasks().lease_ms())}};
  case proto::PeerRequest::kStopTasks:
    return peer_request<stop_tasks>{Reply, decode(Request.stop_tasks())};
  default:
    return std::nullopt;
  }
}

void encodeGangReply(const member_report &Report,
                     proto::PeerResponse &Response) {
  Response.set_refusal(toProto(Report.Refusal));
  proto::MemberReport &Out = *Response.mutable_member();
  Out.set_state(static_cast<proto::MemberState>(Report.State));
  Out.set_detail(Report.Detail);
}

member_report decodeMemberReport(const proto::PeerResponse &Response) {
  member_report Report;
  Report.Refusal = decodeRefusal(Response.refusal());
  if (!Response.has_member()) {
    if (Report.Refusal == gang_refusal::None)
      Report.Refusal = gang_refusal::NotReady;
    return Report;
  }
  if (!proto::MemberState_IsValid(Response.member().state()))
    throw malformed_message_error("member.state: unknown value");
  Report.State = static_cast<member_state>(Response.member().state());
  Report.Detail = Response.member().detail();
  return Report;
}

void encodeMemberMessage(const member_message &Message,
                         proto::PeerRequest &Request) {
  std::visit(member_message_encoder{Request}, Message);
}

} // namespace geraniumpaddle
