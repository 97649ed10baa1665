#include "entry/apimessages.h"

#include "codec/protoconvert.h"
#include "entry/httputil.h"

#include <array>

namespace geraniumpaddle {

namespace {

void fill(const change_origin &Origin, proto::ChangeOrigin &Out) {
  Out.set_offset(raw(Origin.Offset));
  Out.set_at_ms(Origin.At.time_since_epoch().count());
  Out.set_actor(Origin.Actor.str());
  Out.set_source(Origin.Source == change_source::Sheet
                     ? proto::CHANGE_SOURCE_SHEET
                     : proto::CHANGE_SOURCE_COMMAND);
}

error_kind kindOf(rejection Reason) {
  switch (Reason) {
  case rejection::VersionConflict:
  case rejection::JobExists:
  case rejection::JobNotWaiting:
  case rejection::StaleToken:
  case rejection::StaleIncarnation:
  case rejection::Duplicate:
    return error_kind::Conflict;
  case rejection::UnknownCustomer:
  case rejection::UnknownJob:
  case rejection::UnknownWorker:
    return error_kind::NotFound;
  case rejection::GuaranteesDoNotPack:
  case rejection::GuaranteeViolated:
  case rejection::CapacityTaken:
    return error_kind::Infeasible;
  case rejection::LimitExceeded:
    return error_kind::ResourceExhausted;
  default:
    return error_kind::InvalidArgument;
  }
}

struct state_verb {
  std::string_view Verb;
  worker_state State;
};

constexpr auto StateVerbs =
    std::to_array<state_verb>({{"drain", worker_state::Draining},
                               {"quarantine", worker_state::Quarantined},
                               {"activate", worker_state::Active}});

constexpr auto AdjacencyTexts = std::to_array<std::string_view>(
    {"the cluster", "one region", "one availability zone", "one rack",
     "one worker"});

std::string capacityText(const job_explanation &Explanation) {
  return "not enough free capacity within " +
         std::string(
             AdjacencyTexts[static_cast<std::size_t>(Explanation.Within)]);
}

} // namespace

proto::CustomerList customerList(const ledger &State) {
  proto::CustomerList Out;
  Out.set_version(raw(State.version()));
  Out.set_version_offset(raw(State.versionOffset()));
  Out.set_last_sheet(raw(State.lastSheet()));
  for (const customer_entry &Customer : State.customers()) {
    *Out.add_customers() = toProto(Customer.Config);
    fill(Customer.LastChange, *Out.add_last_changes());
  }
  for (const removed_customer &Removed : State.removedByCommand()) {
    proto::RemovedCustomer &To = *Out.add_removed();
    To.set_id(Removed.Id.str());
    fill(Removed.Removal, *To.mutable_removal());
  }
  return Out;
}

customers_changed customersChange(const proto::ChangeCustomers &Body) {
  proto::CustomersChanged Change;
  Change.set_base(Body.base());
  *Change.mutable_put() = Body.put();
  *Change.mutable_removed() = Body.removed();
  Change.set_source(Body.source());
  Change.set_source_detail(Body.source_detail());
  return fromProto(Change);
}

proto::JobStatus jobStatus(const job_entry &Job) {
  proto::JobStatus Out;
  *Out.mutable_spec() = toProto(Job.Spec);
  Out.set_state(std::string(Job.State == job_state::Ended ? name(Job.Outcome)
                                                          : name(Job.State)));
  Out.set_attempt(Job.Attempt);
  Out.set_token(raw(Job.Token));
  for (const task_assignment &Task : Job.Assignments)
    *Out.add_assignments() = toProto(Task);
  for (const job_step &Step : Job.Steps) {
    proto::JobStep &To = *Out.add_steps();
    To.set_step(std::string(name(Step.Step)));
    To.set_offset(raw(Step.Offset));
    To.set_at_ms(Step.At.time_since_epoch().count());
    To.set_detail(Step.Detail);
  }
  return Out;
}

proto::WorkerStatus workerStatus(const worker_entry &Worker) {
  proto::WorkerStatus Out;
  *Out.mutable_worker() = toProto(Worker.Info);
  Out.set_state(std::string(name(Worker.State)));
  Out.set_agent(Worker.Agent.str());
  Out.set_agent_incarnation(raw(Worker.AgentIncarnation));
  Out.set_service(Worker.Service.str());
  Out.set_slots(static_cast<std::uint32_t>(Worker.Slots));
  return Out;
}

proto::AuditEvent auditEvent(const audit_event &Event) {
  proto::AuditEvent Out;
  Out.set_offset(raw(Event.Offset));
  Out.set_at_ms(Event.At.time_since_epoch().count());
  Out.set_actor(Event.Actor.str());
  Out.set_producer(Event.Producer.str());
  Out.set_kind(std::string(name(Event.Kind)));
  Out.set_customer(Event.Customer.str());
  Out.set_job(Event.Job.str());
  Out.set_verdict(Event.Verdict.accepted()
                      ? "accepted"
                      : std::string(name(Event.Verdict.Reason)));
  Out.set_winner(raw(Event.Verdict.Winner));
  Out.set_detail(Event.Detail);
  return Out;
}

std::optional<worker_state> requestedState(std::string_view Verb) {
  for (const state_verb &Each : StateVerbs)
    if (Each.Verb == Verb)
      return Each.State;
  return std::nullopt;
}

std::string_view levelName(cell_level Level) {
  static constexpr auto Names = std::to_array<std::string_view>(
      {"one", "two", "four", "eight", "worker", "rack"});
  return Names[static_cast<std::size_t>(Level)];
}

std::string explanationText(const job_explanation &Explanation) {
  switch (Explanation.Reason) {
  case wait_reason::Proposed:
    return "a placement is proposed";
  case wait_reason::NoFreeCapacity:
    return capacityText(Explanation);
  case wait_reason::OwnLimit:
    return "the customer holds as many accelerators as its own limit allows";
  case wait_reason::GuaranteeInUse:
    return "the customer's guarantee is in use, and " +
           capacityText(Explanation) + " can be borrowed";
  case wait_reason::ReservedForStarved:
    return "free capacity is reserved for a large job that has waited longer";
  case wait_reason::GuaranteeShortfall:
    return "workers are missing for the guarantees, so nothing is lent";
  case wait_reason::NeverFits:
    return "no set of registered workers can hold it: " +
           std::string(name(Explanation.Unmet));
  }
  return "";
}

std::string stepExplanation(const job_entry &Job) {
  if (Job.Steps.empty())
    return "";
  const job_step &Last = Job.Steps.back();
  std::string Text(name(Last.Step));
  if (!Last.Detail.empty())
    Text.append(": ").append(Last.Detail);
  return Text;
}

http_response rejectionResponse(const verdict &Verdict) {
  std::string Message = "rejected: " + std::string(name(Verdict.Reason));
  if (Verdict.Winner != log_offset{})
    Message +=
        "; see the record at offset " + std::to_string(raw(Verdict.Winner));
  return errorResponse(kindOf(Verdict.Reason), name(Verdict.Reason), Message,
                       raw(Verdict.Winner));
}

} // namespace geraniumpaddle
