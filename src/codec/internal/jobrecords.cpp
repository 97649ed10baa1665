#include "codec/internal/fieldcheck.h"
#include "codec/protoconvert.h"

namespace geraniumpaddle {

namespace {

/// Limit of the assignments and of the victims in one placement.
constexpr int MaxPlacementElements = 1024;

} // namespace

proto::WorkerStateChanged toProto(const worker_state_changed &Change) {
  proto::WorkerStateChanged Message;
  Message.set_worker(Change.Worker.str());
  Message.set_agent_incarnation(raw(Change.AgentIncarnation));
  Message.set_state(toProto(Change.State));
  Message.set_cause(static_cast<proto::StateCause>(Change.Cause));
  return Message;
}

worker_state_changed fromProto(const proto::WorkerStateChanged &Message) {
  return {worker_id(checkName("worker", Message.worker())),
          incarnation{Message.agent_incarnation()},
          checkEnum<worker_state>("state", Message.state(),
                                  proto::WORKER_STATE_LOST),
          checkEnum<state_cause>("cause", Message.cause(),
                                 proto::STATE_CAUSE_PROBE_SUCCEEDED)};
}

job_submitted fromProto(const proto::JobSubmitted &Message) {
  return {decodeField("spec", [&] { return fromProto(Message.spec()); })};
}

proto::JobPlaced toProto(const job_placed &Placement) {
  proto::JobPlaced Message;
  Message.set_job(Placement.Job.str());
  Message.set_attempt(Placement.Attempt);
  for (const task_assignment &Assignment : Placement.Assignments)
    *Message.add_assignments() = toProto(Assignment);
  for (fencing_token Victim : Placement.Victims)
    Message.add_victims(raw(Victim));
  return Message;
}

job_placed fromProto(const proto::JobPlaced &Message) {
  job_placed Placement;
  Placement.Job = job_id(checkName("job", Message.job()));
  Placement.Attempt = Message.attempt();
  if (Message.assignments_size() > MaxPlacementElements)
    rejectField("assignments", "too many elements");
  if (Message.victims_size() > MaxPlacementElements)
    rejectField("victims", "too many elements");
  for (int Index = 0; Index < Message.assignments_size(); ++Index)
    Placement.Assignments.push_back(decodeElement("assignments", Index, [&] {
      return fromProto(Message.assignments(Index));
    }));
  for (std::uint64_t Victim : Message.victims())
    Placement.Victims.emplace_back(fencing_token{Victim});
  return Placement;
}

job_cancelled fromProto(const proto::JobCancelled &Message) {
  return {job_id(checkName("job", Message.job()))};
}

} // namespace geraniumpaddle
