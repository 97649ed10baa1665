#include "entry/relayedlog.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Time for the relay's response in addition to the requested wait.
constexpr duration ReplyMargin = std::chrono::milliseconds(1500);
/// Bounds the time until a failed relay is detected.
constexpr duration MaxRelayWait = std::chrono::seconds(2);

read_result resultOf(const proto::RecordBatch &Batch) {
  read_result Result;
  Result.Status = call_status::Completed;
  Result.Head = log_offset{Batch.head()};
  Result.Oldest = log_offset{Batch.oldest()};
  for (const proto::StoredRecord &Record : Batch.records())
    Result.Items.push_back({log_offset{Record.offset()}, Record.payload()});
  return Result;
}

} // namespace

relayed_log::relayed_log(ievent_loop &Loop, ilog_service &Direct,
                         ipeer_client &Peers, const peer_identity &Self,
                         relay_source Source)
    : Loop(Loop), Direct(Direct), Peers(Peers), Self(Self),
      Source(std::move(Source)) {}

void relayed_log::append(std::span<const std::string> Payloads,
                         std::function<void(const append_result &)> Done) {
  Direct.append(Payloads, std::move(Done));
}

void relayed_log::read(log_offset From, std::uint32_t Limit, duration Wait,
                       std::function<void(const read_result &)> Done) {
  std::optional<std::string> Relay = Source();
  if (!Relay)
    return readDirect(From, Limit, Wait, std::move(Done));
  duration RelayWait = std::min(Wait, MaxRelayWait);
  proto::PeerRequest Request = makeRequest(Self);
  Request.mutable_fetch_records()->set_from(raw(From));
  Request.mutable_fetch_records()->set_limit(Limit);
  Request.mutable_fetch_records()->set_wait_ms(millisecondsOf(RelayWait));
  Peers.call(*Relay, Request, RelayWait + ReplyMargin,
             [this, From, Limit, Done = std::move(Done),
              Alive = Alive](const peer_result &Result) {
               if (!*Alive)
                 return;
               bool Served = Result.Status == call_status::Completed &&
                             Result.Response.has_records();
               if (!Served) {
                 ++Fallbacks;
                 return readDirect(From, Limit, duration::zero(), Done);
               }
               ++Relayed;
               Done(resultOf(Result.Response.records()));
             });
}

void relayed_log::readDirect(log_offset From, std::uint32_t Limit,
                             duration Wait,
                             std::function<void(const read_result &)> Done) {
  Direct.read(
      From, Limit, Wait,
      [this, Done = std::move(Done), Alive = Alive](const read_result &Result) {
        if (*Alive)
          cacheItems(Result);
        Done(Result);
      });
}

/// Caches the latest consecutive records, from which other entries are served.
void relayed_log::cacheItems(const read_result &Result) {
  if (Result.Status != call_status::Completed)
    return;
  Head = Result.Head;
  Oldest = Result.Oldest;
  for (const log_item &Item : Result.Items) {
    if (!Cached.empty() && Item.Offset <= Cached.back().Offset)
      continue;
    if (!Cached.empty() && Item.Offset != next(Cached.back().Offset)) {
      Cached.clear();
      CachedBytes = 0;
    }
    Cached.push_back(Item);
    CachedBytes += Item.Payload.size();
  }
  while (Cached.size() > MaxCachedItems || CachedBytes > MaxCachedBytes) {
    CachedBytes -= Cached.front().Payload.size();
    Cached.pop_front();
  }
  for (auto Each = DeferredReads.begin(); Each != DeferredReads.end();) {
    auto Current = Each++;
    if (contains(Current->Request.from()))
      completeRead(Current);
  }
}

bool relayed_log::contains(std::uint64_t From) const {
  return !Cached.empty() && From >= raw(Cached.front().Offset) &&
         From <= raw(Cached.back().Offset);
}

bool relayed_log::isNextOffset(std::uint64_t From) const {
  return !Cached.empty() && From == raw(Cached.back().Offset) + 1;
}

void relayed_log::serve(const proto::FetchRecords &Request,
                        const peer_responder &Respond) {
  if (contains(Request.from()))
    return Respond(batchFrom(Request));
  if (isNextOffset(Request.from()))
    return deferRead(Request, Respond);
  proto::PeerResponse Response;
  Response.set_incarnation(raw(Self.Incarnation));
  Response.set_refusal(proto::REFUSAL_NOT_READY);
  Respond(std::move(Response));
}

proto::PeerResponse
relayed_log::batchFrom(const proto::FetchRecords &Request) const {
  proto::PeerResponse Response;
  Response.set_incarnation(raw(Self.Incarnation));
  proto::RecordBatch &Batch = *Response.mutable_records();
  Batch.set_head(raw(Head));
  Batch.set_oldest(raw(Oldest));
  if (!contains(Request.from()))
    return Response;
  std::size_t First = Request.from() - raw(Cached.front().Offset);
  std::size_t Last =
      std::min(First + std::max(Request.limit(), 1U), Cached.size());
  for (std::size_t I = First; I < Last; ++I) {
    proto::StoredRecord &Record = *Batch.add_records();
    Record.set_offset(raw(Cached[I].Offset));
    Record.set_payload(Cached[I].Payload);
  }
  return Response;
}

void relayed_log::deferRead(const proto::FetchRecords &Request,
                            const peer_responder &Respond) {
  DeferredReads.push_back({Request, Respond, timer_id{}});
  auto Last = std::prev(DeferredReads.end());
  Last->Timer = Loop.startTimer(std::chrono::milliseconds(Request.wait_ms()),
                                [this, Last, Alive = Alive] {
                                  if (*Alive)
                                    completeRead(Last);
                                });
}

void relayed_log::completeRead(std::list<deferred_read>::iterator Read) {
  Loop.cancelTimer(Read->Timer);
  peer_responder Respond = std::move(Read->Respond);
  proto::PeerResponse Response = batchFrom(Read->Request);
  DeferredReads.erase(Read);
  Respond(std::move(Response));
}

} // namespace geraniumpaddle
