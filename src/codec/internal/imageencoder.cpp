#include "codec/imagecodec.h"
#include "codec/protoconvert.h"

#include "snapshot.pb.h"

#include <span>
#include <unordered_map>

namespace geraniumpaddle {

namespace {

std::int64_t toMs(wall_time At) { return At.time_since_epoch().count(); }

/// Encodes one ledger image into a message.
class image_encoder {
public:
  explicit image_encoder(const ledger_image &Image) : Image(Image) {
    for (const worker_entry &Worker : Image.Workers)
      WorkerIndexes.emplace(Worker.Info.Id, WorkerIndexes.size());
  }

  proto::LedgerImage encode() {
    encodeCounters();
    encodeCustomers();
    encodeEntries();
    encodeWorkers();
    for (const job_entry &Job : Image.Jobs)
      encodeJob(Job, *Message.add_jobs());
    for (const producer_entry &Producer : Image.Producers)
      encodeProducer(Producer, *Message.add_producers());
    for (const audit_event &Event : Image.Audit)
      encodeEvent(Event, *Message.add_audit());
    encodeCapacity();
    return std::move(Message);
  }

private:
  std::uint32_t workerIndex(const worker_id &Worker) const {
    return WorkerIndexes.at(Worker);
  }

  void encodeCounters() {
    Message.set_folded(raw(Image.LastApplied));
    Message.set_version(raw(Image.Version));
    Message.set_version_offset(raw(Image.VersionOffset));
    Message.set_last_sheet(raw(Image.LastSheet));
    proto::RecordCounts *Counts = Message.mutable_counts();
    Counts->set_accepted(Image.Counts.Accepted);
    Counts->set_rejected(Image.Counts.Rejected);
    Counts->set_repeats(Image.Counts.Duplicate);
    Counts->set_malformed(Image.Counts.Malformed);
    Counts->set_last_malformed(raw(Image.Counts.LastMalformed));
  }

  static void encodeOrigin(const change_origin &Origin,
                           proto::ChangeOrigin &Out) {
    Out.set_offset(raw(Origin.Offset));
    Out.set_at_ms(toMs(Origin.At));
    Out.set_actor(Origin.Actor.str());
    Out.set_source(static_cast<proto::ChangeSource>(Origin.Source));
  }

  void encodeCustomers() {
    for (const customer_entry &Customer : Image.Customers) {
      proto::CustomerEntry *Out = Message.add_customers();
      *Out->mutable_config() = toProto(Customer.Config);
      encodeOrigin(Customer.LastChange, *Out->mutable_last_change());
    }
    for (const removed_customer &Removed : Image.RemovedByCommand) {
      proto::RemovedCustomer *Out = Message.add_removed_by_command();
      Out->set_id(Removed.Id.str());
      encodeOrigin(Removed.Removal, *Out->mutable_removal());
    }
  }

  void encodeEntries() {
    for (const entry_member &Entry : Image.Entries) {
      proto::EntryMember *Out = Message.add_entries();
      *Out->mutable_entry() =
          toProto(entry_announced{Entry.Node, Entry.Region, Entry.Zone,
                                  Entry.PeerAddress, Entry.HttpAddress});
      Out->set_incarnation(raw(Entry.Incarnation));
      Out->set_announced(raw(Entry.Announced));
      Out->set_at_ms(toMs(Entry.At));
    }
  }

  void encodeWorkers() {
    for (const worker_entry &Worker : Image.Workers) {
      proto::WorkerEntry *Out = Message.add_workers();
      *Out->mutable_registration() = toProto(
          worker_registered{Worker.Info, Worker.Agent, Worker.AgentIncarnation,
                            Worker.PeerAddress, Worker.Service, Worker.Slots});
      Out->set_state(toProto(Worker.State));
      Out->set_held(toProto(Worker.ImposedState));
      Out->set_cause(static_cast<proto::StateCause>(Worker.Cause));
      Out->set_registered(raw(Worker.Registered));
      Out->set_state_changed(raw(Worker.StateChanged));
      for (const blamed_failure &Failure : Worker.Failures) {
        proto::BlamedFailure *Added = Out->add_failures();
        Added->set_job(Failure.Job.str());
        Added->set_offset(raw(Failure.Offset));
        Added->set_at_ms(toMs(Failure.At));
      }
    }
  }

  void encodeAssignments(std::span<const task_assignment> Assignments,
                         proto::Assignments &Out) const {
    for (const task_assignment &Assignment : Assignments) {
      Out.add_task(Assignment.Task);
      Out.add_worker(workerIndex(Assignment.Worker));
      Out.add_accelerators(Assignment.Accelerators);
      Out.add_guaranteed(Assignment.Guaranteed);
    }
  }

  void encodeJob(const job_entry &Job, proto::JobEntry &Out) const {
    *Out.mutable_spec() = toProto(Job.Spec);
    Out.set_submitted(raw(Job.Submitted));
    Out.set_state(static_cast<std::uint32_t>(Job.State));
    Out.set_attempt(Job.Attempt);
    Out.set_token(raw(Job.Token));
    Out.set_ever_started(Job.EverStarted);
    Out.set_outcome(toProto(Job.Outcome));
    Out.set_ended(raw(Job.Ended));
    encodeAssignments(Job.Assignments, *Out.mutable_assignments());
    for (const job_step &Step : Job.Steps) {
      proto::JobStepTaken *Added = Out.add_steps();
      Added->set_step(static_cast<std::uint32_t>(Step.Step));
      Added->set_offset(raw(Step.Offset));
      Added->set_at_ms(toMs(Step.At));
      Added->set_detail(Step.Detail);
    }
  }

  static void encodeProducer(const producer_entry &Producer,
                             proto::ProducerEntry &Out) {
    Out.set_node(Producer.Node.str());
    Out.set_incarnation(raw(Producer.Incarnation));
    Out.set_floor(Producer.LowWatermark);
    Out.set_latest(raw(Producer.LastOffset));
    for (const sequence_verdict &Entry : Producer.Window) {
      Out.add_sequence(Entry.Sequence);
      Out.add_offset(raw(Entry.Offset));
      Out.add_reason(static_cast<std::uint32_t>(Entry.Verdict.Reason));
      Out.add_winner(raw(Entry.Verdict.Winner));
    }
  }

  static void encodeEvent(const audit_event &Event,
                          proto::StoredAuditEvent &Out) {
    Out.set_offset(raw(Event.Offset));
    Out.set_at_ms(toMs(Event.At));
    Out.set_actor(Event.Actor.str());
    Out.set_producer(Event.Producer.str());
    Out.set_kind(static_cast<std::uint32_t>(Event.Kind));
    Out.set_customer(Event.Customer.str());
    Out.set_job(Event.Job.str());
    Out.mutable_verdict()->set_reason(
        static_cast<std::uint32_t>(Event.Verdict.Reason));
    Out.mutable_verdict()->set_winner(raw(Event.Verdict.Winner));
    Out.set_detail(Event.Detail);
  }

  void encodeCapacity() {
    proto::CapacityImage &Out = *Message.mutable_capacity();
    for (const rack_image &Rack : Image.Capacity.Racks) {
      proto::CapacityRack *Added = Out.add_racks();
      Added->set_region(Rack.Region.str());
      Added->set_zone(Rack.Zone.str());
      Added->set_rack(Rack.Rack.str());
    }
    for (const worker_image &Worker : Image.Capacity.Workers) {
      proto::CapacityWorker *Added = Out.add_workers();
      Added->set_worker(workerIndex(Worker.Info.Id));
      Added->set_usable(Worker.Usable);
    }
    for (const customer_guarantees &Customer : Image.Capacity.Customers) {
      proto::CapacityCustomer *Added = Out.add_customers();
      Added->set_customer(Customer.Customer.str());
      for (const guarantee &Guarantee : Customer.Guarantees)
        *Added->add_guarantees() = toProto(Guarantee);
      Added->set_max_accelerators(Customer.MaxAccelerators);
    }
    for (const attempt_image &Attempt : Image.Capacity.Attempts) {
      proto::CapacityAttempt *Added = Out.add_attempts();
      Added->set_token(raw(Attempt.Token));
      Added->set_customer(Attempt.Customer.str());
      encodeAssignments(Attempt.Assignments, *Added->mutable_assignments());
      for (const resources &Need : Attempt.Needs)
        *Added->add_needs() = toProto(Need);
    }
    for (const bound_cell &Cell : Image.Capacity.Bound) {
      proto::BoundCell *Added = Out.add_bound();
      Added->set_customer(Cell.Customer.str());
      Added->set_level(static_cast<proto::CellLevel>(Cell.Level));
      Added->set_worker(workerIndex(Cell.Worker));
      Added->set_first_accelerator(Cell.FirstAccelerator);
    }
  }

  const ledger_image &Image;
  std::unordered_map<worker_id, std::uint32_t> WorkerIndexes;
  proto::LedgerImage Message;
};

} // namespace

std::string encodeImage(const ledger_image &Image) {
  return image_encoder(Image).encode().SerializeAsString();
}

} // namespace geraniumpaddle
