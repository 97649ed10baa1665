#include "jobentry/recordnotifier.h"

namespace geraniumpaddle {

namespace {

/// Later than this the log has usually been read.
constexpr duration NewsTimeout = std::chrono::milliseconds(600);

} // namespace

void record_news::tell(
    std::span<const std::string> Addresses, const keyed_record &Record,
    const std::function<void(const proto::PeerResponse &)> &Answered) {
  proto::PeerRequest Request = makeRequest(Self);
  proto::work::RecordStored &Message = *Request.mutable_record_stored();
  Message.set_key(Record.Key);
  Message.set_value(Record.Value);
  Message.set_offset(Record.Offset);
  for (const std::string &Address : Addresses)
    Peers.call(Address, Request, NewsTimeout,
               [this, Life = Alive, Address, Answered,
                Key = Record.Key](const peer_result &Result) {
                 if (!*Life)
                   return;
                 const bool Taken = Result.Status == call_status::Completed;
                 Metrics
                     .getCounter("geraniumpaddle_record_news",
                                 "Other entries told of a record in the log.",
                                 {{"taken", Taken ? "yes" : "no"}})
                     .add();
                 if (Taken)
                   Answered(Result.Response);
                 else
                   Log.event("record_notification_failed",
                             {{"entry", Address},
                              {"key", Key},
                              {"call", name(Result.Status)}});
               });
}

keyed_record decodeNews(const proto::work::RecordStored &Message) {
  return {.Key = Message.key(),
          .Value = Message.value(),
          .Deleted = Message.value().empty(),
          .Offset = Message.offset()};
}

} // namespace geraniumpaddle
