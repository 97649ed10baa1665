#include "codec/imagecodec.h"
#include "codec/internal/fieldcheck.h"
#include "codec/protoconvert.h"

#include "snapshot.pb.h"

#include <google/protobuf/stubs/logging.h>

namespace geraniumpaddle {

namespace {

wall_time toWallTime(std::int64_t Ms) {
  return wall_time(std::chrono::milliseconds(Ms));
}

verdict toVerdict(std::uint32_t Reason, std::uint64_t Winner) {
  return {checkEnum<rejection>(
              "reason", std::int64_t{Reason},
              static_cast<std::int64_t>(rejection::SnapshotNotUsable)),
          log_offset{Winner}};
}

template <typename Core>
Core checkEnumNumber(std::string_view Field, std::uint32_t Value, Core Last) {
  return checkEnum<Core>(Field, std::int64_t{Value},
                         static_cast<std::int64_t>(Last));
}

/// Decodes one message into a ledger image.
class image_decoder {
public:
  explicit image_decoder(const proto::LedgerImage &Message)
      : Message(Message) {}

  ledger_image decode() {
    decodeCounters();
    decodeEach("customers", Message.customers(), Image.Customers,
               &image_decoder::decodeCustomer);
    decodeEach("removed_by_command", Message.removed_by_command(),
               Image.RemovedByCommand, &image_decoder::decodeRemoved);
    decodeEach("entries", Message.entries(), Image.Entries,
               &image_decoder::decodeEntry);
    decodeEach("workers", Message.workers(), Image.Workers,
               &image_decoder::decodeWorker);
    decodeEach("jobs", Message.jobs(), Image.Jobs, &image_decoder::decodeJob);
    decodeEach("producers", Message.producers(), Image.Producers,
               &image_decoder::decodeProducer);
    decodeEach("audit", Message.audit(), Image.Audit,
               &image_decoder::decodeEvent);
    decodeField("capacity", [this] {
      decodeCapacity(Message.capacity());
      return true;
    });
    return std::move(Image);
  }

private:
  template <typename Messages, typename Value, typename Input>
  void decodeEach(std::string_view Field, const Messages &From,
                  std::vector<Value> &To,
                  Value (image_decoder::*Decode)(const Input &) const) {
    To.reserve(From.size());
    for (int Index = 0; Index < From.size(); ++Index)
      To.push_back(decodeElement(
          Field, Index, [&] { return (this->*Decode)(From.Get(Index)); }));
  }

  void decodeCounters() {
    Image.LastApplied = log_offset{Message.folded()};
    Image.Version = config_version{Message.version()};
    Image.VersionOffset = log_offset{Message.version_offset()};
    Image.LastSheet = log_offset{Message.last_sheet()};
    const proto::RecordCounts &Counts = Message.counts();
    Image.Counts = {Counts.accepted(), Counts.rejected(), Counts.repeats(),
                    Counts.malformed(), log_offset{Counts.last_malformed()}};
  }

  static change_origin decodeOrigin(const proto::ChangeOrigin &Origin) {
    return {log_offset{Origin.offset()}, toWallTime(Origin.at_ms()),
            actor_id(Origin.actor()),
            checkEnum<change_source>("source", Origin.source(),
                                     proto::CHANGE_SOURCE_SHEET)};
  }

  customer_entry decodeCustomer(const proto::CustomerEntry &Entry) const {
    return {decodeField("config", [&] { return fromProto(Entry.config()); }),
            decodeOrigin(Entry.last_change())};
  }

  removed_customer decodeRemoved(const proto::RemovedCustomer &Removed) const {
    return {customer_id(checkName("id", Removed.id())),
            decodeOrigin(Removed.removal())};
  }

  entry_member decodeEntry(const proto::EntryMember &Member) const {
    entry_announced Entry =
        decodeField("entry", [&] { return fromProto(Member.entry()); });
    return {Entry.Node,
            incarnation{Member.incarnation()},
            Entry.Region,
            Entry.Zone,
            Entry.PeerAddress,
            Entry.HttpAddress,
            log_offset{Member.announced()},
            toWallTime(Member.at_ms())};
  }

  worker_entry decodeWorker(const proto::WorkerEntry &Entry) const {
    worker_registered Registration = decodeField(
        "registration", [&] { return fromProto(Entry.registration()); });
    worker_entry Worker;
    Worker.Info = Registration.Worker;
    Worker.Agent = Registration.Agent;
    Worker.AgentIncarnation = Registration.AgentIncarnation;
    Worker.PeerAddress = Registration.PeerAddress;
    Worker.Service = Registration.Service;
    Worker.Slots = Registration.Slots;
    Worker.State = checkEnum<worker_state>("state", Entry.state(),
                                           proto::WORKER_STATE_LOST);
    Worker.ImposedState =
        checkEnum<worker_state>("held", Entry.held(), proto::WORKER_STATE_LOST);
    Worker.Cause = checkEnum<state_cause>("cause", Entry.cause(),
                                          proto::STATE_CAUSE_PROBE_SUCCEEDED);
    Worker.Registered = log_offset{Entry.registered()};
    Worker.StateChanged = log_offset{Entry.state_changed()};
    for (const proto::BlamedFailure &Failure : Entry.failures())
      Worker.Failures.push_back({job_id(Failure.job()),
                                 log_offset{Failure.offset()},
                                 toWallTime(Failure.at_ms())});
    return Worker;
  }

  const worker_info &workerAt(std::uint32_t Index) const {
    if (Index >= Image.Workers.size())
      rejectField("worker", "no such worker");
    return Image.Workers[Index].Info;
  }

  std::vector<task_assignment>
  decodeAssignments(const proto::Assignments &Lists) const {
    const int Size = Lists.task_size();
    if (Lists.worker_size() != Size || Lists.accelerators_size() != Size ||
        Lists.guaranteed_size() != Size)
      rejectField("assignments", "lists differ in length");
    std::vector<task_assignment> Assignments;
    Assignments.reserve(Size);
    for (int Index = 0; Index < Size; ++Index)
      Assignments.push_back(
          {Lists.task(Index), workerAt(Lists.worker(Index)).Id,
           Lists.accelerators(Index), Lists.guaranteed(Index)});
    return Assignments;
  }

  job_entry decodeJob(const proto::JobEntry &Entry) const {
    job_entry Job;
    Job.Spec = decodeField("spec", [&] { return fromProto(Entry.spec()); });
    Job.Submitted = log_offset{Entry.submitted()};
    Job.State = checkEnumNumber("state", Entry.state(), job_state::Ended);
    Job.Attempt = Entry.attempt();
    Job.Token = fencing_token{Entry.token()};
    Job.EverStarted = Entry.ever_started();
    Job.Outcome = fromProto(Entry.outcome());
    Job.Ended = log_offset{Entry.ended()};
    Job.Assignments = decodeAssignments(Entry.assignments());
    if (Entry.steps_size() == 0)
      rejectField("steps", "missing");
    for (const proto::JobStepTaken &Step : Entry.steps())
      Job.Steps.push_back(
          {checkEnumNumber("step", Step.step(), job_step_kind::Ended),
           log_offset{Step.offset()}, toWallTime(Step.at_ms()), Step.detail()});
    return Job;
  }

  producer_entry decodeProducer(const proto::ProducerEntry &Entry) const {
    producer_entry Producer{node_id(checkName("node", Entry.node())),
                            incarnation{Entry.incarnation()},
                            Entry.floor(),
                            log_offset{Entry.latest()},
                            {}};
    const int Size = Entry.sequence_size();
    if (Entry.offset_size() != Size || Entry.reason_size() != Size ||
        Entry.winner_size() != Size)
      rejectField("sequence", "lists differ in length");
    for (int Index = 0; Index < Size; ++Index)
      Producer.Window.push_back(
          {Entry.sequence(Index), log_offset{Entry.offset(Index)},
           toVerdict(Entry.reason(Index), Entry.winner(Index))});
    return Producer;
  }

  audit_event decodeEvent(const proto::StoredAuditEvent &Event) const {
    return {log_offset{Event.offset()},
            toWallTime(Event.at_ms()),
            actor_id(Event.actor()),
            node_id(Event.producer()),
            checkEnumNumber("kind", Event.kind(), record_kind::Malformed),
            customer_id(Event.customer()),
            job_id(Event.job()),
            toVerdict(Event.verdict().reason(), Event.verdict().winner()),
            Event.detail()};
  }

  attempt_image decodeAttempt(const proto::CapacityAttempt &Message) const {
    attempt_image Attempt{fencing_token{Message.token()},
                          customer_id(Message.customer()),
                          decodeAssignments(Message.assignments()),
                          {}};
    for (const proto::Resources &Need : Message.needs())
      Attempt.Needs.push_back(fromProto(Need));
    if (Attempt.Needs.size() != Attempt.Assignments.size())
      rejectField("needs", "lists differ in length");
    return Attempt;
  }

  customer_guarantees
  decodeGuarantees(const proto::CapacityCustomer &Message) const {
    customer_guarantees Customer{
        customer_id(Message.customer()), {}, Message.max_accelerators()};
    for (const proto::Guarantee &Guarantee : Message.guarantees())
      Customer.Guarantees.push_back(fromProto(Guarantee));
    return Customer;
  }

  bound_cell decodeCell(const proto::BoundCell &Message) const {
    return {
        customer_id(Message.customer()),
        checkEnum<cell_level>("level", Message.level(), proto::CELL_LEVEL_RACK),
        workerAt(Message.worker()).Id, Message.first_accelerator()};
  }

  rack_image decodeRack(const proto::CapacityRack &Message) const {
    return {region_id(Message.region()), availability_zone_id(Message.zone()),
            rack_id(Message.rack())};
  }

  worker_image
  decodeCapacityWorker(const proto::CapacityWorker &Message) const {
    return {workerAt(Message.worker()), Message.usable()};
  }

  void decodeCapacity(const proto::CapacityImage &Capacity) {
    decodeEach("racks", Capacity.racks(), Image.Capacity.Racks,
               &image_decoder::decodeRack);
    decodeEach("workers", Capacity.workers(), Image.Capacity.Workers,
               &image_decoder::decodeCapacityWorker);
    decodeEach("customers", Capacity.customers(), Image.Capacity.Customers,
               &image_decoder::decodeGuarantees);
    decodeEach("attempts", Capacity.attempts(), Image.Capacity.Attempts,
               &image_decoder::decodeAttempt);
    decodeEach("bound", Capacity.bound(), Image.Capacity.Bound,
               &image_decoder::decodeCell);
  }

  const proto::LedgerImage &Message;
  ledger_image Image;
};

} // namespace

ledger_image decodeImage(std::string_view Payload) {
  const google::protobuf::LogSilencer Silence;
  proto::LedgerImage Message;
  if (!Message.ParseFromArray(Payload.data(), static_cast<int>(Payload.size())))
    rejectField("ledger_image", "not a protobuf message");
  return image_decoder(Message).decode();
}

} // namespace geraniumpaddle
