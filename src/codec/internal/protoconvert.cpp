#include "codec/protoconvert.h"
#include "codec/internal/fieldcheck.h"

namespace geraniumpaddle {

namespace {

/// Limit of the elements of one repeated field.
constexpr int MaxElements = 4096;

/// Limit of a declared run time, in seconds: ten years.
constexpr std::int64_t MaxRunTimeSeconds = 315'360'000;

void checkElementCount(std::string_view Field, int Size) {
  if (Size > MaxElements)
    rejectField(Field, "too many elements");
}

} // namespace

proto::Resources toProto(const resources &Amount) {
  proto::Resources Message;
  Message.set_accelerators(Amount.Accelerators);
  Message.set_milli_cores(Amount.MilliCores);
  Message.set_memory_mb(Amount.MemoryMb);
  return Message;
}

resources fromProto(const proto::Resources &Message) {
  return {checkCount("accelerators", Message.accelerators()),
          checkCount("milli_cores", Message.milli_cores()),
          checkCount("memory_mb", Message.memory_mb())};
}

proto::Guarantee toProto(const guarantee &Guarantee) {
  proto::Guarantee Message;
  Message.set_level(static_cast<proto::CellLevel>(Guarantee.Level));
  Message.set_count(Guarantee.Count);
  return Message;
}

proto::CustomerConfig toProto(const customer_config &Config) {
  proto::CustomerConfig Message;
  Message.set_id(Config.Id.str());
  Message.set_display_name(Config.DisplayName);
  for (const guarantee &Guarantee : Config.Guarantees)
    *Message.add_guarantees() = toProto(Guarantee);
  proto::RequestLimits *Limits = Message.mutable_limits();
  Limits->set_rate_per_second(Config.Limits.RatePerSecond);
  Limits->set_burst(Config.Limits.Burst);
  Limits->set_in_flight(Config.Limits.InFlight);
  Message.set_max_accelerators(Config.MaxAccelerators);
  Message.set_token_hash(Config.TokenHash);
  return Message;
}

guarantee fromProto(const proto::Guarantee &Message) {
  return {
      checkEnum<cell_level>("level", Message.level(), proto::CELL_LEVEL_RACK),
      checkCount("count", Message.count())};
}

request_limits fromProto(const proto::RequestLimits &Message) {
  return {checkRate("rate_per_second", Message.rate_per_second()),
          checkCount("burst", Message.burst()),
          checkCount("in_flight", Message.in_flight())};
}

customer_config fromProto(const proto::CustomerConfig &Message) {
  customer_config Config;
  Config.Id = customer_id(checkName("id", Message.id()));
  Config.DisplayName = checkText("display_name", Message.display_name());
  checkElementCount("guarantees", Message.guarantees_size());
  for (int Index = 0; Index < Message.guarantees_size(); ++Index)
    Config.Guarantees.push_back(decodeElement("guarantees", Index, [&] {
      return fromProto(Message.guarantees(Index));
    }));
  Config.Limits =
      decodeField("limits", [&] { return fromProto(Message.limits()); });
  Config.MaxAccelerators =
      checkCount("max_accelerators", Message.max_accelerators());
  Config.TokenHash = checkText("token_hash", Message.token_hash());
  return Config;
}

proto::EntryAnnounced toProto(const entry_announced &Entry) {
  proto::EntryAnnounced Message;
  Message.set_node(Entry.Node.str());
  Message.set_region(Entry.Region.str());
  Message.set_zone(Entry.Zone.str());
  Message.set_peer_address(Entry.PeerAddress);
  Message.set_http_address(Entry.HttpAddress);
  return Message;
}

entry_announced fromProto(const proto::EntryAnnounced &Message) {
  return {node_id(checkName("node", Message.node())),
          region_id(checkName("region", Message.region())),
          availability_zone_id(checkName("zone", Message.zone())),
          checkName("peer_address", Message.peer_address()),
          checkName("http_address", Message.http_address(), true)};
}

proto::WorkerInfo toProto(const worker_info &Worker) {
  proto::WorkerInfo Message;
  Message.set_id(Worker.Id.str());
  Message.set_region(Worker.Region.str());
  Message.set_zone(Worker.Zone.str());
  Message.set_rack(Worker.Rack.str());
  *Message.mutable_capacity() = toProto(Worker.Capacity);
  return Message;
}

worker_info fromProto(const proto::WorkerInfo &Message) {
  return {
      worker_id(checkName("id", Message.id())),
      region_id(checkName("region", Message.region())),
      availability_zone_id(checkName("zone", Message.zone())),
      rack_id(checkName("rack", Message.rack())),
      decodeField("capacity", [&] { return fromProto(Message.capacity()); })};
}

proto::WorkerRegistered toProto(const worker_registered &Registration) {
  proto::WorkerRegistered Message;
  *Message.mutable_worker() = toProto(Registration.Worker);
  Message.set_agent(Registration.Agent.str());
  Message.set_agent_incarnation(raw(Registration.AgentIncarnation));
  Message.set_peer_address(Registration.PeerAddress);
  Message.set_service(Registration.Service.str());
  Message.set_slots(Registration.Slots);
  return Message;
}

worker_registered fromProto(const proto::WorkerRegistered &Message) {
  return {decodeField("worker", [&] { return fromProto(Message.worker()); }),
          node_id(checkName("agent", Message.agent())),
          incarnation{Message.agent_incarnation()},
          checkName("peer_address", Message.peer_address()),
          service_id(checkName("service", Message.service(), true)),
          checkCount("slots", Message.slots())};
}

proto::JobSpec toProto(const job_spec &Spec) {
  proto::JobSpec Message;
  Message.set_id(Spec.Id.str());
  Message.set_customer(Spec.Customer.str());
  for (const task_spec &Task : Spec.Tasks)
    *Message.add_tasks() = toProto(Task.Need);
  Message.set_adjacency(toProto(Spec.Adjacency));
  Message.set_urgent(Spec.Urgent);
  Message.set_non_idempotent(!Spec.Idempotent);
  Message.set_declared_run_time_s(Spec.DeclaredRunTime.count());
  Message.set_command(Spec.Command);
  return Message;
}

job_spec fromProto(const proto::JobSpec &Message) {
  job_spec Spec;
  Spec.Id = job_id(checkName("id", Message.id()));
  Spec.Customer = customer_id(checkName("customer", Message.customer()));
  checkElementCount("tasks", Message.tasks_size());
  Spec.Tasks.reserve(Message.tasks_size());
  for (int Index = 0; Index < Message.tasks_size(); ++Index)
    Spec.Tasks.push_back(decodeElement("tasks", Index, [&] {
      return task_spec{fromProto(Message.tasks(Index))};
    }));
  Spec.Adjacency = checkEnum<adjacency>("adjacency", Message.adjacency(),
                                        proto::ADJACENCY_WORKER);
  Spec.Urgent = Message.urgent();
  Spec.Idempotent = !Message.non_idempotent();
  const std::int64_t RunTime =
      checkCount("declared_run_time_s", Message.declared_run_time_s());
  if (RunTime > MaxRunTimeSeconds)
    rejectField("declared_run_time_s", "too large");
  Spec.DeclaredRunTime = std::chrono::seconds(RunTime);
  Spec.Command = checkText("command", Message.command());
  return Spec;
}

proto::TaskAssignment toProto(const task_assignment &Assignment) {
  proto::TaskAssignment Message;
  Message.set_task(Assignment.Task);
  Message.set_worker(Assignment.Worker.str());
  Message.set_accelerators(Assignment.Accelerators);
  Message.set_guaranteed(Assignment.Guaranteed);
  return Message;
}

task_assignment fromProto(const proto::TaskAssignment &Message) {
  return {Message.task(), worker_id(checkName("worker", Message.worker())),
          Message.accelerators(), Message.guaranteed()};
}

proto::SnapshotChunk toProto(const snapshot_chunk &Chunk) {
  proto::SnapshotChunk Message;
  Message.set_covered(raw(Chunk.Covered));
  Message.set_index(Chunk.Index);
  Message.set_count(Chunk.Count);
  Message.set_checksum(Chunk.Checksum);
  Message.set_payload(Chunk.Payload);
  return Message;
}

snapshot_chunk fromProto(const proto::SnapshotChunk &Message) {
  return {log_offset{Message.covered()}, Message.index(), Message.count(),
          Message.checksum(), Message.payload()};
}

proto::JobStarted toProto(const job_started &Start) {
  proto::JobStarted Message;
  Message.set_job(Start.Job.str());
  Message.set_token(raw(Start.Token));
  return Message;
}

job_started fromProto(const proto::JobStarted &Message) {
  return {job_id(checkName("job", Message.job())),
          fencing_token{Message.token()}};
}

proto::JobEnded toProto(const job_ended &End) {
  proto::JobEnded Message;
  Message.set_job(End.Job.str());
  Message.set_token(raw(End.Token));
  Message.set_outcome(toProto(End.Outcome));
  Message.set_blamed_worker(End.BlamedWorker.str());
  Message.set_detail(End.Detail);
  return Message;
}

job_ended fromProto(const proto::JobEnded &Message) {
  return {job_id(checkName("job", Message.job())),
          fencing_token{Message.token()}, fromProto(Message.outcome()),
          worker_id(checkName("blamed_worker", Message.blamed_worker(), true)),
          checkText("detail", Message.detail())};
}

proto::JobOutcome toProto(job_outcome Outcome) {
  return static_cast<proto::JobOutcome>(Outcome);
}

job_outcome fromProto(proto::JobOutcome Outcome) {
  return checkEnum<job_outcome>("outcome", Outcome,
                                proto::JOB_OUTCOME_NEVER_FITS);
}

proto::Adjacency toProto(adjacency Adjacency) {
  return static_cast<proto::Adjacency>(Adjacency);
}

proto::WorkerState toProto(worker_state State) {
  return static_cast<proto::WorkerState>(State);
}

proto::CustomersChanged toProto(const customers_changed &Change) {
  proto::CustomersChanged Message;
  Message.set_base(raw(Change.Base));
  for (const customer_config &Config : Change.Put)
    *Message.add_put() = toProto(Config);
  for (const customer_id &Id : Change.Removed)
    Message.add_removed(Id.str());
  Message.set_source(static_cast<proto::ChangeSource>(Change.Source));
  Message.set_source_detail(Change.SourceDetail);
  return Message;
}

customers_changed fromProto(const proto::CustomersChanged &Message) {
  customers_changed Change;
  Change.Base = config_version{Message.base()};
  checkElementCount("put", Message.put_size());
  checkElementCount("removed", Message.removed_size());
  for (int Index = 0; Index < Message.put_size(); ++Index)
    Change.Put.push_back(decodeElement(
        "put", Index, [&] { return fromProto(Message.put(Index)); }));
  for (const std::string &Id : Message.removed())
    Change.Removed.emplace_back(checkName("removed", Id));
  Change.Source = checkEnum<change_source>("source", Message.source(),
                                           proto::CHANGE_SOURCE_SHEET);
  Change.SourceDetail = checkText("source_detail", Message.source_detail());
  return Change;
}

} // namespace geraniumpaddle
