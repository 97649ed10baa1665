#include "workcodec/internal/convert.h"
#include "workcodec/workcodec.h"

namespace geraniumpaddle::work {

namespace {

void toProto(const run_ref &Run, proto::work::RunRef &Message) {
  Message.set_job(Run.Task.Job.str());
  Message.set_occurrence(Run.Task.Position.Occurrence);
  Message.set_step(Run.Task.Position.Step);
  Message.set_index(Run.Task.Position.Index);
  Message.set_run(Run.Run);
}

run_ref fromProto(const proto::work::RunRef &Message) {
  return {{job_id(Message.job()),
           {Message.occurrence(), Message.step(), Message.index()}},
          Message.run()};
}

void toProto(const worker_description &Worker,
             proto::work::WorkerDescription &Message) {
  work::toProto(Worker.Instance, *Message.mutable_life());
  Message.set_service(Worker.Service.str());
  Message.set_zone(Worker.Zone.str());
  work::toProto(Worker.Capacity, *Message.mutable_capacity());
  Message.set_kind(Worker.Kind);
  Message.set_rack(Worker.Rack);
  Message.set_draining(Worker.Draining);
  Message.set_drain_remaining_ms(millisecondsOf(Worker.DrainRemaining));
  Message.set_sequence(Worker.Sequence);
}

worker_description fromProto(const proto::work::WorkerDescription &Message) {
  return {.Instance = work::fromProto(Message.life()),
          .Service = service_id(Message.service()),
          .Zone = availability_zone_id(Message.zone()),
          .Capacity = work::fromProto(Message.capacity()),
          .Kind = Message.kind(),
          .Rack = Message.rack(),
          .Draining = Message.draining(),
          .DrainRemaining = fromMilliseconds(Message.drain_remaining_ms()),
          .Sequence = Message.sequence()};
}

void toProto(const worker_listing &Listing,
             proto::work::WorkerListing &Message) {
  Message.set_born(Listing.StartTimeMs);
  Message.set_clock_ms(Listing.ClockMs);
  for (const running_run &Row : Listing.Running) {
    proto::work::RunningRun &Run = *Message.add_running();
    toProto(Row.Run, *Run.mutable_run());
    Run.set_checkpoint(Row.Checkpoint);
    Run.set_percent(Row.Percent);
  }
  for (const finished_run &Row : Listing.Finished) {
    proto::work::FinishedRun &Run = *Message.add_finished();
    Run.set_number(Row.Number);
    toProto(Row.Run, *Run.mutable_run());
    Run.set_how(static_cast<std::uint32_t>(Row.EndReason));
    Run.set_checkpoint(Row.Checkpoint);
  }
  Message.set_ends_incomplete(!Listing.EndsComplete);
}

worker_listing fromProto(const proto::work::WorkerListing &Message) {
  worker_listing Listing{.StartTimeMs = Message.born(),
                         .ClockMs = Message.clock_ms(),
                         .EndsComplete = !Message.ends_incomplete()};
  for (const proto::work::RunningRun &Row : Message.running())
    Listing.Running.push_back(
        {fromProto(Row.run()), Row.checkpoint(), Row.percent()});
  for (const proto::work::FinishedRun &Row : Message.finished())
    Listing.Finished.push_back(
        {Row.number(), fromProto(Row.run()),
         checkedEnum(Row.how(), run_end_reason::GangIncomplete, "end of a run"),
         Row.checkpoint()});
  return Listing;
}

} // namespace

proto::work::WorkerReport encodeReport(const worker_report &Report) {
  proto::work::WorkerReport Message;
  toProto(Report.Description, *Message.mutable_description());
  if (Report.Listing)
    toProto(*Report.Listing, *Message.mutable_listing());
  for (const refused_start &Each : Report.Refused) {
    proto::work::RefusedStart &Refused = *Message.add_refused();
    toProto(Each.Run, *Refused.mutable_run());
    Refused.set_reason(static_cast<std::uint32_t>(Each.Reason));
  }
  for (const run_ref &Run : Report.Unlisted)
    toProto(Run, *Message.add_unlisted());
  Message.set_applied_term(Report.Applied.Term);
  Message.set_applied_number(Report.Applied.Number);
  Message.set_reachable(Report.Reachable);
  Message.set_left(Report.Left);
  return Message;
}

worker_report decodeReport(const proto::work::WorkerReport &Message) {
  const proto::work::WorkerLife &Life = Message.description().life();
  if (Life.worker().empty() || Life.born() == 0)
    throw malformed_message_error("the report names no instance of a worker");
  worker_report Report{
      .Description = fromProto(Message.description()),
      .Applied = {Message.applied_term(), Message.applied_number()},
      .Reachable = Message.reachable(),
      .Left = Message.left()};
  if (Message.has_listing())
    Report.Listing = fromProto(Message.listing());
  for (const proto::work::RefusedStart &Each : Message.refused())
    Report.Refused.push_back(
        {fromProto(Each.run()),
         checkedEnum(Each.reason(), start_refusal::Draining, "refusal")});
  for (const proto::work::RunRef &Run : Message.unlisted())
    Report.Unlisted.push_back(fromProto(Run));
  return Report;
}

void encodeOrders(const worker_orders &Orders,
                  proto::work::WorkerOrders &Message) {
  Message.set_term(Orders.Version.Term);
  Message.set_number(Orders.Version.Number);
  toProto(Orders.Instance, *Message.mutable_life());
  for (const desired_run &Each : Orders.Runs) {
    proto::work::DesiredRun &Run = *Message.add_runs();
    toProto(Each.Run, *Run.mutable_run());
    Run.set_has_body(Each.HasBody);
    Run.set_payload(Each.Payload);
    Run.set_checkpoint(Each.Checkpoint);
  }
  Message.set_acknowledged_ends(Orders.AcknowledgedEnds);
}

worker_orders decodeOrders(const proto::work::WorkerOrders &Message) {
  worker_orders Orders{.Version = {Message.term(), Message.number()},
                       .Instance = fromProto(Message.life()),
                       .AcknowledgedEnds = Message.acknowledged_ends()};
  for (const proto::work::DesiredRun &Each : Message.runs())
    Orders.Runs.push_back({.Run = fromProto(Each.run()),
                           .HasBody = Each.has_body(),
                           .Payload = Each.payload(),
                           .Checkpoint = Each.checkpoint()});
  return Orders;
}

} // namespace geraniumpaddle::work
