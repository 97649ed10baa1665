#include "entry/relayedlog.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Beyond the wait that was asked for.
constexpr duration ReplyGrace = std::chrono::milliseconds(1500);
/// A relay that dies is noticed by the end of this wait at the latest.
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
  Peers.call(*Relay, Request, RelayWait + ReplyGrace,
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
          keep(Result);
        Done(Result);
      });
}

/// Keeps the latest run of consecutive records for other entries.
void relayed_log::keep(const read_result &Result) {
  if (Result.Status != call_status::Completed)
    return;
  Head = Result.Head;
  Oldest = Result.Oldest;
  for (const log_item &Item : Result.Items) {
    if (!Kept.empty() && Item.Offset <= Kept.back().Offset)
      continue;
    if (!Kept.empty() && Item.Offset != next(Kept.back().Offset)) {
      Kept.clear();
      KeptBytes = 0;
    }
    Kept.push_back(Item);
    KeptBytes += Item.Payload.size();
  }
  while (Kept.size() > MaxKeptItems || KeptBytes > MaxKeptBytes) {
    KeptBytes -= Kept.front().Payload.size();
    Kept.pop_front();
  }
  for (auto Each = Parked.begin(); Each != Parked.end();) {
    auto Current = Each++;
    if (holds(Current->Request.from()))
      unpark(Current);
  }
}

bool relayed_log::holds(std::uint64_t From) const {
  return !Kept.empty() && From >= raw(Kept.front().Offset) &&
         From <= raw(Kept.back().Offset);
}

bool relayed_log::reachesEnd(std::uint64_t From) const {
  return !Kept.empty() && From == raw(Kept.back().Offset) + 1;
}

void relayed_log::serve(const proto::FetchRecords &Request,
                        const peer_responder &Respond) {
  if (holds(Request.from()))
    return Respond(batchFrom(Request));
  if (reachesEnd(Request.from()))
    return park(Request, Respond);
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
  if (!holds(Request.from()))
    return Response;
  std::size_t First = Request.from() - raw(Kept.front().Offset);
  std::size_t Last =
      std::min(First + std::max(Request.limit(), 1U), Kept.size());
  for (std::size_t I = First; I < Last; ++I) {
    proto::StoredRecord &Record = *Batch.add_records();
    Record.set_offset(raw(Kept[I].Offset));
    Record.set_payload(Kept[I].Payload);
  }
  return Response;
}

void relayed_log::park(const proto::FetchRecords &Request,
                       const peer_responder &Respond) {
  Parked.push_back({Request, Respond, timer_id{}});
  auto Last = std::prev(Parked.end());
  Last->Timer = Loop.startTimer(std::chrono::milliseconds(Request.wait_ms()),
                                [this, Last, Alive = Alive] {
                                  if (*Alive)
                                    unpark(Last);
                                });
}

void relayed_log::unpark(std::list<parked_read>::iterator Each) {
  Loop.cancelTimer(Each->Timer);
  peer_responder Respond = std::move(Each->Respond);
  proto::PeerResponse Response = batchFrom(Each->Request);
  Parked.erase(Each);
  Respond(std::move(Response));
}

} // namespace geraniumpaddle
