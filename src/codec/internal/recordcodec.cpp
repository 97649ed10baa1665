#include "codec/recordcodec.h"
#include "codec/internal/fieldcheck.h"
#include "codec/protoconvert.h"
#include "core/base/membertable.h"

#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/util/json_util.h>

#include <array>

namespace geraniumpaddle {

namespace {

/// Encodes the body of a record into its message.
class body_encoder {
public:
  explicit body_encoder(proto::Record &Message) : Message(Message) {}

  void encode(const record_body &Body) const {
    using table = member_table<
        &body_encoder::onCustomersChanged, &body_encoder::onEntryAnnounced,
        &body_encoder::onWorkerRegistered, &body_encoder::onWorkerStateChanged,
        &body_encoder::onJobSubmitted, &body_encoder::onJobPlaced,
        &body_encoder::onJobStarted, &body_encoder::onJobEnded,
        &body_encoder::onJobCancelled, &body_encoder::onSnapshotChunk>;
    table::dispatch(*this, Body);
  }

private:
  void onCustomersChanged(const customers_changed &Body) const {
    *Message.mutable_customers_changed() = toProto(Body);
  }
  void onEntryAnnounced(const entry_announced &Body) const {
    *Message.mutable_entry_announced() = toProto(Body);
  }
  void onWorkerRegistered(const worker_registered &Body) const {
    *Message.mutable_worker_registered() = toProto(Body);
  }
  void onWorkerStateChanged(const worker_state_changed &Body) const {
    *Message.mutable_worker_state_changed() = toProto(Body);
  }
  void onJobSubmitted(const job_submitted &Body) const {
    *Message.mutable_job_submitted()->mutable_spec() = toProto(Body.Spec);
  }
  void onJobPlaced(const job_placed &Body) const {
    *Message.mutable_job_placed() = toProto(Body);
  }
  void onJobStarted(const job_started &Body) const {
    *Message.mutable_job_started() = toProto(Body);
  }
  void onJobEnded(const job_ended &Body) const {
    *Message.mutable_job_ended() = toProto(Body);
  }
  void onJobCancelled(const job_cancelled &Body) const {
    Message.mutable_job_cancelled()->set_job(Body.Job.str());
  }
  void onSnapshotChunk(const snapshot_chunk &Body) const {
    *Message.mutable_snapshot_chunk() = toProto(Body);
  }

  proto::Record &Message;
};

/// Decoding function of one kind of body.
struct body_decoder {
  proto::Record::BodyCase Case;
  std::string_view Field;
  record_body (*Decode)(const proto::Record &);
};

template <auto Getter> record_body decodeWith(const proto::Record &Message) {
  return fromProto((Message.*Getter)());
}

constexpr std::array<body_decoder, 10> Decoders{{
    {proto::Record::kCustomersChanged, "customers_changed",
     &decodeWith<&proto::Record::customers_changed>},
    {proto::Record::kEntryAnnounced, "entry_announced",
     &decodeWith<&proto::Record::entry_announced>},
    {proto::Record::kWorkerRegistered, "worker_registered",
     &decodeWith<&proto::Record::worker_registered>},
    {proto::Record::kWorkerStateChanged, "worker_state_changed",
     &decodeWith<&proto::Record::worker_state_changed>},
    {proto::Record::kJobSubmitted, "job_submitted",
     &decodeWith<&proto::Record::job_submitted>},
    {proto::Record::kJobPlaced, "job_placed",
     &decodeWith<&proto::Record::job_placed>},
    {proto::Record::kJobStarted, "job_started",
     &decodeWith<&proto::Record::job_started>},
    {proto::Record::kJobEnded, "job_ended",
     &decodeWith<&proto::Record::job_ended>},
    {proto::Record::kJobCancelled, "job_cancelled",
     &decodeWith<&proto::Record::job_cancelled>},
    {proto::Record::kSnapshotChunk, "snapshot_chunk",
     &decodeWith<&proto::Record::snapshot_chunk>},
}};

record_body decodeBody(const proto::Record &Message) {
  for (const body_decoder &Decoder : Decoders)
    if (Decoder.Case == Message.body_case())
      return decodeField(Decoder.Field,
                         [&] { return Decoder.Decode(Message); });
  rejectField("body", "missing or of an unknown kind");
}

/// Limit of a wall-clock time, in milliseconds: the end of the year 9999.
constexpr std::int64_t MaxWallTimeMs = 253'402'300'799'999;

proto::Record parsePayload(std::string_view Payload) {
  // Malformed payloads are reported when the record is applied; protobuf would
  // log them again on every read.
  const google::protobuf::LogSilencer Silence;
  proto::Record Message;
  if (Payload.empty())
    rejectField("record", "empty");
  if (Payload.front() != '{') {
    if (!Message.ParseFromArray(Payload.data(),
                                static_cast<int>(Payload.size())))
      rejectField("record", "not a protobuf message");
    return Message;
  }
  auto Status = google::protobuf::util::JsonStringToMessage(
      google::protobuf::StringPiece(Payload.data(), Payload.size()), &Message);
  if (!Status.ok())
    rejectField("record",
                "not a JSON record: " + std::string(Status.message().data(),
                                                    Status.message().size()));
  return Message;
}

} // namespace

proto::Record toProto(const record &Record) {
  proto::Record Message;
  Message.set_node(Record.Producer.Node.str());
  Message.set_incarnation(raw(Record.Producer.Incarnation));
  Message.set_sequence(Record.Producer.Sequence);
  Message.set_actor(Record.Actor.str());
  Message.set_at_ms(Record.At.time_since_epoch().count());
  body_encoder(Message).encode(Record.Body);
  return Message;
}

record fromProto(const proto::Record &Message) {
  record Record;
  Record.Producer.Node = node_id(checkName("node", Message.node()));
  Record.Producer.Incarnation = incarnation{Message.incarnation()};
  Record.Producer.Sequence = Message.sequence();
  if (Message.sequence() == 0)
    rejectField("sequence", "missing");
  Record.Actor = actor_id(checkName("actor", Message.actor(), true));
  const std::int64_t At = checkCount("at_ms", Message.at_ms());
  if (At > MaxWallTimeMs)
    rejectField("at_ms", "too large");
  Record.At = wall_time(std::chrono::milliseconds(At));
  Record.Body = decodeBody(Message);
  return Record;
}

std::string encodeRecord(const record &Record) {
  return toProto(Record).SerializeAsString();
}

record decodeRecord(std::string_view Payload) {
  return fromProto(parsePayload(Payload));
}

} // namespace geraniumpaddle
