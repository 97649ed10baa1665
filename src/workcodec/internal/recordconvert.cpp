#include "workcodec/internal/convert.h"
#include "workcodec/workcodec.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle::work {

duration boundedMilliseconds(std::uint64_t Count) {
  return std::chrono::milliseconds(
      std::min(Count, static_cast<std::uint64_t>(MaxDuration.count())));
}

proto::work::QueueForecast encodeForecast(const queue_forecast &Forecast) {
  proto::work::QueueForecast Message;
  for (const auto &[Priority, Wait] : Forecast) {
    proto::work::QueueForecast::Wait &Each = *Message.add_waits();
    Each.set_priority(Priority);
    Each.set_wait_ms(millisecondsOf(Wait));
  }
  return Message;
}

queue_forecast decodeForecast(const proto::work::QueueForecast &Message) {
  queue_forecast Forecast;
  for (const proto::work::QueueForecast::Wait &Each : Message.waits())
    Forecast[Each.priority()] = boundedMilliseconds(Each.wait_ms());
  return Forecast;
}

proto::work::EntryPresent encodeEntry(const entry_record &Entry) {
  proto::work::EntryPresent Message;
  Message.set_node(Entry.Node.str());
  Message.set_region(Entry.Region.str());
  Message.set_peer_address(Entry.PeerAddress);
  Message.set_started_ms(Entry.StartedMs);
  Message.set_term(Entry.Term);
  Message.set_cpu_millicores(Entry.CpuMilliCores);
  return Message;
}

entry_record decodeEntry(const proto::work::EntryPresent &Message) {
  return {.Node = node_id(Message.node()),
          .Region = region_id(Message.region()),
          .PeerAddress = Message.peer_address(),
          .StartedMs = Message.started_ms(),
          .Term = Message.term(),
          .CpuMilliCores = Message.cpu_millicores()};
}

namespace {

/// Terms stay below it, so that the store and all readers know them exactly.
constexpr std::uint64_t MaxTerm = std::uint64_t{1} << 53;

/// \throws malformed_message_error if a candidate could have no higher term.
void checkTerm(std::uint64_t Term) {
  if (Term > MaxTerm)
    throw malformed_message_error("term out of range");
}

class record_encoder {
public:
  explicit record_encoder(proto::work::WorkRecord &Message)
      : Message(Message) {}

  void encode(const work_record &Record) const {
    using table =
        member_table<&record_encoder::onSubmitted, &record_encoder::onCancelled,
                     &record_encoder::onProgressed, &record_encoder::onEntry,
                     &record_encoder::onTerm>;
    table::dispatch(*this, Record);
  }

private:
  void onSubmitted(const job_submitted &Record) const {
    toProto(Record.Spec, *Message.mutable_submitted());
  }
  void onCancelled(const job_cancelled &Record) const {
    Message.mutable_cancelled()->set_job(Record.Job.str());
    Message.mutable_cancelled()->set_requested_ms(
        millisecondsOf(Record.RequestedAt));
  }
  void onProgressed(const job_progressed &Record) const {
    proto::work::JobProgressed &Progressed = *Message.mutable_progressed();
    Progressed.set_job(Record.Job.str());
    Progressed.set_state(static_cast<std::uint32_t>(Record.Progress.State));
    Progressed.set_ended_ms(millisecondsOf(Record.Progress.EndedAt));
    for (const task_progress &Each : Record.Progress.Tasks) {
      proto::work::TaskProgress &Task = *Progressed.add_tasks();
      Task.set_state(static_cast<std::uint32_t>(Each.State));
      Task.set_run(Each.Run);
      Task.set_failures(Each.Failures);
      if (Each.State == task_state::Running)
        toProto(Each.LastWorker, *Task.mutable_place());
      Task.set_checkpoint(Each.Checkpoint);
    }
  }
  void onEntry(const entry_record &Record) const {
    *Message.mutable_entry() = encodeEntry(Record);
  }
  void onTerm(const term_leader &Record) const {
    Message.mutable_term()->set_term(Record.Term);
    *Message.mutable_term()->mutable_entry() = encodeEntry(Record.Entry);
  }

  proto::work::WorkRecord &Message;
};

job_progressed decodeProgress(const proto::work::JobProgressed &Message) {
  job_progressed Record{.Job = job_id(Message.job())};
  Record.Progress.State =
      checkedEnum(Message.state(), job_state::Cancelled, "job state");
  Record.Progress.EndedAt = wallTime(Message.ended_ms());
  for (const proto::work::TaskProgress &Each : Message.tasks())
    Record.Progress.Tasks.push_back(
        {.State = checkedEnum(Each.state(), task_state::Failed, "task state"),
         .Run = Each.run(),
         .Failures = Each.failures(),
         .LastWorker = fromProto(Each.place()),
         .Checkpoint = Each.checkpoint()});
  return Record;
}

} // namespace

std::string encodeRecord(const work_record &Record) {
  proto::work::WorkRecord Message;
  record_encoder(Message).encode(Record);
  return Message.SerializeAsString();
}

work_record decodeRecord(std::string_view Bytes) {
  proto::work::WorkRecord Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    throw malformed_message_error(
        "log record is not a valid WorkRecord message");
  switch (Message.record_case()) {
  case proto::work::WorkRecord::kSubmitted:
    return job_submitted{fromProto(Message.submitted())};
  case proto::work::WorkRecord::kCancelled:
    return job_cancelled{job_id(Message.cancelled().job()),
                         wallTime(Message.cancelled().requested_ms())};
  case proto::work::WorkRecord::kProgressed:
    return decodeProgress(Message.progressed());
  case proto::work::WorkRecord::kEntry:
    checkTerm(Message.entry().term());
    return decodeEntry(Message.entry());
  case proto::work::WorkRecord::kTerm:
    checkTerm(Message.term().term());
    return term_leader{Message.term().term(),
                       decodeEntry(Message.term().entry())};
  case proto::work::WorkRecord::RECORD_NOT_SET:
    break;
  }
  throw malformed_message_error("log record has no known record type");
}

} // namespace geraniumpaddle::work
