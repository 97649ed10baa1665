#include "jobentry/recordnotifier.h"

namespace geraniumpaddle {

namespace {

/// By then the other entry has usually read the record from the log.
constexpr duration NotificationTimeout = std::chrono::milliseconds(600);

} // namespace

void record_notifier::notify(
    std::span<const std::string> Addresses, const keyed_record &Record,
    const std::function<void(const proto::PeerResponse &)> &OnAnswer) {
  proto::PeerRequest Request = makeRequest(Self);
  proto::work::RecordStored &Message = *Request.mutable_record_stored();
  Message.set_key(Record.Key);
  Message.set_value(Record.Value);
  Message.set_offset(Record.Offset);
  for (const std::string &Address : Addresses)
    Peers.call(Address, Request, NotificationTimeout,
               [this, Alive = Alive, Address, OnAnswer,
                Key = Record.Key](const peer_result &Result) {
                 if (!*Alive)
                   return;
                 const bool Delivered = Result.Status == call_status::Completed;
                 Metrics
                     .getCounter("geraniumpaddle_record_news",
                                 "Other entries told of a record in the log.",
                                 {{"taken", Delivered ? "yes" : "no"}})
                     .add();
                 if (Delivered)
                   OnAnswer(Result.Response);
                 else
                   Log.event("record_notification_failed",
                             {{"entry", Address},
                              {"key", Key},
                              {"call", name(Result.Status)}});
               });
}

keyed_record decodeNotification(const proto::work::RecordStored &Message) {
  return {.Key = Message.key(),
          .Value = Message.value(),
          .Deleted = Message.value().empty(),
          .Offset = Message.offset()};
}

} // namespace geraniumpaddle
